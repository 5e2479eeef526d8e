/*
 * Model of the early election after a start of all voters. It checks that two
 * leaders never hold a lease at once.
 *
 * A member that acknowledges a leader or starts protects leases for longer than
 * any lease lasts that it granted before. It grants no ordinary vote meanwhile. It
 * grants an early vote in spite of that if it had no contact with a leader since
 * its start. An early candidate leads only with the votes of all members.
 *
 * Faulty variants, which verification must reject (-D NAME):
 *   EARLY_QUORUM   the votes of a quorum are sufficient in an early election
 *   EARLY_LEADER   a leader grants an early vote and keeps its lease
 */
#define MEMBERS 3
#define MAX_TERM 3
#define MAX_BOOT 2

#define BIT(n) (1 << (n))
#define COUNT(set) (((set) & 1) + (((set) >> 1) & 1) + (((set) >> 2) & 1))

#ifdef EARLY_QUORUM
#define EARLY_VOTES 2
#else
#define EARLY_VOTES MEMBERS
#endif
#ifdef EARLY_LEADER
#define MAY_VOTE(v, isEarly) ((isEarly) || (leads[v] == 0 && !isProtecting[v]))
#else
#define MAY_VOTE(v, isEarly) \
  (leads[v] == 0 && (!isProtecting[v] || ((isEarly) && isFresh[v])))
#endif

byte term[MEMBERS];
byte votedIn[MEMBERS];
byte boot[MEMBERS];
/* No contact with a leader since the start. */
bool isFresh[MEMBERS];
/* The member may still protect a lease that it granted. */
bool isProtecting[MEMBERS];
/* Term in which the member leads; 0 if it does not. */
byte leads[MEMBERS];
bool hasLease[MEMBERS];
/* Members that granted the lease. */
byte grantedBy[MEMBERS];

/* Scratch variables, zero between steps. */
byte votes = 0;
byte k = 0;

/* Member n requests votes in its next term. */
inline Elect(n, isEarly)
{
  term[n] = term[n] + 1;
  votedIn[n] = term[n];
  votes = BIT(n);
  k = 0;
  do
  :: k < MEMBERS ->
     if
     :: k != n && term[n] > votedIn[k] && term[n] >= term[k] &&
        MAY_VOTE(k, isEarly) ->
        if
        :: votedIn[k] = term[n]; term[k] = term[n]; votes = votes | BIT(k)
        :: skip /* the message is lost */
        fi
     :: else -> skip
     fi;
     k++
  :: else -> break
  od;
  if
  :: COUNT(votes) >= (isEarly -> EARLY_VOTES : 2) ->
     leads[n] = term[n];
     isFresh[n] = false
  :: else -> skip
  fi;
  votes = 0;
  k = 0
}

/* Members acknowledge leader n; a quorum of them grants its lease. */
inline Acknowledge(n)
{
  votes = BIT(n);
  k = 0;
  do
  :: k < MEMBERS ->
     if
     :: k != n && term[k] <= leads[n] ->
        if
        :: term[k] = leads[n];
           leads[k] = 0;
           hasLease[k] = false;
           grantedBy[k] = 0;
           isFresh[k] = false;
           isProtecting[k] = true;
           votes = votes | BIT(k)
        :: skip /* the message is lost */
        fi
     :: else -> skip
     fi;
     k++
  :: else -> break
  od;
  if
  :: COUNT(votes) >= 2 ->
     k = 0;
     do
     :: k < MEMBERS -> assert(k == n || !hasLease[k]); k++
     :: else -> break
     od;
     hasLease[n] = true;
     grantedBy[n] = grantedBy[n] | votes
  :: else -> skip
  fi;
  votes = 0;
  k = 0
}

active proctype System()
{
  byte n;
  do
  :: select(n : 0 .. MEMBERS - 1);
     if
     /* The member starts again. It protects what it granted, again for the whole
        time. */
     :: atomic {
          boot[n] < MAX_BOOT ->
          boot[n] = boot[n] + 1;
          isFresh[n] = true;
          isProtecting[n] = true;
          leads[n] = 0;
          hasLease[n] = false;
          grantedBy[n] = 0
        }
     /* An early election. */
     :: atomic {
          isFresh[n] && term[n] < MAX_TERM && leads[n] == 0 -> Elect(n, true)
        }
     /* An ordinary election, after the protection of the candidate. */
     :: atomic {
          !isProtecting[n] && term[n] < MAX_TERM && leads[n] == 0 ->
          Elect(n, false)
        }
     :: atomic { leads[n] != 0 && leads[n] == term[n] -> Acknowledge(n) }
     /* A lease ends. */
     :: atomic { hasLease[n] -> hasLease[n] = false; grantedBy[n] = 0 }
     /* A protection ends, later than each lease that the member granted. */
     :: atomic {
          isProtecting[n] &&
          !(hasLease[0] && (grantedBy[0] & BIT(n)) != 0) &&
          !(hasLease[1] && (grantedBy[1] & BIT(n)) != 0) &&
          !(hasLease[2] && (grantedBy[2] & BIT(n)) != 0) ->
          isProtecting[n] = false
        }
     :: skip
     fi
  od
}

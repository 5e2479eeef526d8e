/*
 * Model of the control log: election with a durable vote, log replication,
 * one membership change (an emptied member comes back with a new identity),
 * and the record-before-dispatch rule for calls that run at most once.
 *
 * There are three disks. An emptied disk loses its vote and its log. Its member
 * is no voter until a leader has copied its log to the disk and a committed
 * membership change has replaced the old identity with the new one.
 *
 * Faulty variants, which verification must reject (-D NAME):
 *   BROKEN_VOTE      an emptied member votes at once
 *   BROKEN_DISPATCH  a call is sent before its record is committed
 */
#define MEMBERS 3
#define MAX_TERM 3

#define BIT(n) (1 << (n))
#define THIRD(a, b) (3 - (a) - (b))
#define COUNT(set) (((set) & 1) + (((set) >> 1) & 1) + (((set) >> 2) & 1))

#ifdef BROKEN_VOTE
#define MAY_VOTE(k) (true)
#define WITHOUT(set, n) (set)
#else
#define MAY_VOTE(k) (isVoter[k])
#define WITHOUT(set, n) ((set) & ~BIT(n))
#endif

/* Durable state of each member. */
byte term[MEMBERS];
byte votedIn[MEMBERS];   /* highest term in which it voted */
bool hasRecord[MEMBERS]; /* the run record is in its log */
byte lastTerm[MEMBERS];/* term of its last entry */
bool isVoter[MEMBERS];   /* its current identity is a voter */

byte leader = MEMBERS;   /* the current leader, MEMBERS for none */
byte leaderTerm = 0;
byte leadersOf[MAX_TERM + 1];
byte voters = 7;         /* set of voters after the last change */
bool isCommitted = false;
byte dispatches = 0;
bool hasWiped = false;

/* Scratch variables, zero between steps. */
byte granted = 0;
byte holders = 0;
byte k = 0;

inline CheckInvariants()
{
  assert(dispatches <= 1);
}

/* A member requests votes from all others in the next term. */
inline Elect(n)
{
  granted = BIT(n);
  term[n] = term[n] + 1;
  votedIn[n] = term[n];
  k = 0;
  do
  :: k < MEMBERS ->
     if
     :: k != n && term[n] > votedIn[k] && term[n] >= term[k] &&
        (lastTerm[n] > lastTerm[k] ||
         (lastTerm[n] == lastTerm[k] && hasRecord[n] >= hasRecord[k])) &&
        MAY_VOTE(k) ->
        if
        :: votedIn[k] = term[n]; term[k] = term[n]; granted = granted | BIT(k)
        :: skip /* the message is lost */
        fi
     :: else -> skip
     fi;
     k++
  :: else -> break
  od;
  if
  :: COUNT(granted & voters) >= 2 ->
     leadersOf[term[n]] = leadersOf[term[n]] + 1;
     assert(leadersOf[term[n]] <= 1);
     /* Leader completeness: committed entries are in the leader's log. */
     assert(!isCommitted || hasRecord[n]);
     leader = n;
     leaderTerm = term[n];
     lastTerm[n] = term[n] /* each term starts with its own entry */
  :: else -> skip
  fi;
  granted = 0;
  k = 0
}

/* The leader appends the run record, or copies it to one follower. */
inline Replicate(n)
{
  if
  :: !hasRecord[leader] -> hasRecord[leader] = true
  :: n != leader && term[n] <= leaderTerm ->
     term[n] = leaderTerm;
     hasRecord[n] = hasRecord[leader];
     lastTerm[n] = lastTerm[leader]
  :: else -> skip
  fi;
  holders = 0;
  k = 0;
  do
  :: k < MEMBERS ->
     if
     :: hasRecord[k] && lastTerm[k] == leaderTerm ->
        holders = holders | BIT(k)
     :: else -> skip
     fi;
     k++
  :: else -> break
  od;
  if
  :: COUNT(holders & voters) >= 2 -> isCommitted = true
  :: else -> skip
  fi;
  holders = 0;
  k = 0
}

active proctype System()
{
  byte n;
  for (k : 0 .. MEMBERS - 1) {
    isVoter[k] = true
  }
  k = 0;
  do
  :: select(n : 0 .. MEMBERS - 1);
     if
     /* An election, unless the model's highest term is reached. */
     :: atomic {
          term[n] < MAX_TERM && isVoter[n] -> Elect(n)
        }
     /* The leader appends or replicates. */
     :: atomic { leader < MEMBERS && term[leader] == leaderTerm -> Replicate(n) }
     /* A crash or a partition: there is no leader, disks keep their state. */
     :: leader < MEMBERS -> leader = MEMBERS
     /* The disk of a member other than the leader is emptied, at most once in a
        run: a minority of the disks. */
     :: atomic {
          !hasWiped && leader != n ->
          hasWiped = true;
          term[n] = 0;
          votedIn[n] = 0;
          hasRecord[n] = false;
          lastTerm[n] = 0;
          isVoter[n] = false;
          voters = WITHOUT(voters, n)
        }
     /* The emptied member has caught up, and a committed change makes its new
        identity a voter. Both others must hold the change, as they are the only
        voters left. */
     :: atomic {
          leader < MEMBERS && !isVoter[n] && term[leader] == leaderTerm &&
          term[n] == leaderTerm &&
          hasRecord[n] == hasRecord[leader] &&
          lastTerm[n] == lastTerm[leader] &&
          hasRecord[THIRD(n, leader)] == hasRecord[leader] &&
          lastTerm[THIRD(n, leader)] == lastTerm[leader] ->
          isVoter[n] = true;
          voters = voters | BIT(n)
        }
     /* The call is sent, after its record is committed or, in the faulty
        variant, before. */
#ifdef BROKEN_DISPATCH
     :: atomic {
          leader < MEMBERS && term[leader] == leaderTerm &&
          !hasRecord[leader] ->
          hasRecord[leader] = true;
          dispatches++;
          CheckInvariants()
        }
#else
     :: atomic { isCommitted && dispatches == 0 -> dispatches++; CheckInvariants() }
#endif
     :: skip
     fi
  od
}

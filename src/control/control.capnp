@0xb2a9c7e1d4f05836;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("cuminslip::schema");

struct LogEntry {
  index @0 :UInt64;
  term @1 :UInt64;
  kind @2 :UInt8;
  clock @3 :UInt64;
  payload @4 :Data;
}

struct Member {
  id @0 :UInt64;
  instance @1 :Text;
  address @2 :Text;
  failureDomain @3 :Text;
  role @4 :UInt8;
  replaces @5 :UInt64;
}

struct Membership {
  members @0 :List(Member);
  expected @1 :List(Text);
}

struct Snapshot {
  index @0 :UInt64;
  term @1 :UInt64;
  clock @2 :UInt64;
  membership @3 :Membership;
  state @4 :Data;
}

# One record of a log segment.
struct LogRecord {
  union {
    entry @0 :LogEntry;
    truncateFrom @1 :UInt64;
    commitFloor @2 :UInt64;
    base :group {
      index @3 :UInt64;
      term @4 :UInt64;
    }
  }
}

struct PeerBoot {
  member @0 :UInt64;
  boot @1 :UInt64;
}

struct VoteRecord {
  sequence @0 :UInt64;
  cluster @1 :UInt64;
  member @2 :UInt64;
  boot @3 :UInt64;
  term @4 :UInt64;
  vote @5 :UInt64;
  peerBoots @6 :List(PeerBoot);
  lastSegment @7 :UInt64;
  floor @8 :UInt64;
}

struct VoteRequest {
  term @0 :UInt64;
  lastIndex @1 :UInt64;
  lastTerm @2 :UInt64;
}

struct VoteReply {
  term @0 :UInt64;
  granted @1 :Bool;
}

struct AppendRequest {
  previousIndex @0 :UInt64;
  previousTerm @1 :UInt64;
  entries @2 :List(LogEntry);
  commit @3 :UInt64;
  sentAt @4 :Int64;
  quorumAge @5 :Int64;
}

struct AppendReply {
  accepted @0 :Bool;
  previousIndex @1 :UInt64;
  match @2 :UInt64;
  sentAt @3 :Int64;
}

struct SnapshotPiece {
  index @0 :UInt64;
  term @1 :UInt64;
  clock @2 :UInt64;
  membership @3 :Membership;
  total @4 :UInt64;
  offset @5 :UInt64;
  bytes @6 :Data;
  sentAt @7 :Int64;
}

struct SnapshotReply {
  index @0 :UInt64;
  nextOffset @1 :UInt64;
  sentAt @2 :Int64;
}

struct Rejection {
  reason @0 :UInt8;
  boot @1 :UInt64;
}

struct ControlMessage {
  cluster @0 :UInt64;
  from @1 :UInt64;
  to @2 :UInt64;
  fromAddress @3 :Text;
  boot @4 :UInt64;
  term @5 :UInt64;
  durable @6 :UInt64;
  diskFull @7 :Bool;
  union {
    preVoteRequest @8 :VoteRequest;
    preVoteReply @9 :VoteReply;
    voteRequest @10 :VoteRequest;
    voteReply @11 :VoteReply;
    appendRequest @12 :AppendRequest;
    appendReply @13 :AppendReply;
    snapshotPiece @14 :SnapshotPiece;
    snapshotReply @15 :SnapshotReply;
    rejection @16 :Rejection;
  }
}

struct Command {
  union {
    publish :group {
      account @0 :Text;
      expectedRevision @1 :UInt64;
      request @2 :Text;
      document @3 :Data;
    }
    claimRun :group {
      account @4 :Text;
      key @5 :Text;
      fingerprint @6 :Text;
      token @7 :Text;
      longest @8 :UInt64;
    }
    finishRun :group {
      account @9 :Text;
      key @10 :Text;
      token @11 :Text;
      outcome @12 :UInt8;
      answer @13 :Data;
    }
    lease :group {
      name @14 :Text;
      holder @15 :Text;
      duration @16 :UInt64;
    }
    submitWork :group {
      account @17 :Text;
      work @18 :Text;
      fingerprint @19 :Text;
      totalBytes @20 :UInt64;
      offset @21 :UInt64;
      piece @22 :Data;
      retention @23 :UInt64;
    }
    takeWork :group {
      holder @24 :Text;
      token @25 :Text;
      lease @26 :UInt64;
    }
    renewWork :group {
      account @27 :Text;
      work @28 :Text;
      token @29 :Text;
      lease @30 :UInt64;
    }
    finishWork :group {
      account @31 :Text;
      work @32 :Text;
      token @33 :Text;
      totalBytes @34 :UInt64;
      offset @35 :UInt64;
      piece @36 :Data;
    }
    publishRouting :group {
      version @37 :UInt64;
      document @38 :Data;
    }
  }
}

struct CommandResult {
  status @0 :UInt8;
  revision @1 :UInt64;
  holder @2 :Text;
  work @3 :Text;
  bytes @4 :Data;
}

struct StoredTemplate {
  account @0 :Text;
  revision @1 :UInt64;
  document @2 :Data;
  version @3 :UInt64;
}

struct PublishRecord {
  account @0 :Text;
  request @1 :Text;
  fingerprint @2 :UInt64;
  status @3 :UInt8;
  revision @4 :UInt64;
  clock @5 :UInt64;
}

struct RunRecord {
  account @0 :Text;
  key @1 :Text;
  fingerprint @2 :Text;
  token @3 :Text;
  state @4 :UInt8;
  answer @5 :Data;
  claimedAt @6 :UInt64;
  unknownAt @7 :UInt64;
}

struct LeaseRecord {
  name @0 :Text;
  holder @1 :Text;
  fencing @2 :UInt64;
  expiresAt @3 :UInt64;
}

struct WorkRecord {
  account @0 :Text;
  work @1 :Text;
  fingerprint @2 :Text;
  totalBytes @3 :UInt64;
  request @4 :Data;
  token @5 :Text;
  leaseUntil @6 :UInt64;
  resultBytes @7 :UInt64;
  result @8 :Data;
  order @9 :UInt64;
  expiresAt @10 :UInt64;
  isFinished @11 :Bool;
}

struct ControlState {
  applied @0 :UInt64;
  clock @1 :UInt64;
  templates @2 :List(StoredTemplate);
  history @3 :List(StoredTemplate);
  publishes @4 :List(PublishRecord);
  runs @5 :List(RunRecord);
  leases @6 :List(LeaseRecord);
  works @7 :List(WorkRecord);
}

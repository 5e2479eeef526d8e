@0xc3d81f60a7be2495;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("cuminslip::schema");

# The work that one entry instance has assigned to one engine.
struct EngineShare {
  engine @0 :UInt64;
  streams @1 :UInt32;
  longStreams @2 :UInt32;
  contextTokens @3 :UInt64;
  readMillis @4 :UInt32;
  # The shortest pause target of the long streams there; 0 when there is none.
  pauseMillis @5 :UInt32;
  unread @6 :UInt32;
  unreadLong @7 :UInt32;
  # Of the streams, those that claim a slot and are not sent yet.
  claimed @8 :UInt32;
}

# What one entry instance knows of an endpoint from its answers.
struct EndpointStatement {
  endpoint @0 :UInt64;
  incarnation @1 :UInt64;
  # Negative if the endpoint no longer states a limit.
  requestsPerSecond @2 :Float64;
  version @3 :UInt64;
  isLeaving @4 :Bool;
  # Remaining time for which the endpoint is cold, by an answer to the sender.
  coldMillis @5 :UInt32;
}

struct EndpointCrash {
  # Checksum of the endpoint's id and incarnation.
  endpoint @0 :UInt64;
  ageMillis @1 :UInt32;
  hadBegun @2 :Bool;
  # Number of endpoints that ended at about the same time.
  company @3 :UInt32 = 1;
  # Time from when the suspect was sent to the crash; the default if unknown.
  ranMillis @4 :UInt32 = 0xffffffff;
}

struct EndpointEnd {
  # Checksum of the endpoint's id and incarnation.
  endpoint @0 :UInt64;
  ageMillis @1 :UInt32;
}

# What one entry instance knows of crashes and sound answers on a request or a
# part of prompts.
struct SuspectEvidence {
  key @0 :UInt64;
  depth @1 :UInt32;
  crashes @2 :List(EndpointCrash);
  # Negative if no sound answer is known.
  soundAgeMillis @3 :Int64 = -1;
}

# All work that one entry instance has assigned to engines when it is sent.
struct LoadNotice {
  instance @0 :Text;
  sequence @1 :UInt64;
  shares @2 :List(EngineShare);
  # The work of all instances on the engines of the sender's group.
  isSummary @3 :Bool;
  # May be a part of what the sender knows; the rest is in later notices.
  statements @4 :List(EndpointStatement);
  # A bounded number: the most suspect ones, and the latest ones.
  suspects @5 :List(SuspectEvidence);
  # The latest ends of endpoints; empty in notices without suspects.
  ends @6 :List(EndpointEnd);
  # The sender reaches no endpoint.
  isCutOff @7 :Bool;
  # Engine milliseconds of the prompts that wait at the sender for engines of
  # its group; the position is the priority, 8 at most. Empty if none waits, or
  # if the sender does not order its waiting prompts.
  waitingMillis @8 :List(Float64);
}

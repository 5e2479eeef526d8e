@0xd1f0a3b5c7e92846;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("cuminslip::schema");

struct PulledTemplate {
  account @0 :Text;
  revision @1 :UInt64;
  document @2 :Data;
  version @3 :UInt64;
}

# An endpoint as a control instance knows it.
struct EndpointRow {
  id @0 :Text;
  service @1 :Text;
  address @2 :Text;
  failureDomain @3 :Text;
  slots @4 :UInt32;
  state @5 :UInt8;
  incarnation @6 :UInt64;
  sequence @7 :UInt64;
  coldMillis @8 :Int64;
  ageMillis @9 :Int64;
  silent @10 :Bool;
}

struct Joiner {
  member @0 :UInt64;
  instance @1 :Text;
  address @2 :Text;
  failureDomain @3 :Text;
}

struct InstanceReport {
  instance @0 :Text;
  failureDomain @1 :Text;
  revision @2 :UInt64;
  ageMillis @3 :Int64;
}

# How a call that only the leader serves ended.
enum LeaderOutcome {
  done @0;
  notLeader @1;
  diskFull @2;
  overloaded @3;
}

interface Peer {
  open @0 (key :Data, instance :Text, failureDomain :Text) -> (session :Session);
}

interface Session {
  control @0 (message :Data) -> (reply :Data);
  propose @1 (command :Data)
    -> (outcome :LeaderOutcome, leader :Text, result :Data);
  pull @2 (have :UInt64, waitMillis :UInt32)
    -> (revision :UInt64, templates :List(PulledTemplate),
        quorumAgeMillis :Int64, ready :Bool, more :Bool);
  history @3 (account :Text) -> (known :Bool, templates :List(PulledTemplate));
  fetchWork @4 (account :Text, work :Text)
    -> (outcome :LeaderOutcome, leader :Text, result :Data);
  changeMembership @5 (action :UInt8, joiner :Joiner)
    -> (outcome :LeaderOutcome, leader :Text, problem :Text);
  confirm @6 () -> (outcome :LeaderOutcome, leader :Text, revision :UInt64);
  report @7 ()
    -> (instances :List(InstanceReport), accepted :UInt64, leader :Text,
        hasQuorum :Bool, membership :Data);
  send @8 (bytes :Data) -> ();
  describe @9 () -> (cluster :UInt64, member :UInt64, isControl :Bool);
  join @10 (joiner :Joiner)
    -> (outcome :LeaderOutcome, leader :Text, problem :Text);
  watch @11 (haveRevision :UInt64, epoch :UInt64, haveChange :UInt64,
             entriesDigest :UInt64, waitMillis :UInt32, address :Text)
    -> (quorumAgeMillis :Int64, templates :List(PulledTemplate),
        epoch :UInt64, change :UInt64, endpoints :List(EndpointRow),
        entriesDigest :UInt64, entries :List(Text),
        controls :List(Joiner), more :Bool,
        entryDomains :List(Text));
  share @12 (endpoints :List(EndpointRow)) -> ();
}

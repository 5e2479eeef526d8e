@0xd3f1a6c28b904e57;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("cuminslip::endpoints::schema");

# One message between instances of a failure domain. Tables are columns: item i
# of each list belongs to row i. Ages of loads are in units of 50 ms, others of
# 10 ms; tokens and rates of loads are logarithms in eighths of an octave.

struct InstanceRecord {
  id @0 :Text;
  incarnation @1 :UInt64;
  address @2 :Text;
  state @3 :UInt8;
}

struct ModelRecord {
  model @0 :Text;
  version @1 :Text;
  adapters @2 :List(Text);
}

struct EndpointRecord {
  id @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  kind @3 :UInt8;
  service @4 :Text;
  address @5 :Text;
  region @6 :Text;
  isLeaving @7 :Bool;
  isDrained @8 :Bool;
  drainVersion @9 :UInt32;
  intervalMillis @10 :UInt16;
  role @11 :UInt8;
  fencing @12 :UInt8;
  models @13 :List(ModelRecord);
  totalKvTokens @14 :UInt64;
  batchSlots @15 :UInt32;
  age @16 :UInt16;
  failureDomain @17 :Text;
}

struct LoadTable {
  keys @0 :List(UInt32);
  sequences @1 :List(UInt32);
  ages @2 :List(UInt8);
  reportAges @3 :List(UInt8);
  running @4 :List(UInt16);
  waiting @5 :List(UInt16);
  queuedPrefill @6 :List(UInt8);
  freeKv @7 :List(UInt8);
  prefillRates @8 :List(UInt8);
  decodeRates @9 :List(UInt8);
  rounds @10 :List(UInt8);
}

struct BeatTable {
  keys @0 :List(UInt32);
  beats @1 :List(UInt32);
  rounds @2 :List(UInt8);
}

struct Message {
  failureDomain @0 :UInt32;
  sender @1 :UInt32;
  round @2 :UInt64;
  digest @3 :UInt64;
  loads @4 :LoadTable;
  beats @5 :BeatTable;
  instances @6 :List(InstanceRecord);
  endpoints @7 :List(EndpointRecord);
  wantsRecords @8 :Bool;
  knownKeys @9 :List(UInt32);
  knownSums @10 :List(UInt32);
  staleKeys @11 :List(UInt32);
}

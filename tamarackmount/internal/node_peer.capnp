@0xd2a1f3c97b6045e8;
# Messages between entry VMs on the users' platform. Every struct has a dataclass of the
# same name in tamarackmount/node/messages.py, with its field names in snake case.

struct Envelope {
  sender @0 :Text;
  union {
    jobStored @1 :JobStored;
    cancelStored @2 :CancelStored;
    phaseQuery @3 :PhaseQuery;
    phaseReply @4 :PhaseReply;
    adviceQuery @5 :AdviceQuery;
    adviceReply @6 :AdviceReply;
    holderReleased @7 :HolderReleased;
    storeQuery @8 :StoreQuery;
    storeReply @9 :StoreReply;
    storeAgeQuery @10 :StoreAgeQuery;
    storeAgeReply @11 :StoreAgeReply;
    waitingQuery @12 :WaitingQuery;
    waitingReply @13 :WaitingReply;
    evacuationSeen @14 :EvacuationSeen;
  }
}

struct JobStored {
  record @0 :Data;
}

struct StoreQuery {
  callId @0 :UInt64;
  key @1 :Text;
  value @2 :Data;
}

struct StoreReply {
  callId @0 :UInt64;
  stored @1 :Text;
  retryAfterS @2 :UInt32;
}

struct CancelStored {
  jobId @0 :Text;
}

struct PhaseQuery {
  callId @0 :UInt64;
  jobId @1 :Text;
  readStore @2 :Bool;
}

struct PhaseReply {
  callId @0 :UInt64;
  phase @1 :Text;
  isDenied @2 :Bool;
  cause @3 :Text;
}

struct WaitingQuery {
  callId @0 :UInt64;
  queue @1 :Text;
}

struct WaitingReply {
  callId @0 :UInt64;
  isKnown @1 :Bool;
  count @2 :UInt32;
}

struct AdviceQuery {
  callId @0 :UInt64;
  jobId @1 :Text;
  occurrence @2 :UInt32;
  step @3 :UInt32;
  workers @4 :List(Text);
  timeoutMs @5 :UInt32;
}

struct AdviceReply {
  callId @0 :UInt64;
  answered @1 :Bool;
  workers @2 :List(Text);
  tickets @3 :List(Text);
  validMs @4 :Float64;
}

struct StoreAgeQuery {
  callId @0 :UInt64;
  readNow @1 :Bool;
  contactOnly @2 :Bool;
}

struct StoreAgeReply {
  callId @0 :UInt64;
  ageMs @1 :UInt64;
  slowdownPercent @2 :UInt32 = 100;
}

struct HolderReleased {
  epoch @0 :UInt64;
  isHolder @1 :Bool;
  isSuccessor @2 :Bool;
}

struct EvacuationSeen {
  dataCentre @0 :Text;
  offset @1 :UInt64;
  isEvacuated @2 :Bool;
}

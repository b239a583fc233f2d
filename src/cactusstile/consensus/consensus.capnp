@0xc2a7f51e9b0d4e63;

struct Entry {
  index @0 :UInt64;
  term @1 :UInt64;
  kind @2 :UInt8;
  data @3 :Data;
}

struct VoteRequest {
  group @0 :Text;
  source @1 :Text;
  target @2 :Text;
  term @3 :UInt64;
  lastIndex @4 :UInt64;
  lastTerm @5 :UInt64;
  preVote @6 :Bool;
  transfer @7 :Bool;
}

struct VoteReply {
  group @0 :Text;
  source @1 :Text;
  target @2 :Text;
  term @3 :UInt64;
  granted @4 :Bool;
  preVote @5 :Bool;
}

struct AppendRequest {
  group @0 :Text;
  source @1 :Text;
  target @2 :Text;
  term @3 :UInt64;
  previousIndex @4 :UInt64;
  previousTerm @5 :UInt64;
  commitIndex @6 :UInt64;
  entries @7 :List(Entry);
}

struct AppendReply {
  group @0 :Text;
  source @1 :Text;
  target @2 :Text;
  term @3 :UInt64;
  accepted @4 :Bool;
  matchIndex @5 :UInt64;
}

struct Heartbeat {
  group @0 :Text;
  source @1 :Text;
  target @2 :Text;
  term @3 :UInt64;
  commitIndex @4 :UInt64;
  round @5 :Int64;
  sentAt @6 :Float64;
}

struct HeartbeatReply {
  group @0 :Text;
  source @1 :Text;
  target @2 :Text;
  term @3 :UInt64;
  round @4 :Int64;
  sentAt @5 :Float64;
}

struct SnapshotChunk {
  group @0 :Text;
  source @1 :Text;
  target @2 :Text;
  term @3 :UInt64;
  index @4 :UInt64;
  indexTerm @5 :UInt64;
  configuration @6 :Data;
  offset @7 :UInt64;
  total @8 :UInt64;
  data @9 :Data;
}

struct SnapshotReply {
  group @0 :Text;
  source @1 :Text;
  target @2 :Text;
  term @3 :UInt64;
  index @4 :UInt64;
  nextOffset @5 :UInt64;
}

struct CampaignNow {
  group @0 :Text;
  source @1 :Text;
  target @2 :Text;
  term @3 :UInt64;
}

struct Hello {
  group @0 :Text;
  name @1 :Text;
  incarnation @2 :UInt64;
  address @3 :Text;
}

@0xd81f63a0c5b7e249;

struct ReadFleet {
  knownRevision @0 :UInt64;
}

struct ReadRevision {
}

struct FleetRevision {
  revision @0 :UInt64;
  digest @1 :Data;
}

struct FeedDelta {
  baseRevision @0 :UInt64;
  revision @1 :UInt64;
  digest @2 :Data;
  body @3 :Data;
  whole @4 :Bool;
}

struct Claim {
  workspace @0 :Text;
  requestKey @1 :Text;
  contentDigest @2 :Data;
  incarnation @3 :UInt64;
  claimId @4 :Data;
  epoch @5 :UInt64;
}

struct ClaimReply {
  granted @0 :Bool;
  state @1 :Text;
  incarnation @2 :UInt64;
  claimId @3 :Data;
  outcome @4 :Text;
  answer @5 :Data;
  answerKept @6 :Bool;
  epoch @7 :UInt64;
}

struct FinishClaim {
  workspace @0 :Text;
  requestKey @1 :Text;
  claimId @2 :Data;
  outcome @3 :Text;
  answer @4 :Data;
}

struct CloseClaim {
  workspace @0 :Text;
  requestKey @1 :Text;
  contentDigest @2 :Data;
  epoch @3 :UInt64;
}

struct ReleaseClaim {
  workspace @0 :Text;
  requestKey @1 :Text;
  claimId @2 :Data;
}

struct ReadClaim {
  workspace @0 :Text;
  requestKey @1 :Text;
  contentDigest @2 :Data;
}

struct ClaimTick {
  elapsedMs @0 :UInt64;
}

struct TakeFence {
  target @0 :Text;
  takeId @1 :Data;
}

struct ReadFence {
  target @0 :Text;
}

struct FenceNumber {
  number @0 :UInt64;
}

struct ApplyChange {
  revision @0 :UInt64;
  baseRevision @1 :UInt64;
  digest @2 :Data;
  body @3 :Data;
  operator @4 :Text;
  atMs @5 :UInt64;
}

struct ApplyReply {
  outcome @0 :Text;
  revision @1 :UInt64;
  digest @2 :Data;
  operator @3 :Text;
  atMs @4 :UInt64;
}

struct ReadHistory {
  count @0 :UInt32;
}

struct ChangeRecord {
  revision @0 :UInt64;
  baseRevision @1 :UInt64;
  digest @2 :Data;
  operator @3 :Text;
  atMs @4 :UInt64;
  body @5 :Data;
}

struct History {
  records @0 :List(ChangeRecord);
}

struct ConfigurationImage {
  revision @0 :UInt64;
  body @1 :Data;
  digest @2 :Data;
  records @3 :List(ChangeRecord);
  revisions @4 :Data;
  digests @5 :Data;
  fences @6 :Data;
}

struct Subscribe {
  name @0 :Text;
  relayAddress @1 :Text;
  revision @2 :UInt64;
  relaysFull @3 :Bool;
}

struct FeedHeartbeat {
  revision @0 :UInt64;
  beacon @1 :UInt64;
}

struct FeedReport {
  name @0 :Text;
  revision @1 :UInt64;
  nodes @2 :UInt32;
  agents @3 :UInt32;
  current @4 :UInt32;
  missing @5 :List(Text);
  agentNames @6 :List(Text);
  hasAgentNames @7 :Bool;
}

struct ReadAgents {
}

struct AgentNames {
  names @0 :List(Text);
}

struct ReadInForce {
  revision @0 :UInt64;
}

struct InForce {
  nodes @0 :UInt32;
  agents @1 :UInt32;
  current @2 :UInt32;
  missing @3 :List(Text);
}

struct Beacon {
  number @0 :UInt64;
  revision @1 :UInt64;
}

struct GroupEnvelope {
  group @0 :Text;
  sender @1 :Text;
  number @2 :UInt16;
  payload @3 :Data;
}

struct ReadMembers {
  group @0 :Text;
}

struct MemberState {
  name @0 :Text;
  incarnation @1 :UInt64;
  address @2 :Text;
  voter @3 :Bool;
  syncedIndex @4 :UInt64;
  active @5 :Bool;
  joining @6 :Bool;
}

struct Members {
  group @0 :Text;
  leader @1 :Text;
  term @2 :UInt64;
  commitIndex @3 :UInt64;
  members @4 :List(MemberState);
}

struct ChangeMember {
  group @0 :Text;
  action @1 :Text;
  name @2 :Text;
}

struct MemberChanged {
  index @0 :UInt64;
}

struct ReadDump {
}

struct Dump {
  text @0 :Text;
}

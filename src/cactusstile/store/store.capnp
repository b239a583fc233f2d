@0xb7d1e0925c3fa684;

struct BlockScope {
  workspace @0 :Text;
  deployment @1 :Text;
  version @2 :Text;
  adapter @3 :Text;
}

struct Have {
  scope @0 :BlockScope;
  keys @1 :List(Data);
}

struct HaveReply {
  blocks @0 :UInt32;
  totalBytes @1 :UInt64;
}

struct Fetch {
  scope @0 :BlockScope;
  keys @1 :List(Data);
}

struct BlockPart {
  key @0 :Data;
  parent @1 :Data;
  position @2 :UInt32;
  generation @3 :UInt64;
  checksum @4 :Data;
  totalBytes @5 :UInt32;
  recomputeUs @6 :UInt32;
  offset @7 :UInt32;
  data @8 :Data;
}

struct FetchEnd {
  blocks @0 :UInt32;
}

struct Keep {
  scope @0 :BlockScope;
  upload @1 :UInt64;
  parts @2 :List(BlockPart);
}

struct KeepReply {
  parts @0 :UInt32;
  reason @1 :Text;
}

struct Free {
  workspace @0 :Text;
  deployment @1 :Text;
  version @2 :Text;
  key @3 :Data;
}

struct FreeReply {
  blocks @0 :UInt32;
}

@0xe2b64c1f97d03a58;

struct ReadTargetState {
}

struct LinkState {
  one @0 :Text;
  other @1 :Text;
  sentBytes @2 :UInt64;
  recentBytesPerS @3 :UInt64;
}

struct TargetState {
  revision @0 :UInt64;
  version @1 :Text;
  ready @2 :Bool;
  leaving @3 :Bool;
  running @4 :UInt32;
  slots @5 :UInt32;
  queued @6 :UInt32;
  queuedTokens @7 :UInt64;
  blocks @8 :UInt64;
  memoryBytes @9 :UInt64;
  memoryBoundBytes @10 :UInt64;
  diskBytes @11 :UInt64;
  diskBoundBytes @12 :UInt64;
  links @13 :List(LinkState);
}

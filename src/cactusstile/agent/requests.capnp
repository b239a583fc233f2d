@0xc3a6f1d27b904e55;

struct Probe {
  workspace @0 :Text;
  deployment @1 :Text;
  adapter @2 :Text;
  blockKeys @3 :List(Data);
  promptTokens @4 :UInt32;
  maxTokens @5 :UInt32;
  priority @6 :Int16;
  timeLeftMs @7 :UInt32;
  revision @8 :UInt64;
  reserve @9 :Bool;
  prefixKey @10 :Data;
}

struct ProbeReply {
  revision @0 :UInt64;
  version @1 :Text;
  residentBlocks @2 :UInt32;
  keptBlocks @3 :UInt32;
  queuedTokens @4 :UInt64;
  running @5 :UInt32;
  slots @6 :UInt32;
  waitMs @7 :UInt32;
  prefillMs @8 :UInt32;
  leaving @9 :Bool;
  reservation @10 :UInt64;
  blockBytes @11 :UInt64;
}

struct Run {
  requestKey @0 :Text;
  attempt @1 :UInt32;
  workspace @2 :Text;
  deployment @3 :Text;
  version @4 :Text;
  adapter @5 :Text;
  tokens @6 :List(UInt32);
  generated @7 :List(UInt32);
  maxTokens @8 :UInt32;
  priority @9 :Int16;
  timeLeftMs @10 :UInt32;
  repeatable @11 :Bool;
  revision @12 :UInt64;
  reservation @13 :UInt64;
  prefixKey @14 :Data;
}

struct Attach {
  requestKey @0 :Text;
  workspace @1 :Text;
  nextIndex @2 :UInt32;
}

struct RunTokens {
  firstIndex @0 :UInt32;
  tokens @1 :List(UInt32);
  text @2 :Text;
}

struct RunEnd {
  count @0 :UInt32;
  finishReason @1 :Text;
  version @2 :Text;
  promptTokens @3 :UInt32;
  residentTokens @4 :UInt32;
  importedTokens @5 :UInt32;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct ServiceCall {
  requestKey @0 :Text;
  attempt @1 :UInt32;
  workspace @2 :Text;
  service @3 :Text;
  method @4 :Text;
  path @5 :Text;
  headers @6 :List(Header);
  body @7 :Data;
  priority @8 :Int16;
  timeLeftMs @9 :UInt32;
  repeatable @10 :Bool;
  revision @11 :UInt64;
}

struct ServiceReply {
  status @0 :UInt16;
  headers @1 :List(Header);
  body @2 :Data;
}

struct Refused {
  verdict @0 :Text;
  reason @1 :Text;
  message @2 :Text;
  retryAfterMs @3 :UInt32;
  revision @4 :UInt64;
}

struct StoredRun {
  output @0 :RunTokens;
  end @1 :RunEnd;
}

struct Drain {
  leaving @0 :Bool;
}

struct DrainReply {
  leaving @0 :Bool;
  running @1 :UInt32;
}

@0xb5d1c4a8f0e94d11;

struct Hello {
  versions @0 :List(UInt16);
  role @1 :Text;
  name @2 :Text;
  incarnation @3 :UInt64;
  nonce @4 :Data;
}

struct Proof {
  version @0 :UInt16;
  mac @1 :Data;
}

struct CallError {
  code @0 :Text;
  message @1 :Text;
  detail @2 :Text;
}

struct Empty {
}

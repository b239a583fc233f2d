@0xb1f3c0a7d2e4968d;

struct AskMembership {
  memberId @0 :Text;
}

struct MembershipAnswer {
  isMember @0 :Bool;
}

struct NamedWeights {
  model @0 :Text;
  version @1 :UInt64;
}

struct ReplaceConfiguration {
  version @0 :UInt64;
  digest @1 :Data;
  document @2 :Data;
  sharing @3 :List(Text);
  isolated @4 :List(Text);
}

struct ConfigurationOutcome {
  outcome @0 :Text;
  version @1 :UInt64;
}

struct NameWeights {
  model @0 :Text;
  version @1 :UInt64;
}

struct WeightsOutcome {
  version @0 :UInt64;
}

struct SiteImage {
  version @0 :UInt64;
  digest @1 :Data;
  document @2 :Data;
  weights @3 :List(NamedWeights);
  holds @4 :List(Hold);
  released @5 :List(Hold);
  builds @6 :List(ServiceBuilds);
  evacuated @7 :List(Text);
  readmitted @8 :List(Text);
  sharedScope @9 :UInt64;
  sharers @10 :List(Text);
}

struct ServiceBuilds {
  service @0 :Text;
  builds @1 :List(Text);
  sinceMs @2 :UInt64;
}

struct Hold {
  id @0 :Text;
  keys @1 :List(Text);
  route @2 :Text;
  workspace @3 :Text;
  trials @4 :UInt32;
}

struct FindLeader {
}

struct LeaderFound {
  leader @0 :Text;
  control @1 :List(Text);
}

@0xc2a4d1b8e3f5079e;

struct NamedWeights {
  model @0 :Text;
  version @1 :UInt64;
}

struct GatewayMember {
  address @0 :Text;
  dataCentre @1 :Text;
  linkMbps @2 :Float64;
}

struct GatewayList {
  members @0 :List(GatewayMember);
}

struct Watch {
  knownVersion @0 :Int64;
  member @1 :GatewayMember;
  question @2 :UInt64;
}

struct ViewQuestion {
  number @0 :UInt64;
  urgent @1 :Bool;
}

struct ConfigurationInForce {
  version @0 :UInt64;
  document @1 :Data;
  sharedScope @2 :UInt64;
}

struct AnnouncedWeights {
  model @0 :Text;
  version @1 :UInt64;
  ageMs @2 :UInt32;
}

struct WeightsInForce {
  weights @0 :List(NamedWeights);
  announced @1 :List(AnnouncedWeights);
}

struct ListedTarget {
  id @0 :Text;
  bornMs @1 :Int64;
  service @2 :Text;
  address @3 :Text;
  dataCentre @4 :Text;
  slots @5 :UInt32;
  leaving @6 :Bool;
  coldS @7 :Float64;
  weights @8 :List(NamedWeights);
  swapping @9 :Bool;
  build @10 :Text;
}

struct TargetList {
  targets @0 :List(ListedTarget);
}

struct KeptPart {
  salt @0 :Text;
  id @1 :Text;
  tokens @2 :UInt32;
}

struct StoreUpdate {
  address @0 :Text;
  open @1 :Bool;
  fetchUntilMs @2 :Float64;
  whole @3 :Bool;
  changes @4 :List(KeptPart);
  retiredTokens @5 :UInt32;
}

struct StoreUpdates {
  stores @0 :List(StoreUpdate);
}

struct CompressedStoreUpdates {
  data @0 :Data;
}

struct TargetLoad {
  id @0 :Text;
  inflight @1 :UInt32;
  unreadTokens @2 :UInt32;
  tokens @3 :UInt32;
}

struct SentPart {
  id @0 :Text;
  tokens @1 :UInt32;
}

struct SentPrompt {
  target @0 :Text;
  salt @1 :Text;
  parts @2 :List(SentPart);
}

struct ObservedFetch {
  source @0 :Text;
  tokens @1 :UInt32;
  ratio @2 :Float64;
}

struct GatewayLoad {
  gateway @0 :Text;
  sequence @1 :UInt64;
  targets @2 :List(TargetLoad);
  prompts @3 :List(SentPrompt);
  fetches @4 :List(ObservedFetch);
}

struct RelayedLoad {
  relay @0 :Text;
  targets @1 :List(TargetLoad);
  prompts @2 :List(SentPrompt);
  fetches @3 :List(ObservedFetch);
}

struct IncludedReport {
  gateway @0 :Text;
  sequence @1 :UInt64;
}

struct SiteLoad {
  relay @0 :Text;
  targets @1 :List(TargetLoad);
  included @2 :List(IncludedReport);
  prompts @3 :List(SentPrompt);
  fetches @4 :List(ObservedFetch);
}

struct BegunStream {
  id @0 :Text;
  service @1 :Text;
  build @2 :Text;
}

struct BegunStreams {
  gateway @0 :Text;
  streams @1 :List(BegunStream);
}

struct FindStream {
  gateway @0 :Text;
  id @1 :Text;
}

struct Confirmation {
  listAgeMs @0 :UInt32;
  control @1 :List(Text);
  question @2 :UInt64;
  version @3 :Int64;
}

struct TargetEnd {
  target @0 :Text;
  request @1 :Text;
  parts @2 :List(Text);
  ageMs @3 :UInt32;
  ranMs @4 :UInt32;
}

struct AnsweredKey {
  key @0 :Text;
  ageMs @1 :UInt32;
}

struct EndEvidence {
  ends @0 :List(TargetEnd);
  answered @1 :List(AnsweredKey);
}

struct TargetLimitNotice {
  target @0 :Text;
  isLimited @1 :Bool;
  perS @2 :Float64;
  ageMs @3 :UInt32;
}

struct Hold {
  id @0 :Text;
  keys @1 :List(Text);
  route @2 :Text;
  workspace @3 :Text;
  trials @4 :UInt32;
}

struct HoldInForce {
  hold @0 :Hold;
  ageMs @1 :UInt32;
}

struct HoldsInForce {
  holds @0 :List(HoldInForce);
  released @1 :List(HoldInForce);
}

struct ReportHold {
  hold @0 :Hold;
}

struct ReleaseHold {
  id @0 :Text;
}

struct BeginTrial {
  id @0 :Text;
  number @1 :UInt32;
}

struct HoldOutcome {
  isDone @0 :Bool;
}

struct ServiceBuilds {
  service @0 :Text;
  builds @1 :List(Text);
  sinceMs @2 :UInt64;
}

struct AgedBuilds {
  service @0 :Text;
  builds @1 :List(Text);
  ageMs @2 :UInt32;
}

struct BuildsInForce {
  services @0 :List(AgedBuilds);
}

struct RecordBuilds {
  services @0 :List(ServiceBuilds);
}

struct BuildsRecorded {
  count @0 :UInt32;
}

struct BeginEvacuation {
  dataCentre @0 :Text;
}

struct EndEvacuation {
  dataCentre @0 :Text;
}

struct EvacuationOutcome {
  isDone @0 :Bool;
}

struct EndedEvacuation {
  dataCentre @0 :Text;
  ageMs @1 :UInt32;
}

struct EvacuationsInForce {
  dataCentres @0 :List(Text);
  ended @1 :List(EndedEvacuation);
}

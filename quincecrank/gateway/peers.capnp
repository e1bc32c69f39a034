@0xb1f0c2a9d7e45c13;

# Datagrams between gateways.

struct TableState {
  name @0 :Text;
  newsVersion @1 :UInt64;
  # Milliseconds since the store's last answer; the largest value without any.
  ageMs @2 :UInt32 = 0xffffffff;
  # Era of newsVersion; releases without eras omit it.
  newsEra @3 :UInt16;
}

struct ServerLoad {
  server @0 :Text;
  requests @1 :UInt32;
  memoryTokens @2 :UInt32;
  prefillTokens @3 :UInt32;
}

struct Crash {
  account @0 :Text;
  digest @1 :Data;
  attempt @2 :Text;
  wallMs @3 :UInt64;
  cleared @4 :Bool;
  server @5 :Text;
}

struct WeightNews {
  server @0 :Text;
  startedWallMs @1 :UInt64;
  model @2 :Text;
  version @3 :UInt32;
  isLoaded @4 :Bool;
}

struct NamedWeights {
  model @0 :Text;
  version @1 :UInt32;
  ageMs @2 :UInt32;
}

# The total load of one gateway on one server, sent when it changes substantially.
struct LoadChange {
  vm @0 :Text;
  load @1 :ServerLoad;
}

# A gateway's fitted model of the response times of a service.
struct ServiceTimes {
  service @0 :Text;
  baseMs @1 :Float32;
  tokenMs @2 :Float32;
  backlogTokenMs @3 :Float32;
  runningMs @4 :Float32;
  transferShare @5 :Float32;
  spreadMs @6 :Float32;
  answers @7 :Float32;
}

# One start of a backend server.
struct Incarnation {
  server @0 :Text;
  startedWallMs @1 :UInt64;
}

struct Pause {
  server @0 :Incarnation;
  leftMs @1 :UInt32;
}

# A rejected request, and the time since its first attempt.
struct TurnedAway {
  key @0 :UInt64;
  ageMs @1 :UInt32;
}

struct Report {
  vm @0 :Text;
  isLeaving @1 :Bool;
  tables @2 :List(TableState);
  loads @3 :List(ServerLoad);
  crashes @4 :List(Crash);
  weightNews @5 :List(WeightNews);
  named @6 :List(NamedWeights);
  times @7 :List(ServiceTimes);
  leaving @8 :List(Incarnation);
  pauses @9 :List(Pause);
  turnedAway @10 :List(TurnedAway);
}

struct Datagram {
  union {
    report @0 :Report;
    loadChange @1 :LoadChange;
  }
}

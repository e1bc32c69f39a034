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
  # An equal request was answered since; sent by earlier releases only.
  cleared @4 :Bool;
  server @5 :Text;
  ageMs @6 :UInt32;
  # Time from the send to the crash.
  ranMs @7 :UInt32;
  # Shared parts of the prompt, in order.
  parts @8 :List(Text);
}

# A suspect of crashes that was answered.
struct AnsweredSuspect {
  key @0 :Text;
  ageMs @1 :UInt32;
}

# A suspect whose requests are rejected, or no longer.
struct CrashFinding {
  key @0 :Text;
  # Empty for all accounts.
  account @1 :Text;
  revision @2 :UInt32;
  hasEnded @3 :Bool;
  retests @4 :UInt16;
  ageMs @5 :UInt32;
  servers @6 :List(Text);
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

# Latest evidence that a server has ended or lives; the largest value without any.
struct Liveness {
  server @0 :Incarnation;
  refusedAgeMs @1 :UInt32 = 0xffffffff;
  aliveAgeMs @2 :UInt32 = 0xffffffff;
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

# The rate limit of a backend server, and the reporting gateway's view of its issuer.
struct RateLimit {
  server @0 :Incarnation;
  perSecond @1 :Float64;
  hasEnded @2 :Bool;
  revision @3 :UInt32;
  answerAgeMs @4 :UInt32;
  # Issuer that the reporting gateway supports; empty for none.
  issuer @5 :Text;
  # Wait for a permit, if the reporting gateway is the issuer; else the largest value.
  waitMs @6 :UInt32 = 0xffffffff;
}

struct PermitAsk {
  server @0 :Incarnation;
  wanted @1 :UInt16;
  rank @2 :UInt16;
  waitedMs @3 :UInt32;
  # On the clock of the asking gateway; a grant repeats it.
  askedMs @4 :UInt64;
  # Permits that the gateway returns unused.
  returned @5 :UInt16;
}

struct PermitGrant {
  server @0 :Incarnation;
  count @1 :UInt16;
  askedMs @2 :UInt64;
  number @3 :UInt32;
  isTrial @4 :Bool;
}

# Sent only to gateways whose reports have issuesPermits.
struct Permits {
  vm @0 :Text;
  asks @1 :List(PermitAsk);
  grants @2 :List(PermitGrant);
}

# Streams that began at one software version of a service.
struct StreamRecords {
  service @0 :Text;
  softwareVersion @1 :Text;
  # Keys of 8 bytes each, little-endian.
  keys @2 :Data;
}

# A backend server that is cold or was so lately, and the reporting gateway's view of
# the issuer of its permits.
struct ColdServer {
  server @0 :Incarnation;
  # Report of the server from which the state is known.
  reportNumber @1 :UInt64;
  # Whether the server is presumed to have become cold after that report.
  isPresumed @2 :Bool;
  remainingMs @3 :UInt32;
  # As in RateLimit.
  issuer @4 :Text;
  waitMs @5 :UInt32 = 0xffffffff;
}

# The last order to an engine, of the reporting gateway or of a holder before it.
struct EngineOrder {
  server @0 :Text;
  ageMs @1 :UInt32;
}

# Terms of the order lease that have ended at the reporting gateway, see
# lease_handover.py.  Without terms it says nothing.
struct LeaseHandover {
  terms @0 :List(UInt64);
  # Era and version in one number.
  position @1 :UInt64;
  orders @2 :List(EngineOrder);
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
  rateLimits @11 :List(RateLimit);
  permitAsks @12 :List(PermitAsk);
  # Whether the gateway shares rate limits by permits; earlier releases don't.
  issuesPermits @13 :Bool;
  answered @14 :List(AnsweredSuspect);
  findings @15 :List(CrashFinding);
  streams @16 :List(StreamRecords);
  # Servers that refused a connection of the reporting gateway, for earlier releases.
  refused @17 :List(Incarnation);
  liveness @18 :List(Liveness);
  # Whether the gateway takes changes of tables; earlier releases fetch all rows.
  takesChanges @19 :Bool;
  # Version of the configuration in force, 0 for none, and the time since the first
  # gateway had it.
  configurationVersion @20 :UInt64;
  configurationAgeMs @21 :UInt32 = 0xffffffff;
  # Whether the event loop runs late, so that others should read the store.
  isLate @22 :Bool;
  coldServers @23 :List(ColdServer);
  # Whether the gateway decodes packedFigures; earlier releases don't.
  takesPackedFigures @24 :Bool;
  # See packed_figures.py.  Sent instead of the fields that it replaces, to peers that
  # take it.
  packedFigures @25 :Data;
  leaseHandover @26 :LeaseHandover;
  # See shared_demand.py.  Sent by gateways that share admission.
  sharedDemand @27 :Data;
}

struct ChangedRow {
  # UTF-8, with unpaired surrogates as other writers may use them.
  key @0 :Data;
  version @1 :UInt64;
  isRemoved @2 :Bool;
  hasBase @3 :Bool;
  baseVersion @4 :UInt64;
  content @5 :Data;
}

# Significant rows of a table after previousVersion up to version, all of one era.
struct TableChange {
  table @0 :Text;
  era @1 :UInt16;
  previousVersion @2 :UInt64;
  version @3 :UInt64;
  # Time since the first gateway had it.
  ageMs @4 :UInt32;
  rows @5 :List(ChangedRow);
}

struct Datagram {
  union {
    report @0 :Report;
    loadChange @1 :LoadChange;
    permits @2 :Permits;
    tableChange @3 :TableChange;
  }
}

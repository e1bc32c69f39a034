@0xd1c35a0b7e2f4a61;
# Messages between quincecrank's processes.
#
# A connection is a TCP stream of packets: length (4 bytes, little endian),
# authentication tag (16 bytes), payload. The payload is one Packet. See wire.py.

struct Packet {
  union {
    hello @0 :Hello;
    proof @1 :Proof;
    heartbeat @2 :Heartbeat;
    open @3 :OpenStream;
    cancel @4 :CancelStream;
    frames @5 :FrameBatch;
    call @6 :Call;
    reply @7 :Reply;
    goodbye @8 :Void;           # sender accepts no new streams, receiver closes
  }
}

enum Role {
  entry @0;
  agent @1;
}

struct Hello {
  # First packet of both ends, not yet authenticated.
  role @0 :Role;
  name @1 :Text;              # VM name
  incarnation @2 :Text;       # unique to each start of the process
  fencingNumber @3 :UInt64;   # of an agent; 0 for an entry or before registration
  nonce @4 :Data;
  backendServer @5 :Text;
  deployment @6 :Text;
  dataCentre @7 :Text;
}

struct Proof {
  # Second packet of both ends: HMAC over both hellos under the fleet secret.
  digest @0 :Data;
}

struct Heartbeat {
  sentMs @0 :Int64;
  configurationVersion @1 :UInt64;
  load @2 :Load;
}

struct Load {
  # State of an agent's backend server; all zero in heartbeats of entries.
  accepting @0 :Bool;
  running @1 :UInt32;
  waiting @2 :UInt32;
  queuedTokens @3 :UInt64;
  weightVersion @4 :Text;
  adapters @5 :List(Text);
  healthy @6 :Bool;
  maxConcurrent @7 :UInt32;
  prefillTokensPerSecond @8 :Float64;
  cacheBlocks @9 :UInt32;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct OpenStream {
  stream @0 :UInt32;          # chosen by the entry, unique on the connection
  requestId @1 :Text;
  attemptId @2 :Text;
  account @3 :Text;
  deployment @4 :Text;
  configurationVersion @5 :UInt64;
  deadlineMs @6 :Int32;       # time until the deadline when the packet was sent
  priority @7 :Int32;
  idempotencyKey @8 :Text;    # empty: none
  fingerprint @9 :Data;       # digest of the request
  idempotent @10 :Bool;
  union {
    completion @11 :Completion;
    plainCall @12 :PlainCall;
  }
  suspect @13 :Bool;          # was in flight at an earlier crash; runs while no
                              # other suspect does
}

struct Completion {
  prompt @0 :Data;            # UTF-8
  maxTokens @1 :UInt32;
  weightVersion @2 :Text;
  adapter @3 :Text;
  cacheSalt @4 :Text;
  blockKeys @5 :List(Data);
  restore @6 :List(StoredBlock);  # blocks to import from stores before the run
  chat @7 :Bool;
  model @8 :Text;
  resumeAfter @9 :UInt32;
  stream @10 :Bool;
  includeUsage @12 :Bool;
  keep @11 :List(StoredBlock);    # blocks to write to stores after the run
  sampling @13 :Text;             # JSON of token_sampling.Sampling, empty: default
}

struct StoredBlock {
  index @0 :UInt32;           # position in the prompt
  store @1 :Text;             # name of the store VM
  objectName @2 :Text;
  tier @3 :Text;
}

struct PlainCall {
  method @0 :Text;
  path @1 :Text;
  headers @2 :List(Header);
  body @3 :Data;
}

struct CancelStream {
  stream @0 :UInt32;
}

struct FrameBatch {
  frames @0 :List(Frame);
}

struct Frame {
  stream @0 :UInt32;
  number @1 :UInt32;          # counts from 0 without gaps
  union {
    data @2 :Data;            # bytes for the caller
    head @3 :Head;            # first frame of a plain call
    end @4 :End;              # last frame
    refusal @5 :Refusal;      # last frame of a stream that has no answer
  }
}

struct Head {
  status @0 :UInt16;
  headers @1 :List(Header);
}

struct End {
  frames @0 :UInt32;          # number of frames before this one
  promptTokens @1 :UInt32;
  cachedTokens @2 :UInt32;
  restoredTokens @3 :UInt32;
  completionTokens @4 :UInt32;
  weightVersion @5 :Text;
  queueMs @6 :UInt32;
  restoreMs @7 :UInt32;
  firstTokenMs @8 :UInt32;
  linkBytes @9 :UInt64;
}

struct Refusal {
  kind @0 :Text;              # value of problems.ProblemKind
  ran @1 :Text;               # value of problems.Ran
  detail @2 :Text;
  retryAfterMs @3 :UInt32;
}

struct Call {
  # A request between processes that is answered by one Reply.
  call @0 :UInt32;
  method @1 :Text;            # value of rpc.Method
  body @2 :Data;              # JSON of the method's model
}

struct Reply {
  call @0 :UInt32;
  error @1 :Text;             # empty: no error
  body @2 :Data;
}

# What nodes of the mesh say to one another.
#
# The generated code is committed. After a change run, with capnp 0.9 or later and
# `cargo install capnpc --version 0.27` at hand:
#   capnp compile -orust:src/transport/peers --src-prefix=schema schema/mesh.capnp
#
# Rules for changes, so that two releases run side by side: fields are only added, numbers are
# never reused, and a new meaning of an old field needs a new protocol version in the hello.

@0xd3a6b1f0c2975e48;

# Known to the generator for Rust by its identity: where the generated module stands.
annotation parentModule @0xabee386cd1450364 (file) :Text;
$parentModule("transport::peers");

struct CallId { high @0 :UInt64; low @1 :UInt64; }
struct AttemptId { call @0 :CallId; number @1 :UInt16; }
struct Header { name @0 :Text; value @1 :Data; }

struct Member {
  name @0 :Text;
  incarnation @1 :UInt64;
  service @2 :Text;
  region @3 :Text;
  availabilityZone @4 :Text;
  peerAddress @5 :Text;
  operatorAddress @6 :Text;
  slots @7 :UInt16;
}

struct CallAttempt {
  id @0 :AttemptId;
  service @1 :Text;
  class @2 :Text;
  method @3 :Text;
  target @4 :Text;
  headers @5 :List(Header);
  body @6 :Data;
  # Relative: clocks of two nodes can't be compared.
  timeLeftMicros @7 :UInt64;
  key :union { none @8 :Void; uuid @9 :CallId; }
  depth @10 :UInt8;
}

enum UpstreamCondition { down @0; warming @1; serving @2; draining @3; }

struct LoadReport {
  running @0 :UInt16;
  queued @1 :UInt16;
  limit @2 :UInt16;
  latencyMicros @3 :UInt32;
  errorsPermille @4 :UInt16;
  condition @5 :UpstreamCondition;
}

enum RefusalReason {
  noUpstream @0; queueFull @1; deadlineTooShort @2; deadlinePassed @3; draining @4;
  upstreamDown @5; upstreamShed @6; notSent @7; cancelled @8; tooDeep @9; retryBudget @10;
  notOwner @11; unknownClass @12; keyMissing @13; keyInvalid @14; keyReused @15;
}

enum UnknownCause {
  upstreamCut @0; deadlinePassed @1; nodeLost @2; cancelled @3; badAnswer @4; keyTooOld @5;
  answerNotHeld @6; keyUnsettled @7;
}

struct Refusal {
  reason @0 :RefusalReason;
  advice :union { elsewhere @1 :Void; afterMicros @2 :UInt64; never @3 :Void; }
}

struct UpstreamAnswer { status @0 :UInt16; headers @1 :List(Header); body @2 :Data; }

struct AttemptResult {
  load @0 :LoadReport;
  outcome :union {
    answered @1 :UpstreamAnswer;
    notRun @2 :Refusal;
    unknown @3 :UnknownCause;
  }
}

# A request that was not understood, and so was not acted upon.
enum RequestFault { malformed @0; tooLarge @1; }

struct ExecuteReply { union { result @0 :AttemptResult; fault @1 :RequestFault; } }

enum Settlement { neverRuns @0; ran @1; unknown @2; }

enum DeclaredState { joining @0; serving @1; draining @2; }
enum Health { alive @0; suspected @1; dead @2; }

struct Rumour {
  name @0 :Text;
  incarnation @1 :UInt64;
  revision @2 :UInt32;
  declared @3 :DeclaredState;
  health @4 :Health;
  # Who suspects; empty otherwise.
  suspectedBy @5 :Text;
  # Null when the receiver is taken to know it.
  description @6 :Member;
}

struct LogKnowledge {
  configurationVersion @0 :UInt64;
  offset @1 :UInt64;
  ageMillis @2 :UInt64;
}

struct StateShare {
  union {
    none @0 :Void;
    snapshot @1 :Data;
    records @2 :List(Data);
  }
  # Snapshot: state as of this offset. Records: offset of the first one.
  offset @3 :UInt64;
}

struct Gossip {
  # The sender's own state.
  incarnation @0 :UInt64;
  revision @1 :UInt32;
  declared @2 :DeclaredState;
  # Digest of the sender's table of members.
  digest @3 :UInt64;
  log @4 :LogKnowledge;
  rumours @5 :List(Rumour);
  # Digests of all buckets of the table, when the tables differ.
  buckets @6 :List(UInt64);
  # Buckets whose members the receiver should send back.
  wantedBuckets @7 :List(UInt8);
  # Names whose descriptions the receiver should send back.
  wantedDescriptions @8 :List(Text);
  wantsState :union { no @9 :Void; afterOffset @10 :UInt64; }
  state @11 :StateShare;
}

# One key that its former owner knew, and how its run ended.
struct HeldKey {
  key @0 :CallId;
  fingerprint @1 :Data;
  end :union { ranWithoutAnswer @2 :Void; unknown @3 :Void; answered @4 :UpstreamAnswer; }
}

# All that the sender knew of a slot that `epoch` took from it. The sender is the proven node.
struct SlotHandover {
  epoch @0 :UInt64;
  slot @1 :UInt16;
  floorMillis @2 :UInt64;
  keys @3 :List(HeldKey);
}

enum HandoverAnswer { taken @0; early @1; stale @2; }

struct Greeting {
  minVersion @0 :UInt16;
  maxVersion @1 :UInt16;
  member @2 :Member;
  nonce @3 :Data;
}

enum HelloRefusal { version @0; wrongKey @1; malformed @2; busy @3; }

struct Welcome {
  greeting @0 :Greeting;
  # HMAC-SHA256 by the accepting node.
  proof @1 :Data;
  session @2 :Session;
}

struct HelloReply {
  union { welcome @0 :Welcome; refused @1 :HelloRefusal; }
  # What the accepting node speaks, so that a refused one can say what is missing.
  minVersion @2 :UInt16;
  maxVersion @3 :UInt16;
}

struct ProveReply { union { mesh @0 :Mesh; refused @1 :HelloRefusal; } }

# The only capability a connection starts with.
interface Door {
  hello @0 (greeting :Greeting) -> (reply :HelloReply);
}

# A connection whose accepting side has proven itself.
interface Session {
  # `mesh` lets the accepting node call back on the same connection.
  prove @0 (proof :Data, mesh :Mesh) -> (reply :ProveReply);
}

# `stamp` is the sender's causal stamp, of the request and of the answer. Zero from a release that
# knows no stamps.
interface Mesh {
  execute @0 (attempt :CallAttempt, stamp :UInt64) -> (reply :ExecuteReply, stamp :UInt64);
  executeKeyed @1 (attempt :CallAttempt, stamp :UInt64) -> (reply :ExecuteReply, stamp :UInt64);
  cancel @2 (attempt :AttemptId, stamp :UInt64) -> (settlement :Settlement, stamp :UInt64);
  settle @3 (attempt :AttemptId, stamp :UInt64) -> (settlement :Settlement, stamp :UInt64);
  probe @4 (stamp :UInt64) -> (load :LoadReport, stamp :UInt64);
  gossip @5 (gossip :Gossip, stamp :UInt64) -> (gossip :Gossip, stamp :UInt64);
  handOver @6 (handover :SlotHandover, stamp :UInt64) -> (answer :HandoverAnswer, stamp :UInt64);
  # Whether the asked owner keeps the owners of `epoch` as they are for one lease length.
  promise @7 (epoch :UInt64, stamp :UInt64) -> (given :Bool, stamp :UInt64);
}

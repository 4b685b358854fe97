//! Named constants shared by several modules.

use std::time::Duration;

/// Header that names the outcome of a call to its caller.
pub const OUTCOME_HEADER: &str = "camphorturn-outcome";
/// Header with the reason of a refusal or of an unknown outcome.
pub const REASON_HEADER: &str = "camphorturn-reason";
/// Header with the identity of the call.
pub const CALL_HEADER: &str = "camphorturn-call";
/// Header with the node that the caller reached.
pub const NODE_HEADER: &str = "camphorturn-node";
/// Header with the upstream that answered.
pub const UPSTREAM_HEADER: &str = "camphorturn-upstream";
/// Header with the time after which a refused call may be repeated, in milliseconds.
pub const RETRY_AFTER_MS_HEADER: &str = "camphorturn-retry-after-ms";
/// Header with the time left, in milliseconds; read from callers and sent to upstreams.
pub const DEADLINE_HEADER: &str = "camphorturn-deadline-ms";
/// Header with the number of calls above this one in a chain.
pub const DEPTH_HEADER: &str = "camphorturn-depth";
/// Header with the caller's idempotency key, a version 7 UUID.
pub const KEY_HEADER: &str = "idempotency-key";
/// Start of every header name that callers may not set, but for the ones documented for them.
pub const INTERNAL_HEADER_PREFIX: &str = "camphorturn-";
/// An upstream answers 503 with this header set to `not-run` when it refused before running.
pub const UPSTREAM_SHED_HEADER: &str = "camphorturn-shed";
/// Value of [`UPSTREAM_SHED_HEADER`].
pub const UPSTREAM_SHED_VALUE: &str = "not-run";
/// Longest chain of calls between services.
pub const MAX_DEPTH: u8 = 8;
/// Largest request or answer body that is carried, in bytes, unless the settings say otherwise.
pub const DEFAULT_BODY_LIMIT: usize = 8 * 1024 * 1024;
/// Largest head (request line and headers) taken from a caller or upstream, in bytes.
pub const HEAD_LIMIT: usize = 32 * 1024;
/// How long a node waits for peers before it takes a connection as broken.
pub const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Oldest protocol version between nodes that this release speaks.
pub const PEER_VERSION_MIN: u16 = 1;
/// Newest protocol version between nodes that this release speaks.
pub const PEER_VERSION_MAX: u16 = 1;
/// Bytes of each side's random challenge in the hello between nodes.
pub const PEER_NONCE_BYTES: usize = 32;
/// Connections of other nodes that may be in the middle of their hello at once.
pub const PEER_HELLO_LIMIT: usize = 256;
/// First pause after a failed connect to another node; doubled by each further failure.
pub const PEER_BACKOFF_MIN: Duration = Duration::from_millis(50);
/// Longest pause after failed connects to another node.
pub const PEER_BACKOFF_MAX: Duration = Duration::from_secs(2);
/// How long a node waits for a peer's word on a short request (probe, settle, cancel, gossip).
pub const PEER_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// What a message between nodes may hold beside its body, in bytes.
pub const PEER_MESSAGE_MARGIN: usize = 1024 * 1024;
/// Buffer of each direction of a connection between nodes, in bytes.
pub const PEER_BUFFER: usize = 8 * 1024;
/// Longest name (node, service, class, zone, region) taken from another node, in bytes.
pub const NAME_LIMIT: usize = 128;
/// Most headers taken from another node in one message.
pub const HEADER_COUNT_LIMIT: usize = 256;
/// Most entries of any list in a gossip taken from another node.
pub const GOSSIP_LIST_LIMIT: usize = 1_000;
/// Failed checks in a row after which an upstream that also answers no calls is taken as down.
pub const MAX_CHECK_FAILURES: u16 = 3;

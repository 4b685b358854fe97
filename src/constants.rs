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
/// Longest chain of calls between services.
pub const MAX_DEPTH: u8 = 8;
/// Largest request or answer body that is carried, in bytes, unless the settings say otherwise.
pub const DEFAULT_BODY_LIMIT: usize = 8 * 1024 * 1024;
/// Largest head (request line and headers) taken from a caller or upstream, in bytes.
pub const HEAD_LIMIT: usize = 32 * 1024;
/// How long a node waits for peers before it takes a connection as broken.
pub const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

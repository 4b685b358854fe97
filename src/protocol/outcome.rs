//! Why a request was not executed, or why it is unknown whether it was.
//!
//! Nodes exchange these reasons by their serialized names, and log events hold them. A variant whose name in the
//! code differs keeps its serialized name with `serde(rename)`.

use serde::{Deserialize, Serialize};

/// Why a request was not executed. Each reason guarantees that this attempt did not run and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// No upstream of the service is known, or the node has no configuration yet.
    NoUpstream,
    /// No route of the configuration in force matches, and the node knows that a newer configuration exists.
    ConfigurationBehind,
    /// Other nodes have had a newer configuration than this node for longer than is allowed.
    ConfigurationOverdue,
    /// No slot becomes free early enough for the request to end in time.
    QueueFull,
    /// The request can't end before its deadline any more.
    DeadlineTooShort,
    /// The deadline passed while the request waited for a slot.
    DeadlinePassed,
    /// Operators have evacuated the upstream's availability zone, or all zones of the service.
    Evacuated,
    /// The upstream is leaving, or the node is stopping.
    Draining,
    /// The upstream has not announced itself, or is unreachable.
    UpstreamDown,
    /// The upstream refused the request and stated that it did not execute it.
    UpstreamShed,
    /// No connection could be opened, or it ended before any byte of the request was written to it.
    NotSent,
    /// The local upstream of the node that was asked belongs to another service.
    #[serde(rename = "unknown_class")]
    ServiceMismatch,
    /// The attempt is a retry, and the calls that it would make again exceed the retry budget that operators allow.
    #[serde(rename = "repeats_spent")]
    RetryBudgetExhausted,
    /// The upstream has more requests than it can execute, and most calls that this one would make are rejected.
    CallsRejected,
    /// Upstreams have crashed while they ran requests with the same fingerprint.
    Quarantined,
    /// The organisation has sent more requests than its quota permits.
    QuotaExceeded,
    /// The node can't tell whether the request's API key is still valid: it has been cut off for too long, or a key of the
    /// organisation was withdrawn while the request waited there.
    KeysExpired,
    /// The upstream is ejected, since it fails requests, and the request is no trial.
    UpstreamFailing,
}

impl RefusalReason {
    /// Whether the reason holds for every request of the service at that node, not only for the refused one. Such a
    /// node gets no requests for a while.
    #[must_use]
    pub const fn is_node_wide(self) -> bool {
        matches!(
            self,
            Self::Draining
                | Self::Evacuated
                | Self::UpstreamDown
                | Self::ServiceMismatch
                | Self::NotSent
                | Self::UpstreamFailing
        )
    }
}

/// Why it is unknown whether a request was executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UnknownCause {
    /// The connection to the upstream ended after the request was sent on it and before the answer.
    #[serde(rename = "upstream_cut")]
    UpstreamDisconnected,
    /// The upstream process ended while it ran the request.
    UpstreamCrashed,
    /// The deadline passed while the upstream ran the request.
    DeadlinePassed,
    /// The connection to the upstream's node broke.
    NodeLost,
    /// The answer was malformed, truncated, too large or that of another request.
    BadAnswer,
    /// The node that received the request from the client ended before the answer.
    NodeStopping,
}

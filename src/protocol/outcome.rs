//! Why a request was not run, or why it can't be told whether it was.

use serde::{Deserialize, Serialize};

/// Why a request was not run. All of them prove that it did not and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// No upstream of the service is known, or no configuration is.
    NoUpstream,
    /// No route leads anywhere by the configuration in force, and the node has heard of a newer one.
    ConfigurationBehind,
    /// Other nodes have long had a newer configuration than the one in force here.
    ConfigurationOverdue,
    /// No slot is free in time.
    QueueFull,
    /// It can't end in time any more.
    DeadlineTooShort,
    /// The deadline passed while it waited for a slot.
    DeadlinePassed,
    /// Operators have evacuated the upstream's availability zone, or all zones of the service.
    Evacuated,
    /// The upstream is leaving, or the node is stopping.
    Draining,
    /// The upstream has not announced itself, or can't be reached.
    UpstreamDown,
    /// The upstream refused it, saying that it did not run it.
    UpstreamShed,
    /// No connection was opened, or no byte was handed to it.
    NotSent,
    /// The node's upstream is not of the service.
    UnknownClass,
    /// It would be a repeat, and the calls that it makes again are not within what operators allow.
    #[serde(rename = "repeats_spent")]
    RetryBudgetExhausted,
    /// Upstreams that ran a request for the same thing have crashed.
    Quarantined,
}

impl RefusalReason {
    /// Whether the node that refused so takes no work at all for a while.
    #[must_use]
    pub const fn is_node_wide(self) -> bool {
        matches!(
            self,
            Self::Draining
                | Self::Evacuated
                | Self::UpstreamDown
                | Self::UnknownClass
                | Self::NotSent
        )
    }
}

/// Why it can't be told whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UnknownCause {
    /// The connection to the upstream broke after the request was handed to it.
    #[serde(rename = "upstream_cut")]
    UpstreamDisconnected,
    /// The upstream ended while it ran the request.
    UpstreamCrashed,
    /// The deadline passed while the upstream ran it.
    DeadlinePassed,
    /// The connection to the node beside the upstream broke.
    NodeLost,
    /// The upstream's answer was malformed, cut short, too large or another request's.
    BadAnswer,
}

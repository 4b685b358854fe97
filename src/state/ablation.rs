//! Switches that disable one mechanism of a node, to compare the load balancer with and without it.
//!
//! They aren't settings: without the feature `ablation`, which no shipped build has, each switch is a constant and compiles
//! to nothing. With the feature, the environment variable `CAMPHORTURN_WITHOUT` names the mechanism to disable.
//! `docs/design/decisions-under-load.md` describes how it is used.

/// A mechanism that can be disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mechanism {
    /// Asks the upstream how much its VM is slowed down before a request is started there.
    SlowdownProbes,
    /// Ranks a node lower if its upstream fails more requests than others.
    FailurePenalty,
    /// Ranks a node lower while it leaves requests unanswered.
    SilencePenalty,
    /// Sends nothing to a node for a while after it could not be reached or refused work.
    NodeBackoff,
    /// Sets `Retry-After` of a refusal to the time when the queue will have been worked off, instead of to the minimum.
    RetryAfterEstimate,
    /// Sends a non-idempotent request only on a recently used or new connection.
    FreshConnections,
    /// Sends a request to a second upstream after the first one failed.
    Retries,
    /// Sends a late idempotent request to a second upstream while the first is still working on it.
    Hedging,
    /// Orders waiting requests by their priority.
    Priorities,
    /// Asks nodes of other availability zones for a slot.
    CrossZoneRequests,
    /// Prefers nodes of the local availability zone while they answer soon enough.
    LocalZonePreference,
    /// Reuses the completion time that a node reported with a refusal for a while, instead of asking the node again.
    ReportedRefusals,
    /// Lets fewer requests run at the upstream than it has slots.
    SlotLimit,
    /// Has two nodes of an availability zone read the store on behalf of the others.
    StoreReaders,
    /// Keeps a request that crashes upstreams away from all of them.
    Quarantine,
    /// Shares the slots of an upstream among organisations instead of starting requests in order of arrival.
    FairShares,
    /// Refuses requests at upstreams with a request limit as soon as their turn is forecast beyond their deadline.
    EarlyRefusals,
    /// Refuses requests at a full upstream if their calls would be rejected.
    CallAdmission,
}

impl Mechanism {
    /// The value of `CAMPHORTURN_WITHOUT` that disables the mechanism.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::SlowdownProbes => "pace_questions",
            Self::FailurePenalty => "failure_weighing",
            Self::SilencePenalty => "silence_weighing",
            Self::NodeBackoff => "leaving_out",
            Self::RetryAfterEstimate => "come_back_times",
            Self::FreshConnections => "fresh_connections",
            Self::Retries => "retries",
            Self::Hedging => "hedging",
            Self::Priorities => "ranks",
            Self::CrossZoneRequests => "far_questions",
            Self::LocalZonePreference => "own_zone_first",
            Self::ReportedRefusals => "told_refusals",
            Self::SlotLimit => "slot_limit",
            Self::StoreReaders => "readers",
            Self::Quarantine => "quarantine",
            Self::FairShares => "fair_shares",
            Self::EarlyRefusals => "early_refusals",
            Self::CallAdmission => "call_admission",
        }
    }

    /// Whether the mechanism is disabled in this process.
    #[cfg(not(feature = "ablation"))]
    #[must_use]
    pub const fn is_disabled(self) -> bool {
        false
    }

    /// Whether the mechanism is disabled in this process.
    #[cfg(feature = "ablation")]
    #[must_use]
    pub fn is_disabled(self) -> bool {
        use std::sync::OnceLock;
        static WITHOUT: OnceLock<String> = OnceLock::new();
        let without =
            WITHOUT.get_or_init(|| std::env::var("CAMPHORTURN_WITHOUT").unwrap_or_default());
        without == self.name()
    }
}

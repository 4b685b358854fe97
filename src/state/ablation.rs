//! Switches that take one mechanism out of a node, to measure what it is worth.
//!
//! They are no settings: without the feature `ablation`, which no shipped build has, each is a constant and compiles to
//! nothing. With it the variable `CAMPHORTURN_WITHOUT` names what is taken out. `docs/design/decisions-under-load.md`
//! tells how it is used.

/// A mechanism that can be taken out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mechanism {
    /// The upstream is asked for the pace of its VM before a start.
    SlowdownProbes,
    /// A node whose upstream fails more requests than others is asked later.
    FailurePenalty,
    /// A node that says nothing is asked later.
    SilencePenalty,
    /// A node that could not be reached, or takes no work, isn't asked for a while.
    NodeBackoff,
    /// A refused client is told to come back once the queue is over, instead of after the least time.
    RetryAfterEstimate,
    /// What must run once goes out on a connection that was used a moment ago, or on a new one.
    FreshConnections,
    /// A request is sent to a second upstream after the first failed.
    Retries,
    /// A late idempotent request is sent to a second upstream beside the first.
    Hedging,
    /// Requests wait by their priority.
    Priorities,
    /// Nodes of other zones are asked for a slot.
    CrossZoneRequests,
    /// The own zone is preferred while it answers soon enough.
    LocalZonePreference,
    /// What a node told with a refusal is its answer for a while.
    ReportedRefusals,
    /// The upstream gets fewer requests than it has slots.
    SlotLimit,
    /// Two nodes of a zone read the store for the others.
    StoreReaders,
    /// A request that crashes upstreams is kept from all of them.
    Quarantine,
}

impl Mechanism {
    /// The word that takes it out.
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
        }
    }

    /// Whether it is taken out of this process.
    #[cfg(not(feature = "ablation"))]
    #[must_use]
    pub const fn is_disabled(self) -> bool {
        false
    }

    /// Whether it is taken out of this process.
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

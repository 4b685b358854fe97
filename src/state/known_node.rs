//! What an entry node knows of the nodes that it may send requests to.

use crate::state::{
    ablation::Mechanism,
    incarnation_id::IncarnationId,
    names::{AvailabilityZoneName, ClassName, NodeName, ServiceName},
    timestamp::Timestamp,
};
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, net::SocketAddr, time::Duration};

/// Pause after the first failure to reach a node.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause between two tries to reach a node. Bounds how late a returned node is used.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// Part of the time told with a refusal for which it is taken to hold: a queue behind which a request would have ended
/// then is not gone in a quarter of that.
const REFUSAL_HOLDS: u32 = 4;

/// What a node tells of itself and the upstream beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Name of the node.
    pub name: NodeName,
    /// Where other nodes connect.
    pub address: SocketAddr,
    /// Service of the upstream.
    pub service: ServiceName,
    /// Availability zone of the VM.
    pub availability_zone: AvailabilityZoneName,
    /// The upstream's run.
    #[serde(flatten)]
    pub incarnation: IncarnationId,
    /// Requests that the upstream runs at once.
    pub slots: u16,
    /// The upstream has said that it leaves.
    pub leaving: bool,
    /// Where operators' tools reach the node, if they can.
    #[serde(rename = "operators", default, skip_serializing_if = "Option::is_none")]
    pub operator_address: Option<SocketAddr>,
}

/// A record with its place in the order in which the store took the records.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRecord {
    /// Rises with each record of the store; 0 for one that the store does not have yet.
    pub revision: u64,
    /// The record.
    pub record: NodeRecord,
}

/// Load of an upstream as told by the node beside it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeLoad {
    /// Requests at the upstream.
    pub running: u16,
    /// Requests that wait at the node.
    pub queued: u16,
    /// Requests that the node lets run at once.
    pub limit: u16,
    /// How long work takes at this moment, in percent of the usual.
    pub slowdown_percent: u16,
    /// Share of the last requests that failed at the upstream, in percent.
    pub failed_percent: u8,
}

/// What is known of one node.
#[derive(Clone, Debug)]
pub struct KnownNode {
    /// What it told of itself.
    pub record: NodeRecord,
    /// Place of that in the order of the store.
    pub revision: u64,
    /// Own requests that are out there.
    pub outstanding: u16,
    /// The last load told, own requests included, and when.
    pub load: Option<(NodeLoad, Timestamp)>,
    /// Not used before; set when the node could not be reached or refused for longer.
    pub backoff_until: Timestamp,
    /// Failures to reach it in a row.
    pub consecutive_failures: u32,
    /// When the oldest request was sent there since which nothing was heard of it; none if nothing is awaited.
    pub silent_since: Option<Timestamp>,
    /// When the node last had no slot for a class, and in which time a request would have ended there.
    refusals: HashMap<ClassName, (Timestamp, Duration)>,
}

impl KnownNode {
    /// Nothing known but the record.
    #[must_use]
    pub fn new(stored: StoredRecord) -> Self {
        Self {
            record: stored.record,
            revision: stored.revision,
            outstanding: 0,
            load: None,
            backoff_until: Timestamp::default(),
            consecutive_failures: 0,
            silent_since: None,
            refusals: HashMap::new(),
        }
    }

    /// Notes that the node had no slot at once for a request of a class, which would have ended there in `finish`.
    pub fn record_refusal(&mut self, class: &ClassName, finish: Duration, now: Timestamp) {
        self.refusals.insert(class.clone(), (now, finish));
    }

    /// Time in which a request of a class would end there, if it is known from a refusal that still holds.
    #[must_use]
    pub fn reported_finish(&self, class: &ClassName, now: Timestamp) -> Option<Duration> {
        if Mechanism::ReportedRefusals.is_disabled() {
            return None;
        }
        let (told_at, finish) = *self.refusals.get(class)?;
        let age = now.since(told_at);
        (age <= finish / REFUSAL_HOLDS).then(|| finish.saturating_sub(age))
    }

    /// Notes that a request is sent there.
    pub fn record_sent_request(&mut self, now: Timestamp) {
        self.outstanding += 1;
        if self.silent_since.is_none() {
            self.silent_since = Some(now);
        }
    }

    /// Notes that a request is no longer awaited.
    pub fn record_ended_request(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
        if self.outstanding == 0 {
            self.silent_since = None;
        }
    }

    /// How long something has been awaited without any word.
    #[must_use]
    pub fn silence(&self, now: Timestamp) -> Duration {
        self.silent_since
            .map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Notes that the node could not be reached; returns the pause until the next try.
    pub fn record_unreachable(&mut self, now: Timestamp) -> Duration {
        let doubled = FIRST_PAUSE * 2_u32.saturating_pow(self.consecutive_failures.min(8));
        self.consecutive_failures += 1;
        let pause = doubled.min(LONGEST_PAUSE);
        self.backoff_until = now + pause;
        pause
    }

    /// Notes that the node answered.
    pub fn record_response(&mut self, now: Timestamp) {
        self.reset_backoff();
        self.silent_since = (self.outstanding > 1).then_some(now);
    }

    /// Forgets that it could not be reached.
    pub fn reset_backoff(&mut self) {
        self.consecutive_failures = 0;
        self.backoff_until = Timestamp::default();
    }
}

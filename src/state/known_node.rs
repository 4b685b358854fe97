//! What a node knows of another node that it may send requests to.

use crate::state::{
    ablation::Mechanism,
    incarnation_id::IncarnationId,
    names::{AvailabilityZoneName, ClassName, NodeName, ServiceName},
    request_rate::NamedLimit,
    timestamp::Timestamp,
};
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, net::SocketAddr, time::Duration};

/// Backoff after the first failure to reach a node. Doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// Longest backoff between two attempts to reach a node. It limits how late a node that can be reached again is used.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// A refusal stays valid for the reported completion time divided by this number: a queue that delays a request by that time isn't
/// worked off in a quarter of it.
const REFUSAL_VALIDITY_DIVISOR: u32 = 4;
/// The same for an upstream that names a request limit: it starts requests at fixed intervals.
const LIMITED_REFUSAL_VALIDITY_DIVISOR: u32 = 2;

/// Time for which an upstream counts as ejected after its node said so. No refusal names a longer wait.
const EJECTION_VALIDITY: Duration = Duration::from_secs(10);

/// What a node announces about itself and its local upstream. Written to the store as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Name of the node.
    pub name: NodeName,
    /// Address at which other nodes connect.
    pub address: SocketAddr,
    /// Service that the upstream belongs to.
    pub service: ServiceName,
    /// Availability zone of the VM.
    pub availability_zone: AvailabilityZoneName,
    /// Incarnation of the upstream.
    #[serde(flatten)]
    pub incarnation: IncarnationId,
    /// Number of requests that the upstream runs concurrently.
    pub slots: u16,
    /// Whether the upstream has announced that it is leaving.
    pub leaving: bool,
    /// Address for operators' tools; `None` if the node doesn't serve them.
    #[serde(rename = "operators", default, skip_serializing_if = "Option::is_none")]
    pub operator_address: Option<SocketAddr>,
}

/// Value of a node's record in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecordValue {
    /// The record.
    #[serde(flatten)]
    pub record: NodeRecord,
    /// Revision up to which the node had read the records when it wrote its own; `None` if it had not read any, and will do so. The
    /// readers of its zone send it what was stored between the two.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub read_revision: Option<u64>,
}

/// A node record with its place in the order of the records in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRecord {
    /// Rises with each record of the store; 0 for a record that is not in the store yet.
    pub revision: u64,
    /// The record.
    pub record: NodeRecord,
}

/// Load of an upstream, as reported by its node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeLoad {
    /// Number of requests running at the upstream.
    pub running: u16,
    /// Number of requests waiting at the node.
    pub queued: u16,
    /// Number of requests that the node lets run concurrently.
    pub limit: u16,
    /// How long work takes at present, in percent of the time at full speed of the VM.
    pub slowdown_percent: u16,
    /// Share of recent requests that failed at the upstream, in percent.
    pub failed_percent: u8,
}

/// What is known of one other node.
#[derive(Clone, Debug)]
pub struct KnownNode {
    /// The latest record of the node.
    pub record: NodeRecord,
    /// Place of the record in the order of the store; see [`StoredRecord::revision`].
    pub revision: u64,
    /// Number of requests of this node that wait for the answer of that node.
    pub outstanding: u16,
    /// Load that the node reported last, including requests of this node, and when it arrived.
    pub load: Option<(NodeLoad, Timestamp)>,
    /// Request limit of the upstream, as far as answers to requests of this node have shown.
    pub request_limit: NamedLimit,
    /// Whether an answer to a request of this node said that the upstream is leaving. It stays set for the incarnation: the node may
    /// be restarted and not know it any more.
    said_leaving: bool,
    /// No request is sent to the node before this time. Set after the node could not be reached, or refused for a reason that
    /// applies to all requests.
    pub backoff_until: Timestamp,
    /// Number of consecutive failures to reach the node.
    pub consecutive_failures: u32,
    /// Since when the node has left requests unanswered; `None` if no answer is expected.
    pub silent_since: Option<Timestamp>,
    /// The latest refusal because the upstream fails its requests, and until when the node gets no requests therefore.
    failing: Option<(Timestamp, Timestamp)>,
    /// By class: when the node last refused a request, and the completion time that it reported with the refusal.
    refusals: HashMap<ClassName, (Timestamp, Duration)>,
}

impl KnownNode {
    /// A node of which nothing but its record is known.
    #[must_use]
    pub fn new(stored: StoredRecord) -> Self {
        Self {
            record: stored.record,
            revision: stored.revision,
            outstanding: 0,
            load: None,
            request_limit: NamedLimit::default(),
            said_leaving: false,
            backoff_until: Timestamp::default(),
            consecutive_failures: 0,
            silent_since: None,
            failing: None,
            refusals: HashMap::new(),
        }
    }

    /// Replaces the record. What answers of an earlier incarnation said doesn't hold for another one.
    pub fn replace_record(&mut self, record: NodeRecord) {
        if self.record.incarnation != record.incarnation {
            self.request_limit = NamedLimit::default();
            self.said_leaving = false;
            self.failing = None;
        }
        self.record = record;
    }

    /// Records that the node refused a request because its upstream fails requests, and named this wait.
    pub fn record_failing(&mut self, wait: Duration, now: Timestamp) {
        self.failing = Some((now, now + wait));
    }

    /// Records that the node accepted a request that was sent at `sent`: the upstream is no longer ejected, unless the node said so
    /// since.
    pub fn record_accepted(&mut self, sent: Timestamp) {
        self.failing = self.failing.filter(|(refused, _)| *refused > sent);
    }

    /// Whether the node has said lately that its upstream is ejected, and accepted no request since.
    #[must_use]
    pub fn is_ejected(&self, now: Timestamp) -> bool {
        self.failing
            .is_some_and(|(refused, _)| now.since(refused) <= EJECTION_VALIDITY)
    }

    /// When the node last said that its upstream is ejected.
    #[must_use]
    pub fn last_ejection_notice(&self) -> Option<Timestamp> {
        self.failing.map(|(refused, _)| refused)
    }

    /// When the node last said that its upstream fails requests, if the wait that it named hasn't passed.
    #[must_use]
    pub fn refused_as_failing(&self, now: Timestamp) -> Option<Timestamp> {
        let (refused, until) = self.failing?;
        (now < until).then_some(refused)
    }

    /// Records that an answer to a request of this node said that the upstream is leaving.
    pub fn record_leaving(&mut self) {
        self.said_leaving = true;
    }

    /// Whether the upstream is leaving, by its record or by an answer.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.record.leaving || self.said_leaving
    }

    /// Records that the node had no free slot for a request of a class, and reported that the request would finish in `finish`.
    pub fn record_refusal(&mut self, class: &ClassName, finish: Duration, now: Timestamp) {
        self.refusals.insert(class.clone(), (now, finish));
    }

    /// Time until a request of a class would finish at the node, from a refusal that is still valid; `None` without one.
    #[must_use]
    pub fn reported_finish(&self, class: &ClassName, now: Timestamp) -> Option<Duration> {
        if Mechanism::ReportedRefusals.is_disabled() {
            return None;
        }
        let (reported_at, finish) = *self.refusals.get(class)?;
        let age = now.since(reported_at);
        let divisor = match self.request_limit.rate() {
            Some(_) => LIMITED_REFUSAL_VALIDITY_DIVISOR,
            None => REFUSAL_VALIDITY_DIVISOR,
        };
        (age <= finish / divisor).then(|| finish.saturating_sub(age))
    }

    /// Records that a request was sent to the node.
    pub fn record_sent_request(&mut self, now: Timestamp) {
        self.outstanding += 1;
        if self.silent_since.is_none() {
            self.silent_since = Some(now);
        }
    }

    /// Records that the answer to a request has arrived or is no longer expected.
    pub fn record_ended_request(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
        if self.outstanding == 0 {
            self.silent_since = None;
        }
    }

    /// How long the node has left requests unanswered; zero if no answer is expected.
    #[must_use]
    pub fn silence(&self, now: Timestamp) -> Duration {
        self.silent_since
            .map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Records that the node could not be reached; returns the backoff until the next attempt.
    pub fn record_unreachable(&mut self, now: Timestamp) -> Duration {
        let doubled = INITIAL_BACKOFF * 2_u32.saturating_pow(self.consecutive_failures.min(8));
        self.consecutive_failures += 1;
        let backoff = doubled.min(MAX_BACKOFF);
        self.backoff_until = now + backoff;
        backoff
    }

    /// Records that the node sent an answer.
    pub fn record_response(&mut self, now: Timestamp) {
        self.reset_backoff();
        self.silent_since = (self.outstanding > 1).then_some(now);
    }

    /// Clears failures and backoff once the node was reached.
    pub fn reset_backoff(&mut self) {
        self.consecutive_failures = 0;
        self.backoff_until = Timestamp::default();
    }
}

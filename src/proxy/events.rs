//! The events of a node. Each event has a number and is written as one line of the log.
//!
//! `docs/EVENTS.md` lists all events, and a test compares it with this file. A number never changes its meaning.

mod catalogue;
mod lines;
mod liveness;
mod logged_end;
mod severity;

pub use lines::LineWriter;
pub use liveness::{NodeClearance, NodeSuspicion};
pub use logged_end::LoggedEnd;
pub use severity::Severity;

use crate::{
    coordination::publishing::PublicationOutcome,
    proxy::upstream_confirmation::CheckResult,
    state::{
        names::{AvailabilityZoneName, ClassName, NodeName, OrganisationName, ServiceName},
        request_fingerprint::RequestFingerprint,
    },
};
use serde::Serialize;
use std::{net::SocketAddr, time::Duration};

/// A duration in whole milliseconds, rounded down, as events hold it.
#[must_use]
pub fn in_millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// One event. Fields that end in `_ms` are times in milliseconds.
#[derive(Clone, Debug, Serialize)]
#[serde(untagged)]
pub enum ProxyEvent {
    /// The request of a client ended at the node that accepted it (entry node).
    RequestEnded {
        /// Request id that the client sent; empty if it sent none.
        request: String,
        /// Fingerprint of the request, the same for every attempt of it.
        digest: RequestFingerprint,
        /// Service of the request; none without a route.
        service: Option<ServiceName>,
        /// Class of the request; none without a route.
        class: Option<ClassName>,
        /// Organisation that sent the request; none if it needs no API key.
        #[serde(skip_serializing_if = "Option::is_none")]
        organisation: Option<OrganisationName>,
        /// Node that was asked for credit of the organisation; none if none was asked.
        #[serde(skip_serializing_if = "Option::is_none")]
        keeper: Option<SocketAddr>,
        /// Version of the routing table that the request was routed by.
        version: u64,
        /// How the request ended.
        end: LoggedEnd,
        /// Nodes that were asked, including those that refused.
        asked: u32,
        /// Attempts that reached an upstream or may have reached one.
        arrivals: u16,
        /// Time since the request arrived.
        took_ms: u64,
        /// Time that the client allowed for the request.
        time_left_ms: u64,
        /// Latency target of the request.
        target_ms: u64,
        /// Earliest finish time that a node without a free slot reported; 0 if none did.
        soonest_ms: u64,
    },
    /// An attempt ended, as seen by the entry node.
    AttemptReturned {
        /// Id of the request.
        request: String,
        /// Node that was asked.
        to: SocketAddr,
        /// Time from the arrival of the request until the attempt was sent.
        sent_ms: u64,
        /// Time within which the attempt was to end at that node; 0 asks for a slot that is free at once.
        within_ms: u64,
        /// Age of the last known load of that node; none if its load is not known.
        known_age_ms: Option<u64>,
        /// How the attempt ended.
        end: LoggedEnd,
        /// After a refusal for lack of slots, the time in which the attempt would have ended.
        finish_ms: u64,
        /// Time that the attempt waited for a slot; 0 if it was refused.
        waited_ms: u64,
        /// Time that work took on the VM when the attempt ended, in percent of its time at full speed; 0 if no answer came.
        pace_percent: u16,
        /// Time since the attempt was sent.
        took_ms: u64,
    },
    /// An attempt ended, as seen by the node of the upstream.
    AttemptExecuted {
        /// Id of the request.
        request: String,
        /// Fingerprint of the request, the same for every attempt of it.
        digest: RequestFingerprint,
        /// Entry node that sent the attempt.
        from: SocketAddr,
        /// Class of the request.
        class: ClassName,
        /// Identity of the upstream's incarnation; none if it is not known.
        instance: Option<String>,
        /// How the attempt ended.
        end: LoggedEnd,
        /// Requests at the upstream when the attempt arrived.
        running: u16,
        /// Requests that waited for a slot when the attempt arrived.
        queued: u16,
        /// Requests that the node lets the upstream run at once.
        limit: u16,
        /// Time that work took on the VM when the attempt was admitted or refused, in percent of its time at full speed.
        pace_percent: u16,
        /// Age of that value; none if the value is not known.
        pace_age_ms: Option<u64>,
        /// Time that the attempt was expected to take.
        expected_ms: u64,
        /// Time that the attempt waited for a slot.
        waited_ms: u64,
        /// Remaining warm-up time of the upstream when the attempt started; none if it was not known to be warming up.
        #[serde(skip_serializing_if = "Option::is_none")]
        cold_left_ms: Option<u64>,
        /// Attempts that had started within the last second then, including this one.
        #[serde(skip_serializing_if = "Option::is_none")]
        cold_starts: Option<usize>,
        /// Largest number of attempts within a second of the warm-up.
        #[serde(skip_serializing_if = "Option::is_none")]
        cold_limit: Option<usize>,
        /// Time since the attempt arrived.
        took_ms: u64,
    },
    /// A retry was suppressed because the retry budget of the service was exhausted.
    RetrySuppressed {
        /// Id of the request.
        request: String,
        /// Service of the request.
        service: ServiceName,
    },
    /// Log lines were dropped because of the rate limit. Ordinary lines are not counted.
    LinesDropped {
        /// Number of dropped lines since the last line.
        lines: u64,
    },
    /// The local upstream announced a changed state.
    UpstreamAnnounced {
        /// Identity of the upstream's incarnation.
        instance: String,
        /// Sequence number of the announcement.
        sequence: u64,
        /// Whether the upstream is leaving and takes no new requests.
        leaving: bool,
    },
    /// The local upstream is warming up (slow start).
    UpstreamWarmingUp {
        /// Time until the end of the warm-up.
        left_ms: u64,
        /// Largest number of requests that the upstream is given per second until then.
        limit: usize,
    },
    /// The local upstream sent a header of the platform that this version does not know or can't read. Written once for each
    /// name.
    HeaderUnread {
        /// Identity of the upstream's incarnation.
        instance: String,
        /// Name of the header.
        header: String,
        /// Beginning of its value.
        value: String,
    },
    /// Refusals of a class whose calls are rejected began or ended.
    CallRefusalsChanged {
        /// The class.
        class: ClassName,
        /// Whether its requests are refused.
        refuses: bool,
    },
    /// The request limit that the local upstream names began, changed or ended.
    RequestLimitChanged {
        /// Identity of the upstream's incarnation.
        instance: String,
        /// Requests per second; none if the limit has ended.
        per_second: Option<f64>,
        /// Where the change came from.
        source: &'static str,
    },
    /// The local upstream has announced that it leaves for good.
    UpstreamDeparted {
        /// Identity of the upstream's incarnation.
        instance: String,
    },
    /// The local upstream was checked, since an announcement or the stored record of it may be outdated. It gets requests only once it
    /// is confirmed.
    UpstreamChecked {
        /// Identity of the upstream's incarnation.
        instance: String,
        /// What the check has shown.
        result: CheckResult,
    },
    /// Another incarnation than the known one answered at the local upstream.
    UpstreamReplaced {
        /// Identity of the incarnation that was known before.
        instance: String,
    },
    /// The local upstream was ejected, since it fails requests while its peers don't. It gets only trials.
    UpstreamEjected {
        /// Identity of the upstream's incarnation.
        instance: String,
        /// Executions since its failures began.
        executions: u32,
        /// Number of them that failed.
        failures: u32,
        /// Share of requests that fail at the peers, in percent.
        peers_percent: u8,
        /// Time until the first trial.
        trial_ms: u64,
    },
    /// The trials of the local upstream have succeeded. It gets requests again, more and more of them.
    UpstreamReturning {
        /// Identity of the upstream's incarnation.
        instance: String,
    },
    /// The ejection of the local upstream ended without trials, since its peers fail as well or too many are ejected.
    EjectionWithdrawn {
        /// Identity of the upstream's incarnation.
        instance: String,
        /// Share of requests that fail at the peers, in percent.
        peers_percent: u8,
    },
    /// The local upstream crashed while it ran a request.
    UpstreamCrashed {
        /// Identity of the upstream's incarnation.
        instance: String,
        /// Id of the request.
        request: String,
        /// Fingerprint of the request.
        digest: RequestFingerprint,
        /// Whether the same incarnation had answered a request with this fingerprint before. Such a request is not suspected.
        answered_before: bool,
    },
    /// A crash was reported to this node, which counts the crashes of that request.
    CrashCounted {
        /// Fingerprint of the request.
        digest: RequestFingerprint,
        /// Identity of the incarnation that crashed.
        instance: String,
        /// Number of incarnations that have crashed while running the request.
        crashes: usize,
    },
    /// A request was put into quarantine: it is no longer sent to upstreams.
    RequestQuarantined {
        /// Fingerprint of the request.
        digest: RequestFingerprint,
        /// Where the finding came from.
        source: &'static str,
    },
    /// A request was released from quarantine because an upstream has answered it.
    QuarantineLifted {
        /// Fingerprint of the request.
        digest: RequestFingerprint,
    },
    /// After a restart of the node, its upstream was restored from the record in the store.
    UpstreamRestored {
        /// Identity of the upstream's incarnation.
        instance: String,
    },
    /// An announcement could not be decoded.
    AnnouncementRejected {
        /// Description of the error.
        error: String,
        /// Request target of the call.
        target: String,
    },
    /// An availability zone was evacuated: its upstreams get no more requests.
    ZoneEvacuated {
        /// The zone.
        zone: AvailabilityZoneName,
        /// Packed position in the configuration topic up to which evacuations are applied.
        position: u64,
        /// Where the change came from.
        source: &'static str,
    },
    /// The evacuation of an availability zone ended: its upstreams get requests again.
    ZoneRestored {
        /// The zone.
        zone: AvailabilityZoneName,
        /// Packed position in the configuration topic up to which evacuations are applied.
        position: u64,
        /// Where the change came from.
        source: &'static str,
    },
    /// A newer routing table came into force.
    TableInForce {
        /// Version of the table.
        version: u64,
        /// Version that was in force before; 0 if none was.
        before: u64,
        /// Number of routes in the table.
        routes: usize,
        /// Where the table came from.
        source: &'static str,
    },
    /// Another node reported a higher version, so the changes are fetched from it.
    StateFetched {
        /// The other node.
        from: SocketAddr,
        /// Version that it reported.
        version: u64,
        /// Version in force here.
        before: u64,
    },
    /// The routing table in force was offered to nodes of the zone that are not known to have it.
    TableOffered {
        /// Version in force.
        version: u64,
        /// Number of nodes that the offer goes to along the tree.
        along_tree: usize,
        /// Number of nodes that the offer was sent to directly.
        directly: usize,
    },
    /// Another node fetched changes of the routing table from this node.
    TableSent {
        /// Address of the other node; none if it did not state it.
        to: Option<SocketAddr>,
        /// Version that the other node has.
        before: u64,
        /// Version that was sent.
        version: u64,
        /// Size of the message in bytes.
        bytes: usize,
    },
    /// Another node sent changes of the routing table or a whole table.
    TableReceived {
        /// The other node.
        from: SocketAddr,
        /// Version that the changes apply to; 0 for a whole table.
        base: u64,
        /// Version that results.
        version: u64,
        /// Size of the message in bytes.
        bytes: usize,
        /// Whether the version was newer than the one in force.
        news: bool,
        /// Time since the request was sent to the other node.
        took_ms: u64,
    },
    /// Changes of the routing table from another node could not be applied. They are fetched once more.
    ChangeRejected {
        /// The other node.
        from: SocketAddr,
        /// Description of the error.
        error: String,
    },
    /// Another node did not answer a request for changes of the routing table.
    FetchFailed {
        /// The other node.
        from: SocketAddr,
        /// Time since the request was sent to the other node.
        took_ms: u64,
    },
    /// Records read from the store were sent to the nodes of the zone.
    ZoneNotified {
        /// Number of nodes.
        nodes: usize,
        /// Number of records of nodes.
        records: usize,
    },
    /// A state message could not be decoded.
    StateRejected {
        /// Description of the error.
        error: String,
    },
    /// Other nodes of the zone were asked to read the store, since this one can't.
    ReadingHandedOver {
        /// Number of nodes that were asked.
        nodes: usize,
    },
    /// Another node could not be reached.
    NodeUnreachable {
        /// The other node.
        to: SocketAddr,
        /// Number of consecutive failures.
        failures: u32,
        /// Pause before the next request to it.
        pause_ms: u64,
    },
    /// Another node is suspect: it has not answered a check. It gets no requests until it answers.
    NodeSuspected(NodeSuspicion),
    /// Another node is no longer suspect.
    NodeCleared(NodeClearance),
    /// A new or changed record of a node was applied.
    NodeKnown {
        /// Name of the node.
        known: NodeName,
        /// Address at which it accepts messages of nodes.
        address: SocketAddr,
        /// Service of its upstream.
        service: ServiceName,
        /// Identity of the upstream's incarnation.
        instance: String,
        /// Whether the upstream is leaving and takes no new requests.
        leaving: bool,
        /// Place of the record in the order of the store; 0 if the store does not hold it yet.
        revision: u64,
    },
    /// This node deleted the record of a permanently lost node from the store.
    NodeRetired {
        /// Name of the lost node.
        known: NodeName,
        /// Address at which it accepted messages of nodes.
        address: SocketAddr,
        /// Identity of the last incarnation of its upstream.
        instance: String,
    },
    /// A node was removed here, since the store no longer holds a record of it.
    NodeForgotten {
        /// Name of the node.
        known: NodeName,
        /// Address at which it accepted messages of nodes.
        address: SocketAddr,
    },
    /// The store has deleted or lost the record of this node. It is written again.
    OwnRecordDropped {},
    /// This node is one of the keepers of an organisation's quota from now on.
    QuotaKept {
        /// The organisation.
        organisation: OrganisationName,
        /// Whether this node may have granted credit before its restart. It begins without credit.
        recent: bool,
        /// Number of keepers, of which each grants an equal share.
        keepers: usize,
    },
    /// No keeper of an organisation's quota answered. The node uses a small share of the quota until one does.
    KeepersUnreachable {
        /// The organisation.
        organisation: OrganisationName,
    },
    /// A configuration in the store could not be decoded. The one in force stays.
    ConfigurationRejected {
        /// Description of the error.
        error: String,
    },
    /// A record in the store could not be decoded.
    RecordRejected {
        /// Key of the record.
        key: String,
        /// Description of the error.
        error: String,
    },
    /// An operator's publication ended.
    PublicationEnded {
        /// Author of the publication.
        author: String,
        /// How it ended.
        #[serde(flatten)]
        outcome: PublicationOutcome,
    },
    /// A request of an operator's tool was rejected, since it had no valid token.
    OperatorRejected {},
    /// The store stopped answering.
    StoreLost {
        /// What was read or written.
        what: &'static str,
        /// Error of the call.
        error: String,
    },
    /// The store answers again.
    StoreRegained {
        /// What was read or written.
        what: &'static str,
        /// Number of consecutive failures before.
        failures: u32,
    },
    /// The store was restored from a backup and has lost what was written after the backup was made.
    StoreRestored {
        /// Topic in which this was noticed.
        what: &'static str,
        /// Epoch that the store reports now.
        era: u64,
        /// Epoch that was known before.
        before: u64,
    },
    /// The node began to serve.
    NodeStarted {
        /// Address at which it accepts messages of nodes.
        address: SocketAddr,
        /// Service of its upstream.
        service: ServiceName,
    },
    /// The node was asked to stop.
    StopRequested {
        /// Requests of clients in progress.
        in_progress: usize,
        /// Requests at the upstream.
        running: u16,
    },
    /// The node stopped.
    NodeStopped {
        /// Requests of clients that were aborted.
        in_progress: usize,
        /// Connections of clients and other nodes that were closed before the answer on them was sent in full.
        unanswered: usize,
        /// Time since it was asked to stop.
        took_ms: u64,
    },
    /// Another node is stopping, and bounds how long its requests wait here.
    SenderStopping {
        /// The node.
        from: SocketAddr,
        /// Time within which its requests must end.
        ends_ms: u64,
        /// Number of its requests that were waiting.
        waiting: usize,
        /// Number of those that were refused at once.
        refused: usize,
    },
    /// A request was refused unread, because its body doesn't fit into the memory of this node now.
    MemoryFull {
        /// Bytes that are held for connections, requests and answers.
        held: usize,
        /// Largest number of such bytes.
        limit: usize,
    },
    /// The settings file was read again.
    SettingsRead {
        /// Whether a setting differs from those read before. Limits take effect at once, other settings at the next start.
        changed: bool,
    },
    /// The settings file has errors. The settings in force stay.
    SettingsRejected {
        /// All findings.
        findings: String,
    },
}

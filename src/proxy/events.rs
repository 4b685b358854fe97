//! The numbered events of a node: one line of its log each.
//!
//! `docs/EVENTS.md` has the catalogue; a test holds it to this file. A number never changes its meaning.

mod catalogue;
mod lines;

pub use lines::LineWriter;

use crate::{
    coordination::publishing::PublicationOutcome,
    protocol::outcome::{RefusalReason, UnknownCause},
    state::{
        names::{AvailabilityZoneName, ClassName, NodeName, ServiceName},
        request_fingerprint::RequestFingerprint,
    },
};
use serde::Serialize;
use std::{net::SocketAddr, time::Duration};

/// Whole milliseconds for an event.
#[must_use]
pub fn in_millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// How much an event matters when not all lines can be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// A request that went as it should.
    Ordinary,
    /// A request that was answered late. On a day of high load there are many.
    Late,
    /// A failure, a refusal, or a change of what the node believes.
    Important,
}

/// How a request or an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LoggedEnd {
    /// The upstream answered with this status.
    Answered(u16),
    /// It did not run.
    Refused(RefusalReason),
    /// It may have run.
    Unknown(UnknownCause),
    /// No route leads anywhere.
    NoRoute,
    /// No answer came from the other node, and nothing was sent to it.
    NotSent,
    /// The client went away.
    ClientLeft,
    /// The request ended while the attempt was under way.
    Abandoned,
}

/// One event. Times are in milliseconds.
#[derive(Clone, Debug, Serialize)]
#[serde(untagged)]
pub enum ProxyEvent {
    /// A client's request ended at the node that took it.
    RequestEnded {
        /// Identity that the client gave it.
        request: String,
        /// The same for every attempt at what it asks for.
        digest: RequestFingerprint,
        /// Its service.
        service: Option<ServiceName>,
        /// Its class of work.
        class: Option<ClassName>,
        /// Version of the routing table that decided.
        version: u64,
        /// How it ended.
        end: LoggedEnd,
        /// Nodes asked, those that refused included.
        asked: u32,
        /// Attempts that reached an upstream or may have.
        arrivals: u16,
        /// Time since it came.
        took_ms: u64,
        /// Time that its client gave it.
        time_left_ms: u64,
        /// Time within which it was to be answered.
        target_ms: u64,
        /// Soonest end that a node told which had no slot in time; 0 if none did.
        soonest_ms: u64,
    },
    /// An entry node learned how one attempt ended.
    AttemptReturned {
        /// Identity of the request.
        request: String,
        /// The node asked.
        to: SocketAddr,
        /// When it was sent, since the request came.
        sent_ms: u64,
        /// Time within which it was to end there; 0 asks for a slot at once or none.
        within_ms: u64,
        /// Age of what was known of the node's load.
        known_age_ms: Option<u64>,
        /// How it ended.
        end: LoggedEnd,
        /// Time in which it would have ended, after a refusal for lack of slots.
        finish_ms: u64,
        /// Time that it waited for a slot, if it was not refused.
        waited_ms: u64,
        /// Pace of the VM at its end, in percent of the usual time; 0 if no answer came.
        pace_percent: u16,
        /// Time since it was sent.
        took_ms: u64,
    },
    /// The node beside an upstream decided on an attempt and saw its end.
    AttemptExecuted {
        /// Identity of the request.
        request: String,
        /// The same for every attempt at what it asks for.
        digest: RequestFingerprint,
        /// The node that asked.
        from: SocketAddr,
        /// Its class of work.
        class: ClassName,
        /// The upstream's run.
        instance: Option<String>,
        /// How it ended.
        end: LoggedEnd,
        /// Requests at the upstream when it came.
        running: u16,
        /// Requests that waited when it came.
        queued: u16,
        /// Requests let run at once.
        limit: u16,
        /// Pace of the VM when it was decided, in percent of the usual time.
        pace_percent: u16,
        /// Age of that.
        pace_age_ms: Option<u64>,
        /// Time that it was expected to take.
        expected_ms: u64,
        /// Time that it waited.
        waited_ms: u64,
        /// Time since it came.
        took_ms: u64,
    },
    /// A second attempt is not made for lack of budget.
    RetrySuppressed {
        /// Identity of the request.
        request: String,
        /// Its service.
        service: ServiceName,
    },
    /// Lines were left out to keep to the budget.
    LinesDropped {
        /// How many.
        lines: u64,
    },
    /// The upstream beside the node told another state.
    UpstreamAnnounced {
        /// Its run.
        instance: String,
        /// Number of the announcement.
        sequence: u64,
        /// It takes no new work.
        leaving: bool,
    },
    /// The upstream beside the node is cold.
    UpstreamWarmingUp {
        /// How much longer.
        left_ms: u64,
        /// Most requests that it is given within a second meanwhile.
        limit: usize,
    },
    /// The upstream beside the node leaves for good.
    UpstreamDeparted {
        /// Its run.
        instance: String,
    },
    /// Another run answered in place of the one that was known.
    UpstreamReplaced {
        /// The run that was known.
        instance: String,
    },
    /// The upstream beside the node ended while it ran a request.
    UpstreamCrashed {
        /// Its run.
        instance: String,
        /// Identity of the request.
        request: String,
        /// What it asks for.
        digest: RequestFingerprint,
        /// The same run had answered such a request before, so that this one is no suspect.
        answered_before: bool,
    },
    /// A crash was told to this node, which counts those under that request.
    CrashCounted {
        /// What the request asks for.
        digest: RequestFingerprint,
        /// The run that crashed.
        instance: String,
        /// Crashed runs so far.
        crashes: usize,
    },
    /// A request is kept from upstreams from now on.
    RequestQuarantined {
        /// What it asks for.
        digest: RequestFingerprint,
        /// Who found out.
        source: &'static str,
    },
    /// A request is let to upstreams again, since one has answered it.
    QuarantineLifted {
        /// What it asks for.
        digest: RequestFingerprint,
    },
    /// After a restart the upstream is known from the store.
    UpstreamRestored {
        /// Its run.
        instance: String,
    },
    /// An announcement could not be understood.
    AnnouncementRejected {
        /// What is wrong.
        error: String,
        /// Target of the call.
        target: String,
    },
    /// Nothing is sent to the upstreams of an availability zone from now on.
    ZoneEvacuated {
        /// The zone.
        zone: AvailabilityZoneName,
        /// Position in the store's topic as of which this holds.
        position: u64,
        /// Where it came from.
        source: &'static str,
    },
    /// Requests are sent to the upstreams of an evacuated availability zone again.
    ZoneRestored {
        /// The zone.
        zone: AvailabilityZoneName,
        /// Position in the store's topic as of which this holds.
        position: u64,
        /// Where it came from.
        source: &'static str,
    },
    /// A newer routing table is in force.
    TableInForce {
        /// Its version.
        version: u64,
        /// The version before.
        before: u64,
        /// Its routes.
        routes: usize,
        /// Where it came from.
        source: &'static str,
    },
    /// Another node told of a higher version, and is asked for what is newer.
    StateFetched {
        /// The node.
        from: SocketAddr,
        /// The version it told.
        version: u64,
        /// The version in force here.
        before: u64,
    },
    /// Nodes of the zone that are not known to have the routing table in force are offered it.
    TableOffered {
        /// Version in force.
        version: u64,
        /// Nodes that it reaches along the tree.
        along_tree: usize,
        /// Nodes that are told directly.
        directly: usize,
    },
    /// Another node asked for what is newer and is told.
    TableSent {
        /// The node, if it said where it is.
        to: Option<SocketAddr>,
        /// Version that it has.
        before: u64,
        /// Version that it is told.
        version: u64,
        /// Bytes of the message.
        bytes: usize,
    },
    /// A node told what turns the routing table in force into a newer one.
    TableReceived {
        /// The node.
        from: SocketAddr,
        /// Version that it changes; 0 if it is a whole table.
        base: u64,
        /// Version that comes of it.
        version: u64,
        /// Bytes of the message.
        bytes: usize,
        /// Whether it was newer than the one in force.
        news: bool,
        /// Time since the node was asked.
        took_ms: u64,
    },
    /// What a node told could not be applied; the whole table is asked for.
    ChangeRejected {
        /// The node.
        from: SocketAddr,
        /// What is wrong.
        error: String,
    },
    /// A node that was asked for what is newer did not answer with it.
    FetchFailed {
        /// The node.
        from: SocketAddr,
        /// Time since it was asked.
        took_ms: u64,
    },
    /// The zone is told what was read from the store.
    ZoneNotified {
        /// Nodes told.
        nodes: usize,
        /// Records of nodes among it.
        records: usize,
    },
    /// A message with state could not be understood.
    StateRejected {
        /// What is wrong.
        error: String,
    },
    /// Other nodes of the zone are asked to read the store, since this one can't.
    ReadingHandedOver {
        /// Nodes asked.
        nodes: usize,
    },
    /// Another node could not be reached.
    NodeUnreachable {
        /// The node.
        to: SocketAddr,
        /// Failures in a row.
        failures: u32,
        /// Pause until it is asked again.
        pause_ms: u64,
    },
    /// A record of a node is news.
    NodeKnown {
        /// The node.
        known: NodeName,
        /// Where it takes messages from nodes.
        address: SocketAddr,
        /// Service of its upstream.
        service: ServiceName,
        /// The upstream's run.
        instance: String,
        /// It takes no new work.
        leaving: bool,
        /// Place in the order of the store.
        revision: u64,
    },
    /// The record of a node was dropped from the store: it is gone.
    NodeRetired {
        /// The node.
        known: NodeName,
        /// Where it took messages from nodes.
        address: SocketAddr,
        /// Its upstream's last run.
        instance: String,
    },
    /// The store holds no record of a node any more; it is forgotten here.
    NodeForgotten {
        /// The node.
        known: NodeName,
        /// Where it took messages from nodes.
        address: SocketAddr,
    },
    /// The store lost this node's own record; it is written again.
    OwnRecordDropped {},
    /// A configuration in the store could not be understood; the one in force stays.
    ConfigurationRejected {
        /// What is wrong.
        error: String,
    },
    /// A record in the store could not be understood.
    RecordRejected {
        /// Its key.
        key: String,
        /// What is wrong.
        error: String,
    },
    /// An operator's publication ended.
    PublicationEnded {
        /// Who published.
        author: String,
        /// How it ended.
        #[serde(flatten)]
        outcome: PublicationOutcome,
    },
    /// A request without a valid token was turned away.
    OperatorRejected {},
    /// The store stopped answering.
    StoreLost {
        /// What was asked of it.
        what: &'static str,
        /// What came.
        error: String,
    },
    /// The store answers again.
    StoreRegained {
        /// What was asked of it.
        what: &'static str,
        /// Failures in a row before.
        failures: u32,
    },
    /// The store has come back from a copy: what was written since the copy is lost.
    StoreRestored {
        /// The topic in which it was noticed.
        what: &'static str,
        /// The era that it tells.
        era: u64,
        /// The one known before.
        before: u64,
    },
    /// The process began to serve.
    NodeStarted {
        /// Where it takes messages from nodes.
        address: SocketAddr,
        /// Service of the upstream beside it.
        service: ServiceName,
    },
    /// The process was told to stop.
    StopRequested {
        /// Requests of clients in progress.
        in_progress: usize,
        /// Requests at the upstream.
        running: u16,
    },
    /// The process ends.
    NodeStopped {
        /// Requests of clients cut off.
        in_progress: usize,
        /// Time since it was told.
        took_ms: u64,
    },
    /// The settings were read again.
    SettingsRead {
        /// Whether anything differs from what is in force; it takes effect at the next start.
        changed: bool,
    },
    /// The settings can't be used; those in force stay.
    SettingsRejected {
        /// All findings.
        findings: String,
    },
}

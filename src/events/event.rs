//! The closed list of events, each with a number that never changes its meaning.
//!
//! Hundreds: 1 calls, 2 the upstream beside the node, 3 membership, 4 configuration and log,
//! 5 ownership of keys, 6 the process, 7 measuring. `docs/EVENTS.md` is held to this list by a test.

use crate::{
    events::reasons::{
        ChoiceReason, ConditionSource, ConfigurationSource, KeyRepeat, OutcomeSummary, RetryStop,
        Severity,
    },
    protocol::{
        load_report::UpstreamCondition,
        outcome::{RefusalReason, Settlement, UnknownCause},
    },
    state::{
        configuration::ConfigurationVersion,
        member::Incarnation,
        names::{AvailabilityZoneName, ClassName, NodeName, ServiceName},
    },
};
use serde::{Deserialize, Serialize};

/// One line of the catalogue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CatalogueEntry {
    /// The event's number.
    pub number: u16,
    /// The event's name in JSON.
    pub name: &'static str,
    /// How much it matters.
    pub severity: Severity,
    /// What it means.
    pub meaning: &'static str,
    /// Names of its fields.
    pub fields: &'static [&'static str],
}

macro_rules! events {
    ($($number:literal $json:literal $severity:ident $meaning:literal
        $variant:ident { $($field:ident: $kind:ty),* $(,)? })*) => {
        /// Something a node did or learned. Times are in microseconds unless the name says else.
        #[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
        #[serde(tag = "name")]
        #[expect(missing_docs, reason = "the fields are named for what they hold")]
        pub enum Event {
            $(#[doc = $meaning] #[serde(rename = $json)] $variant { $($field: $kind),* },)*
        }

        impl Event {
            /// The number, which stays the same in all versions.
            #[must_use]
            pub const fn number(&self) -> u16 {
                match self { $(Self::$variant { .. } => $number,)* }
            }

            /// How much the event matters.
            #[must_use]
            pub const fn severity(&self) -> Severity {
                match self { $(Self::$variant { .. } => Severity::$severity,)* }
            }

            /// The name as it stands in JSON.
            #[must_use]
            pub const fn name(&self) -> &'static str {
                match self { $(Self::$variant { .. } => $json,)* }
            }
        }

        /// Every event, by number.
        pub const CATALOGUE: &[CatalogueEntry] = &[
            $(CatalogueEntry {
                number: $number,
                name: $json,
                severity: Severity::$severity,
                meaning: $meaning,
                fields: &[$(stringify!($field)),*],
            },)*
        ];
    };
}

events! {
    101 "call_received" Debug "The entry node took a call from a caller."
        CallReceived { service: ServiceName, class: ClassName, depth: u8, time_left_micros: u32, target_micros: u32, keyed: bool }
    102 "attempt_chosen" Debug "The entry node picked an upstream for an attempt."
        AttemptChosen { attempt: u16, upstream: NodeName, reason: ChoiceReason, candidates: u16, known_load: u16, known_age_ms: u32 }
    103 "attempt_admitted" Debug "The executing node let an attempt run at once."
        AttemptAdmitted { attempt: u16, class: ClassName, running: u16, limit: u16 }
    104 "attempt_queued" Debug "The executing node queued an attempt until a slot is free."
        AttemptQueued { attempt: u16, class: ClassName, queued: u16, running: u16, limit: u16 }
    105 "attempt_refused" Debug "The executing node refused an attempt; it did not run."
        AttemptRefused { attempt: u16, class: ClassName, reason: RefusalReason, queued: u16, running: u16, limit: u16 }
    106 "attempt_dispatched" Debug "The executing node handed an attempt to its upstream."
        AttemptDispatched { attempt: u16, waited_micros: u32 }
    107 "upstream_answered" Debug "The upstream gave a whole answer."
        UpstreamAnswered { attempt: u16, status: u16, took_micros: u32 }
    108 "attempt_cut" Debug "An attempt ended at the upstream without a whole answer."
        AttemptCut { attempt: u16, cause: UnknownCause, took_micros: u32 }
    109 "attempt_cancelled" Debug "An attempt was cancelled by its caller or its entry node."
        AttemptCancelled { attempt: u16, dispatched: bool }
    110 "attempt_returned" Debug "The entry node learned how an attempt ended."
        AttemptReturned { attempt: u16, upstream: NodeName, outcome: OutcomeSummary, took_micros: u32 }
    111 "settle_asked" Debug "The entry node asked an executing node whether an attempt ran."
        SettleAsked { attempt: u16, upstream: NodeName }
    112 "attempt_settled" Debug "It was settled whether an attempt ran."
        AttemptSettled { attempt: u16, settlement: Settlement }
    113 "call_retried" Debug "A further attempt is made after one that did not run."
        CallRetried { attempt: u16, reason: RefusalReason }
    114 "call_hedged" Debug "A second attempt is made while the first still runs."
        CallHedged { attempt: u16, after_micros: u32 }
    115 "retry_withheld" Debug "No further attempt is made at a call that was not answered."
        RetryWithheld { reason: RetryStop }
    116 "key_repeated" Info "An idempotency key was used again."
        KeyRepeated { attempt: u16, met: KeyRepeat }
    117 "call_ended" Debug "The entry node gave the caller the outcome."
        CallEnded { service: ServiceName, class: ClassName, outcome: OutcomeSummary, attempts: u16, took_micros: u32, target_micros: u32 }
    118 "request_rejected" Info "A caller's request was malformed or named nothing that exists."
        RequestRejected { status: u16 }

    201 "upstream_announced" Info "The upstream announced itself to its node."
        UpstreamAnnounced { condition: UpstreamCondition, slots: u16 }
    202 "condition_changed" Info "The upstream's condition changed."
        ConditionChanged { before: UpstreamCondition, after: UpstreamCondition, source: ConditionSource }
    203 "check_failed" Warning "The node's check of its upstream failed."
        CheckFailed { failures: u16 }
    204 "check_passed" Info "The node's check of its upstream passed again."
        CheckPassed { failures: u16 }
    205 "limit_changed" Debug "The node changed how many calls the upstream may run at once."
        LimitChanged { before: u16, after: u16 }
    206 "upstream_avoided" Warning "The entry node sends an upstream less, for its errors or its latency."
        UpstreamAvoided { upstream: NodeName, errors_permille: u16, latency_micros: u32 }
    207 "upstream_restored" Info "The entry node sends an upstream its full share again."
        UpstreamRestored { upstream: NodeName }
    208 "ramp_ended" Info "The upstream has warmed up."
        RampEnded { took_ms: u32 }

    301 "member_joined" Info "A node was added to the members."
        MemberJoined { member: NodeName, incarnation: Incarnation, service: ServiceName, availability_zone: AvailabilityZoneName }
    302 "member_left" Info "A node left as announced."
        MemberLeft { member: NodeName, incarnation: Incarnation }
    303 "member_suspected" Warning "A node did not answer and is suspected to be down."
        MemberSuspected { member: NodeName, incarnation: Incarnation }
    304 "member_recovered" Info "A suspected node was heard from again."
        MemberRecovered { member: NodeName, incarnation: Incarnation }
    305 "member_lost" Warning "A node was not heard from for so long that it gets no work."
        MemberLost { member: NodeName, incarnation: Incarnation }
    306 "peer_connected" Debug "A connection to another node was opened."
        PeerConnected { member: NodeName }
    307 "peer_disconnected" Info "A connection to another node broke."
        PeerDisconnected { member: NodeName }
    308 "peer_rejected" Warning "A process that could not prove the mesh's key was turned away."
        PeerRejected {}
    309 "member_damped" Warning "A node that joins and leaves too often gets no work for a while."
        MemberDamped { member: NodeName, for_ms: u32 }
    310 "region_parted" Error "No node of another region can be reached."
        RegionParted { members: u16 }
    311 "region_rejoined" Info "Nodes of another region can be reached again."
        RegionRejoined { members: u16 }

    401 "configuration_accepted" Info "A published configuration was accepted."
        ConfigurationAccepted { version: ConfigurationVersion, offset: u64 }
    402 "configuration_rejected" Warning "A published configuration was based on a version that was no longer the current one."
        ConfigurationRejected { based_on: ConfigurationVersion, current: ConfigurationVersion, offset: u64 }
    403 "configuration_in_force" Info "The node applies a configuration from now on."
        ConfigurationInForce { version: ConfigurationVersion, source: ConfigurationSource }
    404 "configuration_ignored" Warning "A lower version than the one in force was offered and ignored."
        ConfigurationIgnored { offered: ConfigurationVersion, version: ConfigurationVersion }
    405 "snapshot_written" Info "The node wrote a snapshot to the log."
        SnapshotWritten { version: ConfigurationVersion, offset: u64 }
    406 "snapshot_read" Info "The node began from a snapshot in the log."
        SnapshotRead { version: ConfigurationVersion, offset: u64 }
    407 "log_unavailable" Error "The log can't be read or written."
        LogUnavailable { failures: u32 }
    408 "log_recovered" Info "The log can be used again."
        LogRecovered { outage_ms: u64 }
    409 "log_gap" Error "The log no longer holds the records that follow what the node knows."
        LogGap { expected: u64, found: u64 }
    410 "record_unreadable" Warning "A record of the log could not be understood and was skipped."
        RecordUnreadable { offset: u64 }
    411 "reader_started" Info "The node reads the log for its availability zone."
        ReaderStarted {}
    412 "reader_ended" Info "The node leaves reading the log to others."
        ReaderEnded {}

    501 "ownership_gained" Info "The node owns a part of a service's keys."
        OwnershipGained { service: ServiceName, part: u32, epoch: u64, lease_ms: u64 }
    502 "lease_renewed" Debug "The node's lease was renewed."
        LeaseRenewed { service: ServiceName, part: u32, epoch: u64, lease_ms: u64 }
    503 "lease_lapsed" Warning "The node's lease ended without renewal; it runs no keyed call."
        LeaseLapsed { service: ServiceName, part: u32, epoch: u64 }
    504 "ownership_released" Info "The node gave a part of a service's keys up."
        OwnershipReleased { service: ServiceName, part: u32, epoch: u64 }
    505 "keys_handed_over" Info "The node gave the keys it remembers to the next owner."
        KeysHandedOver { to: NodeName, keys: u32 }
    506 "keys_taken_over" Info "The node took the keys of the owner before it."
        KeysTakenOver { from: NodeName, keys: u32 }
    507 "keys_evicted" Warning "The table of keys was full; the oldest were dropped and are refused from now on."
        KeysEvicted { keys: u32 }
    508 "dispatch_fenced" Warning "A keyed call was held back, since the lease ends before its deadline."
        DispatchFenced { attempt: u16, epoch: u64 }

    601 "node_started" Info "The process began."
        NodeStarted { upstream_slots: u16 }
    602 "node_ready" Info "The node takes calls."
        NodeReady { took_ms: u32 }
    603 "stop_requested" Info "The node was asked to stop or to drain."
        StopRequested { running: u16, queued: u16 }
    604 "node_stopped" Info "The node ended."
        NodeStopped { cut: u16, took_ms: u32 }
    605 "operator_rejected" Warning "An operator's request had no valid token."
        OperatorRejected {}
    606 "overload_began" Warning "Calls of a class are refused for lack of capacity."
        OverloadBegan { service: ServiceName, class: ClassName, refused_permille: u16 }
    607 "overload_ended" Info "Calls of a class are no longer refused for lack of capacity."
        OverloadEnded { service: ServiceName, class: ClassName, lasted_ms: u64 }
    608 "target_missed" Warning "A class met its target in too small a share of its calls."
        TargetMissed { service: ServiceName, class: ClassName, met_permille: u16, share_permille: u16 }
    609 "target_met" Info "A class meets its target again."
        TargetMet { service: ServiceName, class: ClassName, met_permille: u16 }

    701 "probe_sent" Debug "A node was asked for the load of its upstream."
        ProbeSent { upstream: NodeName }
    702 "probe_answered" Debug "A node told the load of its upstream."
        ProbeAnswered { upstream: NodeName, running: u16, queued: u16, took_micros: u32 }
    703 "probe_failed" Debug "A probe got no answer."
        ProbeFailed { upstream: NodeName }
    704 "probes_withheld" Info "The budget for measuring is used up."
        ProbesWithheld { service: ServiceName, withheld: u32 }
}

//! Number, name and severity of each event.

use crate::{
    protocol::outcome::RefusalReason,
    proxy::events::{LoggedEnd, ProxyEvent, Severity},
};

impl ProxyEvent {
    /// Number and printed name of the event.
    #[must_use]
    pub const fn describe(&self) -> (u16, &'static str) {
        match self {
            Self::RequestEnded { .. } => (801, "request_ended"),
            Self::AttemptReturned { .. } => (802, "attempt_returned"),
            Self::AttemptExecuted { .. } => (803, "attempt_executed"),
            Self::RetrySuppressed { .. } => (804, "repeat_withheld"),
            Self::LinesDropped { .. } => (805, "lines_dropped"),
            Self::CrashCounted { .. } => (806, "crash_counted"),
            Self::RequestQuarantined { .. } => (807, "request_quarantined"),
            Self::QuarantineLifted { .. } => (808, "quarantine_lifted"),
            Self::CallRefusalsChanged { .. } => (809, "call_refusals_changed"),
            Self::UpstreamChecked { .. } => (810, "upstream_checked"),
            Self::UpstreamAnnounced { .. } => (811, "upstream_announced"),
            Self::UpstreamDeparted { .. } => (812, "upstream_departed"),
            Self::UpstreamReplaced { .. } => (813, "upstream_replaced"),
            Self::UpstreamRestored { .. } => (814, "upstream_recalled"),
            Self::AnnouncementRejected { .. } => (815, "announcement_rejected"),
            Self::UpstreamCrashed { .. } => (816, "upstream_crashed"),
            Self::UpstreamWarmingUp { .. } => (817, "upstream_cold"),
            Self::HeaderUnread { .. } => (818, "header_unread"),
            Self::RequestLimitChanged { .. } => (819, "request_limit_changed"),
            Self::UpstreamEjected { .. } => (861, "upstream_ejected"),
            Self::UpstreamReturning { .. } => (862, "upstream_returning"),
            Self::EjectionWithdrawn { .. } => (863, "ejection_withdrawn"),
            Self::TableInForce { .. } => (821, "table_in_force"),
            Self::StateFetched { .. } => (826, "state_fetched"),
            Self::TableOffered { .. } => (820, "table_offered"),
            Self::TableSent { .. } => (827, "table_told"),
            Self::TableReceived { .. } => (828, "table_received"),
            Self::FetchFailed { .. } => (829, "fetch_failed"),
            Self::ChangeRejected { .. } => (830, "change_rejected"),
            Self::ZoneNotified { .. } => (823, "zone_told"),
            Self::StateRejected { .. } => (824, "state_rejected"),
            Self::ReadingHandedOver { .. } => (825, "reading_handed_over"),
            Self::NodeUnreachable { .. } => (831, "node_unreachable"),
            Self::NodeKnown { .. } => (832, "node_known"),
            Self::NodeRetired { .. } => (833, "node_retired"),
            Self::NodeForgotten { .. } => (834, "node_forgotten"),
            Self::OwnRecordDropped {} => (835, "own_record_dropped"),
            Self::ZoneEvacuated { .. } => (836, "zone_evacuated"),
            Self::ZoneRestored { .. } => (837, "zone_taken_back"),
            Self::QuotaKept { .. } => (838, "quota_kept"),
            Self::KeepersUnreachable { .. } => (839, "keepers_unreachable"),
            Self::ConfigurationRejected { .. } => (841, "configuration_rejected"),
            Self::RecordRejected { .. } => (842, "record_rejected"),
            Self::PublicationEnded { .. } => (845, "publication_ended"),
            Self::OperatorRejected {} => (846, "operator_rejected"),
            Self::StoreLost { .. } => (843, "store_lost"),
            Self::StoreRegained { .. } => (844, "store_regained"),
            Self::StoreRestored { .. } => (847, "store_returned"),
            Self::NodeStarted { .. } => (851, "node_started"),
            Self::StopRequested { .. } => (852, "stop_requested"),
            Self::NodeStopped { .. } => (853, "node_stopped"),
            Self::SenderStopping { .. } => (856, "sender_stopping"),
            Self::MemoryFull { .. } => (857, "memory_full"),
            Self::SettingsRead { .. } => (854, "settings_read"),
            Self::SettingsRejected { .. } => (855, "settings_rejected"),
            Self::NodeSuspected(..) => (864, "node_suspected"),
            Self::NodeCleared(..) => (865, "node_cleared"),
        }
    }

    /// Severity of the event.
    #[must_use]
    pub const fn severity(&self) -> Severity {
        match self {
            Self::RequestEnded {
                end,
                took_ms,
                target_ms,
                ..
            } => end.severity_of_request(*took_ms > *target_ms),
            // The starts that fill the limit of a warm-up are all needed to trace how it was exceeded.
            Self::AttemptExecuted {
                cold_starts: Some(starts),
                cold_limit: Some(limit),
                ..
            } if 2 * *starts > *limit => Severity::Important,
            Self::AttemptReturned { end, .. } | Self::AttemptExecuted { end, .. } => end.severity(),
            Self::RetrySuppressed { .. } => Severity::Ordinary,
            _ => Severity::Important,
        }
    }

    /// Finish time in milliseconds that a node reported with a refusal for lack of a slot; none for any other event.
    #[must_use]
    pub const fn refused_finish(&self) -> Option<u64> {
        match self {
            Self::AttemptReturned {
                end: LoggedEnd::Refused(RefusalReason::QueueFull),
                finish_ms,
                ..
            } => Some(*finish_ms),
            _ => None,
        }
    }

    /// Id of the request that the event is about, if it is about one.
    #[must_use]
    pub fn request(&self) -> Option<&str> {
        match self {
            Self::RequestEnded { request, .. }
            | Self::AttemptReturned { request, .. }
            | Self::AttemptExecuted { request, .. }
            | Self::UpstreamCrashed { request, .. }
            | Self::RetrySuppressed { request, .. } => Some(request),
            _ => None,
        }
    }
}

impl LoggedEnd {
    /// Severity of the end of an attempt. A refusal for lack of slots or for an ejected upstream is ordinary: the entry node tries
    /// further nodes, so the request has not failed yet, and there may be many.
    #[must_use]
    pub const fn severity(&self) -> Severity {
        match self {
            Self::Answered(status) if *status < 500 => Severity::Ordinary,
            Self::Refused(
                RefusalReason::QueueFull
                | RefusalReason::CallsRejected
                | RefusalReason::UpstreamFailing,
            )
            | Self::Abandoned => Severity::Ordinary,
            _ => Severity::Important,
        }
    }

    /// Severity of the end of a whole request. Any refusal is important, since the request was not served.
    #[must_use]
    pub const fn severity_of_request(&self, is_late: bool) -> Severity {
        match self {
            Self::Answered(status) if *status < 500 && is_late => Severity::Late,
            Self::Answered(status) if *status < 500 => Severity::Ordinary,
            Self::ClientLeft
            | Self::NoRoute
            | Self::Unauthorized
            | Self::Refused(RefusalReason::QuotaExceeded) => Severity::Ordinary,
            _ => Severity::Important,
        }
    }
}

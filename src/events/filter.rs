//! Which parts of the system an event concerns, for selecting events.

use crate::{
    events::event::Event,
    state::{
        configuration::ConfigurationVersion,
        names::{ClassName, NodeName},
    },
};

impl Event {
    /// Whether the event is a step of one call.
    #[must_use]
    pub const fn is_call_step(&self) -> bool {
        self.number() < 200
    }

    /// The upstream or member that the event names.
    #[must_use]
    pub const fn upstream(&self) -> Option<&NodeName> {
        match self {
            Self::AttemptChosen { upstream, .. }
            | Self::AttemptReturned { upstream, .. }
            | Self::SettleAsked { upstream, .. }
            | Self::UpstreamAvoided { upstream, .. }
            | Self::UpstreamRestored { upstream }
            | Self::ProbeSent { upstream }
            | Self::ProbeAnswered { upstream, .. }
            | Self::ProbeFailed { upstream } => Some(upstream),
            Self::MemberJoined { member, .. }
            | Self::MemberLeft { member, .. }
            | Self::MemberSuspected { member, .. }
            | Self::MemberRecovered { member, .. }
            | Self::MemberLost { member, .. }
            | Self::PeerConnected { member }
            | Self::PeerDisconnected { member }
            | Self::MemberDamped { member, .. } => Some(member),
            Self::KeysHandedOver { to, .. } => Some(to),
            Self::KeysTakenOver { from, .. } => Some(from),
            _ => None,
        }
    }

    /// The class that the event names.
    #[must_use]
    pub const fn class(&self) -> Option<&ClassName> {
        match self {
            Self::CallReceived { class, .. }
            | Self::AttemptAdmitted { class, .. }
            | Self::AttemptQueued { class, .. }
            | Self::AttemptRefused { class, .. }
            | Self::CallEnded { class, .. }
            | Self::OverloadBegan { class, .. }
            | Self::OverloadEnded { class, .. }
            | Self::TargetMissed { class, .. }
            | Self::TargetMet { class, .. } => Some(class),
            _ => None,
        }
    }

    /// The configuration version that the event names.
    #[must_use]
    pub const fn version(&self) -> Option<ConfigurationVersion> {
        match self {
            Self::ConfigurationAccepted { version, .. }
            | Self::ConfigurationInForce { version, .. }
            | Self::ConfigurationIgnored { version, .. }
            | Self::SnapshotWritten { version, .. }
            | Self::SnapshotRead { version, .. } => Some(*version),
            Self::ConfigurationRejected { based_on, .. } => Some(*based_on),
            _ => None,
        }
    }
}

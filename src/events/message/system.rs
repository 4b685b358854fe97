//! Messages of events that are no step of a call.

use crate::events::{event::Event, message::Millis, words::describe_condition};
use std::fmt;

impl Event {
    pub(super) fn write_upstream(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UpstreamAnnounced { condition, slots } => {
                write!(
                    f,
                    "upstream announced, {slots} slots, {}",
                    describe_condition(*condition)
                )
            }
            Self::ConditionChanged {
                before,
                after,
                source,
            } => {
                let before = describe_condition(*before);
                let after = describe_condition(*after);
                write!(f, "upstream went from {before} to {after} ({source:?})")
            }
            Self::CheckFailed { failures } => write!(f, "upstream check failed {failures} times"),
            Self::CheckPassed { failures } => {
                write!(f, "upstream check passed after {failures} failures")
            }
            Self::LimitChanged { before, after } => {
                write!(f, "limit changed from {before} to {after}")
            }
            Self::UpstreamAvoided {
                upstream,
                errors_permille,
                latency_micros,
            } => {
                let latency = Millis(*latency_micros);
                write!(
                    f,
                    "{upstream} gets less work: {errors_permille} errors in 1000, {latency}"
                )
            }
            Self::UpstreamRestored { upstream } => {
                write!(f, "{upstream} gets its full share again")
            }
            Self::RampEnded { took_ms } => write!(f, "upstream warm after {took_ms} ms"),
            _ => f.write_str(self.name()),
        }
    }

    pub(super) fn write_membership(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::MemberJoined {
                member,
                incarnation,
                service,
                availability_zone,
            } => {
                let run = incarnation.0;
                write!(
                    f,
                    "{member} (run {run}) joined {service} in {availability_zone}"
                )
            }
            Self::MemberLeft { member, .. } => write!(f, "{member} left"),
            Self::MemberSuspected { member, .. } => write!(f, "{member} does not answer"),
            Self::MemberRecovered { member, .. } => write!(f, "{member} was heard from again"),
            Self::MemberLost { member, .. } => write!(f, "{member} is taken as down"),
            Self::PeerConnected { member } => write!(f, "connected to {member}"),
            Self::PeerDisconnected { member } => write!(f, "connection to {member} broke"),
            Self::PeerRejected {} => {
                f.write_str("a process without the mesh's key was turned away")
            }
            Self::MemberDamped { member, for_ms } => {
                write!(
                    f,
                    "{member} joins and leaves too often, no work for {for_ms} ms"
                )
            }
            Self::RegionParted { members } => {
                write!(
                    f,
                    "no node of another region can be reached, {members} members there"
                )
            }
            Self::RegionRejoined { members } => {
                write!(
                    f,
                    "nodes of another region can be reached, {members} members there"
                )
            }
            _ => f.write_str(self.name()),
        }
    }

    pub(super) fn write_configuration(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ConfigurationAccepted { version, offset } => {
                write!(f, "version {} accepted at offset {offset}", version.0)
            }
            Self::ConfigurationRejected {
                based_on,
                current,
                offset,
            } => {
                let (based_on, current) = (based_on.0, current.0);
                write!(
                    f,
                    "publication at offset {offset} rejected: based on version {based_on}, current is {current}"
                )
            }
            Self::ConfigurationInForce { version, source } => {
                write!(f, "version {} in force ({source:?})", version.0)
            }
            Self::ConfigurationIgnored { offered, version } => {
                write!(
                    f,
                    "version {} ignored, {} is in force",
                    offered.0, version.0
                )
            }
            Self::SnapshotWritten { version, offset } => {
                write!(
                    f,
                    "snapshot of version {} written at offset {offset}",
                    version.0
                )
            }
            Self::SnapshotRead { version, offset } => {
                write!(
                    f,
                    "began from the snapshot of version {} at offset {offset}",
                    version.0
                )
            }
            Self::LogUnavailable { failures } => {
                write!(f, "the log can't be used, {failures} failures in a row")
            }
            Self::LogRecovered { outage_ms } => {
                write!(f, "the log can be used again after {outage_ms} ms")
            }
            Self::LogGap { expected, found } => {
                write!(f, "the log begins at offset {found}, {expected} was needed")
            }
            Self::RecordUnreadable { offset } => {
                write!(
                    f,
                    "record at offset {offset} skipped, it can't be understood"
                )
            }
            Self::ReaderStarted {} => f.write_str("reads the log for its availability zone"),
            Self::ReaderEnded {} => f.write_str("no longer reads the log"),
            _ => f.write_str(self.name()),
        }
    }

    pub(super) fn write_ownership(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::OwnershipGained {
                service,
                part,
                epoch,
                lease_ms,
            } => {
                write!(
                    f,
                    "owns part {part} of {service}'s keys, epoch {epoch}, for {lease_ms} ms"
                )
            }
            Self::LeaseRenewed {
                service,
                part,
                epoch,
                lease_ms,
            } => {
                write!(
                    f,
                    "lease on part {part} of {service}, epoch {epoch}, renewed for {lease_ms} ms"
                )
            }
            Self::LeaseLapsed {
                service,
                part,
                epoch,
            } => {
                write!(
                    f,
                    "lease on part {part} of {service}, epoch {epoch}, lapsed"
                )
            }
            Self::OwnershipReleased {
                service,
                part,
                epoch,
            } => {
                write!(f, "gave up part {part} of {service}, epoch {epoch}")
            }
            Self::KeysHandedOver { to, keys } => write!(f, "{keys} keys handed over to {to}"),
            Self::KeysTakenOver { from, keys } => write!(f, "{keys} keys taken over from {from}"),
            Self::KeysEvicted { keys } => write!(f, "key table full, {keys} keys dropped"),
            Self::DispatchFenced { attempt, epoch } => {
                write!(
                    f,
                    "attempt {attempt} held back, the lease of epoch {epoch} ends too early"
                )
            }
            _ => f.write_str(self.name()),
        }
    }

    pub(super) fn write_process(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NodeStarted { upstream_slots } => {
                write!(f, "node started, upstream with {upstream_slots} slots")
            }
            Self::NodeReady { took_ms } => write!(f, "node takes calls after {took_ms} ms"),
            Self::StopRequested { running, queued } => {
                write!(
                    f,
                    "asked to stop with {running} calls running, {queued} queued"
                )
            }
            Self::NodeStopped { cut, took_ms } => {
                write!(f, "node stopped after {took_ms} ms, {cut} calls cut")
            }
            Self::OperatorRejected {} => f.write_str("operator's request without a valid token"),
            Self::OverloadBegan {
                service,
                class,
                refused_permille,
            } => {
                write!(
                    f,
                    "{service}/{class} overloaded, {refused_permille} in 1000 refused"
                )
            }
            Self::OverloadEnded {
                service,
                class,
                lasted_ms,
            } => {
                write!(
                    f,
                    "{service}/{class} no longer overloaded after {lasted_ms} ms"
                )
            }
            Self::TargetMissed {
                service,
                class,
                met_permille,
                share_permille,
            } => {
                write!(
                    f,
                    "{service}/{class} on target for {met_permille} in 1000, wanted {share_permille}"
                )
            }
            Self::TargetMet {
                service,
                class,
                met_permille,
            } => {
                write!(
                    f,
                    "{service}/{class} on target again for {met_permille} in 1000"
                )
            }
            _ => f.write_str(self.name()),
        }
    }

    pub(super) fn write_measuring(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ProbeSent { upstream } => write!(f, "load of {upstream} asked"),
            Self::ProbeAnswered {
                upstream,
                running,
                queued,
                took_micros,
            } => {
                let took = Millis(*took_micros);
                write!(
                    f,
                    "load of {upstream}: {running} running, {queued} queued, after {took}"
                )
            }
            Self::ProbeFailed { upstream } => write!(f, "no load report from {upstream}"),
            Self::ProbesWithheld { service, withheld } => {
                write!(f, "{withheld} probes of {service} withheld by the budget")
            }
            _ => f.write_str(self.name()),
        }
    }
}

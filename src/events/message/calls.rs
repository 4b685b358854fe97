//! Messages of the steps of calls.

use crate::events::{
    event::Event,
    message::Millis,
    words::{
        describe_cause, describe_choice, describe_refusal, describe_repeat, describe_settlement,
        describe_stop,
    },
};
use std::fmt;

impl Event {
    pub(super) fn write_call(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::CallReceived {
                service,
                class,
                depth,
                time_left_micros,
                keyed,
                ..
            } => {
                let keyed = if *keyed { " with a key" } else { "" };
                let left = Millis(*time_left_micros);
                write!(
                    f,
                    "call received for {service}/{class}{keyed}, depth {depth}, {left} left"
                )
            }
            Self::AttemptChosen {
                attempt,
                upstream,
                reason,
                candidates,
                known_load,
                known_age_ms,
            } => {
                let why = describe_choice(*reason);
                write!(
                    f,
                    "attempt {attempt} goes to {upstream}: {why} ({candidates} candidates, load {known_load} known for {known_age_ms} ms)"
                )
            }
            Self::SettleAsked { attempt, upstream } => {
                write!(f, "{upstream} asked whether attempt {attempt} ran")
            }
            Self::AttemptSettled {
                attempt,
                settlement,
            } => {
                write!(
                    f,
                    "attempt {attempt} settled: {}",
                    describe_settlement(*settlement)
                )
            }
            Self::CallRetried { attempt, reason } => {
                write!(
                    f,
                    "attempt {attempt} follows: {}",
                    describe_refusal(*reason)
                )
            }
            Self::CallHedged {
                attempt,
                after_micros,
            } => {
                write!(
                    f,
                    "attempt {attempt} sent beside the first after {}",
                    Millis(*after_micros)
                )
            }
            Self::RetryWithheld { reason } => {
                write!(f, "no further attempt: {}", describe_stop(*reason))
            }
            Self::KeyRepeated { attempt, met } => {
                write!(
                    f,
                    "attempt {attempt} repeats a key: {}",
                    describe_repeat(*met)
                )
            }
            Self::CallEnded {
                outcome,
                attempts,
                took_micros,
                target_micros,
                ..
            } => {
                let took = Millis(*took_micros);
                let target = Millis(*target_micros);
                let plural = if *attempts == 1 { "" } else { "s" };
                write!(
                    f,
                    "call ended after {took} (target {target}, {attempts} attempt{plural}): {outcome}"
                )
            }
            Self::RequestRejected { status } => {
                write!(f, "request rejected with status {status}")
            }
            _ => self.write_attempt(f),
        }
    }

    fn write_attempt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::AttemptAdmitted {
                attempt,
                running,
                limit,
                ..
            } => {
                write!(
                    f,
                    "attempt {attempt} admitted, {running} of {limit} running"
                )
            }
            Self::AttemptQueued {
                attempt,
                queued,
                running,
                limit,
                ..
            } => {
                write!(
                    f,
                    "attempt {attempt} queued, {queued} waiting, {running} of {limit} running"
                )
            }
            Self::AttemptRefused {
                attempt,
                reason,
                queued,
                running,
                limit,
                ..
            } => {
                let why = describe_refusal(*reason);
                write!(
                    f,
                    "attempt {attempt} refused: {why} ({queued} waiting, {running} of {limit} running)"
                )
            }
            Self::AttemptDispatched {
                attempt,
                waited_micros,
            } => {
                write!(
                    f,
                    "attempt {attempt} handed to the upstream after {}",
                    Millis(*waited_micros)
                )
            }
            Self::UpstreamAnswered {
                attempt,
                status,
                took_micros,
            } => {
                write!(
                    f,
                    "attempt {attempt} answered with status {status} after {}",
                    Millis(*took_micros)
                )
            }
            Self::AttemptCut {
                attempt,
                cause,
                took_micros,
            } => {
                let why = describe_cause(*cause);
                write!(
                    f,
                    "attempt {attempt} cut after {}: {why}",
                    Millis(*took_micros)
                )
            }
            Self::AttemptCancelled {
                attempt,
                dispatched,
            } => {
                let when = if *dispatched { "after" } else { "before" };
                write!(
                    f,
                    "attempt {attempt} cancelled {when} it was handed to the upstream"
                )
            }
            Self::AttemptReturned {
                attempt,
                upstream,
                outcome,
                took_micros,
            } => {
                write!(
                    f,
                    "attempt {attempt} at {upstream} after {}: {outcome}",
                    Millis(*took_micros)
                )
            }
            _ => f.write_str(self.name()),
        }
    }
}

//! Events as one line of text for people.

mod calls;
mod system;

use crate::events::{
    event::Event,
    reasons::OutcomeSummary,
    words::{describe_cause, describe_refusal},
};
use std::fmt;

/// Microseconds, written in milliseconds.
pub struct Millis(pub u32);

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.2} ms", f64::from(self.0) / 1_000.0)
    }
}

impl fmt::Display for OutcomeSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Answered(status) => write!(f, "answered with status {status}"),
            Self::NotRun(reason) => write!(f, "not run: {}", describe_refusal(*reason)),
            Self::Unknown(cause) => write!(f, "unknown: {}", describe_cause(*cause)),
        }
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.number() / 100 {
            1 => self.write_call(f),
            2 => self.write_upstream(f),
            3 => self.write_membership(f),
            4 => self.write_configuration(f),
            5 => self.write_ownership(f),
            6 => self.write_process(f),
            _ => self.write_measuring(f),
        }
    }
}

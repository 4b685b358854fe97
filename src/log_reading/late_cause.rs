//! What a late request spent most of its time with.

use crate::log_reading::{
    description::NodeNames,
    line::{EndField, LogLine},
    request_lines::RequestLines,
};
use serde::Serialize;

/// What a late request spent most of its time with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LateCause {
    /// It waited for a slot at the node that ran it.
    WaitedForSlot,
    /// Its run took long.
    RanSlow,
    /// It was refused by other nodes, or tried in vain, before one ran it.
    SoughtSlot,
    /// Its upstream waited for a call that it made.
    CalledOthers,
    /// No line on its attempts is there.
    NotTold,
}

impl LateCause {
    /// Finds it from the lines on the request and the time of its slowest call.
    #[must_use]
    pub fn find(lines: &RequestLines<'_>, names: &NodeNames, call_ms: Option<u64>) -> Self {
        let Some(end) = lines.end else {
            return Self::NotTold;
        };
        if call_ms.is_some_and(|call_ms| took_most_of_time(call_ms, end)) {
            return Self::CalledOthers;
        }
        // The line on the attempt that was answered may have been left out. The others alone would look as if
        // all time had gone into them.
        if !lines.returned.iter().any(|line| is_answered(line)) {
            return Self::NotTold;
        }
        let Some(slowest) = lines.find_slowest(names) else {
            return Self::NotTold;
        };
        if !is_answered(slowest.returned) {
            return Self::SoughtSlot;
        }
        let sought_ms = end.number("took_ms").saturating_sub(slowest.took_ms);
        let (waited_ms, ran_ms) = (slowest.waited_ms, slowest.ran_ms());
        if ran_ms >= waited_ms.max(sought_ms) {
            Self::RanSlow
        } else if waited_ms >= sought_ms {
            Self::WaitedForSlot
        } else {
            Self::SoughtSlot
        }
    }

    /// In words.
    #[must_use]
    pub const fn describe(self) -> &'static str {
        match self {
            Self::WaitedForSlot => "waited for a slot",
            Self::RanSlow => "ran slow",
            Self::SoughtSlot => "looked for a slot",
            Self::CalledOthers => "called others",
            Self::NotTold => "not told",
        }
    }
}

fn is_answered(line: &LogLine) -> bool {
    matches!(line.end(), EndField::Answered(_))
}

/// Whether a call took most of the time of the request that it was made for.
#[must_use]
pub fn took_most_of_time(call_ms: u64, end: &LogLine) -> bool {
    call_ms >= end.number("took_ms") / 2
}

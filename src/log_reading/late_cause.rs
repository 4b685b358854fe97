//! Determines what a late request spent most of its time on.

use crate::log_reading::{
    description::NodeNames,
    line::{EndField, LogLine},
    request_lines::RequestLines,
};
use serde::Serialize;

/// What a late request spent most of its time on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LateCause {
    /// It waited for a slot at the executing node.
    WaitedForSlot,
    /// Its execution took long.
    RanSlow,
    /// Other nodes refused it, or attempts there failed, before one node executed it.
    #[serde(rename = "sought_slot")]
    SearchedForSlot,
    /// Its upstream waited for a call to another service.
    #[serde(rename = "called_others")]
    WaitedForCall,
    /// The lines on its attempts are missing.
    #[serde(rename = "not_told")]
    NotLogged,
}

impl LateCause {
    /// Determines the cause from the lines on the request. `call_ms` is the duration of the slowest call that the
    /// upstream made for it; none if it made no call.
    #[must_use]
    pub fn determine(lines: &RequestLines<'_>, names: &NodeNames, call_ms: Option<u64>) -> Self {
        let Some(end) = lines.end else {
            return Self::NotLogged;
        };
        if call_ms.is_some_and(|call_ms| took_most_of_time(call_ms, end)) {
            return Self::WaitedForCall;
        }
        // The line on the answered attempt may have been dropped. The other attempts alone would appear to have
        // taken all the time.
        if !lines.returned.iter().any(|line| is_answered(line)) {
            return Self::NotLogged;
        }
        let Some(slowest) = lines.find_slowest(names) else {
            return Self::NotLogged;
        };
        if !is_answered(slowest.returned) {
            return Self::SearchedForSlot;
        }
        let search_ms = end.number("took_ms").saturating_sub(slowest.took_ms);
        let (waited_ms, ran_ms) = (slowest.waited_ms, slowest.ran_ms());
        if ran_ms >= waited_ms.max(search_ms) {
            Self::RanSlow
        } else if waited_ms >= search_ms {
            Self::WaitedForSlot
        } else {
            Self::SearchedForSlot
        }
    }

    /// The cause in words. They are also the values of `cause` in the JSON output of `misses`.
    #[must_use]
    pub const fn describe(self) -> &'static str {
        match self {
            Self::WaitedForSlot => "waited for a slot",
            Self::RanSlow => "ran slow",
            Self::SearchedForSlot => "looked for a slot",
            Self::WaitedForCall => "called others",
            Self::NotLogged => "not told",
        }
    }
}

fn is_answered(line: &LogLine) -> bool {
    matches!(line.end(), EndField::Answered(_))
}

/// Whether a call took at least half of the duration of the request that it was made for.
#[must_use]
pub fn took_most_of_time(call_ms: u64, end: &LogLine) -> bool {
    call_ms >= end.number("took_ms") / 2
}

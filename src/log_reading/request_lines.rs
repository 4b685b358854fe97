//! The log lines on one request, and its slowest attempt.

use crate::log_reading::{
    description::NodeNames,
    line::{EndField, LogLine},
    order::TimedLine,
};

/// Separates the id of a request from the suffix that a call made for it adds to form its own id.
const CALL_SEPARATOR: char = '.';

/// All log lines on a request.
#[derive(Clone, Debug, Default)]
pub struct RequestLines<'a> {
    /// Line of the entry node on the end of the request.
    pub end: Option<&'a LogLine>,
    /// Lines of the entry node on attempts.
    pub returned: Vec<&'a LogLine>,
    /// Lines of the executing nodes on attempts.
    pub executed: Vec<&'a LogLine>,
    /// State changes that the involved nodes logged during the request, shortly before or shortly after it.
    pub state_changes: Vec<&'a TimedLine>,
}

/// The attempt of a request that took longest.
#[derive(Clone, Copy, Debug)]
pub struct SlowestAttempt<'a> {
    /// Line of the entry node.
    pub returned: &'a LogLine,
    /// Line of the executing node, if it logged the attempt.
    pub executed: Option<&'a LogLine>,
    /// Name of the executing node, or its address if the name is not known.
    pub node: &'a str,
    /// Duration as the entry node saw it, in milliseconds.
    pub took_ms: u64,
    /// Part of the duration that was spent waiting for a slot, in milliseconds.
    pub waited_ms: u64,
}

impl SlowestAttempt<'_> {
    /// Part of the duration that was not spent waiting for a slot, in milliseconds.
    #[must_use]
    pub const fn ran_ms(&self) -> u64 {
        self.took_ms.saturating_sub(self.waited_ms)
    }

    /// Whether the request ended while the attempt was in progress.
    #[must_use]
    pub fn is_abandoned(&self) -> bool {
        self.returned.end() == EndField::ABANDONED
    }
}

impl<'a> RequestLines<'a> {
    /// Returns the attempt that took longest; none if the entry node logged no attempt.
    #[must_use]
    pub fn find_slowest(&self, names: &'a NodeNames) -> Option<SlowestAttempt<'a>> {
        let returned = self.returned.iter();
        let slowest = *returned.max_by_key(|line| line.number("took_ms"))?;
        let node = names.find(slowest.text("to"));
        let mut executed = self.executed.iter().copied();
        let executed = executed.find(|line| line.node.as_str() == node);
        let waited_ms = match executed {
            Some(executed) if slowest.end() == EndField::ABANDONED => executed.number("waited_ms"),
            _ => slowest.number("waited_ms"),
        };
        Some(SlowestAttempt {
            returned: slowest,
            executed,
            node,
            took_ms: slowest.number("took_ms"),
            waited_ms,
        })
    }
}

/// Returns the id of the request that a call was made for. The id of a call is that of the request, a dot and a
/// suffix.
#[must_use]
pub fn find_parent_request(call: &str) -> Option<&str> {
    call.rsplit_once(CALL_SEPARATOR).map(|(parent, _)| parent)
}

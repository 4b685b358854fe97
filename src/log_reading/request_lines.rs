//! The lines on one request, and where its time went.

use crate::log_reading::{
    description::NodeNames,
    line::{EndField, LogLine},
    order::TimedLine,
};

/// What stands between the id of a request and the own part of the id of a call that it made.
const CALL_SEPARATOR: char = '.';

/// What is known of a request.
#[derive(Clone, Debug, Default)]
pub struct RequestLines<'a> {
    /// Its end at the node that took it.
    pub end: Option<&'a LogLine>,
    /// Its attempts as that node saw them.
    pub returned: Vec<&'a LogLine>,
    /// Its attempts as the nodes beside upstreams saw them.
    pub executed: Vec<&'a LogLine>,
    /// What the nodes that had to do with it began to believe shortly before and during it.
    pub beliefs: Vec<&'a TimedLine>,
}

/// The attempt that took longest.
#[derive(Clone, Copy, Debug)]
pub struct SlowestAttempt<'a> {
    /// Its line at the entry node.
    pub returned: &'a LogLine,
    /// Its line at the node beside the upstream.
    pub executed: Option<&'a LogLine>,
    /// The node that was asked.
    pub node: &'a str,
    /// How long it took.
    pub took_ms: u64,
    /// How long of that it waited for a slot.
    pub waited_ms: u64,
}

impl SlowestAttempt<'_> {
    /// How long it did not wait.
    #[must_use]
    pub const fn ran_ms(&self) -> u64 {
        self.took_ms.saturating_sub(self.waited_ms)
    }

    /// Whether the request ended while it was under way.
    #[must_use]
    pub fn is_abandoned(&self) -> bool {
        self.returned.end() == EndField::ABANDONED
    }
}

impl<'a> RequestLines<'a> {
    /// The attempt that took longest, if one is told of.
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

/// The request that a call was made for: the identity of a call begins with that of the request and a dot.
#[must_use]
pub fn find_parent_request(call: &str) -> Option<&str> {
    call.rsplit_once(CALL_SEPARATOR).map(|(caller, _)| caller)
}

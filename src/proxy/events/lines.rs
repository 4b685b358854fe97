//! Writes the lines of a node, within bounds.
//!
//! A node that logs each of many failures would spend its share of the processor on lines, and be late
//! with requests just when most fail.

use crate::{
    options::proxy_settings::LineRules,
    proxy::events::{ProxyEvent, Severity},
    state::{names::NodeName, rate_limit::RateLimit, timestamp::Timestamp},
};
use serde::Serialize;
use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    hash::{DefaultHasher, Hash, Hasher},
};
use tracing::Level;
use tracing_subscriber::fmt::{
    format::Writer,
    time::{FormatTime, SystemTime},
};

/// Important lines a second, and how many may come at once. A line costs some 45 microseconds with its write; so
/// many are under a thousandth of a core.
const TELLING: (f64, f64) = (15.0, 150.0);
/// The same of ordinary ones: a sample, since a line costs a fifth of what a node spends on a request.
const ORDINARY: (f64, f64) = (5.0, 20.0);

/// A line that goes out, with what every line has.
#[derive(Serialize)]
struct Line<'a> {
    node: &'a NodeName,
    /// Rises by one with each line of the process.
    seq: u64,
    /// Time since the start by the steady clock, in milliseconds: the time of day may jump.
    up_ms: u64,
    #[serde(flatten)]
    event: &'a ProxyEvent,
}

/// Counts lines and leaves out those that the bounds do not hold.
pub struct LineWriter {
    node: NodeName,
    started: Timestamp,
    rules: LineRules,
    next: Cell<u64>,
    telling: RefCell<RateLimit>,
    ordinary: RefCell<RateLimit>,
    dropped: Cell<u64>,
    kept: RefCell<VecDeque<(u64, String)>>,
}

impl LineWriter {
    /// A writer of the lines of a node that starts now.
    #[must_use]
    pub fn new(node: NodeName, rules: LineRules, started: Timestamp) -> Self {
        Self {
            node,
            started,
            rules,
            next: Cell::new(1),
            telling: RefCell::new(RateLimit::new(TELLING.0, TELLING.1)),
            ordinary: RefCell::new(RateLimit::new(ORDINARY.0, ORDINARY.1)),
            dropped: Cell::default(),
            kept: RefCell::default(),
        }
    }

    /// Writes a line if the bounds hold it.
    pub fn write(&self, event: &ProxyEvent, now: Timestamp) {
        self.write_with_severity(event.severity(), event, now);
    }

    /// Writes a line with another weight than its own: what led to a failure tells as much as the
    /// failure. Important lines left out are counted, and told with the next one.
    pub fn write_with_severity(&self, severity: Severity, event: &ProxyEvent, now: Timestamp) {
        if !self.is_sampled(severity, event) {
            return;
        }
        if !self.admit(severity, now) {
            if severity != Severity::Ordinary {
                self.dropped.set(self.dropped.get() + 1);
            }
            return;
        }
        let lines = self.dropped.take();
        if lines > 0 {
            self.emit(
                Severity::Important,
                &ProxyEvent::LinesDropped { lines },
                now,
            );
        }
        self.emit(severity, event, now);
    }

    /// Takes one line out of the bounds, if they hold it.
    pub fn admit(&self, severity: Severity, now: Timestamp) -> bool {
        match severity {
            Severity::Important | Severity::Late => self.telling.borrow_mut().try_acquire(now),
            Severity::Ordinary => self.ordinary.borrow_mut().try_acquire(now),
        }
    }

    fn is_sampled(&self, severity: Severity, event: &ProxyEvent) -> bool {
        let one_in = match severity {
            Severity::Important => 1,
            Severity::Late => self.rules.one_in_late(),
            Severity::Ordinary => self.rules.one_in,
        };
        event.request().is_none_or(|request| {
            let mut hasher = DefaultHasher::new();
            find_root(request).hash(&mut hasher);
            hasher.finish().is_multiple_of(one_in.max(1))
        })
    }

    /// Kept lines from a number on, and the number to ask for next.
    #[must_use]
    pub fn list_kept(&self, from: u64) -> (Vec<String>, u64) {
        let kept = self.kept.borrow();
        let newer = kept.iter().filter(|(number, _)| *number >= from);
        (
            newer.map(|(_, line)| line.clone()).collect(),
            self.next.get(),
        )
    }

    /// The number of the oldest kept line, or of the next line if none is kept.
    #[must_use]
    pub fn oldest_kept(&self) -> u64 {
        let kept = self.kept.borrow();
        kept.front().map_or(self.next.get(), |(number, _)| *number)
    }

    fn emit(&self, severity: Severity, event: &ProxyEvent, now: Timestamp) {
        let (number, name) = event.describe();
        let seq = self.next.get();
        self.next.set(seq + 1);
        let line = Line {
            node: &self.node,
            seq,
            up_ms: now
                .since(self.started)
                .as_millis()
                .try_into()
                .unwrap_or(u64::MAX),
            event,
        };
        let fields = serde_json::to_string(&line).unwrap_or_default();
        let level = match severity {
            Severity::Ordinary => Level::INFO,
            Severity::Late | Severity::Important => Level::WARN,
        };
        self.keep(seq, level, (number, name), &fields);
        match severity {
            Severity::Ordinary => tracing::info!(event = number, name, fields),
            Severity::Late | Severity::Important => tracing::warn!(event = number, name, fields),
        }
    }

    /// Keeps a line as it stands on standard output.
    fn keep(&self, seq: u64, level: Level, (number, name): (u16, &str), fields: &str) {
        if self.rules.kept == 0 {
            return;
        }
        let mut time = String::new();
        // Writing to a string never fails.
        let _ = SystemTime.format_time(&mut Writer::new(&mut time));
        let members = fields.trim_start_matches('{');
        let line = format!(
            "{{\"time\":\"{time}\",\"level\":\"{level}\",\"event\":{number},\"name\":\"{name}\",{members}"
        );
        let mut kept = self.kept.borrow_mut();
        if kept.len() >= self.rules.kept {
            kept.pop_front();
        }
        kept.push_back((seq, line));
    }
}

/// The request that a call was made for bears the first part of its identity: both are told of, or neither.
fn find_root(request: &str) -> &str {
    request.split('.').next().unwrap_or(request)
}

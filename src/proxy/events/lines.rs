//! Writes the log lines of a node, sampled and rate limited.
//!
//! A node that logged each of many failures would spend much of its CPU time on log lines, and would answer requests late
//! while most requests fail.

use crate::{
    options::proxy_settings::LogSettings,
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

/// Rate limit of important and late lines: lines per second and burst. Writing a line takes some 45 microseconds, so this rate
/// takes less than a thousandth of a core.
const IMPORTANT_LINE_RATE: (f64, f64) = (15.0, 150.0);
/// Rate limit of ordinary lines: lines per second and burst. Only a sample is written, since a line takes a fifth of the CPU time
/// that a node spends on a request.
const ORDINARY_LINE_RATE: (f64, f64) = (5.0, 20.0);

/// An event with the fields that every log line has.
#[derive(Serialize)]
struct Line<'a> {
    node: &'a NodeName,
    /// Sequence number; increases by one with each line of the process.
    seq: u64,
    /// Time since the start in milliseconds, by the monotonic clock, since the time of day may jump.
    up_ms: u64,
    #[serde(flatten)]
    event: &'a ProxyEvent,
}

/// Writes log lines, and drops those beyond the rate limits and the sampling rate.
pub struct LineWriter {
    node: NodeName,
    started: Timestamp,
    settings: LogSettings,
    next_seq: Cell<u64>,
    important_limit: RefCell<RateLimit>,
    ordinary_limit: RefCell<RateLimit>,
    dropped_lines: Cell<u64>,
    kept_lines: RefCell<VecDeque<(u64, String)>>,
}

impl LineWriter {
    /// Creates the writer of a node that starts at `started`.
    #[must_use]
    pub fn new(node: NodeName, settings: LogSettings, started: Timestamp) -> Self {
        Self {
            node,
            started,
            settings,
            next_seq: Cell::new(1),
            important_limit: RefCell::new(RateLimit::new(
                IMPORTANT_LINE_RATE.0,
                IMPORTANT_LINE_RATE.1,
            )),
            ordinary_limit: RefCell::new(RateLimit::new(
                ORDINARY_LINE_RATE.0,
                ORDINARY_LINE_RATE.1,
            )),
            dropped_lines: Cell::default(),
            kept_lines: RefCell::default(),
        }
    }

    /// Writes a line unless it is not sampled or exceeds the rate limit.
    pub fn write(&self, event: &ProxyEvent, now: Timestamp) {
        self.write_with_severity(event.severity(), event, now);
    }

    /// Writes a line with another severity than that of the event: the attempts of a failed request are as important as its
    /// failure. Dropped lines other than ordinary ones are counted, and the count is written before the next line.
    pub fn write_with_severity(&self, severity: Severity, event: &ProxyEvent, now: Timestamp) {
        if !self.is_sampled(severity, event) {
            return;
        }
        if !self.admit(severity, now) {
            if severity != Severity::Ordinary {
                self.dropped_lines.set(self.dropped_lines.get() + 1);
            }
            return;
        }
        let lines = self.dropped_lines.take();
        if lines > 0 {
            self.emit(
                Severity::Important,
                &ProxyEvent::LinesDropped { lines },
                now,
            );
        }
        self.emit(severity, event, now);
    }

    /// Counts one line against the rate limit of its severity. Returns whether it may be written.
    pub fn admit(&self, severity: Severity, now: Timestamp) -> bool {
        match severity {
            Severity::Important | Severity::Late => {
                self.important_limit.borrow_mut().try_acquire(now)
            }
            Severity::Ordinary => self.ordinary_limit.borrow_mut().try_acquire(now),
        }
    }

    fn is_sampled(&self, severity: Severity, event: &ProxyEvent) -> bool {
        let one_in = match severity {
            Severity::Important => 1,
            Severity::Late => self.settings.late_one_in(),
            Severity::Ordinary => self.settings.ordinary_one_in,
        };
        event.request().is_none_or(|request| {
            let mut hasher = DefaultHasher::new();
            find_root(request).hash(&mut hasher);
            hasher.finish().is_multiple_of(one_in.max(1))
        })
    }

    /// The kept lines from a sequence number on, and the number of the next line.
    #[must_use]
    pub fn list_kept(&self, from: u64) -> (Vec<String>, u64) {
        let kept_lines = self.kept_lines.borrow();
        let selected = kept_lines.iter().filter(|(number, _)| *number >= from);
        (
            selected.map(|(_, line)| line.clone()).collect(),
            self.next_seq.get(),
        )
    }

    /// Sequence number of the oldest kept line, or of the next line if none is kept.
    #[must_use]
    pub fn oldest_kept(&self) -> u64 {
        let kept_lines = self.kept_lines.borrow();
        kept_lines
            .front()
            .map_or(self.next_seq.get(), |(number, _)| *number)
    }

    fn emit(&self, severity: Severity, event: &ProxyEvent, now: Timestamp) {
        let (number, name) = event.describe();
        let seq = self.next_seq.get();
        self.next_seq.set(seq + 1);
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

    /// Keeps a line for operators' tools, in the form in which it is written to standard output.
    fn keep(&self, seq: u64, level: Level, (number, name): (u16, &str), fields: &str) {
        if self.settings.kept_lines == 0 {
            return;
        }
        let mut time = String::new();
        // Writing to a string never fails.
        let _ = SystemTime.format_time(&mut Writer::new(&mut time));
        let members = fields.trim_start_matches('{');
        let line = format!(
            "{{\"time\":\"{time}\",\"level\":\"{level}\",\"event\":{number},\"name\":\"{name}\",{members}"
        );
        let mut kept_lines = self.kept_lines.borrow_mut();
        if kept_lines.len() >= self.settings.kept_lines {
            kept_lines.pop_front();
        }
        kept_lines.push_back((seq, line));
    }
}

/// Id of the client's request from which a call between services comes: the part of the id before the first dot. Both are
/// sampled alike, so both are logged or neither.
fn find_root(request: &str) -> &str {
    request.split('.').next().unwrap_or(request)
}

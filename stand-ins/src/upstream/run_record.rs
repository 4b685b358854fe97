//! Records of the calls that an upstream ran.

use std::{
    collections::VecDeque,
    sync::atomic::{AtomicU64, Ordering},
};

/// Orders the runs of all upstreams of this process.
static NEXT_SEQUENCE: AtomicU64 = AtomicU64::new(0);

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// It has not ended.
    Running,
    /// To its end, whether or not the answer arrived.
    Finished,
    /// Answered 500 at once by a failing upstream.
    Failed,
    /// The client went away.
    Cancelled,
    /// The deadline passed.
    DeadlinePassed,
}

/// One run of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Position among the runs of all upstreams of this process.
    pub sequence: u64,
    /// Header `camphorturn-call`.
    pub call: Option<String>,
    /// Header `idempotency-key`.
    pub key: Option<String>,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Start, in microseconds since the upstream's start.
    pub started_micros: u64,
    /// End, in microseconds since the upstream's start.
    pub ended_micros: Option<u64>,
    /// How it ended.
    pub end: RunEnd,
    /// Whether the upstream was draining when the run began.
    pub while_draining: bool,
}

#[derive(Debug)]
pub(super) struct RunRecords {
    runs: VecDeque<Run>,
    limit: usize,
    gone: u64,
}

impl RunRecords {
    pub fn new(limit: usize) -> Self {
        Self {
            runs: VecDeque::new(),
            limit,
            gone: 0,
        }
    }

    /// Records a run and returns its number at this upstream and its sequence number.
    pub fn begin(&mut self, mut run: Run) -> (u64, u64) {
        let sequence = NEXT_SEQUENCE.fetch_add(1, Ordering::Relaxed);
        run.sequence = sequence;
        let number = self.count();
        self.runs.push_back(run);
        if self.runs.len() > self.limit {
            self.runs.pop_front();
            self.gone += 1;
        }
        (number, sequence)
    }

    pub fn end(&mut self, number: u64, end: RunEnd, micros: u64) {
        let index = number.checked_sub(self.gone);
        let index = index.and_then(|index| usize::try_from(index).ok());
        if let Some(run) = index.and_then(|index| self.runs.get_mut(index)) {
            run.end = end;
            run.ended_micros = Some(micros);
        }
    }

    pub fn count(&self) -> u64 {
        self.gone + self.runs.len() as u64
    }

    pub fn to_vec(&self) -> Vec<Run> {
        self.runs.iter().cloned().collect()
    }
}

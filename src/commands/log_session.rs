//! A command's own view of the log, read to its end when asked.

use crate::{
    coordination::log_reader::{LogReader, LogUpdate, ReaderPace, SnapshotRules},
    protocol::platform_log::{PlatformLog, ReadError},
    state::{moment::Moment, published::FoldedState},
    timers::TimerService,
};
use std::time::Duration;
use thiserror::Error;

/// Time between reads of a log that works.
const COMMAND_PACE: ReaderPace = ReaderPace {
    poll: Duration::from_millis(50),
    longest_retry: Duration::from_millis(500),
};

/// Why the state can't be told.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LogSessionError {
    /// The log did not work in time.
    #[error("{0}")]
    Unreadable(#[from] ReadError),
    /// Records are forgotten that no snapshot covers.
    #[error("the log holds no snapshot that joins its retained records")]
    NoBase,
    /// The log ends before what was read from it.
    #[error("the log has lost records; it may have been emptied")]
    WentBackwards,
    /// Reading to the end took too long.
    #[error("the log could not be read to its end in time")]
    TooSlow,
}

/// A log and what a command has read of it.
pub struct LogSession<'a, L> {
    log: &'a L,
    timers: &'a TimerService,
    reader: LogReader,
    deadline: Moment,
}

impl<'a, L: PlatformLog> LogSession<'a, L> {
    /// A session that gives up after `limit`.
    pub fn new(log: &'a L, timers: &'a TimerService, limit: Duration) -> Self {
        Self {
            log,
            timers,
            reader: LogReader::new(COMMAND_PACE, SnapshotRules::default()),
            deadline: timers.now() + limit,
        }
    }

    /// The log.
    #[must_use]
    pub fn log(&self) -> &L {
        self.log
    }

    /// The state as of the last read.
    #[must_use]
    pub fn state(&self) -> &FoldedState {
        self.reader.state()
    }

    /// Whether the time is up.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.timers.now() >= self.deadline
    }

    /// Lets the usual time between two reads pass.
    pub fn pause(&self) {
        // The timer service ends only with the process.
        let _ = self.timers.after(COMMAND_PACE.poll).recv();
    }

    /// Reads until everything is folded that was stored when this was called.
    ///
    /// # Errors
    /// The time is up, or the log has no usable state.
    pub fn read_to_end(&mut self) -> Result<(), LogSessionError> {
        let mut failure = LogSessionError::TooSlow;
        loop {
            for update in self.read_once() {
                match update {
                    LogUpdate::CaughtUp { .. } => return Ok(()),
                    LogUpdate::NoBase { .. } => return Err(LogSessionError::NoBase),
                    LogUpdate::WentBackwards { .. } => return Err(LogSessionError::WentBackwards),
                    LogUpdate::Unavailable { error, .. } => {
                        failure = error.into();
                        self.pause();
                    }
                    LogUpdate::Folded { .. } => {}
                }
            }
            if self.is_over() {
                return Err(failure);
            }
        }
    }

    fn read_once(&mut self) -> Vec<LogUpdate> {
        let order = self.reader.next_read();
        let sent = self.timers.now();
        match self.log.read(order.from, order.limit) {
            Ok(page) => self.reader.take_page(sent, page),
            Err(error) => self.reader.take_failure(error),
        }
    }
}

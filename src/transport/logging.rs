//! Sets up the log of a process: JSON or text on the standard error stream.

use crate::options::node_settings::{LogFormat, LogLevel, LoggingSettings};
use std::io;
use tracing::{Subscriber, level_filters::LevelFilter, subscriber::set_global_default};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::fmt::{MakeWriter, fmt};

/// Lines that wait to be written; further ones are dropped and counted.
const QUEUE_LIMIT: usize = 8_192;

/// The log of this process. Dropping it writes out what is queued.
#[derive(Debug)]
pub struct LogHandle {
    lost: ErrorCounter,
    _guard: WorkerGuard,
}

impl LogHandle {
    /// Lines lost because nobody read the log fast enough.
    #[must_use]
    pub fn lost_lines(&self) -> usize {
        self.lost.dropped_lines()
    }
}

/// Starts the log of this process; later calls change nothing.
///
/// A process that writes its log directly stops when nobody reads the other end of the pipe: all
/// calls of a node then hang together, and resume together. So lines go to a bounded queue with a
/// thread of its own, and what doesn't fit is lost rather than waited for.
#[must_use]
pub fn start_logging(settings: &LoggingSettings) -> LogHandle {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(QUEUE_LIMIT)
        .thread_name("log")
        .finish(io::stderr());
    let lost = writer.error_counter();
    // Only a process that has a subscriber already, such as a test, gets an error here: it keeps it.
    let _ = set_global_default(build_subscriber(settings, writer));
    LogHandle {
        lost,
        _guard: guard,
    }
}

/// The subscriber that `start_logging` installs, over any writer.
pub fn build_subscriber<W>(
    settings: &LoggingSettings,
    writer: W,
) -> Box<dyn Subscriber + Send + Sync>
where
    W: for<'a> MakeWriter<'a> + Send + Sync + 'static,
{
    let builder = fmt()
        .with_max_level(level_filter(settings.level))
        .with_ansi(false)
        .with_writer(writer);
    match settings.format {
        LogFormat::Json => Box::new(builder.json().flatten_event(true).finish()),
        LogFormat::Text => Box::new(builder.with_target(false).finish()),
    }
}

const fn level_filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Error => LevelFilter::ERROR,
        LogLevel::Warn => LevelFilter::WARN,
        LogLevel::Info => LevelFilter::INFO,
        LogLevel::Debug => LevelFilter::DEBUG,
        LogLevel::Trace => LevelFilter::TRACE,
    }
}

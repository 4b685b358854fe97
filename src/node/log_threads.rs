//! The threads that talk with the platform's log, and the channels to them.

use crate::{
    coordination::log_reader::{LogReader, LogUpdate, ReaderPace, SnapshotRules},
    options::node_settings::NodeSettings,
    protocol::platform_log::PlatformLog,
    state::log_record::{LogRecord, LogRecordKind, RecordId, encode_record},
    timers::TimerService,
    transport::platform::{LogClient, ReaderCommand, run_log_reader},
};
use flume::{Receiver, Sender, TrySendError};
use rand::{SeedableRng, rngs::StdRng};
use std::{io, thread};
use uuid::Uuid;

/// Records that wait to be appended. The membership asks again for what gets lost.
const APPEND_QUEUE: usize = 64;
/// Updates that wait for the event loop.
const UPDATE_QUEUE: usize = 256;

/// Channels to the threads of the log.
pub struct LogThreads {
    commands: Sender<ReaderCommand>,
    appends: Sender<LogRecord>,
}

impl LogThreads {
    /// Starts a reader and an appender. They end when this and the receiver are dropped.
    ///
    /// # Errors
    /// If the system gives no thread.
    pub fn start(
        settings: &NodeSettings,
        timers: &TimerService,
        seed: u64,
    ) -> io::Result<(Self, Receiver<LogUpdate>)> {
        let (commands, command_rx) = flume::unbounded();
        let (update_tx, updates) = flume::bounded(UPDATE_QUEUE);
        let (appends, append_rx) = flume::bounded(APPEND_QUEUE);
        let pace = ReaderPace {
            poll: settings.platform_log.poll_period,
            ..ReaderPace::default()
        };
        let reader = LogReader::new(pace, SnapshotRules::default());
        let log = LogClient::for_settings(&settings.platform_log);
        let timers = timers.clone();
        thread::Builder::new()
            .name("log-reader".to_owned())
            .spawn(move || {
                let rng = StdRng::seed_from_u64(seed);
                run_log_reader(&log, reader, &timers, rng, &command_rx, &update_tx);
            })?;
        let log = LogClient::for_settings(&settings.platform_log);
        let read_now = commands.clone();
        thread::Builder::new()
            .name("log-appender".to_owned())
            .spawn(move || append_records(&log, &append_rx, &read_now))?;
        Ok((Self { commands, appends }, updates))
    }

    /// Tells the reader something; without effect once it has ended.
    pub fn command(&self, command: ReaderCommand) {
        let _ = self.commands.send(command);
    }

    /// Appends a record some time later, or not at all if the log can't be written.
    pub fn append(&self, kind: LogRecordKind) {
        let record = LogRecord {
            id: RecordId(Uuid::now_v7()),
            kind,
        };
        if let Err(TrySendError::Full(_)) = self.appends.try_send(record) {
            tracing::warn!("too many records wait for the log; one is dropped");
        }
    }
}

fn append_records(
    log: &impl PlatformLog,
    records: &Receiver<LogRecord>,
    read_now: &Sender<ReaderCommand>,
) {
    while let Ok(record) = records.recv() {
        let Ok(text) = encode_record(&record) else {
            continue;
        };
        match log.append(&text) {
            Ok(_) => drop(read_now.send(ReaderCommand::ReadNow)),
            Err(error) => tracing::warn!(%error, "can't append a record"),
        }
    }
}

//! The thread that reads the log and writes snapshots.

use crate::{
    coordination::log_reader::{LogReader, LogUpdate},
    protocol::platform_log::PlatformLog,
    state::{
        log_record::{LogRecord, LogRecordKind, RecordId, Snapshot, encode_record},
        published::FoldedState,
    },
    timers::TimerService,
};
use flume::{Receiver, RecvError, Selector, Sender};
use rand::Rng;
use std::time::Duration;
use uuid::Uuid;

/// Whether this node reads the log itself or leaves that to others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReaderRole {
    /// It reads the log.
    #[default]
    Reading,
    /// It learns from peers.
    Standby,
}

/// What the event loop tells the reader.
#[derive(Clone, Debug)]
pub enum ReaderCommand {
    /// A peer's state, which may be ahead.
    Adopt(Box<FoldedState>),
    /// Read the log or leave it to others from now on.
    SetRole(ReaderRole),
    /// Read now, such as after an own append.
    ReadNow,
}

enum Wake {
    Command(ReaderCommand),
    Timer,
    Ended,
}

/// Reads the log until the sender of `commands` or the receiver of `updates` is gone.
pub fn run_log_reader(
    log: &impl PlatformLog,
    mut reader: LogReader,
    timers: &TimerService,
    mut rng: impl Rng,
    commands: &Receiver<ReaderCommand>,
    updates: &Sender<LogUpdate>,
) {
    let mut role = ReaderRole::default();
    loop {
        if role == ReaderRole::Reading {
            let news = read_once(log, &mut reader, timers);
            if !send_all(news, updates) {
                return;
            }
            write_due_snapshot(log, &mut reader, timers, &mut rng);
        }
        let wait = reader.next_wait(&mut rng);
        let news = match wait_for(wait, role, timers, commands) {
            Wake::Ended => return,
            Wake::Timer | Wake::Command(ReaderCommand::ReadNow) => Vec::new(),
            Wake::Command(ReaderCommand::Adopt(state)) => reader.adopt(*state),
            Wake::Command(ReaderCommand::SetRole(wanted)) => {
                role = wanted;
                Vec::new()
            }
        };
        if !send_all(news, updates) {
            return;
        }
    }
}

fn read_once(
    log: &impl PlatformLog,
    reader: &mut LogReader,
    timers: &TimerService,
) -> Vec<LogUpdate> {
    let order = reader.next_read();
    // The moment of sending, not of the answer: a record stored in between may be missing from it.
    let sent = timers.now();
    match log.read(order.from, order.limit) {
        Ok(page) => reader.take_page(sent, page),
        Err(error) => reader.take_failure(error),
    }
}

fn write_due_snapshot(
    log: &impl PlatformLog,
    reader: &mut LogReader,
    timers: &TimerService,
    rng: &mut impl Rng,
) {
    let Some(snapshot) = reader.take_due_snapshot(timers.now(), timers.wall_millis(), rng) else {
        return;
    };
    match append_snapshot(log, snapshot) {
        Ok(()) => tracing::debug!("appended a snapshot"),
        // The schedule asks again after a while; a snapshot that was stored unnoticed is harmless.
        Err(error) => tracing::warn!(%error, "can't append a snapshot"),
    }
}

fn append_snapshot(log: &impl PlatformLog, snapshot: Snapshot) -> Result<(), String> {
    let record = LogRecord {
        id: RecordId(Uuid::new_v4()),
        kind: LogRecordKind::Snapshot(Box::new(snapshot)),
    };
    let text = encode_record(&record).map_err(|e| e.to_string())?;
    log.append(&text).map(|_| ()).map_err(|e| e.to_string())
}

fn wait_for(
    span: Duration,
    role: ReaderRole,
    timers: &TimerService,
    commands: &Receiver<ReaderCommand>,
) -> Wake {
    let as_wake =
        |command: Result<ReaderCommand, RecvError>| command.map_or(Wake::Ended, Wake::Command);
    if role == ReaderRole::Standby {
        return as_wake(commands.recv());
    }
    if span.is_zero() {
        return match commands.try_recv() {
            Ok(command) => Wake::Command(command),
            Err(flume::TryRecvError::Empty) => Wake::Timer,
            Err(flume::TryRecvError::Disconnected) => Wake::Ended,
        };
    }
    let timer = timers.after(span);
    Selector::new()
        .recv(commands, as_wake)
        .recv(&timer, |_| Wake::Timer)
        .wait()
}

fn send_all(news: Vec<LogUpdate>, updates: &Sender<LogUpdate>) -> bool {
    news.into_iter().all(|update| updates.send(update).is_ok())
}

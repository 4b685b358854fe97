//! Asks all nodes again and again which configuration they have in force.

use super::{event::Happening, recorder::Recorder};
use camphorturn::local_mesh::ready::ask_status;
use flume::{RecvTimeoutError, Sender};
use std::{
    net::SocketAddr,
    thread::{self, JoinHandle},
    time::Duration,
};

/// Pause between two rounds.
const ASK_PERIOD: Duration = Duration::from_millis(50);

/// A thread that asks. It ends when this is ended.
pub struct VersionWatch {
    stop: Sender<()>,
    thread: JoinHandle<()>,
}

impl VersionWatch {
    /// Starts asking. Each node is asked for one answer after the other, so that a lower version in a
    /// later answer is a fall and not a late answer.
    pub fn start(operators: Vec<SocketAddr>, recorder: Recorder) -> Self {
        let (stop, stopped) = flume::bounded(0);
        let thread = thread::spawn(move || {
            while stopped.recv_timeout(ASK_PERIOD) == Err(RecvTimeoutError::Timeout) {
                ask_all(&operators, &recorder);
            }
        });
        Self { stop, thread }
    }

    /// Waits until the last answer is recorded; false if the thread panicked.
    pub fn end(self) -> bool {
        drop(self.stop);
        self.thread.join().is_ok()
    }
}

fn ask_all(operators: &[SocketAddr], recorder: &Recorder) {
    let running = operators.iter().filter_map(|address| ask_status(*address));
    for status in running {
        let Some(node) = status.node else { continue };
        recorder.record(Happening::Version {
            node: node.to_string(),
            incarnation: status.incarnation.0,
            version: status.configuration_version.0,
        });
    }
}

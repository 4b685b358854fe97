//! Takes down what happens, on one clock.

use super::event::{Event, Happening};
use flume::{Receiver, Sender};
use std::time::{Duration, Instant};

/// Takes events from all threads of a run.
#[derive(Clone)]
pub struct Recorder {
    began: Instant,
    tx: Sender<Event>,
}

impl Recorder {
    /// A recorder whose clock starts now, and where its events arrive.
    #[must_use]
    pub fn start() -> (Self, Receiver<Event>) {
        let (tx, rx) = flume::unbounded();
        let began = Instant::now();
        (Self { began, tx }, rx)
    }

    /// Records something that happens now.
    pub fn record(&self, happening: Happening) {
        self.record_at(self.began.elapsed().as_micros(), happening);
    }

    /// Records something by the clock of an upstream that started at `origin`.
    pub fn record_upstream(&self, origin: Instant, micros: u64, happening: Happening) {
        // NB: upstreams start before the recorder.
        let at = origin + Duration::from_micros(micros);
        let since = at.saturating_duration_since(self.began);
        self.record_at(since.as_micros(), happening);
    }

    fn record_at(&self, micros: u128, happening: Happening) {
        let at_micros = u64::try_from(micros).unwrap_or(u64::MAX);
        // The receiver lives until all threads of the run have ended.
        let _ = self.tx.send(Event {
            at_micros,
            happening,
        });
    }
}

//! Timer service: the only source of time, with one-shot and periodic timers.
//!
//! Subscribers get a [`flume::Receiver`]. Dropping it ends the subscription.

use crate::state::timestamp::Timestamp;
use flume::{Receiver, Sender};
use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Milliseconds since the Unix epoch.
///
/// The wall clock may step in either direction, so it is used only for times that people read. Durations and deadlines use
/// [`TimerService::now`].
#[must_use]
pub fn read_wall_millis() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |duration| {
        u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
    })
}

/// Source of the time.
enum Clock {
    System { start: Instant },
    Fake { now: Timestamp },
}

struct Subscription {
    due: Timestamp,
    /// Rises with each subscription, so that subscriptions due at the same time fire in the order in which they were made.
    number: u64,
    period: Option<Duration>,
    tx: Sender<Timestamp>,
}

impl PartialEq for Subscription {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for Subscription {}

impl PartialOrd for Subscription {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Subscription {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.due, self.number).cmp(&(other.due, other.number))
    }
}

struct Shared {
    clock: Clock,
    queue: BinaryHeap<Reverse<Subscription>>,
    next_number: u64,
    stopped: bool,
}

impl Shared {
    fn now(&self) -> Timestamp {
        match &self.clock {
            Clock::System { start } => Timestamp::default() + start.elapsed(),
            Clock::Fake { now } => *now,
        }
    }

    fn fire_due(&mut self, now: Timestamp) {
        while self
            .queue
            .peek()
            .is_some_and(|Reverse(first)| first.due <= now)
        {
            let Some(Reverse(mut due)) = self.queue.pop() else {
                return;
            };
            // A full channel means that the subscriber has not received the last tick yet. This tick is skipped.
            let disconnected = matches!(
                due.tx.try_send(due.due),
                Err(flume::TrySendError::Disconnected(_))
            );
            if let Some(period) = due.period.filter(|_| !disconnected) {
                due.due = (due.due + period).max(now);
                self.queue.push(Reverse(due));
            }
        }
    }
}

struct Inner {
    shared: Mutex<Shared>,
    /// Wakes the thread when an earlier timer was added or the service was stopped.
    wake_up: Condvar,
}

/// Handle to the timer service; clones share it.
#[derive(Clone)]
pub struct TimerService {
    inner: Arc<Inner>,
}

impl TimerService {
    /// A service on the monotonic clock of the system. It runs on its own thread.
    #[must_use]
    pub fn system() -> Self {
        let service = Self::with_clock(Clock::System {
            start: Instant::now(),
        });
        let inner = Arc::clone(&service.inner);
        thread::spawn(move || run_system_timers(&inner));
        service
    }

    /// A service for tests, whose time changes only by [`Self::advance`].
    #[must_use]
    pub fn fake() -> Self {
        Self::with_clock(Clock::Fake {
            now: Timestamp::default(),
        })
    }

    fn with_clock(clock: Clock) -> Self {
        let shared = Shared {
            clock,
            queue: BinaryHeap::new(),
            next_number: 0,
            stopped: false,
        };
        Self {
            inner: Arc::new(Inner {
                shared: Mutex::new(shared),
                wake_up: Condvar::new(),
            }),
        }
    }

    /// The current time.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        self.lock().now()
    }

    /// Milliseconds since the Unix epoch. With a fake clock, milliseconds since the start of that clock.
    ///
    /// For times that people read only; see [`read_wall_millis`].
    #[must_use]
    pub fn wall_millis(&self) -> u64 {
        match &self.lock().clock {
            Clock::System { .. } => read_wall_millis(),
            Clock::Fake { now } => now.0 / 1_000,
        }
    }

    /// A one-shot timer: one message after `delay`.
    #[must_use]
    pub fn after(&self, delay: Duration) -> Receiver<Timestamp> {
        self.subscribe(delay, None)
    }

    /// A periodic timer: a message every `period`, the first after one period. Ticks that the subscriber doesn't receive in time are
    /// skipped.
    #[must_use]
    pub fn every(&self, period: Duration) -> Receiver<Timestamp> {
        self.subscribe(period, Some(period))
    }

    /// Advances a fake clock and fires all timers that became due. Does nothing on a system clock.
    pub fn advance(&self, duration: Duration) {
        let mut shared = self.lock();
        if let Clock::Fake { now } = &mut shared.clock {
            *now = *now + duration;
            let now = *now;
            shared.fire_due(now);
        }
    }

    /// Stops the thread of the service. Subscribers get no further messages.
    pub fn stop(&self) {
        self.lock().stopped = true;
        self.inner.wake_up.notify_all();
    }

    fn subscribe(&self, delay: Duration, period: Option<Duration>) -> Receiver<Timestamp> {
        let (tx, rx) = flume::bounded(1);
        let mut shared = self.lock();
        let due = shared.now() + delay;
        let is_first = shared
            .queue
            .peek()
            .is_none_or(|Reverse(first)| due < first.due);
        let number = shared.next_number;
        shared.next_number += 1;
        shared.queue.push(Reverse(Subscription {
            due,
            number,
            period,
            tx,
        }));
        drop(shared);
        if is_first {
            self.inner.wake_up.notify_all();
        }
        rx
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.inner
            .shared
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn run_system_timers(inner: &Inner) {
    let mut shared = inner.shared.lock().unwrap_or_else(PoisonError::into_inner);
    while !shared.stopped {
        let now = shared.now();
        shared.fire_due(now);
        let wait = shared
            .queue
            .peek()
            .map(|Reverse(first)| first.due.since(now));
        shared = match wait {
            Some(delay) => {
                let waited = inner.wake_up.wait_timeout(shared, delay);
                waited.unwrap_or_else(PoisonError::into_inner).0
            }
            None => inner
                .wake_up
                .wait(shared)
                .unwrap_or_else(PoisonError::into_inner),
        };
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn after_fires_once_when_due() {
        let timers = TimerService::fake();
        let rx = timers.after(Duration::from_millis(10));
        timers.advance(Duration::from_millis(9));
        assert!(rx.try_recv().is_err());
        timers.advance(Duration::from_millis(1));
        assert_eq!(rx.try_recv(), Ok(Timestamp(10_000)));
        assert!(rx.is_disconnected());
    }

    #[test]
    fn every_skips_missed_ticks() {
        let timers = TimerService::fake();
        let rx = timers.every(Duration::from_millis(10));
        timers.advance(Duration::from_millis(35));
        assert_eq!(rx.drain().count(), 1);
        timers.advance(Duration::from_millis(10));
        assert_eq!(rx.drain().count(), 1);
    }
}

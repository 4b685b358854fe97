//! The timer service: one place that knows the time and wakes whoever subscribed.
//!
//! Subscribers get a [`flume::Receiver`]; dropping it ends the subscription.

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
/// NB: the wall clock may step in either direction. It is for people; spans and deadlines are measured
/// with [`TimerService::now`].
#[must_use]
pub fn read_wall_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |span| {
        u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
    })
}

/// Where the time comes from.
enum Clock {
    System { start: Instant },
    Fake { now: Timestamp },
}

struct Subscription {
    due: Timestamp,
    /// Keeps subscriptions that are due at the same moment in the order of their making.
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
            // A full channel means that the subscriber has not taken the last tick yet: skip one.
            let gone = matches!(
                due.tx.try_send(due.due),
                Err(flume::TrySendError::Disconnected(_))
            );
            if let Some(period) = due.period.filter(|_| !gone) {
                due.due = (due.due + period).max(now);
                self.queue.push(Reverse(due));
            }
        }
    }
}

struct Inner {
    shared: Mutex<Shared>,
    earlier: Condvar,
}

/// Handle to the timer service; clones share it.
#[derive(Clone)]
pub struct TimerService {
    inner: Arc<Inner>,
}

impl TimerService {
    /// A service on the system's monotonic clock, with a thread of its own.
    #[must_use]
    pub fn system() -> Self {
        let service = Self::with_clock(Clock::System {
            start: Instant::now(),
        });
        let inner = Arc::clone(&service.inner);
        thread::spawn(move || run_system_timers(&inner));
        service
    }

    /// A service whose time stands still until [`Self::advance`].
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
                earlier: Condvar::new(),
            }),
        }
    }

    /// The present moment.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        self.lock().now()
    }

    /// Milliseconds since the Unix epoch; with a fake clock, since the clock's start.
    ///
    /// NB: see [`read_wall_millis`].
    #[must_use]
    pub fn wall_millis(&self) -> u64 {
        match &self.lock().clock {
            Clock::System { .. } => read_wall_millis(),
            Clock::Fake { now } => now.0 / 1_000,
        }
    }

    /// One message after `span`.
    #[must_use]
    pub fn after(&self, span: Duration) -> Receiver<Timestamp> {
        self.subscribe(span, None)
    }

    /// A message every `period`, the first after one period. Ticks not taken in time are skipped.
    #[must_use]
    pub fn every(&self, period: Duration) -> Receiver<Timestamp> {
        self.subscribe(period, Some(period))
    }

    /// Moves a fake clock on and wakes all that became due. Does nothing to a system clock.
    pub fn advance(&self, span: Duration) {
        let mut shared = self.lock();
        if let Clock::Fake { now } = &mut shared.clock {
            *now = *now + span;
            let now = *now;
            shared.fire_due(now);
        }
    }

    /// Ends the service's thread. Subscribers get no further messages.
    pub fn stop(&self) {
        self.lock().stopped = true;
        self.inner.earlier.notify_all();
    }

    fn subscribe(&self, span: Duration, period: Option<Duration>) -> Receiver<Timestamp> {
        let (tx, rx) = flume::bounded(1);
        let mut shared = self.lock();
        let due = shared.now() + span;
        let first = shared
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
        if first {
            self.inner.earlier.notify_all();
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
            Some(span) => {
                let waited = inner.earlier.wait_timeout(shared, span);
                waited.unwrap_or_else(PoisonError::into_inner).0
            }
            None => inner
                .earlier
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
    fn every_skips_ticks_not_taken() {
        let timers = TimerService::fake();
        let rx = timers.every(Duration::from_millis(10));
        timers.advance(Duration::from_millis(35));
        assert_eq!(rx.drain().count(), 1);
        timers.advance(Duration::from_millis(10));
        assert_eq!(rx.drain().count(), 1);
    }
}

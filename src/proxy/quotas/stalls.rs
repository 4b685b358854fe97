//! Detects that the process did not run for a while.
//!
//! A node that was stalled finds requests for credit that nobody waits for any more. If it answered them, they would use up the
//! tokens that it has saved meanwhile.

use crate::{proxy::core::ProxyCore, state::timestamp::Timestamp};
use std::{cell::Cell, rc::Rc, time::Duration};

/// Time between two ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two looks whether the node keeps a quota by now. Other nodes don't tick: each wake-up costs processor time.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time between two ticks of a process that runs. Entry nodes give up on a keeper much earlier.
const MAX_TICK_GAP: Duration = Duration::from_millis(500);
/// Time after a stall in which the messages that arrived meanwhile are read.
const STALE_TIME: Duration = Duration::from_millis(100);

/// When the process last ran.
#[derive(Default)]
pub(super) struct StallWatch {
    last_tick: Cell<Option<Timestamp>>,
    stale_until: Cell<Timestamp>,
}

impl StallWatch {
    /// Whether a message that is read now may have arrived while the process was stalled.
    pub(super) fn may_be_stale(&self, now: Timestamp) -> bool {
        now < self.stale_until.get() || self.has_stalled(now)
    }

    fn has_stalled(&self, now: Timestamp) -> bool {
        let last = self.last_tick.get();
        last.is_some_and(|last| now.since(last) > MAX_TICK_GAP)
    }

    fn tick(&self, now: Timestamp) {
        if self.has_stalled(now) {
            self.stale_until.set(now + STALE_TIME);
        }
        self.last_tick.set(Some(now));
    }
}

/// Ticks while the node keeps quotas, until the timers stop.
pub async fn watch_for_stalls(core: Rc<ProxyCore>) {
    loop {
        let keeps_quotas = core.quotas.kept() > 0;
        if keeps_quotas {
            core.quotas.stalls.tick(core.timers.now());
        }
        let timeout = core.timers.after(if keeps_quotas {
            TICK_INTERVAL
        } else {
            IDLE_INTERVAL
        });
        if timeout.recv_async().await.is_err() {
            return;
        }
    }
}

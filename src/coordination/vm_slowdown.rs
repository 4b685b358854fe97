//! How fast the VM of an upstream works, from what the upstream tells beside its answers.
//!
//! Two things slow an upstream down and look alike in one figure. Neighbours on its VM take the processor for a moment:
//! work waits for the end of that. And it may be slow for long, after its start or because its VM is overloaded: then
//! waiting gains nothing, and one that waits all the same serves nobody. They are told apart by how long they last.
//!
//! Load pattern answered: all VMs come back from a loss of power at once, each upstream works at half its pace for some
//! seconds, and the clients of a second come back with those of the next.

use crate::state::timestamp::Timestamp;
use std::time::Duration;

/// Times the usual pace up to which a VM counts as usual: a figure that says how long work takes varies by a few tens of
/// percent with the load of the upstream itself.
const SLOW_FROM: (u32, u32) = (3, 2);
/// How long a slow moment is taken to last before any has been seen: a few time slices of other VMs.
const FIRST_LENGTH: Duration = Duration::from_millis(200);
/// Weight of the newest slow moment in the moving average of their lengths.
const WEIGHT: f64 = 0.1;
/// Times their mean length after which a slow moment counts as the usual pace from now on. Moments whose end does not
/// depend on their age are longer once in 20 times.
const LASTING: u32 = 3;
/// Least mean length reckoned with, in seconds: the pause between two questions.
const SHORTEST: f64 = 0.04;
/// Time without any word after which it is not known whether a slow moment went on.
const GAP: Duration = Duration::from_millis(300);

/// How fast the VM of the upstream works.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VmSlowdown {
    /// How long work that starts now takes, in percent of what it takes at the best.
    pub percent: u16,
    /// The same at other moments of these seconds.
    pub baseline_percent: u16,
    /// How much longer the present pace lasts, as a guess.
    pub remaining: Duration,
}

impl VmSlowdown {
    /// The best pace.
    pub const NONE: Self = Self {
        percent: 100,
        baseline_percent: 100,
        remaining: Duration::ZERO,
    };

    /// Whether work should rather start later.
    #[must_use]
    pub fn is_above_baseline(self) -> bool {
        is_slower(self.percent, self.baseline_percent)
    }

    /// Time that work takes which starts now; `expected` is what it takes at the best.
    #[must_use]
    pub fn estimate_duration(self, expected: Duration) -> Duration {
        expected * u32::from(self.percent) / 100
    }

    /// Time that work takes which starts at a usual moment.
    #[must_use]
    pub fn estimate_baseline_duration(self, expected: Duration) -> Duration {
        expected * u32::from(self.baseline_percent) / 100
    }

    /// Whether work that starts now ends sooner than if it waits for the usual pace.
    #[must_use]
    pub fn should_start_now(self, expected: Duration) -> bool {
        !self.is_above_baseline()
            || self.estimate_duration(expected)
                <= self.remaining + self.estimate_baseline_duration(expected)
    }
}

fn is_slower(percent: u16, baseline_percent: u16) -> bool {
    let (times, parts) = SLOW_FROM;
    u32::from(percent) * parts > u32::from(baseline_percent) * times
}

#[derive(Clone, Copy, Debug)]
struct SlowMoment {
    since: Timestamp,
    told_at: Timestamp,
    /// The best pace told meanwhile.
    least: u16,
}

/// What the figures told so far say of the pace.
#[derive(Clone, Copy, Debug)]
pub struct SlowdownHistory {
    /// None before the first figure: a start value would have an upstream that has just started wait.
    baseline_percent: Option<u16>,
    slow: Option<SlowMoment>,
    /// Mean length of slow moments, in seconds, and mean of its square.
    length: f64,
    squared: f64,
}

impl Default for SlowdownHistory {
    fn default() -> Self {
        Self {
            baseline_percent: None,
            slow: None,
            length: FIRST_LENGTH.as_secs_f64(),
            squared: 2.0 * FIRST_LENGTH.as_secs_f64().powi(2),
        }
    }
}

impl SlowdownHistory {
    /// Forgets what was usual: another run of the upstream has come.
    pub fn reset_baseline(&mut self) {
        self.baseline_percent = None;
        self.slow = None;
    }

    /// Takes in a figure, in percent of the best pace.
    pub fn record(&mut self, percent: u16, now: Timestamp) -> VmSlowdown {
        let baseline_percent = self.baseline_percent.unwrap_or(percent);
        if is_slower(percent, baseline_percent) {
            self.note_slow(percent, baseline_percent, now);
        } else {
            self.note_usual(percent, now);
        }
        VmSlowdown {
            percent,
            baseline_percent: self.baseline_percent.unwrap_or(percent),
            remaining: self.mean_rest(),
        }
    }

    fn note_usual(&mut self, percent: u16, now: Timestamp) {
        self.baseline_percent = Some(percent);
        let ended = self.slow.take();
        if let Some(slow) = ended.filter(|slow| now.since(slow.told_at) <= GAP) {
            let length = now.since(slow.since).as_secs_f64();
            self.length += (length - self.length) * WEIGHT;
            self.squared += (length * length - self.squared) * WEIGHT;
        }
    }

    fn note_slow(&mut self, percent: u16, baseline_percent: u16, now: Timestamp) {
        self.baseline_percent = Some(baseline_percent);
        let known = self.slow.filter(|slow| now.since(slow.told_at) <= GAP);
        let slow = known.unwrap_or(SlowMoment {
            since: now,
            told_at: now,
            least: percent,
        });
        let slow = SlowMoment {
            told_at: now,
            least: slow.least.min(percent),
            ..slow
        };
        if now.since(slow.since) >= self.mean_length() * LASTING {
            self.baseline_percent = Some(slow.least);
            self.slow = None;
        } else {
            self.slow = Some(slow);
        }
    }

    fn mean_length(&self) -> Duration {
        Duration::from_secs_f64(self.length)
    }

    /// What is left of a slow moment on average, seen at any instant of it: half of it if all last as long, more if
    /// some last much longer than others.
    fn mean_rest(&self) -> Duration {
        Duration::from_secs_f64(self.squared / (2.0 * self.length.max(SHORTEST)))
    }
}

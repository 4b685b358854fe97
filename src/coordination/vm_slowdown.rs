//! Estimates how much slower than at full speed an upstream's VM works, from the slowdown that the upstream reports with its
//! responses.
//!
//! A slowdown has two possible causes that look the same in a single report. Other VMs on the same host may take the processor for
//! a fraction of a second; a request that waits until this is over finishes sooner. Or the upstream is slow for a long time,
//! because it has just started or its VM is overloaded; then waiting gains nothing and the upstream idles. Only the duration
//! distinguishes the two.
//!
//! Load pattern: after a power loss all VMs restart at once, each upstream works at half its speed for some seconds, and clients
//! that were refused in one second retry in the next.

use crate::state::timestamp::Timestamp;
use std::time::Duration;

/// Ratio (numerator, denominator) of the current slowdown to its baseline above which the VM counts as slowed down. The reported
/// value varies by a few tens of percent with the load of the upstream itself.
const SLOWED_DOWN_RATIO: (u32, u32) = (3, 2);
/// Assumed duration of a slow period before one has been observed: a few time slices of other VMs.
const INITIAL_PERIOD: Duration = Duration::from_millis(200);
/// Weight of the newest slow period in the moving average of their durations.
const NEWEST_WEIGHT: f64 = 0.1;
/// A slow period longer than this many mean durations becomes the new baseline. If the time to the end of a period doesn't depend
/// on its age, 1 period in 20 is longer than that.
const MAX_PERIOD_MEANS: u32 = 3;
/// Minimum mean duration used in estimates, in seconds: the interval between two probes.
const MIN_MEAN_SECONDS: f64 = 0.04;
/// Maximum time between two reports of the same slow period. After a longer gap it is unknown whether the VM stayed slow.
const MAX_REPORT_GAP: Duration = Duration::from_millis(300);

/// Current slowdown of the VM that the upstream runs on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VmSlowdown {
    /// Duration of work that starts now, in percent of its duration at full speed of the VM.
    pub percent: u16,
    /// Baseline of `percent`: its value outside of slow periods, from the reports of the last seconds.
    pub baseline_percent: u16,
    /// Estimated time until a slow period ends.
    pub remaining: Duration,
}

impl VmSlowdown {
    /// The VM runs at full speed.
    pub const NONE: Self = Self {
        percent: 100,
        baseline_percent: 100,
        remaining: Duration::ZERO,
    };

    /// Whether the VM is noticeably slower than its baseline.
    #[must_use]
    pub fn is_above_baseline(self) -> bool {
        exceeds_baseline(self.percent, self.baseline_percent)
    }

    /// Duration of work that starts now; `expected` is its duration at full speed.
    #[must_use]
    pub fn estimate_duration(self, expected: Duration) -> Duration {
        expected * u32::from(self.percent) / 100
    }

    /// Duration of work that starts outside of slow periods; `expected` is its duration at full speed.
    #[must_use]
    pub fn estimate_baseline_duration(self, expected: Duration) -> Duration {
        expected * u32::from(self.baseline_percent) / 100
    }

    /// Whether work that starts now ends no later than if it waited for the end of the slow period.
    #[must_use]
    pub fn should_start_now(self, expected: Duration) -> bool {
        !self.is_above_baseline()
            || self.estimate_duration(expected)
                <= self.remaining + self.estimate_baseline_duration(expected)
    }
}

fn exceeds_baseline(percent: u16, baseline_percent: u16) -> bool {
    let (numerator, denominator) = SLOWED_DOWN_RATIO;
    u32::from(percent) * denominator > u32::from(baseline_percent) * numerator
}

#[derive(Clone, Copy, Debug)]
struct SlowPeriod {
    since: Timestamp,
    last_report: Timestamp,
    /// Lowest slowdown reported during the period.
    min_percent: u16,
}

/// Baseline and slow periods learned from the reports of the upstream.
#[derive(Clone, Copy, Debug)]
pub struct SlowdownHistory {
    /// None before the first report. With an initial value, an upstream that has just started would look slowed down and get no
    /// work.
    baseline_percent: Option<u16>,
    current_period: Option<SlowPeriod>,
    /// Mean duration of slow periods in seconds, and mean of its square.
    mean_seconds: f64,
    mean_square: f64,
}

impl Default for SlowdownHistory {
    fn default() -> Self {
        Self {
            baseline_percent: None,
            current_period: None,
            mean_seconds: INITIAL_PERIOD.as_secs_f64(),
            mean_square: 2.0 * INITIAL_PERIOD.as_secs_f64().powi(2),
        }
    }
}

impl SlowdownHistory {
    /// Discards the baseline when a new incarnation of the upstream starts.
    pub fn reset_baseline(&mut self) {
        self.baseline_percent = None;
        self.current_period = None;
    }

    /// Records a reported slowdown, in percent of the duration at full speed, and returns the updated estimate.
    pub fn record(&mut self, percent: u16, now: Timestamp) -> VmSlowdown {
        let baseline_percent = self.baseline_percent.unwrap_or(percent);
        if exceeds_baseline(percent, baseline_percent) {
            self.record_slow(percent, baseline_percent, now);
        } else {
            self.record_baseline(percent, now);
        }
        VmSlowdown {
            percent,
            baseline_percent: self.baseline_percent.unwrap_or(percent),
            remaining: self.estimate_remaining(),
        }
    }

    fn record_baseline(&mut self, percent: u16, now: Timestamp) {
        self.baseline_percent = Some(percent);
        let ended = self.current_period.take();
        if let Some(period) = ended.filter(|period| now.since(period.last_report) <= MAX_REPORT_GAP)
        {
            let seconds = now.since(period.since).as_secs_f64();
            self.mean_seconds += (seconds - self.mean_seconds) * NEWEST_WEIGHT;
            self.mean_square += (seconds * seconds - self.mean_square) * NEWEST_WEIGHT;
        }
    }

    fn record_slow(&mut self, percent: u16, baseline_percent: u16, now: Timestamp) {
        self.baseline_percent = Some(baseline_percent);
        let known = self
            .current_period
            .filter(|period| now.since(period.last_report) <= MAX_REPORT_GAP);
        let period = known.unwrap_or(SlowPeriod {
            since: now,
            last_report: now,
            min_percent: percent,
        });
        let period = SlowPeriod {
            last_report: now,
            min_percent: period.min_percent.min(percent),
            ..period
        };
        if now.since(period.since) >= self.mean_duration() * MAX_PERIOD_MEANS {
            self.baseline_percent = Some(period.min_percent);
            self.current_period = None;
        } else {
            self.current_period = Some(period);
        }
    }

    fn mean_duration(&self) -> Duration {
        Duration::from_secs_f64(self.mean_seconds)
    }

    /// Mean remaining duration of a slow period that is observed at a random time: half the duration if all periods are equally
    /// long, more if their durations vary.
    fn estimate_remaining(&self) -> Duration {
        Duration::from_secs_f64(self.mean_square / (2.0 * self.mean_seconds.max(MIN_MEAN_SECONDS)))
    }
}

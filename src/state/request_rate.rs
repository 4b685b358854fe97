//! The request rate that an upstream accepts, as it names it in its answers.

use crate::state::timestamp::Timestamp;
use std::time::Duration;

/// Longest pause between two requests to an upstream with a limit. The answer to a request shows whether the limit still holds.
const MAX_INTERVAL: Duration = Duration::from_secs(5);
/// Characters that end the number in the text of a rate.
const NUMBER_ENDS: [char; 4] = [';', ',', '/', ' '];

/// Requests per second, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestRate(pub u32);

impl RequestRate {
    /// Parses requests per second, a decimal number. Text after the number, such as a unit, is ignored.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let number = text.trim().split(NUMBER_ENDS).next()?;
        let per_second: f64 = number.parse().ok()?;
        if !per_second.is_finite() || per_second < 0.0 {
            return None;
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the cast saturates"
        )]
        let thousandths = (per_second * 1_000.0).floor() as u32;
        Some(Self(thousandths))
    }

    /// Requests per second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / 1_000.0
    }

    /// Time between two requests at this rate, at most [`MAX_INTERVAL`].
    #[must_use]
    pub fn interval(self) -> Duration {
        if self.0 == 0 {
            return MAX_INTERVAL;
        }
        (Duration::from_secs(1_000) / self.0).min(MAX_INTERVAL)
    }
}

/// What an answer of an upstream says about the limit of its request rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitReport {
    /// It names this limit.
    Named(RequestRate),
    /// It names none.
    NotNamed,
    /// It is not known whether the upstream has a limit, for instance because the answer is not a success.
    Unknown,
}

/// Limit that an upstream named last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NamedLimit {
    /// The limit, and when the last answer that named one arrived.
    named: Option<(RequestRate, Timestamp)>,
}

impl NamedLimit {
    /// The limit in force; `None` if there is none.
    #[must_use]
    pub fn rate(&self) -> Option<RequestRate> {
        self.named.map(|(rate, _)| rate)
    }

    /// Records the report of an answer to a request that was sent at `sent`. An answer without a limit ends the limit only if
    /// its request was sent after the last answer that named one: answers may overtake each other.
    pub fn record(&mut self, report: LimitReport, sent: Timestamp, now: Timestamp) {
        match (report, self.named) {
            (LimitReport::Named(rate), _) => self.named = Some((rate, now)),
            (LimitReport::NotNamed, Some((_, named_at))) if sent >= named_at => self.named = None,
            (LimitReport::NotNamed | LimitReport::Unknown, _) => {}
        }
    }
}

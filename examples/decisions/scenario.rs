//! What happens to the upstreams while they are measured.

use serde::Serialize;
use std::{fmt, str::FromStr};

/// One kind of trouble, or none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Scenario {
    /// Nothing happens.
    Steady,
    /// One upstream at a time is ten times slower for 20 to 200 ms; which one moves.
    Noisy,
    /// One upstream becomes five times slower and stays so.
    Slow,
    /// One upstream answers every call with 500 at once.
    FailFast,
    /// One upstream drains, then starts cold.
    DrainCold,
    /// Calls come at 120% of capacity.
    Overload,
    /// The three upstreams of the dock service, with a moving noisy neighbour.
    Dock,
    /// One slow upstream reports no load.
    Lying,
    /// A moving noisy neighbour, and one upstream that fails fast.
    TwoAtOnce,
}

impl Scenario {
    /// All scenarios in the order of the report.
    pub const ALL: [Self; 9] = [
        Self::Steady,
        Self::Noisy,
        Self::Slow,
        Self::FailFast,
        Self::DrainCold,
        Self::Overload,
        Self::Dock,
        Self::Lying,
        Self::TwoAtOnce,
    ];

    /// Name on the command line and in reports.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Noisy => "noisy",
            Self::Slow => "slow",
            Self::FailFast => "fail_fast",
            Self::DrainCold => "drain_cold",
            Self::Overload => "overload",
            Self::Dock => "dock",
            Self::Lying => "lying",
            Self::TwoAtOnce => "two_at_once",
        }
    }

    /// Calls as a share of capacity.
    #[must_use]
    pub fn load_share(self) -> f64 {
        match self {
            Self::Overload => 1.2,
            _ => 0.7,
        }
    }

    /// Number of upstreams.
    #[must_use]
    pub fn upstreams(self) -> usize {
        match self {
            Self::Dock => 3,
            _ => 6,
        }
    }
}

impl fmt::Display for Scenario {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for Scenario {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        Self::ALL
            .into_iter()
            .find(|scenario| scenario.name() == text)
            .ok_or_else(|| {
                let names = Self::ALL.map(Self::name).join(", ");
                format!("no such scenario; there are: {names}")
            })
    }
}

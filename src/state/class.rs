//! Classes of work as operators publish them.

use crate::state::names::ClassName;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How quickly a class must be answered.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Time within which a call must be answered, in milliseconds.
    pub latency_ms: u32,
    /// Share of calls that must meet `latency_ms`, above 0 and at most 1.
    pub share: f64,
}

impl Target {
    /// The target time as a duration.
    #[must_use]
    pub fn latency(&self) -> Duration {
        Duration::from_millis(u64::from(self.latency_ms))
    }
}

/// Whether calls of a class carry an idempotency key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyRule {
    /// A key is neither needed nor used.
    #[default]
    None,
    /// A call without a key is sent at most once; one with a key may be repeated by its caller.
    Optional,
    /// A call without a key is refused.
    Required,
}

impl KeyRule {
    /// Whether calls with a key are kept from running twice.
    #[must_use]
    pub fn is_used(self) -> bool {
        self != Self::None
    }
}

/// What a request must look like to belong to a class. All given parts must match.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MatchRule {
    /// HTTP method, in capitals.
    pub method: Option<String>,
    /// Start of the path, after the service prefix is taken off.
    pub path_prefix: Option<String>,
    /// Name and exact value of a header.
    pub header: Option<HeaderRule>,
}

/// A header that must be present with an exact value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HeaderRule {
    /// Header name, in any case.
    pub name: String,
    /// The value, compared byte by byte.
    pub value: String,
}

/// One class of work of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Unique within the service.
    pub name: ClassName,
    /// The class applies if any of these match; an empty list matches every request.
    #[serde(default, rename = "match")]
    pub rules: Vec<MatchRule>,
    /// How quickly calls must be answered.
    pub target: Target,
    /// Deadline of a call whose caller names none, and the longest a caller may ask for.
    pub deadline_ms: u32,
    /// Higher numbers are served first when slots are scarce.
    #[serde(default)]
    pub priority: u8,
    /// Whether running a call twice does no harm.
    pub idempotent: bool,
    /// Whether callers send an idempotency key.
    #[serde(default)]
    pub key: KeyRule,
    /// Whether a second attempt may be sent before the first has ended (idempotent classes only).
    #[serde(default)]
    pub hedge: bool,
}

impl Class {
    /// The deadline as a duration.
    #[must_use]
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(u64::from(self.deadline_ms))
    }
}

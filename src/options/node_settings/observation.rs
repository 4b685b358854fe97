//! Settings of what is watched: metrics and the log.

use serde::Deserialize;
use std::net::SocketAddr;

/// Where metrics go.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MetricsSettings {
    /// Address of a statsd server; without one, nothing is sent.
    pub statsd: Option<SocketAddr>,
    /// Start of every metric name.
    pub prefix: String,
}

impl Default for MetricsSettings {
    fn default() -> Self {
        Self {
            statsd: None,
            prefix: "camphorturn".to_owned(),
        }
    }
}

/// Form of the lines of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object a line.
    #[default]
    Json,
    /// Lines for people.
    Text,
}

/// Least severity that is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Only what needs an operator.
    Error,
    /// What may need one soon.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Single calls too.
    Debug,
    /// Everything.
    Trace,
}

/// How the log is written.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LoggingSettings {
    /// Form of the lines.
    pub format: LogFormat,
    /// Least severity.
    pub level: LogLevel,
}

//! One log line of a node, parsed from JSON, and how a request or an attempt ended according to it.

use crate::state::names::NodeName;
use serde::Deserialize;
use serde_json::{Map, Value};
use std::{net::SocketAddr, time::UNIX_EPOCH};

/// Numbers of the events whose fields this module and its users interpret. `docs/EVENTS.md` lists all events.
pub mod event_numbers {
    /// A client's request ended. Written by the entry node, which received it.
    pub const REQUEST_ENDED: u16 = 801;
    /// An attempt ended. Written by the entry node, which sent it to another node or to its local upstream.
    pub const ATTEMPT_RETURNED: u16 = 802;
    /// An attempt ended. Written by the executing node, which runs attempts on its local upstream.
    pub const ATTEMPT_EXECUTED: u16 = 803;
    /// A retry was not made because the retry budget was exhausted.
    pub const RETRY_SUPPRESSED: u16 = 804;
    /// The node dropped log lines because of its rate limit.
    pub const LINES_DROPPED: u16 = 805;
    /// Lowest number of the events that report a change of a node's state or of what it knows of others.
    pub const FIRST_STATE_CHANGE: u16 = 811;
    /// Newer state was fetched from another node.
    pub const STATE_FETCHED: u16 = 826;
    /// The node forwarded what it had read from the store to its availability zone.
    pub const ZONE_NOTIFIED: u16 = 823;
    /// Another node could not be reached.
    pub const NODE_UNREACHABLE: u16 = 831;
    /// A new or changed record of another node was received.
    pub const NODE_KNOWN: u16 = 832;
    /// The local upstream is warming up.
    pub const UPSTREAM_WARMING_UP: u16 = 817;
    /// An availability zone was evacuated.
    pub const ZONE_EVACUATED: u16 = 836;
    /// An evacuated availability zone was restored.
    pub const ZONE_RESTORED: u16 = 837;
    /// The node began to serve.
    pub const NODE_STARTED: u16 = 851;
    /// The node was asked to stop.
    pub const STOP_REQUESTED: u16 = 852;
    /// The node stopped.
    pub const NODE_STOPPED: u16 = 853;
}

/// A log line with an event number.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// Node that wrote the line.
    pub node: NodeName,
    /// Sequence number: rises by one with each line of a process.
    pub seq: u64,
    /// Time since the start of the process on its monotonic clock, in milliseconds.
    pub up_ms: u64,
    /// Wall-clock time in milliseconds since the Unix epoch; none if it could not be parsed.
    pub wall_ms: Option<u64>,
    /// Number of the event.
    pub number: u16,
    /// Name of the event.
    pub name: String,
    /// Whether the line reports a failure, a refusal or a change of state: its level is above INFO.
    pub important: bool,
    /// All other JSON fields of the line.
    pub fields: Map<String, Value>,
}

#[derive(Deserialize)]
struct RawLine {
    time: String,
    level: String,
    event: u16,
    name: String,
    node: NodeName,
    seq: u64,
    up_ms: u64,
    #[serde(flatten)]
    fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line of text; none if it holds no log line with an event number. A prefix that a log collector
    /// put before the JSON is skipped.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let json = text.get(text.find('{')?..)?;
        let raw: RawLine = serde_json::from_str(json.trim_end()).ok()?;
        Some(Self {
            wall_ms: parse_time(&raw.time),
            important: raw.level != "INFO",
            node: raw.node,
            seq: raw.seq,
            up_ms: raw.up_ms,
            number: raw.event,
            name: raw.name,
            fields: raw.fields,
        })
    }

    /// Value of a text field; empty if the field is missing or has another type.
    #[must_use]
    pub fn text(&self, name: &str) -> &str {
        self.fields
            .get(name)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    /// Value of a numeric field; 0 if the field is missing or has another type.
    #[must_use]
    pub fn number(&self, name: &str) -> u64 {
        self.find_number(name).unwrap_or_default()
    }

    /// Value of a numeric field; none if the field is missing or has another type.
    #[must_use]
    pub fn find_number(&self, name: &str) -> Option<u64> {
        self.fields.get(name).and_then(Value::as_u64)
    }

    /// Whether a field is `true`.
    #[must_use]
    pub fn is_set(&self, name: &str) -> bool {
        self.fields.get(name).and_then(Value::as_bool) == Some(true)
    }

    /// Value of a field that holds a socket address.
    #[must_use]
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.text(name).parse().ok()
    }

    /// Id of the request that the line is about, if any.
    #[must_use]
    pub fn request(&self) -> Option<&str> {
        let text = self.text("request");
        (!text.is_empty()).then_some(text)
    }

    /// How the request or attempt ended, from the field `end`.
    #[must_use]
    pub fn end(&self) -> EndField<'_> {
        match self.fields.get("end") {
            Some(Value::String(word)) => EndField::Other(word),
            Some(Value::Object(members)) => EndField::read(members),
            _ => EndField::Other(""),
        }
    }
}

/// How a request or an attempt ended, as written in the field `end` of a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndField<'a> {
    /// Answered with this HTTP status.
    Answered(u64),
    /// Not executed, for this reason.
    Refused(&'a str),
    /// Unknown whether it was executed, for this cause.
    Unknown(&'a str),
    /// Any other word; empty if the field is missing or has an unknown form.
    Other(&'a str),
}

impl<'a> EndField<'a> {
    /// The request ended while the attempt was in progress.
    pub const ABANDONED: Self = Self::Other("abandoned");
    /// The client, or the node that sent the attempt, disconnected.
    pub const CLIENT_LEFT: Self = Self::Other("client_left");

    fn read(members: &'a Map<String, Value>) -> Self {
        let text = |name| members.get(name).and_then(Value::as_str);
        let answered = members.get("answered").and_then(Value::as_u64);
        answered
            .map(Self::Answered)
            .or_else(|| text("refused").map(Self::Refused))
            .or_else(|| text("unknown").map(Self::Unknown))
            .unwrap_or(Self::Other(""))
    }

    /// The outcome in words, such as `refused: queue full`. The words also serve as keys in JSON output.
    #[must_use]
    pub fn describe(self) -> String {
        match self {
            Self::Answered(status) => format!("answered {status}"),
            Self::Refused(reason) => format!("refused: {}", reason.replace('_', " ")),
            Self::Unknown(cause) => format!("unknown: {}", cause.replace('_', " ")),
            Self::Other(word) => word.replace('_', " "),
        }
    }
}

fn parse_time(text: &str) -> Option<u64> {
    let time = humantime::parse_rfc3339_weak(text).ok()?;
    let span = time.duration_since(UNIX_EPOCH).ok()?;
    u64::try_from(span.as_millis()).ok()
}

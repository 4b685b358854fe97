//! One line of a node's log.

use crate::state::names::NodeName;
use serde::Deserialize;
use serde_json::{Map, Value};
use std::{net::SocketAddr, time::UNIX_EPOCH};

/// Numbers of the lines that the reading knows more of than their text. `docs/EVENTS.md` lists all.
pub mod event_numbers {
    /// A client's request ended.
    pub const REQUEST_ENDED: u16 = 801;
    /// An entry node learned how an attempt ended.
    pub const ATTEMPT_RETURNED: u16 = 802;
    /// The node beside an upstream decided on an attempt.
    pub const ATTEMPT_EXECUTED: u16 = 803;
    /// A further attempt was not made for lack of budget.
    pub const RETRY_SUPPRESSED: u16 = 804;
    /// Lines were left out.
    pub const LINES_DROPPED: u16 = 805;
    /// Least number of the lines on what a node believes.
    pub const FIRST_STATE_CHANGE: u16 = 811;
    /// Another node was asked for what is newer.
    pub const STATE_FETCHED: u16 = 826;
    /// The zone was told what was read from the store.
    pub const ZONE_NOTIFIED: u16 = 823;
    /// Another node could not be reached.
    pub const NODE_UNREACHABLE: u16 = 831;
    /// A record of a node was news.
    pub const NODE_KNOWN: u16 = 832;
    /// The upstream beside a node is cold.
    pub const UPSTREAM_WARMING_UP: u16 = 817;
    /// An availability zone was evacuated.
    pub const ZONE_EVACUATED: u16 = 836;
    /// An evacuated availability zone was taken back.
    pub const ZONE_RESTORED: u16 = 837;
    /// The process began to serve.
    pub const NODE_STARTED: u16 = 851;
    /// The process was told to stop.
    pub const STOP_REQUESTED: u16 = 852;
    /// The process ended.
    pub const NODE_STOPPED: u16 = 853;
}

/// A numbered line.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// The node that wrote it.
    pub node: NodeName,
    /// Rises by one with each line of a process.
    pub seq: u64,
    /// Time since the start of the process by its steady clock, in milliseconds.
    pub up_ms: u64,
    /// Time of day in milliseconds since the Unix epoch, if it can be read.
    pub wall_ms: Option<u64>,
    /// Number of the event.
    pub number: u16,
    /// Name of the event.
    pub name: String,
    /// Whether it tells of a failure, a refusal or a change.
    pub telling: bool,
    /// All other members.
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
    /// The line of that text; none if it is no numbered line. Whatever a collector of logs put in front
    /// of the JSON is passed over.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let json = text.get(text.find('{')?..)?;
        let raw: RawLine = serde_json::from_str(json.trim_end()).ok()?;
        Some(Self {
            wall_ms: parse_time(&raw.time),
            telling: raw.level != "INFO",
            node: raw.node,
            seq: raw.seq,
            up_ms: raw.up_ms,
            number: raw.event,
            name: raw.name,
            fields: raw.fields,
        })
    }

    /// A member that is text; empty if there is none.
    #[must_use]
    pub fn text(&self, name: &str) -> &str {
        self.fields
            .get(name)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    /// A member that is a number; 0 if there is none.
    #[must_use]
    pub fn number(&self, name: &str) -> u64 {
        self.find_number(name).unwrap_or_default()
    }

    /// A member that is a number, if there is one.
    #[must_use]
    pub fn find_number(&self, name: &str) -> Option<u64> {
        self.fields.get(name).and_then(Value::as_u64)
    }

    /// A member that is true.
    #[must_use]
    pub fn is_set(&self, name: &str) -> bool {
        self.fields.get(name).and_then(Value::as_bool) == Some(true)
    }

    /// A member that is an address.
    #[must_use]
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.text(name).parse().ok()
    }

    /// The request it is about, if it is about one.
    #[must_use]
    pub fn request(&self) -> Option<&str> {
        let text = self.text("request");
        (!text.is_empty()).then_some(text)
    }

    /// How the request or attempt ended.
    #[must_use]
    pub fn end(&self) -> EndField<'_> {
        match self.fields.get("end") {
            Some(Value::String(word)) => EndField::Other(word),
            Some(Value::Object(members)) => EndField::read(members),
            _ => EndField::Other(""),
        }
    }
}

/// How a request or an attempt ended, as a line has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndField<'a> {
    /// Answered with a status.
    Answered(u64),
    /// Not run, for a reason.
    Refused(&'a str),
    /// Unknown, for a cause.
    Unknown(&'a str),
    /// Anything else.
    Other(&'a str),
}

impl<'a> EndField<'a> {
    /// The request ended while the attempt was under way.
    pub const ABANDONED: Self = Self::Other("abandoned");
    /// The client, or the node that asked, went away.
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

    /// In words.
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

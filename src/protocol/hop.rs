//! What nodes tell each other beside a request that one passes on to another, as one header.
//!
//! The request itself travels unchanged. The header is short on purpose: bytes between availability
//! zones are paid for.

use crate::{
    protocol::outcome::{RefusalReason, UnknownCause},
    state::{
        configuration::ConfigurationVersion,
        evacuations::Evacuations,
        incarnation_id::IncarnationId,
        known_node::{NodeLoad, StoredRecord},
        names::{ClassName, ServiceName},
        request_fingerprint::RequestFingerprint,
        table_change::TableChange,
    },
};
use serde::{Deserialize, Deserializer, Serialize, de::DeserializeOwned};
use std::{net::SocketAddr, rc::Rc, time::Duration};

/// Name of the header, on requests and answers between nodes.
pub const HOP_HEADER: &str = "x-hop";
/// Header that marks a message with state instead of a request.
pub const STATE_HEADER: &str = "x-state";

/// Flag of a request that may run twice.
const IDEMPOTENT_FLAG: u8 = 1;
/// Flag of a request that was sent to another upstream before.
const RETRY_FLAG: u8 = 2;

/// Sent with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HopRequest {
    /// Service whose upstream is to run it.
    pub service: ServiceName,
    /// Class of work.
    pub class: ClassName,
    /// Service on the VM where the request began.
    pub caller: ServiceName,
    /// Time until the deadline.
    pub time_left: Duration,
    /// Time in which it has to end to be taken; zero if it wants a slot at once or none.
    pub finish_within: Duration,
    /// Time in which it is to end to be on time; zero if that is over.
    pub target_left: Duration,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Whether it was sent to another upstream before.
    pub is_retry: bool,
    /// Version of the routing table that the sender has in force.
    pub version: ConfigurationVersion,
    /// Where the sender takes messages from nodes.
    pub sender: SocketAddr,
}

/// How the attempt ended, as the node beside the upstream knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The message is the upstream's answer.
    Answered,
    /// It did not run.
    Refused(RefusalReason),
    /// It may have run.
    Unknown(UnknownCause),
}

/// Sent with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HopAnswer {
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// Load of the upstream now.
    pub load: NodeLoad,
    /// Version of the routing table that the answering node has in force.
    pub version: ConfigurationVersion,
    /// After a refusal, the time in which it would have ended; else the time that it waited for a slot.
    pub finish_or_wait: Duration,
}

impl HopRequest {
    /// The header's value.
    #[must_use]
    pub fn encode(&self) -> String {
        format!(
            "{};{};{};{};{};{};{};{};{};{}",
            self.service,
            self.class,
            self.caller,
            self.time_left.as_millis(),
            self.finish_within.as_millis(),
            self.target_left.as_millis(),
            self.priority,
            self.flags(),
            self.version.0,
            self.sender,
        )
    }

    fn flags(&self) -> u8 {
        let idempotent = if self.idempotent { IDEMPOTENT_FLAG } else { 0 };
        let retry = if self.is_retry { RETRY_FLAG } else { 0 };
        idempotent | retry
    }

    /// Reads the header's value; none if it is malformed.
    #[must_use]
    pub fn decode(text: &str) -> Option<Self> {
        let mut parts = text.split(';');
        let (service, class, caller) = (parts.next()?, parts.next()?, parts.next()?);
        let (time_left, finish_within) = (parts.next()?.parse().ok()?, parts.next()?.parse().ok()?);
        let target_left = parts.next()?.parse().ok()?;
        let priority = parts.next()?.parse().ok()?;
        let flags: u8 = parts.next()?.parse().ok()?;
        let request = Self {
            service: service.into(),
            class: class.into(),
            caller: caller.into(),
            time_left: Duration::from_millis(time_left),
            finish_within: Duration::from_millis(finish_within),
            target_left: Duration::from_millis(target_left),
            priority,
            idempotent: flags & IDEMPOTENT_FLAG != 0,
            is_retry: flags & RETRY_FLAG != 0,
            version: ConfigurationVersion(parts.next()?.parse().ok()?),
            sender: parts.next()?.parse().ok()?,
        };
        parts.next().is_none().then_some(request)
    }
}

impl HopAnswer {
    /// The header's value.
    #[must_use]
    pub fn encode(&self) -> String {
        let load = self.load;
        format!(
            "{};{};{};{};{};{};{};{}",
            encode_outcome(self.outcome),
            load.running,
            load.queued,
            load.limit,
            load.slowdown_percent,
            load.failed_percent,
            self.version.0,
            self.finish_or_wait.as_millis(),
        )
    }

    /// Reads the header's value; none if it is malformed.
    #[must_use]
    pub fn decode(text: &str) -> Option<Self> {
        let mut parts = text.split(';');
        let answer = Self {
            outcome: decode_outcome(parts.next()?)?,
            load: NodeLoad {
                running: parts.next()?.parse().ok()?,
                queued: parts.next()?.parse().ok()?,
                limit: parts.next()?.parse().ok()?,
                slowdown_percent: parts.next()?.parse().ok()?,
                failed_percent: parts.next()?.parse().ok()?,
            },
            version: ConfigurationVersion(parts.next()?.parse().ok()?),
            finish_or_wait: Duration::from_millis(parts.next()?.parse().ok()?),
        };
        parts.next().is_none().then_some(answer)
    }
}

fn encode_outcome(outcome: AttemptOutcome) -> String {
    match outcome {
        AttemptOutcome::Answered => "a".to_owned(),
        AttemptOutcome::Refused(reason) => format!("r:{}", get_variant_name(&reason)),
        AttemptOutcome::Unknown(cause) => format!("u:{}", get_variant_name(&cause)),
    }
}

fn decode_outcome(text: &str) -> Option<AttemptOutcome> {
    if text == "a" {
        return Some(AttemptOutcome::Answered);
    }
    match text.split_once(':')? {
        ("r", name) => Some(AttemptOutcome::Refused(parse_variant(name)?)),
        ("u", name) => Some(AttemptOutcome::Unknown(parse_variant(name)?)),
        _ => None,
    }
}

/// The name that a variant has in JSON.
#[must_use]
pub fn get_variant_name(value: &impl Serialize) -> String {
    let json = serde_json::to_value(value).ok();
    let name = json.as_ref().and_then(serde_json::Value::as_str);
    name.unwrap_or("other").to_owned()
}

fn parse_variant<T: DeserializeOwned>(name: &str) -> Option<T> {
    serde_json::from_value(serde_json::Value::from(name)).ok()
}

/// A node of another version may tell of records with other fields; the others hold all the same.
fn read_records<'a, D: Deserializer<'a>>(from: D) -> Result<Vec<StoredRecord>, D::Error> {
    let values = Vec::<serde_json::Value>::deserialize(from)?;
    let records = values.into_iter().map(serde_json::from_value);
    Ok(records.filter_map(Result::ok).collect())
}

/// What a node has found out about requests at crashes of upstreams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CrashFinding {
    /// An upstream crashed while it ran a request. The receiver counts the crashes under it.
    Crashed {
        /// What the request asks for.
        #[serde(rename = "digest")]
        fingerprint: RequestFingerprint,
        /// The run that crashed.
        #[serde(rename = "run")]
        incarnation: IncarnationId,
    },
    /// The request is what crashes the upstreams.
    Quarantined(RequestFingerprint),
    /// The request was at a crash, and an upstream has answered it since.
    Answered(RequestFingerprint),
}

/// A table that the store holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredTable {
    /// Its version.
    pub version: ConfigurationVersion,
    /// Where the store's topic of the configuration goes on after its record.
    pub next: u64,
}

/// State that a node sends to others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateMessage {
    /// What turns the routing table of the version asked about into the one in force.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub change: Option<Rc<TableChange>>,
    /// The last table that the sender knows the store to hold.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stored_table: Option<StoredTable>,
    /// The sender has this version in force and can be asked for it.
    #[serde(rename = "offered", default, skip_serializing_if = "Option::is_none")]
    pub offered_version: Option<ConfigurationVersion>,
    /// Where the sender takes messages from nodes.
    #[serde(rename = "from", default, skip_serializing_if = "Option::is_none")]
    pub sender: Option<SocketAddr>,
    /// Records of nodes. One that can't be read is left out.
    #[serde(default, deserialize_with = "read_records")]
    pub nodes: Vec<StoredRecord>,
    /// Nodes that the receiver is to pass the message on to.
    #[serde(rename = "pass_on", default, skip_serializing_if = "Vec::is_empty")]
    pub forward_to: Vec<SocketAddr>,
    /// The receiver is to answer with what is newer than this version.
    #[serde(rename = "wanted", default, skip_serializing_if = "Option::is_none")]
    pub changes_since: Option<ConfigurationVersion>,
    /// The sender has read the records of nodes; they need not be told with the answer.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub has_records: bool,
    /// The receiver is to read the store for its zone: the sender can't.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub read_store: bool,
    /// The receiver is to find out whether it reaches that node.
    #[serde(rename = "reaches", default, skip_serializing_if = "Option::is_none")]
    pub check_peer: Option<SocketAddr>,
    /// Whether it does.
    #[serde(rename = "reached", default, skip_serializing_if = "Option::is_none")]
    pub peer_reachable: Option<bool>,
    /// Evacuated availability zones, as the sender knows them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub evacuations: Option<Rc<Evacuations>>,
    /// Position up to which the sender knows of evacuations.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub evacuations_position: Option<u64>,
    /// The store lost the receiver's record when it came back from a copy in this era. The receiver is to write it again.
    #[serde(
        rename = "lost_in_era",
        default,
        skip_serializing_if = "Option::is_none"
    )]
    pub lost_in_epoch: Option<u64>,
    /// What the sender has found out about a request at crashes of upstreams.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finding: Option<Rc<CrashFinding>>,
}

//! Messages between nodes: the header that accompanies a forwarded request and its answer, and the state messages.
//!
//! The request itself is forwarded unchanged. The header's fields are separated by semicolons and encoded by position,
//! without names, and times are whole milliseconds: traffic between availability zones is billed by the byte.
//! State messages are JSON.

use crate::{
    coordination::quota_keeper::CreditGrant,
    protocol::outcome::{RefusalReason, UnknownCause},
    state::{
        configuration::ConfigurationVersion,
        evacuations::Evacuations,
        incarnation_id::IncarnationId,
        known_node::{NodeLoad, StoredRecord},
        names::{ClassName, OrganisationName, ServiceName},
        request_fingerprint::RequestFingerprint,
        request_rate::RequestRate,
        table_change::TableChange,
    },
};
use http::HeaderName;
use percent_encoding::{
    AsciiSet, CONTROLS, PercentEncode, percent_decode_str, utf8_percent_encode,
};
use serde::{Deserialize, Deserializer, Serialize, de::DeserializeOwned};
use std::{borrow::Cow, fmt::Write, net::SocketAddr, rc::Rc, time::Duration};

/// Header of requests and answers between nodes; holds a [`HopRequest`] or a [`HopAnswer`].
///
/// NB: clients and upstreams may use the same name. The header of the node is the first one of a message; the others are forwarded.
pub const HOP_HEADER: HeaderName = HeaderName::from_static("x-hop");
/// Header that marks a message whose body is a [`StateMessage`]. In a message with [`HOP_HEADER`] it is a header of a client.
pub const STATE_HEADER: HeaderName = HeaderName::from_static("x-state");

/// Characters of names that are percent-encoded: a header can't hold all of them, and the semicolon separates the fields.
const ESCAPED: &AsciiSet = &CONTROLS.add(b';').add(b'%');

/// Bit in the flags of a [`HopRequest`]: running the request twice does no harm.
const IDEMPOTENT_FLAG: u8 = 1;
/// Number of fields of a [`HopRequest`] before its flags.
const FIELDS_BEFORE_FLAGS: usize = 7;
/// Number of fields of a [`HopRequest`] after its flags, including the optional organisation.
const FIELDS_AFTER_FLAGS: usize = 3;
/// Bit in the flags of a [`HopRequest`]: another upstream may have run the request already.
const RETRY_FLAG: u8 = 2;
/// Bit in the flags of a [`HopRequest`]: the field after the sender's address holds the request limit.
const LIMIT_FLAG: u8 = 4;

/// Bit in the flags of a [`HopRequest`]: the sender understands [`RefusalReason::UpstreamFailing`].
const EJECTION_FLAG: u8 = 8;

/// Header of a forwarded request with a large body: the request's fingerprint. The receiver doesn't have the body when it decides about
/// the request. It stands first, like [`HOP_HEADER`], in messages whose [`HopRequest::has_fingerprint`] is set.
pub const FINGERPRINT_HEADER: HeaderName = HeaderName::from_static("x-hop-digest");

/// Bit in the flags of a [`HopRequest`]: the message has a [`FINGERPRINT_HEADER`].
const FINGERPRINT_FLAG: u8 = 32;

/// Bit in the flags of a [`HopRequest`]: the sender ends at the end of the time left.
const ENDING_FLAG: u8 = 16;

/// What the entry node sends along with a request that it forwards to an upstream's node.
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent flags, one bit each on the wire"
)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HopRequest {
    /// Service whose upstream is to run the request.
    pub service: ServiceName,
    /// Class of the request.
    pub class: ClassName,
    /// Service of the local upstream on the VM where the request entered the mesh.
    pub caller: ServiceName,
    /// Time until the request's deadline.
    pub time_left: Duration,
    /// The receiver accepts the request only if it expects it to end within this time. Zero: it is to start at once
    /// or be refused.
    pub finish_within: Duration,
    /// Time until the class's latency target is missed; zero if it is missed already.
    pub target_left: Duration,
    /// Priority; 0 is the highest. See [`rank_request`](crate::state::organisations::rank_request).
    pub priority: u16,
    /// Whether running the request twice does no harm.
    pub idempotent: bool,
    /// Whether the request was sent to another upstream before.
    pub is_retry: bool,
    /// Version of the routing table that the sender has in force.
    pub version: ConfigurationVersion,
    /// Address at which the sender accepts messages of other nodes.
    pub sender: SocketAddr,
    /// Request limit of the upstream that an answer has shown to the sender; `None` if it knows of none. The receiver may have been
    /// restarted since.
    pub request_limit: Option<RequestRate>,
    /// Organisation that sent the request; `None` if it needs no API key.
    pub organisation: Option<OrganisationName>,
    /// Whether the sender understands [`RefusalReason::UpstreamFailing`]. A node of an earlier version would take the answer for
    /// malformed, and the request for one that may have been executed.
    pub knows_ejection: bool,
    /// Whether the sender is stopping and ends at the end of `time_left`, before the deadline of the request. The request must not
    /// start unless it is expected to end by then.
    pub ends_with_sender: bool,
    /// Whether the message has a [`FINGERPRINT_HEADER`].
    pub has_fingerprint: bool,
}

/// How an attempt at an upstream ended, as reported by the upstream's node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The upstream answered; the message that bears the header is its answer.
    Answered,
    /// The request was not executed.
    Refused(RefusalReason),
    /// The request may have been executed.
    Unknown(UnknownCause),
}

/// What an upstream's node sends along with the answer to a forwarded request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HopAnswer {
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// Load of the upstream when the answer was sent.
    pub load: NodeLoad,
    /// Version of the routing table that the answering node has in force.
    pub version: ConfigurationVersion,
    /// After [`RefusalReason::QueueFull`] the time in which the request would have ended, after
    /// [`RefusalReason::Quarantined`] the rest of the quarantine. If the request got a slot, the time that it waited for it.
    pub finish_or_wait: Duration,
    /// Request limit that the upstream names; `None` if it names none or the answering node doesn't know it.
    pub request_limit: Option<RequestRate>,
}

impl HopRequest {
    /// Builds the header's value.
    #[must_use]
    pub fn encode(&self) -> String {
        let mut text = format!(
            "{};{};{};{};{};{};{};{};{};{}",
            escape(self.service.as_str()),
            escape(self.class.as_str()),
            escape(self.caller.as_str()),
            self.time_left.as_millis(),
            self.finish_within.as_millis(),
            self.target_left.as_millis(),
            self.priority,
            self.flags(),
            self.version.0,
            self.sender,
        );
        if let Some(rate) = self.request_limit {
            // Writing to a string never fails.
            let _ = write!(text, ";{}", rate.0);
        }
        if let Some(organisation) = &self.organisation {
            text.push(';');
            text.extend(escape(organisation.as_str()));
        }
        text
    }

    fn flags(&self) -> u8 {
        let idempotent = if self.idempotent { IDEMPOTENT_FLAG } else { 0 };
        let retry = if self.is_retry { RETRY_FLAG } else { 0 };
        let limit = self.request_limit.map_or(0, |_| LIMIT_FLAG);
        let ejection = if self.knows_ejection {
            EJECTION_FLAG
        } else {
            0
        };
        let ending = if self.ends_with_sender {
            ENDING_FLAG
        } else {
            0
        };
        let fingerprint = if self.has_fingerprint {
            FINGERPRINT_FLAG
        } else {
            0
        };
        idempotent | retry | limit | ejection | ending | fingerprint
    }

    /// Parses the header's value; `None` if it is malformed.
    #[must_use]
    pub fn decode(text: &str) -> Option<Self> {
        let mut parts = text.splitn(FIELDS_BEFORE_FLAGS + 1, ';');
        let service = unescape(parts.next()?)?;
        let class = unescape(parts.next()?)?;
        let caller = unescape(parts.next()?)?;
        let (time_left, finish_within) = (parts.next()?.parse().ok()?, parts.next()?.parse().ok()?);
        let target_left = parts.next()?.parse().ok()?;
        let priority = parts.next()?.parse().ok()?;
        let (flags, rest) = parts.next()?.split_once(';')?;
        let flags: u8 = flags.parse().ok()?;
        let has_limit = flags & LIMIT_FLAG != 0;
        // In a message of the former version the name of the organisation, the last field, may contain the separator.
        let mut parts = rest.splitn(FIELDS_AFTER_FLAGS + usize::from(has_limit), ';');
        let request = Self {
            service: service.as_ref().into(),
            class: class.as_ref().into(),
            caller: caller.as_ref().into(),
            time_left: Duration::from_millis(time_left),
            finish_within: Duration::from_millis(finish_within),
            target_left: Duration::from_millis(target_left),
            priority,
            idempotent: flags & IDEMPOTENT_FLAG != 0,
            is_retry: flags & RETRY_FLAG != 0,
            version: ConfigurationVersion(parts.next()?.parse().ok()?),
            sender: parts.next()?.parse().ok()?,
            request_limit: if has_limit {
                Some(RequestRate(parts.next()?.parse().ok()?))
            } else {
                None
            },
            organisation: match parts.next() {
                Some(name) => Some(unescape(name)?.as_ref().into()),
                None => None,
            },
            knows_ejection: flags & EJECTION_FLAG != 0,
            ends_with_sender: flags & ENDING_FLAG != 0,
            has_fingerprint: flags & FINGERPRINT_FLAG != 0,
        };
        Some(request)
    }
}

/// Percent-encodes a name.
fn escape(name: &str) -> PercentEncode<'_> {
    utf8_percent_encode(name, ESCAPED)
}

/// Decodes a percent-encoded name; `None` if it is not UTF-8.
fn unescape(text: &str) -> Option<Cow<'_, str>> {
    percent_decode_str(text).decode_utf8().ok()
}

impl HopAnswer {
    /// Builds the header's value.
    #[must_use]
    pub fn encode(&self) -> String {
        let load = self.load;
        let mut text = format!(
            "{};{};{};{};{};{};{};{}",
            encode_outcome(self.outcome),
            load.running,
            load.queued,
            load.limit,
            load.slowdown_percent,
            load.failed_percent,
            self.version.0,
            self.finish_or_wait.as_millis(),
        );
        if let Some(rate) = self.request_limit {
            // Writing to a string never fails.
            let _ = write!(text, ";{}", rate.0);
        }
        text
    }

    /// Parses the header's value; `None` if it is malformed.
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
            request_limit: match parts.next() {
                Some(rate) => Some(RequestRate(rate.parse().ok()?)),
                None => None,
            },
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

/// The serialized name of an enum variant without fields; "other" if the value does not serialize to a string.
#[must_use]
pub fn get_variant_name(value: &impl Serialize) -> String {
    let json = serde_json::to_value(value).ok();
    let name = json.as_ref().and_then(serde_json::Value::as_str);
    name.unwrap_or("other").to_owned()
}

fn parse_variant<T: DeserializeOwned>(name: &str) -> Option<T> {
    serde_json::from_value(serde_json::Value::from(name)).ok()
}

/// Reads the records that this version understands and skips the others: a node of another version may send records
/// with other fields.
fn read_records<'a, D: Deserializer<'a>>(deserializer: D) -> Result<Vec<StoredRecord>, D::Error> {
    let values = Vec::<serde_json::Value>::deserialize(deserializer)?;
    let records = values.into_iter().map(serde_json::from_value);
    Ok(records.filter_map(Result::ok).collect())
}

/// What a node has found out about a request that upstreams were running when they crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CrashFinding {
    /// An upstream crashed while it ran the request. The receiver counts such crashes by the request's fingerprint.
    Crashed {
        /// Fingerprint of the request.
        #[serde(rename = "digest")]
        fingerprint: RequestFingerprint,
        /// The upstream's incarnation that crashed.
        #[serde(rename = "run")]
        incarnation: IncarnationId,
    },
    /// The request is held to be the cause of the crashes and is in quarantine.
    Quarantined(RequestFingerprint),
    /// An upstream has answered the request since the crash.
    Answered(RequestFingerprint),
}

/// A routing table that the store holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredTable {
    /// Version of the table.
    pub version: ConfigurationVersion,
    /// Position after the table's record in the store's configuration topic, packed
    /// ([`StorePosition`](crate::state::store_position::StorePosition)).
    pub next: u64,
}

/// The departure of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// Address of the upstream's node, at which it accepts messages of other nodes.
    pub node: SocketAddr,
    /// The upstream's incarnation that is leaving.
    #[serde(rename = "run")]
    pub incarnation: IncarnationId,
}

/// Asks for credit for requests of an organisation: each request that is sent to an upstream uses one credit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CreditRequest {
    /// The organisation.
    pub organisation: OrganisationName,
    /// Number of credits that the sender can use soon; at least 1.
    pub wanted: u32,
    /// Whether the request can hardly be answered within its latency target. It gets credit only if there is enough for those that can.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_late: bool,
    /// Whether the sender can't reach some of the keepers of the organisation's quota.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub lacks_keepers: bool,
}

/// State that a node sends to another one, requests for state, and the answers to them. A field that is absent has its
/// default.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateMessage {
    /// Answer to `changes_since`: what turns the routing table of that version into the one in force.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub change: Option<Rc<TableChange>>,
    /// The newest table that the sender knows the store to hold.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stored_table: Option<StoredTable>,
    /// Version of the table that the sender has in force and that the receiver may fetch from it.
    #[serde(rename = "offered", default, skip_serializing_if = "Option::is_none")]
    pub offered_version: Option<ConfigurationVersion>,
    /// Address at which the sender accepts messages of other nodes.
    #[serde(rename = "from", default, skip_serializing_if = "Option::is_none")]
    pub sender: Option<SocketAddr>,
    /// Records of nodes. Records that this version can't decode are skipped.
    #[serde(default, deserialize_with = "read_records")]
    pub nodes: Vec<StoredRecord>,
    /// Nodes to which the receiver is to forward the message.
    #[serde(rename = "pass_on", default, skip_serializing_if = "Vec::is_empty")]
    pub forward_to: Vec<SocketAddr>,
    /// Asks the receiver for the changes since this version of the routing table.
    #[serde(rename = "wanted", default, skip_serializing_if = "Option::is_none")]
    pub changes_since: Option<ConfigurationVersion>,
    /// The sender has the nodes' records already; the answer may omit them.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub has_records: bool,
    /// Asks the receiver to read the store for its availability zone, because the sender can't.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub read_store: bool,
    /// Asks the receiver to check whether it can reach the node at this address.
    #[serde(rename = "reaches", default, skip_serializing_if = "Option::is_none")]
    pub check_peer: Option<SocketAddr>,
    /// The sender is stopping: its requests that wait at the receiver must end within this time, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ends_in_ms: Option<u64>,
    /// Answer to `check_peer`: whether the node is reachable.
    #[serde(rename = "reached", default, skip_serializing_if = "Option::is_none")]
    pub peer_reachable: Option<bool>,
    /// Evacuated availability zones, as the sender knows them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub evacuations: Option<Rc<Evacuations>>,
    /// Position in the store's configuration topic up to which the sender knows the evacuations, packed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub evacuations_position: Option<u64>,
    /// The store lost the receiver's record when it was restored from a backup, which began this epoch. The receiver is
    /// to write its record again.
    #[serde(
        rename = "lost_in_era",
        default,
        skip_serializing_if = "Option::is_none"
    )]
    pub lost_in_epoch: Option<u64>,
    /// Asks the receiver, one of the keepers of the quota of an organisation, for credit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub credit_request: Option<CreditRequest>,
    /// Answer to `credit_request`; absent if the receiver doesn't keep the quota.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub credit_grant: Option<CreditGrant>,
    /// What the sender has found out about a request during which upstreams crashed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finding: Option<Rc<CrashFinding>>,
    /// The upstream of a node is leaving. The store may not hold this yet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub departure: Option<Departure>,
    /// Asks the receiver for the departure of this incarnation of the upstream at the sender; absent from the answer if the receiver
    /// knows of none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub check_departure: Option<IncarnationId>,
}

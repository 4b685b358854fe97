//! Events as they go from a node to operators' tools, in JSON.

use crate::{
    events::{event::Event, reasons::Severity, stamp::CausalStamp},
    protocol::attempt::CallId,
    state::{member::Incarnation, moment::Moment, names::NodeName},
};
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::Value;

/// One recorded event.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EventView {
    /// The node that recorded it.
    pub node: NodeName,
    /// The run of that node.
    pub incarnation: Incarnation,
    /// Number within that run, from 1 on.
    pub sequence: u64,
    /// Place in causal order.
    pub stamp: CausalStamp,
    /// Moment on the node's monotonic clock, in microseconds.
    pub moment: Moment,
    /// The node's wall clock, in milliseconds since the Unix epoch.
    pub wall_millis: u64,
    /// Number of the kind of event.
    pub number: u16,
    /// How much it matters.
    pub severity: Severity,
    /// The call that it is a step of.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub call: Option<CallId>,
    /// The event for people.
    pub message: String,
    /// The event itself; nothing if this program is too old to know it.
    #[serde(default, deserialize_with = "read_known_event")]
    pub event: Option<Event>,
}

/// Reads an event, or nothing if it is of a kind or shape that this program does not know.
///
/// While nodes are being replaced, newer ones send events that an older tool has not heard of. One
/// of them must not make a whole page unreadable; its number and message still stand.
fn read_known_event<'de, D: Deserializer<'de>>(input: D) -> Result<Option<Event>, D::Error> {
    let value = Value::deserialize(input)?;
    Ok(serde_json::from_value(value).ok())
}

/// Which events are asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EventQuery {
    /// Only events with a higher sequence than this.
    pub since: u64,
    /// Only steps of this call.
    pub call: Option<CallId>,
    /// Only events that matter at least this much.
    pub severity: Severity,
    /// At most this many, the oldest first.
    pub limit: usize,
}

/// Events of one node.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct EventPage {
    /// The node; nothing only in an empty default.
    pub node: Option<NodeName>,
    /// The run of the node. Sequences of another run can't be continued from.
    pub incarnation: Incarnation,
    /// Where to continue: the `since` of the next query.
    pub next: u64,
    /// Events that matched `since` but had been dropped from memory already, at most.
    pub dropped: u64,
    /// Whether the page was cut at its limit.
    pub more: bool,
    /// The events, in order of their sequence.
    pub events: Vec<EventView>,
}

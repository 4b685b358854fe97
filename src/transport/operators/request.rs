//! Questions from the operators' server to the event loop.

use crate::{
    events::view::{EventPage, EventQuery},
    protocol::operator_views::{NodeCondition, NodeStatus, UpstreamAnnouncement},
};
use flume::Sender;

/// One question, with the channel for its answer.
///
/// The asker may have given up meanwhile: a failing `send` on the reply channel is no error.
#[derive(Debug)]
pub enum OperatorRequest {
    /// All that `camphorturn status` shows.
    Status {
        /// Takes the answer.
        reply: Sender<NodeStatus>,
    },
    /// Whether the node takes calls.
    Health {
        /// Takes the answer.
        reply: Sender<NodeCondition>,
    },
    /// Recorded events.
    Events {
        /// Which.
        query: EventQuery,
        /// Takes the answer.
        reply: Sender<EventPage>,
    },
    /// Take no new work and finish what there is.
    Drain {
        /// Takes the answer.
        reply: Sender<NodeCondition>,
    },
    /// The upstream tells of itself.
    Announce {
        /// What it says.
        announcement: UpstreamAnnouncement,
        /// Takes the answer.
        reply: Sender<NodeCondition>,
    },
    /// A request without a valid token was turned away.
    Rejected,
}

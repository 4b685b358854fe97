//! Questions from the operators' server to the event loop.

use crate::{
    coordination::publishing::{PublicationOutcome, PublicationRequest},
    protocol::operator_views::{EvacuationView, HistoryView, LogPage, NodeHealth, NodeStatus},
    state::names::AvailabilityZoneName,
};
use flume::Sender;

/// Why an availability zone is not evacuated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvacuationError {
    /// No node of the zone is known.
    UnknownZone,
    /// The store did not take the operator's word, or did not say so.
    Store(String),
}

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
    /// Whether the node takes requests.
    Health {
        /// Takes the answer.
        reply: Sender<NodeHealth>,
    },
    /// Lines of the log that the node keeps.
    LogLines {
        /// Number of the first one.
        from: u64,
        /// Takes the answer.
        reply: Sender<LogPage>,
    },
    /// Have the upstream take no new work and finish what there is.
    Drain {
        /// Takes the answer.
        reply: Sender<NodeHealth>,
    },
    /// Put a configuration in force.
    Publish {
        /// What to publish.
        request: Box<PublicationRequest>,
        /// Takes the answer.
        reply: Sender<PublicationOutcome>,
    },
    /// Evacuate an availability zone, or take it back.
    Evacuate {
        /// The zone.
        zone: AvailabilityZoneName,
        /// Whether it is to get no requests.
        evacuated: bool,
        /// Takes the answer.
        reply: Sender<Result<EvacuationView, EvacuationError>>,
    },
    /// The publications that are remembered.
    History {
        /// Takes the answer, or why the store can't be read.
        reply: Sender<Result<HistoryView, String>>,
    },
    /// A request without a valid token was turned away.
    Unauthorized,
}

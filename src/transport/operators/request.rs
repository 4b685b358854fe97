//! Messages from the operators' server to the node's event loop.

use crate::{
    coordination::publishing::{PublicationOutcome, PublicationRequest},
    protocol::operator_views::{EvacuationView, HistoryView, LogPage, NodeHealth, NodeStatus},
    state::names::AvailabilityZoneName,
};
use flume::Sender;

/// Why an availability zone was not evacuated or restored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvacuationError {
    /// No node of the zone is known.
    UnknownZone,
    /// The store did not store the change, or did not confirm it; holds the store's error.
    Store(String),
}

/// One request, with the channel for its answer.
///
/// The receiver of the answer may have given up meanwhile: a failing `send` on the reply channel is not an error.
#[derive(Debug)]
pub enum OperatorRequest {
    /// Return the status that `camphorturn status` shows.
    Status {
        /// Channel for the answer.
        reply: Sender<NodeStatus>,
    },
    /// Return whether the node accepts requests, and the load of its local upstream.
    Health {
        /// Channel for the answer.
        reply: Sender<NodeHealth>,
    },
    /// Return lines of the log that the node keeps in memory.
    LogLines {
        /// Number of the first line.
        from: u64,
        /// Channel for the answer.
        reply: Sender<LogPage>,
    },
    /// Drain the local upstream: it accepts no new requests and finishes those it has.
    Drain {
        /// Channel for the answer.
        reply: Sender<NodeHealth>,
    },
    /// Publish a configuration.
    Publish {
        /// The configuration, its author and the version that it is based on.
        request: Box<PublicationRequest>,
        /// Channel for the answer.
        reply: Sender<PublicationOutcome>,
    },
    /// Evacuate an availability zone, or restore it.
    Evacuate {
        /// Name of the zone.
        zone: AvailabilityZoneName,
        /// Whether the zone is evacuated; otherwise it is restored.
        evacuated: bool,
        /// Channel for the answer.
        reply: Sender<Result<EvacuationView, EvacuationError>>,
    },
    /// Return the latest publications.
    History {
        /// Channel for the answer, or for the reason why the store can't be read.
        reply: Sender<Result<HistoryView, String>>,
    },
    /// Log that a request without a valid token was refused; has no answer.
    Unauthorized,
}

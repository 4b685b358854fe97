//! RPC between nodes: one kept connection a pair of nodes that talk.
//!
//! A connection starts with a hello that agrees on a protocol version and in which both sides prove
//! that they hold the mesh's key. Only then does either side get the capability to send requests.
//! `docs/design/peers.md` has the reasons and the measurements.

pub mod codec;
mod connection;
mod connections;
mod counters;
mod dial;
mod door;
mod error;
mod listener;
// Generated: neither its layout nor its style is ours to change.
#[rustfmt::skip]
#[allow(missing_docs, dead_code, clippy::all, clippy::pedantic, reason = "generated code")]
mod mesh_capnp;
mod mesh_server;
mod proof;
mod requests;

pub use self::{
    connections::PeerConnections,
    counters::PeerCounters,
    error::{DecodeError, HelloError, HelloRefusal, NotSentReason, PeerError, RequestFault},
    listener::serve_peers,
    proof::MeshKey,
};

use crate::{
    coordination::{
        keyed_calls::HeldAnswer,
        ownership::handover::{HandoverAnswer, SlotHandover},
    },
    events::stamp::CausalStamp,
    protocol::{
        attempt::AttemptId,
        call::CallAttempt,
        gossip::Gossip,
        load_report::LoadReport,
        outcome::{AttemptResult, Settlement},
    },
    state::{member::Member, ownership::EpochNumber},
};
use futures::future::LocalBoxFuture;

/// Who this node is towards other nodes.
#[derive(Clone, Debug)]
pub struct PeerIdentity {
    /// What the node tells of itself.
    pub member: Member,
    /// The key that all nodes of the mesh share.
    pub key: MeshKey,
    /// Largest request or answer body carried between nodes, in bytes.
    pub body_limit: usize,
}

/// What a node does for others; called on the node's event-loop thread.
///
/// Dropping a returned future means that the asking node or its connection went away.
pub trait PeerHandler {
    /// Runs an attempt at the upstream beside this node, or refuses it.
    fn execute(
        &self,
        from: &Member,
        attempt: CallAttempt,
    ) -> LocalBoxFuture<'static, AttemptResult>;

    /// Runs an attempt whose idempotency key this node is taken to own.
    fn execute_keyed(
        &self,
        from: &Member,
        attempt: CallAttempt,
    ) -> LocalBoxFuture<'static, AttemptResult>;

    /// Cancels an attempt and says for certain what became of it.
    fn cancel(&self, attempt: AttemptId) -> LocalBoxFuture<'static, Settlement>;

    /// Says whether an attempt ran; one that is not known here never runs after this.
    fn settle(&self, attempt: AttemptId) -> Settlement;

    /// The load of the upstream beside this node.
    fn probe(&self) -> LoadReport;

    /// Takes in what another node tells and answers with what this one knows.
    fn gossip(&self, from: &Member, gossip: Gossip) -> Gossip;

    /// Takes over a slot whose keys `from` owned before.
    fn hand_over(&self, from: &Member, handover: SlotHandover<HeldAnswer>) -> HandoverAnswer;

    /// Promises `from` to leave the owners of `epoch` as they are for one lease length, if it may.
    /// A handler that owns no keys promises nothing.
    fn promise(&self, _from: &Member, _epoch: EpochNumber) -> bool {
        false
    }

    /// The causal stamp to send along. The first of all for handlers that record no events.
    fn stamp(&self) -> CausalStamp {
        CausalStamp::default()
    }

    /// Takes over the stamp that came with a request or an answer, before either is acted upon.
    ///
    /// Without this, the merged time line of nodes whose clocks differ by more than a message takes
    /// would show effects before their causes.
    fn observe(&self, _stamp: CausalStamp) {}
}

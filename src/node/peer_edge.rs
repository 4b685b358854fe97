//! The node as other nodes meet it.

use crate::{
    coordination::{
        keyed_calls::HeldAnswer,
        ownership::handover::{HandoverAnswer, SlotHandover},
    },
    events::stamp::CausalStamp,
    node::{
        core::NodeCore,
        executing::{cancel_attempt, execute_attempt, settle_attempt},
        keyed_calls::{execute_keyed_attempt, handovers::take_handover, promises::give_promise},
        mesh::answer_gossip,
    },
    protocol::{
        attempt::AttemptId,
        call::CallAttempt,
        gossip::Gossip,
        load_report::LoadReport,
        outcome::{AttemptResult, Settlement},
    },
    state::{member::Member, ownership::EpochNumber},
    transport::peers::PeerHandler,
};
use futures::future::LocalBoxFuture;
use std::rc::Rc;

/// What other nodes may ask for.
pub struct PeerEdge {
    core: Rc<NodeCore>,
}

impl PeerEdge {
    /// The edge of this node.
    #[must_use]
    pub fn new(core: Rc<NodeCore>) -> Self {
        Self { core }
    }
}

impl PeerHandler for PeerEdge {
    fn execute(
        &self,
        _from: &Member,
        attempt: CallAttempt,
    ) -> LocalBoxFuture<'static, AttemptResult> {
        Box::pin(execute_attempt(Rc::clone(&self.core), attempt))
    }

    fn execute_keyed(
        &self,
        _from: &Member,
        attempt: CallAttempt,
    ) -> LocalBoxFuture<'static, AttemptResult> {
        Box::pin(execute_keyed_attempt(Rc::clone(&self.core), attempt))
    }

    fn cancel(&self, attempt: AttemptId) -> LocalBoxFuture<'static, Settlement> {
        let settlement = cancel_attempt(&self.core, attempt);
        Box::pin(std::future::ready(settlement))
    }

    fn settle(&self, attempt: AttemptId) -> Settlement {
        settle_attempt(&self.core, attempt)
    }

    fn probe(&self) -> LoadReport {
        self.core.load_report()
    }

    fn gossip(&self, from: &Member, gossip: Gossip) -> Gossip {
        answer_gossip(&self.core, from, &gossip)
    }

    fn hand_over(&self, from: &Member, handover: SlotHandover<HeldAnswer>) -> HandoverAnswer {
        take_handover(&self.core, from, handover)
    }

    fn stamp(&self) -> CausalStamp {
        self.core.recorder.stamp()
    }

    fn observe(&self, stamp: CausalStamp) {
        self.core.recorder.observe(stamp);
    }

    fn promise(&self, from: &Member, epoch: EpochNumber) -> bool {
        give_promise(&self.core, from, epoch)
    }
}

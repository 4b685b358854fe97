//! Joins and leaves of nodes, told apart by incarnation.

use crate::state::{
    log_record::Leave,
    member::{Incarnation, Member},
    names::NodeName,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Nodes that have left and are remembered, so that a late join of an ended run is not taken.
const REMEMBERED_LEAVES: usize = 512;

/// What a join or leave did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEffect {
    /// A node has joined, or a later run of it.
    Joined {
        /// The node.
        member: Member,
        /// A run of another name that was at the same address and so must have ended.
        displaced: Option<Leave>,
    },
    /// A node has left.
    Left(Leave),
    /// The record is about an earlier run than the one known, or says nothing new.
    OutOfDate,
}

/// The nodes by the joins and leaves so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Memberships {
    present: BTreeMap<NodeName, Member>,
    left: VecDeque<Leave>,
}

impl Memberships {
    /// Nodes that have joined and not left, by name.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        self.present.values()
    }

    /// The node of that name.
    #[must_use]
    pub fn find(&self, node: &NodeName) -> Option<&Member> {
        self.present.get(node)
    }

    /// The last run of a node that is known to have ended.
    #[must_use]
    pub fn last_left(&self, node: &NodeName) -> Option<Incarnation> {
        let left = self.left.iter().filter(|leave| leave.node == *node);
        left.map(|leave| leave.incarnation).max()
    }

    pub(super) fn join(&mut self, member: Member) -> MembershipEffect {
        let known = self.present.get(&member.name);
        let known = known.map(|known| known.incarnation);
        let ended = self.last_left(&member.name);
        if known.max(ended) >= Some(member.incarnation) {
            return MembershipEffect::OutOfDate;
        }
        let displaced = self.find_at_address_of(&member);
        if let Some(leave) = displaced.clone() {
            self.end_run(leave);
        }
        self.present.insert(member.name.clone(), member.clone());
        MembershipEffect::Joined { member, displaced }
    }

    pub(super) fn leave(&mut self, leave: Leave) -> MembershipEffect {
        let known = self.present.get(&leave.node);
        let later_run = known.is_some_and(|known| known.incarnation > leave.incarnation);
        if later_run || self.last_left(&leave.node) >= Some(leave.incarnation) {
            return MembershipEffect::OutOfDate;
        }
        self.end_run(leave.clone());
        MembershipEffect::Left(leave)
    }

    fn end_run(&mut self, leave: Leave) {
        self.present.remove(&leave.node);
        self.left.push_back(leave);
        if self.left.len() > REMEMBERED_LEAVES {
            self.left.pop_front();
        }
    }

    /// A VM that was replaced has its predecessor's address, but maybe another name. Without this
    /// the predecessor would stay a member for ever, since it can't leave any more.
    fn find_at_address_of(&self, member: &Member) -> Option<Leave> {
        let mut others = self.present.values();
        let other = others
            .find(|other| other.peer_address == member.peer_address && other.name != member.name)?;
        Some(Leave {
            node: other.name.clone(),
            incarnation: other.incarnation,
        })
    }
}

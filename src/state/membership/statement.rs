//! Statements on members, as nodes pass them on.

use crate::state::{
    member::{Incarnation, Member},
    names::NodeName,
};

/// What a node says of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DeclaredState {
    /// Known to the mesh, its upstream not announced yet.
    #[default]
    Joining,
    /// Takes work.
    Serving,
    /// Takes no new work and will end.
    Draining,
}

/// What others say of a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Health {
    /// Answers.
    #[default]
    Alive,
    /// At least one node could not reach it.
    Suspected,
    /// Taken for gone until it shows itself again.
    Dead,
}

/// Number of statements that a node made of itself in one incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision(pub u32);

/// A statement on one member, passed on from node to node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rumour {
    /// The member.
    pub name: NodeName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The member's own statement that this one is based on.
    pub revision: Revision,
    /// What the member says of itself.
    pub declared: DeclaredState,
    /// What others say of it.
    pub health: Health,
    /// The node that suspects it.
    pub suspected_by: Option<NodeName>,
    /// The member's description, where the receiver may not have it.
    pub description: Option<Member>,
}

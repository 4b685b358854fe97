//! What the membership asks of its node.

use crate::{
    protocol::gossip::Gossip,
    state::{
        member::{Incarnation, Member},
        membership::{MemberState, MembershipRecord},
    },
};
use std::net::SocketAddr;

/// What the membership asks of its node.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipAction {
    /// Send to one member; pass its answer to `on_reply`, a failure to `on_peer_failure`.
    SendGossip {
        /// The receiver.
        to: Member,
        /// The message.
        gossip: Box<Gossip>,
    },
    /// Send to every node to which a connection is open.
    Broadcast(Box<Gossip>),
    /// Ask who answers at this address; pass the answer to `on_introduced`.
    ContactSeed(SocketAddr),
    /// A member, or a new run of it, can be reached.
    MemberUp(Member, MemberState),
    /// A member's state or description changed.
    MemberChanged(Member, MemberState),
    /// This run of a member is gone.
    MemberGone(Member),
    /// Append to the log.
    Append(MembershipRecord),
    /// Another process runs under this node's name, with a later incarnation.
    Superseded(Incarnation),
}

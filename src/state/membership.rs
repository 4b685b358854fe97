//! What a node holds of each member of the mesh, itself included.

pub mod flaps;
pub mod statement;
pub mod table;

use crate::state::{
    member::{Incarnation, Member},
    membership::{
        flaps::FlapHistory,
        statement::{DeclaredState, Health, Revision, Rumour},
    },
    moment::Moment,
    names::NodeName,
};
use serde::Serialize;
use sha2::{Digest, Sha256};

/// State of a member as the rest of a node sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Known, its upstream not announced yet.
    Joining,
    /// Takes work.
    Serving,
    /// Takes no new work and will end.
    Draining,
    /// Could not be reached by some node, or came and went too often of late.
    Suspected,
    /// This incarnation is taken for gone until it shows itself again.
    Dead,
}

/// Most names of suspecting nodes that are kept and passed on.
pub const SUSPECTING_LIMIT: usize = 3;

/// One member.
#[derive(Clone, Debug)]
pub struct MemberRecord {
    /// The member's own description.
    pub member: Member,
    /// The member's own statement that the rest is based on.
    pub revision: Revision,
    /// What the member says of itself.
    pub declared: DeclaredState,
    /// What others say of it.
    pub health: Health,
    /// The nodes that suspect it, at most [`SUSPECTING_LIMIT`].
    pub suspected_by: Vec<NodeName>,
    /// When `health` last changed.
    pub health_since: Moment,
    /// How often it came back of late.
    pub flaps: FlapHistory,
}

impl MemberRecord {
    /// A member that was just learned of.
    #[must_use]
    pub fn new(member: Member, revision: Revision, declared: DeclaredState, now: Moment) -> Self {
        Self {
            member,
            revision,
            declared,
            health: Health::Alive,
            suspected_by: Vec::new(),
            health_since: now,
            flaps: FlapHistory::default(),
        }
    }

    /// The state as the rest of the node sees it.
    #[must_use]
    pub fn state(&self, now: Moment) -> MemberState {
        match (self.health, self.declared) {
            (Health::Dead, _) => MemberState::Dead,
            (_, DeclaredState::Draining) => MemberState::Draining,
            (Health::Suspected, _) => MemberState::Suspected,
            (Health::Alive, _) if self.flaps.is_damped(now) => MemberState::Suspected,
            (Health::Alive, DeclaredState::Joining) => MemberState::Joining,
            (Health::Alive, DeclaredState::Serving) => MemberState::Serving,
        }
    }

    /// The record as a statement to others.
    #[must_use]
    pub fn to_rumour(&self, described: bool) -> Rumour {
        Rumour {
            name: self.member.name.clone(),
            incarnation: self.member.incarnation,
            revision: self.revision,
            declared: self.declared,
            health: self.health,
            suspected_by: self.suspected_by.last().cloned(),
            description: described.then(|| self.member.clone()),
        }
    }

    /// Changes what others say of the member.
    pub fn set_health(&mut self, health: Health, now: Moment) {
        if self.health == health {
            return;
        }
        if health == Health::Alive {
            self.flaps.add(now);
        }
        if health != Health::Suspected {
            self.suspected_by.clear();
        }
        self.health = health;
        self.health_since = now;
    }

    /// Takes a suspicion back. This is no return of the member, since it was not away.
    pub fn withdraw_suspicion(&mut self, now: Moment) {
        self.health = Health::Alive;
        self.health_since = now;
        self.suspected_by.clear();
    }

    /// Notes who suspects the member. Returns whether that was news.
    pub fn add_suspecting(&mut self, name: &NodeName) -> bool {
        let news = !self.suspected_by.contains(name) && self.suspected_by.len() < SUSPECTING_LIMIT;
        if news {
            self.suspected_by.push(name.clone());
        }
        news
    }

    /// Part of the digest of a table; 0 for a dead member, which others may have forgotten.
    #[must_use]
    pub fn digest(&self) -> u64 {
        if self.health == Health::Dead {
            return 0;
        }
        let mut hasher = Sha256::new();
        hasher.update(self.member.name.as_str());
        hasher.update(self.member.incarnation.0.to_be_bytes());
        hasher.update(self.revision.0.to_be_bytes());
        hasher.update([self.declared as u8, self.health as u8]);
        first_bytes(hasher)
    }
}

/// Place of a node in an order that all nodes compute alike, and that differs for each `purpose`.
#[must_use]
pub fn rank(purpose: &str, name: &NodeName) -> u64 {
    let mut hasher = Sha256::new();
    hasher.update(purpose);
    hasher.update([0]);
    hasher.update(name.as_str());
    first_bytes(hasher)
}

fn first_bytes(hasher: Sha256) -> u64 {
    let hash = hasher.finalize();
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash[..8]);
    u64::from_be_bytes(bytes)
}

/// A change of the membership as the log records it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipRecord {
    /// A run of a node joined.
    Join(Member),
    /// A run of a node left.
    Leave {
        /// The node.
        name: NodeName,
        /// The run that left.
        incarnation: Incarnation,
    },
}

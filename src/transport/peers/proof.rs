//! Proof that a node holds the mesh's key, without sending the key.

use crate::{
    constants::PEER_NONCE_BYTES,
    state::{member::Member, names::NodeName},
};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::fmt;

/// The key that all nodes of a mesh share.
#[derive(Clone, PartialEq, Eq)]
pub struct MeshKey(Vec<u8>);

impl MeshKey {
    /// A key of these bytes.
    #[must_use]
    pub fn new(bytes: impl Into<Vec<u8>>) -> Self {
        Self(bytes.into())
    }
}

impl fmt::Debug for MeshKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("MeshKey(..)")
    }
}

/// Random bytes that make a proof worthless for any other connection.
pub type Nonce = [u8; PEER_NONCE_BYTES];

/// Which side of a connection gives the proof.
///
/// A proof names its side; else a node without the key could send a node's own proof back to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Opened the connection.
    Dialling,
    /// Accepted the connection.
    Accepting,
}

impl Side {
    const fn label(self) -> &'static [u8] {
        match self {
            Self::Dialling => b"camphorturn dialling",
            Self::Accepting => b"camphorturn accepting",
        }
    }
}

/// All that both sides of one hello said.
pub struct Transcript<'a> {
    /// Protocol version agreed on.
    pub version: u16,
    /// Node that opened the connection.
    pub dialling: &'a Member,
    /// Its challenge.
    pub dialling_nonce: &'a Nonce,
    /// Node that accepted the connection.
    pub accepting: &'a Member,
    /// Its challenge.
    pub accepting_nonce: &'a Nonce,
}

impl Transcript<'_> {
    /// The proof that `side` gives.
    #[must_use]
    pub fn prove(&self, key: &MeshKey, side: Side) -> Vec<u8> {
        self.mac(key, side).finalize().into_bytes().to_vec()
    }

    /// Whether `proof` is the one that `side` must give. Takes the same time for any wrong proof.
    #[must_use]
    pub fn verify(&self, key: &MeshKey, side: Side, proof: &[u8]) -> bool {
        self.mac(key, side).verify_slice(proof).is_ok()
    }

    fn mac(&self, key: &MeshKey, side: Side) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&key.0).expect("a key of any length is taken");
        update_with(&mut mac, side.label());
        mac.update(&self.version.to_be_bytes());
        mac.update(self.dialling_nonce);
        mac.update(self.accepting_nonce);
        update_with_member(&mut mac, self.dialling);
        update_with_member(&mut mac, self.accepting);
        mac
    }
}

fn update_with_member(mac: &mut Hmac<Sha256>, member: &Member) {
    update_with(mac, NodeName::as_str(&member.name).as_bytes());
    mac.update(&member.incarnation.0.to_be_bytes());
    update_with(mac, member.service.as_str().as_bytes());
    update_with(mac, member.region.as_str().as_bytes());
    update_with(mac, member.availability_zone.as_str().as_bytes());
    update_with(mac, member.peer_address.to_string().as_bytes());
    update_with(mac, member.operator_address.to_string().as_bytes());
    mac.update(&member.slots.to_be_bytes());
}

/// Adds a field with its length before it, so that two fields can't be cut differently.
fn update_with(mac: &mut Hmac<Sha256>, field: &[u8]) {
    mac.update(&(field.len() as u64).to_be_bytes());
    mac.update(field);
}

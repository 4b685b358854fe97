//! Organisations: customers that share the mesh, the API keys that identify their requests, and their quotas.
//!
//! A key is a secret. It is known here only by its digest, so that neither a log line nor a message between nodes can reveal it.

use crate::state::{names::OrganisationName, routing_table::Route};
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};
use sha2::Sha256;
use std::{
    collections::HashMap,
    fmt::{self, Write},
    rc::Rc,
    time::Duration,
};

/// Length of a digest in bytes.
const DIGEST_BYTES: usize = 16;
/// Number of bytes of a digest that its fingerprint shows.
const FINGERPRINT_BYTES: usize = 4;
/// Key of the keyed hash. It separates these digests from other uses of the hash. All nodes use the same one, since they exchange
/// digests.
const DIGEST_DOMAIN: &[u8] = b"camphorturn organisation key";

/// Keyed hash (HMAC-SHA-256, shortened to 128 bits) of an API key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Computes the digest of a key.
    ///
    /// # Panics
    /// Never: HMAC accepts a key of any length.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        let mut hmac = Hmac::<Sha256>::new_from_slice(DIGEST_DOMAIN).expect("any length is valid");
        hmac.update(key);
        let full = hmac.finalize().into_bytes();
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&full[..DIGEST_BYTES]);
        Self(digest)
    }

    /// Short text that tells the keys of an organisation apart without revealing them.
    #[must_use]
    pub fn fingerprint(&self) -> String {
        encode_hex(&self.0[..FINGERPRINT_BYTES])
    }

    fn parse(text: &str) -> Option<Self> {
        if text.len() != 2 * DIGEST_BYTES || !text.is_ascii() {
            return None;
        }
        let mut digest = [0; DIGEST_BYTES];
        for (index, byte) in digest.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
        }
        Some(Self(digest))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({})", self.fingerprint())
    }
}

impl Serialize for KeyDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&encode_hex(&self.0))
    }
}

impl<'de> Deserialize<'de> for KeyDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        Self::parse(&text).ok_or_else(|| D::Error::custom("not the digest of a key"))
    }
}

fn encode_hex(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(2 * bytes.len());
    for byte in bytes {
        // Writing to a string never fails.
        let _ = write!(text, "{byte:02x}");
    }
    text
}

/// Limit on the requests of an organisation, over all nodes of the mesh.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Quota {
    /// Sustained rate, in requests per minute; above 0.
    pub requests_per_minute: u64,
    /// Number of requests that may exceed the sustained rate at once.
    pub burst: u32,
}

impl Quota {
    /// Sustained rate, in requests per second.
    #[must_use]
    pub fn requests_per_second(&self) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "rates are far below 2^52")]
        let per_minute = self.requests_per_minute as f64;
        per_minute / 60.0
    }

    /// Number of requests that the quota permits within any period of this length.
    #[must_use]
    pub fn permitted_within(&self, period: Duration) -> f64 {
        self.requests_per_second() * period.as_secs_f64() + f64::from(self.burst)
    }
}

/// An organisation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Organisation {
    /// Name, unique in the configuration.
    pub name: OrganisationName,
    /// Digests of its API keys.
    pub keys: Vec<KeyDigest>,
    /// Priority among the organisations; 0 is served first. Precedes the priority of the route.
    #[serde(default)]
    pub priority: u8,
    /// Limit on its requests; `None` if there is none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota: Option<Quota>,
}

/// Priority of a request at an upstream's queue, 0 being served first: that of its organisation, then that of its route. Requests
/// without an organisation, such as calls of upstreams, have the organisation priority 0.
#[must_use]
pub fn rank_request(organisation: Option<&Organisation>, route: &Route) -> u16 {
    let first = organisation.map_or(0, |organisation| organisation.priority);
    u16::from_be_bytes([first, route.priority])
}

/// The organisations of a configuration, indexed by key and by name.
#[derive(Clone, Debug, Default)]
pub struct OrganisationIndex {
    by_key: HashMap<KeyDigest, Rc<Organisation>>,
    by_name: HashMap<OrganisationName, Rc<Organisation>>,
}

impl OrganisationIndex {
    /// Indexes organisations.
    #[must_use]
    pub fn new(organisations: &[Rc<Organisation>]) -> Self {
        let mut index = Self::default();
        for organisation in organisations {
            for key in &organisation.keys {
                index.by_key.insert(*key, Rc::clone(organisation));
            }
            let name = organisation.name.clone();
            index.by_name.insert(name, Rc::clone(organisation));
        }
        index
    }

    /// The organisation that holds a key.
    #[must_use]
    pub fn find_by_key(&self, key: &KeyDigest) -> Option<&Rc<Organisation>> {
        self.by_key.get(key)
    }

    /// The organisation with a name.
    #[must_use]
    pub fn find_by_name(&self, name: &OrganisationName) -> Option<&Rc<Organisation>> {
        self.by_name.get(name)
    }
}

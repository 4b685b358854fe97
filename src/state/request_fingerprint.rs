//! Fingerprint by which requests with the same content are recognised, whoever sent them and whatever their request ids.

use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};
use sha2::{Digest, Sha256};
use std::{fmt, str::FromStr};

/// First 64 bits of the SHA-256 hash of a request's method, host, target and body. Headers are left out since they differ
/// between attempts and between nodes. Written as 16 hexadecimal digits.
///
/// The hash is cryptographic so that nobody can craft a request with the fingerprint of another client's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestFingerprint(u64);

impl RequestFingerprint {
    /// Computes the fingerprint of a request.
    #[must_use]
    pub fn compute(method: &str, host: &str, target: &str, body: &[u8]) -> Self {
        let mut hasher = FingerprintHasher::begin(method, host, target);
        hasher.update(body);
        hasher.finish()
    }

    /// The fingerprint as a number.
    #[must_use]
    pub const fn bits(self) -> u64 {
        self.0
    }
}

/// Computes the fingerprint of a request while its body arrives.
pub struct FingerprintHasher(Sha256);

impl FingerprintHasher {
    /// Begins with what precedes the body.
    #[must_use]
    pub fn begin(method: &str, host: &str, target: &str) -> Self {
        let mut hasher = Sha256::new();
        for part in [method.as_bytes(), host.as_bytes(), target.as_bytes()] {
            hasher.update(part);
            // A separator that occurs in none of these parts: text moved from one part to the next changes the hash.
            hasher.update(b"\n");
        }
        Self(hasher)
    }

    /// Adds a part of the body.
    pub fn update(&mut self, part: &[u8]) {
        self.0.update(part);
    }

    /// The fingerprint of the request.
    #[must_use]
    pub fn finish(self) -> RequestFingerprint {
        let hash = self.0.finalize();
        let first = hash.iter().take(size_of::<u64>());
        RequestFingerprint(first.fold(0, |bits, byte| (bits << u8::BITS) | u64::from(*byte)))
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for RequestFingerprint {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

impl Serialize for RequestFingerprint {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(self)
    }
}

impl<'a> Deserialize<'a> for RequestFingerprint {
    fn deserialize<D: Deserializer<'a>>(from: D) -> Result<Self, D::Error> {
        let text = String::deserialize(from)?;
        text.parse().map_err(D::Error::custom)
    }
}

//! The token by which operators' tools authenticate themselves.

use sha2::{Digest, Sha256};

/// Prefix of the Authorization header's value.
const BEARER_PREFIX: &str = "Bearer ";

/// The expected token, of which only the SHA-256 digest is kept.
#[derive(Clone)]
pub struct OperatorToken {
    digest: [u8; 32],
}

impl OperatorToken {
    /// Creates the expected token from the text in the settings.
    #[must_use]
    pub fn new(token: &str) -> Self {
        Self {
            digest: hash_token(token),
        }
    }

    /// Whether the value of an Authorization header holds this token.
    ///
    /// The digests are compared in constant time. A comparison that ends at the first difference would reveal through
    /// its duration how many leading bytes are right.
    #[must_use]
    pub fn accepts(&self, header: Option<&str>) -> bool {
        let Some(given) = header.and_then(|value| value.strip_prefix(BEARER_PREFIX)) else {
            return false;
        };
        let difference = hash_token(given)
            .iter()
            .zip(&self.digest)
            .fold(0, |difference, (left, right)| difference | (left ^ right));
        difference == 0
    }
}

fn hash_token(token: &str) -> [u8; 32] {
    Sha256::digest(token.as_bytes()).into()
}

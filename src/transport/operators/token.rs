//! The token that operators' tools prove themselves with.

use sha2::{Digest, Sha256};

/// Start of the Authorization header's value.
const SCHEME: &str = "Bearer ";

/// A token to compare others with; only its digest is kept.
#[derive(Clone)]
pub struct OperatorToken {
    digest: [u8; 32],
}

impl OperatorToken {
    /// The token from the settings.
    #[must_use]
    pub fn new(token: &str) -> Self {
        Self {
            digest: digest(token),
        }
    }

    /// Whether the value of an Authorization header holds this token.
    ///
    /// Comparing byte by byte up to the first difference would tell a patient attacker by its
    /// duration how many leading bytes were right. Digests of equal length are compared in full.
    #[must_use]
    pub fn accepts(&self, header: Option<&str>) -> bool {
        let Some(given) = header.and_then(|value| value.strip_prefix(SCHEME)) else {
            return false;
        };
        let difference = digest(given)
            .iter()
            .zip(&self.digest)
            .fold(0, |difference, (left, right)| difference | (left ^ right));
        difference == 0
    }
}

fn digest(token: &str) -> [u8; 32] {
    Sha256::digest(token.as_bytes()).into()
}

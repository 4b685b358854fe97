//! Secrets, such as tokens, that must not be logged.

use arcstr::ArcStr;
use serde::Deserialize;
use std::fmt;

/// A key or token. Its `Debug` output omits the content, so that logged settings don't leak it.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct Secret(ArcStr);

impl Secret {
    /// Returns the content. Use it only for comparisons, keyed hashes and the headers of requests.
    #[must_use]
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl From<&str> for Secret {
    fn from(text: &str) -> Self {
        Self(ArcStr::from(text))
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(hidden)")
    }
}

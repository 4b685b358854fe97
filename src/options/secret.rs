//! Text that must not reach a log.

use arcstr::ArcStr;
use serde::Deserialize;
use std::fmt;

/// A key or token. Its `Debug` form hides the content, so that printing the settings leaks nothing.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct Secret(ArcStr);

impl Secret {
    /// The content, for comparing and for keyed hashes only.
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

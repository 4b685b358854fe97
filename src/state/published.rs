//! What the store holds of a publication: the whole configuration and who published what before.

use crate::state::configuration::{Configuration, ConfigurationVersion};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// Publications that a record tells of besides its own. A publisher whose answer was lost looks for its
/// own among them; more than this many others will not have published meanwhile.
const REMEMBERED: usize = 32;

/// One accepted publication.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublicationEntry {
    /// Identity that the publisher gave it.
    pub id: Uuid,
    /// The version that it became.
    pub version: ConfigurationVersion,
    /// Who published it.
    pub author: String,
    /// Why.
    pub note: String,
    /// When, by the clock of the node that took it, in milliseconds since the Unix epoch.
    pub published_ms: u64,
    /// What it changed, one line each.
    pub changes: Vec<String>,
}

/// The newest record of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedRecord {
    /// How it came about.
    pub entry: PublicationEntry,
    /// The whole content.
    pub configuration: Configuration,
    /// Publications before it, the newest first.
    pub earlier: Vec<PublicationEntry>,
}

impl PublishedRecord {
    /// All publications that are remembered, the newest first.
    pub fn entries(&self) -> impl Iterator<Item = &PublicationEntry> {
        std::iter::once(&self.entry).chain(&self.earlier)
    }

    /// The publications that the next record is to remember.
    #[must_use]
    pub fn list_earlier_for_next(&self) -> Vec<PublicationEntry> {
        self.entries().take(REMEMBERED).cloned().collect()
    }
}

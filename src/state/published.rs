//! The stored record of a published configuration, with the history of earlier publications.

use crate::state::configuration::{Configuration, ConfigurationVersion};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// Number of earlier publications that a record lists. A publisher that got no answer looks for its own publication in this
/// list; it is found unless more than this many others were published in the meantime.
const MAX_EARLIER_PUBLICATIONS: usize = 32;

/// One accepted publication.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublicationEntry {
    /// Identifier that the publisher assigned.
    pub id: Uuid,
    /// Version of the configuration that it created.
    pub version: ConfigurationVersion,
    /// Author, as given by the publisher.
    pub author: String,
    /// Reason for the publication, as given by the publisher.
    pub note: String,
    /// When it was published, in milliseconds since the Unix epoch by the clock of the node that accepted it.
    pub published_ms: u64,
    /// Changes to the configuration before it, one line for each.
    pub changes: Vec<String>,
}

/// The record of the latest publication.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedRecord {
    /// The latest publication.
    pub entry: PublicationEntry,
    /// The complete configuration.
    pub configuration: Configuration,
    /// Earlier publications, latest first.
    pub earlier: Vec<PublicationEntry>,
}

impl PublishedRecord {
    /// All listed publications, latest first.
    pub fn entries(&self) -> impl Iterator<Item = &PublicationEntry> {
        std::iter::once(&self.entry).chain(&self.earlier)
    }

    /// The list of earlier publications for the next record.
    #[must_use]
    pub fn list_earlier_for_next(&self) -> Vec<PublicationEntry> {
        self.entries()
            .take(MAX_EARLIER_PUBLICATIONS)
            .cloned()
            .collect()
    }
}

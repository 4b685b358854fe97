//! Optimistic versions of the configuration.

use super::{Change, compare_configurations};
use crate::state::{
    configuration::{Configuration, ConfigurationVersion},
    log_record::{Offset, Publication, RecordId},
};
use serde::{Deserialize, Serialize};
use std::{collections::VecDeque, sync::Arc};

/// Publications that are remembered, to fold a duplicate once and to tell what changed.
///
/// A duplicate of a forgotten publication finds a higher version in force than the one it is based
/// on, so that it is in conflict and changes nothing either.
pub const REMEMBERED_PUBLICATIONS: usize = 256;

/// How a publication ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// It became this version.
    Accepted(ConfigurationVersion),
    /// This version was in force, not the one it was based on.
    Conflict(ConfigurationVersion),
}

/// A publication without its content.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PublicationEntry {
    /// Identity.
    pub id: RecordId,
    /// Where it was stored first.
    pub offset: Offset,
    /// When, by the log's clock, in milliseconds since 1970.
    pub time_ms: u64,
    /// Who published it.
    pub author: String,
    /// Why.
    pub note: String,
    /// The version that its author saw.
    pub based_on: ConfigurationVersion,
    /// How it ended.
    pub verdict: Verdict,
    /// What it changed, if it was accepted.
    pub changes: Vec<Change>,
}

impl PublicationEntry {
    /// The version that it became.
    #[must_use]
    pub fn accepted_version(&self) -> Option<ConfigurationVersion> {
        match self.verdict {
            Verdict::Accepted(version) => Some(version),
            Verdict::Conflict(_) => None,
        }
    }
}

/// The configuration in force and how it came about.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Publications {
    version: ConfigurationVersion,
    content: Arc<Configuration>,
    recent: VecDeque<PublicationEntry>,
}

impl Publications {
    /// The version in force.
    #[must_use]
    pub fn version(&self) -> ConfigurationVersion {
        self.version
    }

    /// The configuration in force.
    #[must_use]
    pub fn content(&self) -> &Arc<Configuration> {
        &self.content
    }

    /// The remembered publications, oldest first.
    #[must_use = "iterators are lazy"]
    pub fn recent(&self) -> impl DoubleEndedIterator<Item = &PublicationEntry> {
        self.recent.iter()
    }

    /// The publication with that id, if it is remembered.
    #[must_use]
    pub fn find(&self, id: RecordId) -> Option<&PublicationEntry> {
        self.recent.iter().rev().find(|entry| entry.id == id)
    }

    /// Publications accepted after `version`, oldest first, as far as they are remembered.
    pub fn accepted_since(
        &self,
        version: ConfigurationVersion,
    ) -> impl Iterator<Item = &PublicationEntry> {
        self.recent
            .iter()
            .filter(move |entry| entry.accepted_version() > Some(version))
    }

    /// Folds a publication; `None` for a duplicate.
    pub(super) fn fold(
        &mut self,
        offset: Offset,
        time_ms: u64,
        id: RecordId,
        publication: Publication,
    ) -> Option<PublicationEntry> {
        if self.find(id).is_some() {
            return None;
        }
        let current = publication.based_on == self.version;
        let verdict = if current {
            Verdict::Accepted(ConfigurationVersion(self.version.0 + 1))
        } else {
            Verdict::Conflict(self.version)
        };
        let changes = if current {
            compare_configurations(&self.content, &publication.content)
        } else {
            Vec::new()
        };
        let entry = PublicationEntry {
            id,
            offset,
            time_ms,
            author: publication.author,
            note: publication.note,
            based_on: publication.based_on,
            verdict,
            changes,
        };
        if let Verdict::Accepted(version) = verdict {
            self.version = version;
            self.content = Arc::new(publication.content);
        }
        self.remember(entry.clone());
        Some(entry)
    }

    fn remember(&mut self, entry: PublicationEntry) {
        self.recent.push_back(entry);
        if self.recent.len() > REMEMBERED_PUBLICATIONS {
            self.recent.pop_front();
        }
    }
}

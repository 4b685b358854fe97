//! What becomes of an operator's publication, given the newest record of the store.

use crate::state::{
    configuration::{Configuration, ConfigurationVersion},
    published::{PublicationEntry, PublishedRecord},
};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// What an operator wants published.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublicationRequest {
    /// Identity of the publication: one that was sent twice is taken once.
    pub id: Uuid,
    /// Who publishes.
    pub author: String,
    /// Why.
    pub note: String,
    /// The version that the operator saw; any, if none.
    pub based_on: Option<ConfigurationVersion>,
    /// The whole new content.
    pub configuration: Configuration,
}

/// How a publication ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum PublicationOutcome {
    /// It became this version. A later one may be in force already.
    Accepted {
        /// The version.
        version: ConfigurationVersion,
        /// The newest version.
        in_force: ConfigurationVersion,
    },
    /// Exactly this content is in force; nothing was stored.
    AlreadyInForce {
        /// The version in force.
        version: ConfigurationVersion,
    },
    /// Another version was in force than the one it was based on; nothing was stored.
    Conflict {
        /// The version it was based on.
        based_on: ConfigurationVersion,
        /// The version in force.
        in_force: ConfigurationVersion,
        /// What was accepted since, as far as it is remembered, the newest first.
        meanwhile: Vec<PublicationEntry>,
    },
    /// The store could not be used; nothing was stored.
    NotStored {
        /// Why.
        reason: String,
    },
    /// It may be stored, now or later. The same publication, sent again, tells.
    Unknown {
        /// Why it can't be told.
        reason: String,
    },
}

/// The next step of a publication.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublicationPlan {
    /// Nothing is left to do.
    Done(PublicationOutcome),
    /// Store this record, if no other came first.
    Store(Box<PublishedRecord>),
}

/// Decides on a publication.
///
/// It may have been sent before, by an operator whose answer was lost. It is found again by its id:
/// storing it a second time would undo whatever others published since.
#[must_use]
pub fn plan_publication(
    newest: Option<&PublishedRecord>,
    request: &PublicationRequest,
    wall_millis: u64,
) -> PublicationPlan {
    let in_force = newest.map_or_else(ConfigurationVersion::default, |record| record.entry.version);
    if let Some(outcome) = newest.and_then(|record| find_outcome(record, request.id)) {
        return PublicationPlan::Done(outcome);
    }
    if newest.is_some_and(|record| record.configuration == request.configuration) {
        let version = in_force;
        return PublicationPlan::Done(PublicationOutcome::AlreadyInForce { version });
    }
    if let Some(based_on) = request.based_on.filter(|based_on| *based_on != in_force) {
        return PublicationPlan::Done(describe_conflict(newest, based_on, in_force));
    }
    PublicationPlan::Store(Box::new(build_record(
        newest,
        request,
        in_force,
        wall_millis,
    )))
}

fn build_record(
    newest: Option<&PublishedRecord>,
    request: &PublicationRequest,
    in_force: ConfigurationVersion,
    wall_millis: u64,
) -> PublishedRecord {
    let none = Configuration::default();
    let before = newest.map_or(&none, |record| &record.configuration);
    PublishedRecord {
        entry: PublicationEntry {
            id: request.id,
            version: ConfigurationVersion(in_force.0 + 1),
            author: request.author.clone(),
            note: request.note.clone(),
            published_ms: wall_millis,
            changes: request.configuration.list_changes(before),
        },
        configuration: request.configuration.clone(),
        earlier: newest
            .map(PublishedRecord::list_for_next)
            .unwrap_or_default(),
    }
}

/// How the publication with that id ended, if the record tells of it.
#[must_use]
pub fn find_outcome(newest: &PublishedRecord, id: Uuid) -> Option<PublicationOutcome> {
    let entry = newest.entries().find(|entry| entry.id == id)?;
    Some(PublicationOutcome::Accepted {
        version: entry.version,
        in_force: newest.entry.version,
    })
}

fn describe_conflict(
    newest: Option<&PublishedRecord>,
    based_on: ConfigurationVersion,
    in_force: ConfigurationVersion,
) -> PublicationOutcome {
    let entries = newest.into_iter().flat_map(PublishedRecord::entries);
    let meanwhile = entries.filter(|entry| entry.version > based_on);
    PublicationOutcome::Conflict {
        based_on,
        in_force,
        meanwhile: meanwhile.cloned().collect(),
    }
}

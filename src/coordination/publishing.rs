//! Decides how to handle an operator's publication of a configuration, given the newest record of the store.

use crate::state::{
    configuration::{Configuration, ConfigurationVersion},
    published::{PublicationEntry, PublishedRecord},
};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// Request of an operator to publish a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublicationRequest {
    /// Identity of the publication. A publication that is sent again under the same identity isn't stored twice.
    pub id: Uuid,
    /// Name of the operator, for the history.
    pub author: String,
    /// Reason for the change, for the history.
    pub note: String,
    /// Version that the change is based on; if none, the publication applies whatever version is in force.
    pub based_on: Option<ConfigurationVersion>,
    /// Complete new configuration.
    pub configuration: Configuration,
}

/// Outcome of a publication.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum PublicationOutcome {
    /// The publication became this version. A later version may be in force already.
    Accepted {
        /// Version of the publication.
        version: ConfigurationVersion,
        /// Newest version in the store.
        in_force: ConfigurationVersion,
    },
    /// The configuration in force has exactly this content; nothing was stored.
    AlreadyInForce {
        /// Version in force.
        version: ConfigurationVersion,
    },
    /// The version in force differs from the one that the publication is based on; nothing was stored.
    Conflict {
        /// Version that the publication is based on.
        based_on: ConfigurationVersion,
        /// Version in force.
        in_force: ConfigurationVersion,
        /// Publications accepted since, newest first, as far as the store still lists them.
        meanwhile: Vec<PublicationEntry>,
    },
    /// The store could not be used; nothing was stored.
    NotStored {
        /// Description of the error.
        reason: String,
    },
    /// The publication may have been stored, or may still be. Sending it again under the same identity returns its outcome.
    Unknown {
        /// Description of the error that left the outcome unknown.
        reason: String,
    },
}

/// Next step of a publication.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublicationPlan {
    /// The publication has ended with this outcome.
    Done(PublicationOutcome),
    /// Append this record to the store, on the condition that the newest record is still the one the plan is based on.
    Store(Box<PublishedRecord>),
}

/// Plans the next step of a publication; `wall_millis` is the wall-clock time in milliseconds since the Unix epoch.
///
/// An operator who got no response sends the publication again. It is recognised by its identity: storing it a second time would
/// revert what others have published since.
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
    let previous = newest.map_or(&none, |record| &record.configuration);
    PublishedRecord {
        entry: PublicationEntry {
            id: request.id,
            version: ConfigurationVersion(in_force.0 + 1),
            author: request.author.clone(),
            note: request.note.clone(),
            published_ms: wall_millis,
            changes: request.configuration.list_changes(previous),
        },
        configuration: request.configuration.clone(),
        earlier: newest
            .map(PublishedRecord::list_earlier_for_next)
            .unwrap_or_default(),
    }
}

/// Returns the outcome of the publication with this identity, if the record lists it.
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

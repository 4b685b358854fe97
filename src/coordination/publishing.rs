//! What a publisher does with the state it has read: append, or tell the operator why not.

use crate::state::{
    configuration::{Configuration, ConfigurationVersion},
    log_record::{LogRecord, LogRecordKind, Publication, RecordId},
    published::{FoldedState, PublicationEntry, Verdict},
};
use serde::Serialize;
use sha2::{Digest, Sha256};
use uuid::Builder;

/// What an operator wants published.
#[derive(Clone, Debug, PartialEq)]
pub struct PublishRequest {
    /// Identity of the record; derived from the rest if the operator gives none.
    pub id: Option<RecordId>,
    /// Who publishes.
    pub author: String,
    /// Why.
    pub note: String,
    /// The version that the operator saw; the one in force when the command starts, if none.
    pub based_on: Option<ConfigurationVersion>,
    /// The whole new content.
    pub content: Configuration,
}

/// How a publication ended, or stands.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum PublishOutcome {
    /// It became this version. Later versions may be in force already.
    Accepted {
        /// The record.
        id: RecordId,
        /// The version.
        version: ConfigurationVersion,
        /// The version in force when the log was last read.
        in_force: ConfigurationVersion,
    },
    /// Exactly this content is in force; nothing was appended.
    AlreadyInForce {
        /// The version in force.
        version: ConfigurationVersion,
    },
    /// Another version was in force than the one it was based on.
    Conflict {
        /// The version it was based on.
        based_on: ConfigurationVersion,
        /// The version in force when the log was last read.
        in_force: ConfigurationVersion,
        /// What was accepted since, as far as it is remembered.
        meanwhile: Vec<PublicationEntry>,
    },
    /// The log refused the record: it is not stored.
    Refused {
        /// The log's reason.
        reason: String,
    },
    /// The log could not be read before anything was appended.
    NotStarted {
        /// Why.
        reason: String,
    },
    /// The record may be stored, now or later. The same command tells once the log works.
    Unknown {
        /// The record.
        id: RecordId,
        /// Why it can't be told.
        reason: String,
    },
}

/// The next step of a publisher that has read the log to its end.
#[derive(Clone, Debug, PartialEq)]
pub enum PublishPlan {
    /// Nothing is left to do.
    Done(PublishOutcome),
    /// Append this record.
    Append(LogRecord),
}

/// Decides what to do with a request at a state.
///
/// The command may have been run before, by an operator whose terminal was closed or whose answer
/// was lost. It is found again by its id, for any base that the state remembers: publishing it a
/// second time would undo whatever others published since.
#[must_use]
pub fn plan_publication(state: &FoldedState, request: &PublishRequest) -> PublishPlan {
    let version = state.version();
    let based_on = request.based_on.unwrap_or(version);
    let id = request
        .id
        .unwrap_or_else(|| derive_record_id(request, based_on));
    if let Some(outcome) = find_outcome(state, id).or_else(|| find_earlier_run(state, request)) {
        return PublishPlan::Done(outcome);
    }
    if *state.configuration() == request.content {
        return PublishPlan::Done(PublishOutcome::AlreadyInForce { version });
    }
    if based_on != version {
        return PublishPlan::Done(describe_conflict(state, based_on));
    }
    PublishPlan::Append(LogRecord {
        id,
        kind: LogRecordKind::Publish(Publication {
            author: request.author.clone(),
            note: request.note.clone(),
            based_on,
            content: request.content.clone(),
        }),
    })
}

/// How the publication with that id ended, if the state has folded it.
#[must_use]
pub fn find_outcome(state: &FoldedState, id: RecordId) -> Option<PublishOutcome> {
    let entry = state.publications().find(id)?;
    Some(match entry.verdict {
        Verdict::Accepted(version) => PublishOutcome::Accepted {
            id,
            version,
            in_force: state.version(),
        },
        Verdict::Conflict(_) => describe_conflict(state, entry.based_on),
    })
}

/// The id that a request gets when its operator names none: the same for the same author, content
/// and base, so that running a command again finds what it did the first time.
#[must_use]
pub fn derive_record_id(request: &PublishRequest, based_on: ConfigurationVersion) -> RecordId {
    let content = serde_json::to_vec(&request.content).unwrap_or_default();
    let mut hash = Sha256::new();
    hash.update(based_on.0.to_be_bytes());
    hash.update((request.author.len() as u64).to_be_bytes());
    hash.update(request.author.as_bytes());
    hash.update(content);
    let digest = hash.finalize();
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&digest[..16]);
    RecordId(Builder::from_custom_bytes(bytes).into_uuid())
}

/// A run of the same command without a base, which derived its id from a base of then.
fn find_earlier_run(state: &FoldedState, request: &PublishRequest) -> Option<PublishOutcome> {
    if request.id.is_some() || request.based_on.is_some() {
        return None;
    }
    let recent = state.publications().recent().rev();
    let mut accepted = recent.filter(|entry| entry.accepted_version().is_some());
    let earlier = accepted.find(|entry| entry.id == derive_record_id(request, entry.based_on))?;
    find_outcome(state, earlier.id)
}

fn describe_conflict(state: &FoldedState, based_on: ConfigurationVersion) -> PublishOutcome {
    let meanwhile = state.publications().accepted_since(based_on);
    PublishOutcome::Conflict {
        based_on,
        in_force: state.version(),
        meanwhile: meanwhile.cloned().collect(),
    }
}

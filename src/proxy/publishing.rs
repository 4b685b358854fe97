//! Stores a configuration that an operator publishes, at the node that received it.

use crate::{
    coordination::publishing::{
        PublicationOutcome, PublicationPlan, PublicationRequest, find_outcome, plan_publication,
    },
    protocol::{
        operator_views::HistoryView,
        store::{ConditionalAppend, PublicationStore, StateStore, StoreError, StoreTopic},
    },
    proxy::{core::ProxyCore, directory::StateSource},
    state::published::PublishedRecord,
};
use std::rc::Rc;

/// Attempts to read the newest configuration, check the publication against it and store it. An attempt fails if another
/// publication was stored first, or if the store gave no answer or an error.
const MAX_ATTEMPTS: u32 = 5;

/// The newest published record, and the packed position at which its topic ends.
struct NewestRecord {
    record: Option<PublishedRecord>,
    end: u64,
}

async fn read_newest<S: StateStore>(store: &S) -> Result<NewestRecord, StoreError> {
    let records = store.read_newest(StoreTopic::Configuration).await?;
    let mut newest_first = records.records.iter().rev();
    let newest = newest_first.find(|record| store.decode_evacuated_zone(record).is_none());
    let newest = newest.and_then(|newest| newest.value.as_ref());
    let record = newest
        .map(|value| serde_json::from_slice(value))
        .transpose()
        .map_err(|_| StoreError::Malformed("published record"))?;
    Ok(NewestRecord {
        record,
        end: records.next,
    })
}

/// Stores a publication and puts it in force at this node. The other nodes receive it through the store.
///
/// An answer of the store may be lost after the record was written. So each attempt first looks for the publication by its id
/// before it is stored again.
pub async fn publish<S: PublicationStore>(
    core: &Rc<ProxyCore>,
    store: &S,
    request: &PublicationRequest,
) -> PublicationOutcome {
    let mut is_unanswered = false;
    let mut reason = String::new();
    for _ in 0..MAX_ATTEMPTS {
        let newest = match read_newest(store).await {
            Ok(newest) => newest,
            Err(error) => {
                reason = error.to_string();
                continue;
            }
        };
        let plan = plan_publication(newest.record.as_ref(), request, core.timers.wall_millis());
        let record = match plan {
            PublicationPlan::Done(outcome) => return outcome,
            PublicationPlan::Store(record) => record,
        };
        match store_record(store, &record, newest.end).await {
            Ok(ConditionalAppend::Stored) => return accept(core, &record, request),
            Ok(ConditionalAppend::Conflict) => {}
            Err(StoreError::NoAnswer) => {
                is_unanswered = true;
                reason = StoreError::NoAnswer.to_string();
            }
            Err(error) => reason = error.to_string(),
        }
    }
    if is_unanswered {
        PublicationOutcome::Unknown { reason }
    } else {
        PublicationOutcome::NotStored { reason }
    }
}

async fn store_record<S: PublicationStore>(
    store: &S,
    record: &PublishedRecord,
    end: u64,
) -> Result<ConditionalAppend, StoreError> {
    let value = serde_json::to_vec(record).map_err(|_| StoreError::Malformed("own record"))?;
    store.append_configuration(&value, end).await
}

fn accept(
    core: &Rc<ProxyCore>,
    record: &PublishedRecord,
    request: &PublicationRequest,
) -> PublicationOutcome {
    let version = record.entry.version;
    core.apply_table(
        record.configuration.build_table(version),
        StateSource::Operator,
    );
    let accepted = PublicationOutcome::Accepted {
        version,
        in_force: version,
    };
    find_outcome(record, request.id).unwrap_or(accepted)
}

/// Reads the version in force and the latest publications, which the newest record in the store lists.
///
/// # Errors
/// If the store can't be read.
pub async fn read_history<S: StateStore>(store: &S) -> Result<HistoryView, StoreError> {
    let Some(record) = read_newest(store).await?.record else {
        return Ok(HistoryView::default());
    };
    Ok(HistoryView {
        in_force: record.entry.version,
        publications: record.entries().cloned().collect(),
    })
}

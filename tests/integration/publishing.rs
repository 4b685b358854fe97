//! Decisions on publications, and their outcomes on a store whose responses may be lost.

use bolero::check;
use camphorturn::{
    coordination::publishing::{
        PublicationOutcome, PublicationPlan, PublicationRequest, plan_publication,
    },
    options::checked_file::check_configuration,
    state::{
        configuration::{Configuration, ConfigurationVersion},
        published::PublishedRecord,
    },
};
use std::collections::BTreeMap;
use uuid::Uuid;

const SAMPLE: &str = include_str!("../../samples/configuration.jsonc");

/// Sample configuration with a different latency target of its second class.
fn configuration(target_ms: u32) -> Configuration {
    let mut sample = check_configuration("sample", SAMPLE).expect("the sample is valid");
    sample.classes[1].target_ms = target_ms;
    sample
}

fn request(id: u128, based_on: Option<u64>, target_ms: u32) -> PublicationRequest {
    PublicationRequest {
        id: Uuid::from_u128(id),
        author: "ana".to_owned(),
        note: "n".to_owned(),
        based_on: based_on.map(ConfigurationVersion),
        configuration: configuration(target_ms),
    }
}

fn plan_record(newest: Option<&PublishedRecord>, request: &PublicationRequest) -> PublishedRecord {
    match plan_publication(newest, request, 5) {
        PublicationPlan::Store(record) => *record,
        PublicationPlan::Done(outcome) => panic!("unexpected end: {outcome:?}"),
    }
}

fn plan_end(newest: &PublishedRecord, request: &PublicationRequest) -> PublicationOutcome {
    match plan_publication(Some(newest), request, 5) {
        PublicationPlan::Done(outcome) => outcome,
        PublicationPlan::Store(record) => panic!("unexpected record: {record:?}"),
    }
}

#[test]
fn plan_publication_first_and_next() {
    let first = plan_record(None, &request(1, Some(0), 150));
    assert_eq!(first.entry.version, ConfigurationVersion(1));
    let second = plan_record(Some(&first), &request(2, Some(1), 120));
    assert_eq!(second.entry.version, ConfigurationVersion(2));
    assert_eq!(
        second.entry.changes,
        ["class lookups: target_ms 120 instead of 150"]
    );
    assert_eq!(second.earlier, [first.entry]);
}

#[test]
fn plan_publication_same_content() {
    let first = plan_record(None, &request(1, None, 150));
    let version = ConfigurationVersion(1);
    assert_eq!(
        plan_end(&first, &request(2, None, 150)),
        PublicationOutcome::AlreadyInForce { version }
    );
}

/// Failure: a publication reverts a change of another operator. Two operators change the same version, and the second publication
/// replaces the first because the version that it is based on isn't compared.
#[test]
fn plan_publication_conflict_lists_later_entries() {
    let first = plan_record(None, &request(1, None, 150));
    let second = plan_record(Some(&first), &request(2, Some(1), 120));
    let outcome = plan_end(&second, &request(3, Some(1), 130));
    let PublicationOutcome::Conflict {
        in_force,
        meanwhile,
        ..
    } = outcome
    else {
        panic!("no conflict: {outcome:?}");
    };
    assert_eq!(in_force, ConfigurationVersion(2));
    assert_eq!(meanwhile, [second.entry]);
}

/// Failure: an earlier publication reverts a later change. The response to the first publication is lost, another publication
/// follows, and the first is sent again without being recognised.
#[test]
fn plan_publication_recognises_retry() {
    let first = plan_record(None, &request(1, None, 150));
    let second = plan_record(Some(&first), &request(2, None, 120));
    assert_eq!(
        plan_end(&second, &request(1, None, 150)),
        PublicationOutcome::Accepted {
            version: ConfigurationVersion(1),
            in_force: ConfigurationVersion(2),
        }
    );
}

/// Step of one of two publishers on a store whose responses may be lost and whose appends may be delayed.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A publisher reads the newest record and plans its publication.
    Read(usize),
    /// A publisher stores the planned record if no other was stored since; the response is lost if the flag is set.
    Store(usize, bool),
}

/// State of a publisher: its planned record with the length of the log, and the outcome that it got.
#[derive(Clone, Debug, Default)]
struct Publisher {
    planned: Option<(Box<PublishedRecord>, usize)>,
    reported: Option<PublicationOutcome>,
}

/// For any order of steps and any lost responses: versions increase by one, each publication is stored at most once, and a
/// publisher that got `accepted` has its publication among the versions.
#[test]
fn publish_any_order_and_loss() {
    check!()
        .with_type::<Vec<(bool, bool, bool)>>()
        .for_each(|steps| {
            let mut log: Vec<PublishedRecord> = Vec::new();
            let requests = [request(1, None, 120), request(2, None, 130)];
            let mut publishers = [Publisher::default(), Publisher::default()];
            for (second, reads, response_lost) in steps {
                let index = usize::from(*second);
                let step = if *reads {
                    Step::Read(index)
                } else {
                    Step::Store(index, *response_lost)
                };
                perform_step(&mut log, &requests, &mut publishers, step);
            }
            assert_log(&log, &publishers);
        });
}

fn perform_step(
    log: &mut Vec<PublishedRecord>,
    requests: &[PublicationRequest; 2],
    publishers: &mut [Publisher; 2],
    step: Step,
) {
    match step {
        Step::Read(index) => {
            let publisher = &mut publishers[index];
            match plan_publication(log.last(), &requests[index], 5) {
                PublicationPlan::Done(outcome) => publisher.reported = Some(outcome),
                PublicationPlan::Store(record) => publisher.planned = Some((record, log.len())),
            }
        }
        Step::Store(index, response_lost) => {
            let Some((record, end)) = publishers[index].planned.take() else {
                return;
            };
            if end != log.len() {
                return;
            }
            let version = record.entry.version;
            log.push(*record);
            if !response_lost {
                publishers[index].reported = Some(PublicationOutcome::Accepted {
                    version,
                    in_force: version,
                });
            }
        }
    }
}

fn assert_log(log: &[PublishedRecord], publishers: &[Publisher; 2]) {
    let mut stored: BTreeMap<Uuid, ConfigurationVersion> = BTreeMap::new();
    for (record, version) in log.iter().zip(1..) {
        assert_eq!(record.entry.version, ConfigurationVersion(version));
        let before = stored.insert(record.entry.id, record.entry.version);
        assert_eq!(before, None, "stored twice");
    }
    for (publisher, id) in publishers.iter().zip(1..) {
        if let Some(PublicationOutcome::Accepted { version, .. }) = publisher.reported {
            assert_eq!(stored.get(&Uuid::from_u128(id)), Some(&version));
        }
    }
}

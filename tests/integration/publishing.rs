//! Publications: what is decided about them, and how they end on a store that loses answers.

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

/// The sample with another target of its second class.
fn configuration(target_ms: u32) -> Configuration {
    let mut sample = check_configuration("sample", SAMPLE).expect("the sample is right");
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

fn store(newest: Option<&PublishedRecord>, request: &PublicationRequest) -> PublishedRecord {
    match plan_publication(newest, request, 5) {
        PublicationPlan::Store(record) => *record,
        PublicationPlan::Done(outcome) => panic!("not to be stored: {outcome:?}"),
    }
}

fn finish(newest: &PublishedRecord, request: &PublicationRequest) -> PublicationOutcome {
    match plan_publication(Some(newest), request, 5) {
        PublicationPlan::Done(outcome) => outcome,
        PublicationPlan::Store(record) => panic!("to be stored again: {record:?}"),
    }
}

#[test]
fn plan_first_and_next() {
    let first = store(None, &request(1, Some(0), 150));
    assert_eq!(first.entry.version, ConfigurationVersion(1));
    let second = store(Some(&first), &request(2, Some(1), 120));
    assert_eq!(second.entry.version, ConfigurationVersion(2));
    assert_eq!(
        second.entry.changes,
        ["class lookups: target_ms 120 instead of 150"]
    );
    assert_eq!(second.earlier, [first.entry]);
}

#[test]
fn plan_same_content_is_in_force() {
    let first = store(None, &request(1, None, 150));
    let version = ConfigurationVersion(1);
    assert_eq!(
        finish(&first, &request(2, None, 150)),
        PublicationOutcome::AlreadyInForce { version }
    );
}

/// Symptom: a change that another operator published is undone. Sequence: two operators change the same
/// version; the second publishes over the first. Cause: what it was based on was not compared.
#[test]
fn plan_conflict_names_what_came_between() {
    let first = store(None, &request(1, None, 150));
    let second = store(Some(&first), &request(2, Some(1), 120));
    let outcome = finish(&second, &request(3, Some(1), 130));
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

/// Symptom: a later change is undone by an earlier publication. Sequence: the answer to a publication is
/// lost, another one follows, the first is sent again. Cause: it was not recognised.
#[test]
fn plan_sent_again_is_found() {
    let first = store(None, &request(1, None, 150));
    let second = store(Some(&first), &request(2, None, 120));
    assert_eq!(
        finish(&second, &request(1, None, 150)),
        PublicationOutcome::Accepted {
            version: ConfigurationVersion(1),
            in_force: ConfigurationVersion(2),
        }
    );
}

/// One step of two publishers on a store that may lose answers and take appends late.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A publisher reads and plans.
    Read(usize),
    /// It stores what it planned, if nothing came between; the answer may be lost.
    Store(usize, bool),
}

/// A publisher in the middle of its work.
#[derive(Clone, Debug, Default)]
struct Publisher {
    planned: Option<(Box<PublishedRecord>, usize)>,
    told: Option<PublicationOutcome>,
}

/// Whatever is lost and in whatever order two publishers act: versions rise by one, each publication
/// is stored once at most, and who is told `accepted` finds it among the versions.
#[test]
fn publish_any_order_and_loss() {
    check!()
        .with_type::<Vec<(bool, bool, bool)>>()
        .for_each(|steps| {
            let mut log: Vec<PublishedRecord> = Vec::new();
            let requests = [request(1, None, 120), request(2, None, 130)];
            let mut publishers = [Publisher::default(), Publisher::default()];
            for (second, reads, lost) in steps {
                let who = usize::from(*second);
                let step = if *reads {
                    Step::Read(who)
                } else {
                    Step::Store(who, *lost)
                };
                take_step(&mut log, &requests, &mut publishers, step);
            }
            assert_log(&log, &publishers);
        });
}

fn take_step(
    log: &mut Vec<PublishedRecord>,
    requests: &[PublicationRequest; 2],
    publishers: &mut [Publisher; 2],
    step: Step,
) {
    match step {
        Step::Read(who) => {
            let publisher = &mut publishers[who];
            match plan_publication(log.last(), &requests[who], 5) {
                PublicationPlan::Done(outcome) => publisher.told = Some(outcome),
                PublicationPlan::Store(record) => publisher.planned = Some((record, log.len())),
            }
        }
        Step::Store(who, lost) => {
            let Some((record, end)) = publishers[who].planned.take() else {
                return;
            };
            if end != log.len() {
                return;
            }
            let version = record.entry.version;
            log.push(*record);
            if !lost {
                publishers[who].told = Some(PublicationOutcome::Accepted {
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
        if let Some(PublicationOutcome::Accepted { version, .. }) = publisher.told {
            assert_eq!(stored.get(&Uuid::from_u128(id)), Some(&version));
        }
    }
}

//! Two operators who publish at the same moment.

use camphorturn::{
    commands::{
        dev::deployments::booking_configuration,
        publish::{PublishOptions, run_publish},
    },
    coordination::publishing::{PublishOutcome, PublishRequest},
    local_mesh::plan::LOCAL_STREAM,
    timers::TimerService,
    transport::platform::{LogClient, LogTimeouts},
};
use camphorturn_stand_ins::log_service::LogService;
use std::{sync::Barrier, thread, time::Duration};

const OPERATORS: [&str; 2] = ["first operator", "second operator"];
/// Time for the log in one publication.
const LIMIT: Duration = Duration::from_secs(1);

/// Publishes different contents at once and tells how each ended.
pub fn publish_at_once(log: &LogService, at: Duration) -> Vec<&'static str> {
    let barrier = Barrier::new(OPERATORS.len());
    let url = log.url();
    thread::scope(|scope| {
        let operators = OPERATORS.map(|author| {
            let (barrier, url) = (&barrier, &url);
            scope.spawn(move || {
                barrier.wait();
                publish(url, author, at)
            })
        });
        let ended = operators.map(|operator| operator.join().unwrap_or("panicked"));
        ended.to_vec()
    })
}

fn publish(url: &str, author: &str, at: Duration) -> &'static str {
    let timers = TimerService::system();
    let mut content = booking_configuration();
    // Contents that differ in a field that changes nothing about the verdict.
    let extra = u32::try_from(at.as_millis() % 1_000).unwrap_or(0) * 2;
    for class in content.services.iter_mut().flat_map(|s| &mut s.classes) {
        class.deadline_ms += extra + u32::from(author == OPERATORS[0]);
    }
    let options = PublishOptions {
        request: PublishRequest {
            id: None,
            author: author.to_owned(),
            note: format!("at {} ms", at.as_millis()),
            based_on: None,
            content,
        },
        limit: LIMIT,
        wait: None,
    };
    let client = LogClient::new(url, LOCAL_STREAM, LogTimeouts::default());
    let report = run_publish(&options, &client, &timers);
    timers.stop();
    match report.outcome {
        PublishOutcome::Accepted { .. } => "accepted",
        PublishOutcome::AlreadyInForce { .. } => "already in force",
        PublishOutcome::Conflict { .. } => "conflict",
        PublishOutcome::Refused { .. } => "refused",
        PublishOutcome::NotStarted { .. } => "not started",
        PublishOutcome::Unknown { .. } => "unknown",
    }
}

//! The client of the platform's log against the stand-in and its failures.

use camphorturn::{
    protocol::platform_log::{AppendError, PlatformLog, ReadError},
    state::log_record::Offset,
    transport::platform::{LogClient, LogTimeouts},
};
use camphorturn_stand_ins::log_service::{AnswerLoss, LogCondition, LogService};
use std::time::Duration;

const STREAM: &str = "records";

fn start() -> (LogService, LogClient) {
    let log = LogService::start().expect("a free port");
    let client = LogClient::new(&log.url(), STREAM, LogTimeouts::default());
    (log, client)
}

#[test]
fn append_gives_offsets_in_order() {
    let (_log, client) = start();
    assert_eq!(client.append("a"), Ok(Offset(0)));
    assert_eq!(client.append("b"), Ok(Offset(1)));
    let page = client.read(Offset(1), 10).expect("a page");
    assert_eq!((page.first_retained, page.next), (Offset(0), Offset(2)));
    assert_eq!(page.records[0].body, "b");
}

#[test]
fn append_lost_answer_is_unknown() {
    // Symptom: a publisher is told "refused" although its record is in force.
    // Sequence: the log stores the record; its answer becomes a 504, ends early or never comes.
    // Cause: an error after sending says nothing about the write.
    let losses = [
        AnswerLoss::ServerError,
        AnswerLoss::CutShort,
        AnswerLoss::Silent(Duration::from_millis(500)),
    ];
    for (index, loss) in losses.into_iter().enumerate() {
        let log = LogService::start().expect("a free port");
        let timeouts = LogTimeouts {
            whole: Duration::from_millis(200),
            ..LogTimeouts::default()
        };
        let client = LogClient::new(&log.url(), STREAM, timeouts);
        log.lose_append_answers(1, loss);
        let appended = client.append("a");
        assert!(
            matches!(appended, Err(AppendError::Unknown(_))),
            "{index}: {appended:?}"
        );
        assert_eq!(log.records(STREAM).len(), 1);
    }
}

#[test]
fn append_to_no_stream_is_refused() {
    let (log, _) = start();
    let client = LogClient::new(&log.url(), "no/stream", LogTimeouts::default());
    let appended = client.append("a");
    assert!(
        matches!(appended, Err(AppendError::Refused(_))),
        "{appended:?}"
    );
}

#[test]
fn read_below_what_is_retained_tells_where_to_go_on() {
    let (log, client) = start();
    for body in ["a", "b", "c"] {
        client.append(body).expect("appended");
    }
    log.forget_before(STREAM, 2);
    let first_retained = Offset(2);
    assert_eq!(
        client.read(Offset(0), 10),
        Err(ReadError::Forgotten { first_retained })
    );
}

#[test]
fn read_during_an_outage_is_unavailable() {
    let (log, client) = start();
    log.set_condition(LogCondition::Refusing);
    let page = client.read(Offset(0), 10);
    assert!(matches!(page, Err(ReadError::Unavailable(_))), "{page:?}");
    let appended = client.append("a");
    assert!(
        matches!(appended, Err(AppendError::Unknown(_))),
        "{appended:?}"
    );
}

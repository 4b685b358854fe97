//! The stand-ins fail as they are told to, so that tests built on them prove what they claim.

use attohttpc::{RequestBuilder, Response};
use camphorturn_stand_ins::{
    log_service::{AnswerLoss, LogCondition, LogService, Retention},
    upstream::{AnswerFault, HealthAnswer, RunEnd, Upstream, UpstreamHost, UpstreamSettings},
};
use serde_json::Value;
use std::{
    io::{Read, Write},
    net::TcpStream,
    time::Duration,
};

const PATIENCE: Duration = Duration::from_secs(10);

fn send(builder: RequestBuilder<impl attohttpc::body::Body>) -> attohttpc::Result<Response> {
    builder.timeout(PATIENCE).follow_redirects(false).send()
}

fn append(log: &LogService, body: &str) -> attohttpc::Result<Response> {
    let url = format!("{}/streams/test/records", log.url());
    send(attohttpc::post(url).text(body.to_owned()))
}

fn read(log: &LogService, from: u64) -> (u16, Value) {
    let url = format!("{}/streams/test/records?from={from}&limit=10", log.url());
    let response = send(attohttpc::get(url)).expect("the log answers");
    let status = response.status().as_u16();
    (status, response.json().expect("a page"))
}

#[test]
fn log_service_appends_and_reads_in_order() {
    let log = LogService::start().expect("a free port");
    append(&log, "a").expect("appended");
    let answer: Value = append(&log, "b")
        .expect("appended")
        .json()
        .expect("an offset");
    assert_eq!(answer["offset"], 1);
    let (_, page) = read(&log, 0);
    assert_eq!(page["next"], 2);
    assert_eq!(page["records"][1]["body"], "b");
}

#[test]
fn log_service_answers_410_below_what_is_retained() {
    let log = LogService::start().expect("a free port");
    log.set_retention(Retention {
        time: None,
        count: Some(1),
    });
    log.store("test", "a");
    log.store("test", "b");
    let (status, bounds) = read(&log, 0);
    assert_eq!((status, &bounds["first_retained"]), (410, &Value::from(1)));
}

#[test]
fn log_service_loses_answers_after_the_write() {
    let log = LogService::start().expect("a free port");
    log.lose_append_answers(1, AnswerLoss::CutShort);
    // NB: attohttpc takes a body that ends early for a whole one, so the length is compared.
    let cut = append(&log, "a").expect("a head");
    let announced: usize = cut.headers()["content-length"]
        .to_str()
        .expect("text")
        .parse()
        .expect("a length");
    assert!(cut.text().expect("a part").len() < announced);
    log.lose_append_answers(1, AnswerLoss::ServerError);
    let status = append(&log, "b").expect("an answer").status();
    assert_eq!(status.as_u16(), 504);
    assert_eq!(log.records("test").len(), 2);
}

#[test]
fn log_service_holds_duplicates_and_throttles() {
    let log = LogService::start().expect("a free port");
    log.hold_appends(1);
    append(&log, "late").expect("an answer");
    assert!(log.records("test").is_empty());
    log.duplicate_appends(1);
    append(&log, "twice").expect("an answer");
    log.release_held_appends();
    let bodies: Vec<_> = log
        .records("test")
        .into_iter()
        .map(|record| record.body)
        .collect();
    assert_eq!(bodies, ["twice", "twice", "late"]);
    log.set_append_rate(Some(0));
    let status = append(&log, "c").expect("an answer").status();
    assert_eq!(status.as_u16(), 503);
    assert_eq!(log.counters().throttled, 1);
}

#[test]
fn log_service_refuses_during_an_outage() {
    let log = LogService::start().expect("a free port");
    log.set_condition(LogCondition::Refusing);
    let status = append(&log, "a").expect("an answer").status();
    assert_eq!(status.as_u16(), 503);
    assert!(log.records("test").is_empty());
}

fn start_upstream(host: &UpstreamHost) -> Upstream {
    host.add(UpstreamSettings::new("u", 2, 1))
        .expect("a free port")
}

fn call(upstream: &Upstream, path: &str) -> attohttpc::Result<Response> {
    let url = format!("http://{}{path}", upstream.address());
    let req = attohttpc::post(url)
        .text("hello")
        .header("camphorturn-call", "c1");
    send(req.header("idempotency-key", "k1"))
}

#[test]
fn upstream_answers_with_the_call_and_records_the_run() {
    let host = UpstreamHost::start().expect("a thread");
    let upstream = start_upstream(&host);
    let response = call(&upstream, "/book?bytes=5000").expect("an answer");
    assert_eq!(response.headers()["camphorturn-call"], "c1");
    assert_eq!(response.headers()["camphorturn-load-slots"], "2");
    let text = response.text().expect("a body");
    assert_eq!(text.len(), 5_000);
    let body: Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!(
        (&body["call"], &body["body"]),
        (&Value::from("c1"), &Value::from("hello"))
    );
    let runs = upstream.runs();
    assert_eq!(runs.len(), 1);
    assert_eq!(
        (runs[0].key.as_deref(), runs[0].end),
        (Some("k1"), RunEnd::Finished)
    );
}

fn read_raw_answer(upstream: &Upstream) -> String {
    let mut stream = TcpStream::connect(upstream.address()).expect("connected");
    stream.set_read_timeout(Some(PATIENCE)).expect("a timeout");
    stream
        .write_all(b"GET /book?bytes=900 HTTP/1.1\r\nhost: u\r\n\r\n")
        .expect("sent");
    let mut text = String::new();
    stream
        .read_to_string(&mut text)
        .expect("the connection ends");
    text
}

#[test]
fn upstream_cuts_answers_after_running() {
    let host = UpstreamHost::start().expect("a thread");
    let upstream = start_upstream(&host);
    upstream.change_behaviour(|behaviour| behaviour.answer_fault = AnswerFault::CutBefore);
    assert_eq!(read_raw_answer(&upstream), "");
    upstream.change_behaviour(|behaviour| behaviour.answer_fault = AnswerFault::CutHalfWay);
    let text = read_raw_answer(&upstream);
    let (head, body) = text.split_once("\r\n\r\n").expect("a whole head");
    assert!(
        head.starts_with("HTTP/1.1 200") && head.contains("content-length: 900"),
        "{head}"
    );
    assert_eq!(body.len(), 450);
    assert_eq!(upstream.run_count(), 2);
}

#[test]
fn upstream_refuses_without_running_while_draining() {
    let host = UpstreamHost::start().expect("a thread");
    let upstream = start_upstream(&host);
    upstream.change_behaviour(|behaviour| behaviour.draining = true);
    let response = call(&upstream, "/book").expect("an answer");
    assert_eq!(response.status().as_u16(), 503);
    assert_eq!(response.headers()["camphorturn-shed"], "not-run");
    assert_eq!(upstream.run_count(), 0);
    let health = format!("http://{}/health", upstream.address());
    assert_eq!(
        send(attohttpc::get(&health))
            .expect("an answer")
            .status()
            .as_u16(),
        503
    );
    upstream.change_behaviour(|behaviour| behaviour.health = HealthAnswer::AlwaysHealthy);
    assert_eq!(
        send(attohttpc::get(&health))
            .expect("an answer")
            .status()
            .as_u16(),
        200
    );
}

#[test]
fn upstream_ends_a_call_whose_deadline_has_passed() {
    let host = UpstreamHost::start().expect("a thread");
    let settings = UpstreamSettings::new("u", 1, 1).with_service_time("/", 60_000_000, 0.0);
    let upstream = host.add(settings).expect("a free port");
    let url = format!("http://{}/book", upstream.address());
    let response = send(attohttpc::get(url).header("camphorturn-deadline-ms", "20"));
    assert_eq!(response.expect("an answer").status().as_u16(), 504);
    assert_eq!(upstream.runs()[0].end, RunEnd::DeadlinePassed);
    assert_eq!(upstream.load().running, 0);
}

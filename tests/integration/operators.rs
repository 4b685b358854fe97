//! Tests of the operators' HTTP server with a stub of the event loop.

use camphorturn::{
    commands::publish::build_failure_outcome,
    coordination::publishing::{PublicationOutcome, PublicationRequest},
    options::checked_file::check_configuration,
    protocol::operator_views::{
        EvacuationView, HistoryView, LogPage, NodeHealth, NodeStatus, OperatorErrorBody,
    },
    state::configuration::ConfigurationVersion,
    transport::operators::{
        client::OperatorClientError,
        request::{EvacuationError, OperatorRequest},
        server::{OperatorServer, serve_operators},
    },
};
use flume::Receiver;
use std::{collections::BTreeSet, thread};
use uuid::Uuid;

const TOKEN: &str = "secret";

fn start_server() -> (OperatorServer, Receiver<OperatorRequest>) {
    let (tx, rx) = flume::unbounded();
    let listen = ([127, 0, 0, 1], 0).into();
    (serve_operators(listen, TOKEN, tx).expect("a free port"), rx)
}

/// Answers one request as the event loop does.
fn answer(request: OperatorRequest) {
    let health = NodeHealth {
        leaving: true,
        ..NodeHealth::default()
    };
    match request {
        OperatorRequest::Status { reply } => {
            reply
                .send(NodeStatus::default())
                .expect("a waiting receiver");
        }
        OperatorRequest::LogLines { from, reply } => {
            let page = LogPage {
                next: from,
                ..LogPage::default()
            };
            reply.send(page).expect("a waiting receiver");
        }
        OperatorRequest::Health { reply } | OperatorRequest::Drain { reply } => {
            reply.send(health).expect("a waiting receiver");
        }
        OperatorRequest::Publish { request, reply } => {
            let version = request.based_on.unwrap_or_default();
            let outcome = PublicationOutcome::AlreadyInForce { version };
            reply.send(outcome).expect("a waiting receiver");
        }
        OperatorRequest::History { reply } => {
            let history: Result<HistoryView, String> = Err("store unreachable".to_owned());
            reply.send(history).expect("a waiting receiver");
        }
        OperatorRequest::Evacuate { zone, reply, .. } => {
            let answer = match zone.as_str() {
                "a" => Ok(EvacuationView {
                    zones: BTreeSet::from([zone]),
                }),
                "unstored" => Err(EvacuationError::Store("store unreachable".to_owned())),
                _ => Err(EvacuationError::UnknownZone),
            };
            reply.send(answer).expect("a waiting receiver");
        }
        OperatorRequest::Unauthorized => {}
    }
}

fn get(server: &OperatorServer, path: &str) -> attohttpc::RequestBuilder {
    attohttpc::get(format!("http://{}{path}", server.address))
}

fn post(server: &OperatorServer, path: &str) -> attohttpc::RequestBuilder {
    attohttpc::post(format!("http://{}{path}", server.address))
}

fn send_expecting_error<B: attohttpc::body::Body>(
    req: attohttpc::RequestBuilder<B>,
) -> (u16, String) {
    let res = req.send().expect("an answer");
    let status = res.status().as_u16();
    let body: OperatorErrorBody = res.json().expect("JSON");
    (status, body.error)
}

#[test]
fn serve_operators_answers_with_token() {
    let (server, rx) = start_server();
    let event_loop = thread::spawn(move || rx.iter().take(3).for_each(answer));
    let status: NodeStatus = get(&server, "/status")
        .bearer_auth(TOKEN)
        .send()
        .expect("an answer")
        .json()
        .expect("JSON");
    assert_eq!(status, NodeStatus::default());
    let page: LogPage = get(&server, "/log?from=41")
        .bearer_auth(TOKEN)
        .send()
        .expect("an answer")
        .json()
        .expect("JSON");
    assert_eq!(page.next, 41);
    let drained: NodeHealth = post(&server, "/drain")
        .bearer_auth(TOKEN)
        .send()
        .expect("an answer")
        .json()
        .expect("JSON");
    assert!(drained.leaving);
    event_loop.join().expect("three requests");
}

#[test]
fn serve_operators_rejects_wrong_tokens() {
    let (server, rx) = start_server();
    for token in ["", "secre", "secret2"] {
        let (status, error) = send_expecting_error(post(&server, "/drain").bearer_auth(token));
        assert_eq!(status, 401, "{error}");
    }
    assert_eq!(send_expecting_error(get(&server, "/status")).0, 401);
    assert!(
        rx.drain()
            .all(|request| matches!(request, OperatorRequest::Unauthorized))
    );
}

fn publication(text: &str) -> PublicationRequest {
    PublicationRequest {
        id: Uuid::new_v4(),
        author: "ana".to_owned(),
        note: "n".to_owned(),
        based_on: Some(ConfigurationVersion(3)),
        configuration: check_configuration("c", text).expect("right"),
    }
}

const SAMPLE: &str = include_str!("../../samples/configuration.jsonc");

#[test]
fn serve_operators_forwards_publications() {
    let (server, rx) = start_server();
    let event_loop = thread::spawn(move || rx.iter().take(1).for_each(answer));
    let outcome: PublicationOutcome = post(&server, "/configuration")
        .bearer_auth(TOKEN)
        .json(&publication(SAMPLE))
        .expect("JSON")
        .send()
        .expect("an answer")
        .json()
        .expect("JSON");
    let version = ConfigurationVersion(3);
    assert_eq!(outcome, PublicationOutcome::AlreadyInForce { version });
    event_loop.join().expect("one request");
}

/// Guards against configurations that nodes can't use. A tool of another version, or a client without the tool's
/// checks, may send one that breaks a rule, so the node has to check it too.
#[test]
fn serve_operators_checks_publications() {
    let (server, rx) = start_server();
    let mut request = publication(SAMPLE);
    request.configuration.classes[0].timeout_ms = 1;
    let sent = post(&server, "/configuration").bearer_auth(TOKEN);
    let (status, error) = send_expecting_error(sent.json(&request).expect("JSON"));
    assert!(status == 400 && error.contains("timeout_ms"), "{error}");
    assert!(rx.is_empty());
}

#[test]
fn serve_operators_reports_unreachable_store() {
    let (server, rx) = start_server();
    let event_loop = thread::spawn(move || rx.iter().take(1).for_each(answer));
    let (status, error) = send_expecting_error(get(&server, "/history").bearer_auth(TOKEN));
    assert!(
        status == 503 && error.contains("store unreachable"),
        "{error}"
    );
    event_loop.join().expect("one request");
}

#[test]
fn serve_operators_evacuates() {
    let (server, rx) = start_server();
    let event_loop = thread::spawn(move || rx.iter().take(3).for_each(answer));
    let evacuate = |zone| post(&server, &format!("/evacuation?zone={zone}")).bearer_auth(TOKEN);
    let view: EvacuationView = evacuate("a").send().expect("sent").json().expect("a view");
    assert_eq!(view.zones.len(), 1);
    assert_eq!(send_expecting_error(evacuate("unstored")).0, 503);
    let (status, error) = send_expecting_error(evacuate("elsewhere"));
    assert!(status == 400 && error.contains("zone"), "{error}");
    assert_eq!(send_expecting_error(evacuate("")).0, 400);
    event_loop.join().expect("three requests");
}

#[test]
fn serve_operators_reports_invalid_requests() {
    let (server, _rx) = start_server();
    let req = |path| get(&server, path).bearer_auth(TOKEN);
    assert_eq!(send_expecting_error(req("/nothing")).0, 404);
    assert_eq!(send_expecting_error(req("/drain")).0, 405);
    let (status, error) = send_expecting_error(req("/log?from=x"));
    assert!(status == 400 && error.contains("from"), "{error}");
    let publish = || post(&server, "/configuration").bearer_auth(TOKEN);
    let (status, error) = send_expecting_error(publish().text(r#"{"odd":1}"#));
    assert!(status == 400 && error.contains("odd"), "{error}");
    let large = "x".repeat(2 * 1024 * 1024);
    assert_eq!(send_expecting_error(publish().text(large)).0, 413);
}

#[test]
fn serve_operators_reports_stopping_node() {
    let (server, rx) = start_server();
    drop(rx);
    assert_eq!(send_expecting_error(get(&server, "/health")).0, 503);
}

/// Failure: a publication is reported as not stored after a timeout, although the node publishes it later.
#[test]
fn build_failure_outcome_node_timeout() {
    let refused = |status| OperatorClientError::Refused {
        status,
        problem: String::new(),
    };
    let outcome = build_failure_outcome(&refused(504));
    assert!(matches!(outcome, PublicationOutcome::Unknown { .. }));
    let outcome = build_failure_outcome(&refused(400));
    assert!(matches!(outcome, PublicationOutcome::NotStored { .. }));
}

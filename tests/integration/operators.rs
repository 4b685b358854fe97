//! Tests of the operators' HTTP server against a stand-in for the event loop.

use camphorturn::{
    coordination::publishing::{PublicationOutcome, PublicationRequest},
    options::checked_file::check_configuration,
    protocol::operator_views::{
        EvacuationView, HistoryView, LogPage, NodeHealth, NodeStatus, OperatorErrorBody,
    },
    state::configuration::ConfigurationVersion,
    transport::operators::{
        request::{EvacuationError, OperatorRequest},
        server::{OperatorServer, serve_operators},
    },
};
use flume::Receiver;
use std::{collections::BTreeSet, thread};
use uuid::Uuid;

const TOKEN: &str = "secret";

fn start() -> (OperatorServer, Receiver<OperatorRequest>) {
    let (tx, rx) = flume::unbounded();
    let listen = ([127, 0, 0, 1], 0).into();
    (serve_operators(listen, TOKEN, tx).expect("a free port"), rx)
}

/// Answers one request as an event loop would.
fn answer(request: OperatorRequest) {
    let condition = NodeHealth {
        leaving: true,
        ..NodeHealth::default()
    };
    match request {
        OperatorRequest::Status { reply } => {
            reply.send(NodeStatus::default()).expect("asker waits");
        }
        OperatorRequest::LogLines { from, reply } => {
            let page = LogPage {
                next: from,
                ..LogPage::default()
            };
            reply.send(page).expect("asker waits");
        }
        OperatorRequest::Health { reply } | OperatorRequest::Drain { reply } => {
            reply.send(condition).expect("asker waits");
        }
        OperatorRequest::Publish { request, reply } => {
            let version = request.based_on.unwrap_or_default();
            let outcome = PublicationOutcome::AlreadyInForce { version };
            reply.send(outcome).expect("asker waits");
        }
        OperatorRequest::History { reply } => {
            let history: Result<HistoryView, String> = Err("away".to_owned());
            reply.send(history).expect("asker waits");
        }
        OperatorRequest::Evacuate { zone, reply, .. } => {
            let answer = match zone.as_str() {
                "a" => Ok(EvacuationView {
                    zones: BTreeSet::from([zone]),
                }),
                "away" => Err(EvacuationError::Store("away".to_owned())),
                _ => Err(EvacuationError::UnknownZone),
            };
            reply.send(answer).expect("asker waits");
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

fn send_problem<B: attohttpc::body::Body>(req: attohttpc::RequestBuilder<B>) -> (u16, String) {
    let res = req.send().expect("an answer");
    let status = res.status().as_u16();
    let problem: OperatorErrorBody = res.json().expect("JSON");
    (status, problem.error)
}

#[test]
fn serve_operators_answers_with_token() {
    let (server, rx) = start();
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
fn serve_operators_needs_the_token() {
    let (server, rx) = start();
    for token in ["", "secre", "secret2"] {
        let (status, error) = send_problem(post(&server, "/drain").bearer_auth(token));
        assert_eq!(status, 401, "{error}");
    }
    assert_eq!(send_problem(get(&server, "/status")).0, 401);
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
fn serve_operators_takes_publications() {
    let (server, rx) = start();
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

/// Symptom: nodes can't use the configuration in force. Sequence: a tool of another version, or none at
/// all, sends one that breaks a rule. Cause: only the tool checked it.
#[test]
fn serve_operators_checks_publications() {
    let (server, rx) = start();
    let mut request = publication(SAMPLE);
    request.configuration.classes[0].timeout_ms = 1;
    let sent = post(&server, "/configuration").bearer_auth(TOKEN);
    let (status, error) = send_problem(sent.json(&request).expect("JSON"));
    assert!(status == 400 && error.contains("timeout_ms"), "{error}");
    assert!(rx.is_empty());
}

#[test]
fn serve_operators_store_away() {
    let (server, rx) = start();
    let event_loop = thread::spawn(move || rx.iter().take(1).for_each(answer));
    let (status, error) = send_problem(get(&server, "/history").bearer_auth(TOKEN));
    assert!(status == 503 && error.contains("away"), "{error}");
    event_loop.join().expect("one request");
}

#[test]
fn serve_operators_evacuates() {
    let (server, rx) = start();
    let event_loop = thread::spawn(move || rx.iter().take(3).for_each(answer));
    let ask = |zone| post(&server, &format!("/evacuation?zone={zone}")).bearer_auth(TOKEN);
    let view: EvacuationView = ask("a").send().expect("sent").json().expect("a view");
    assert_eq!(view.zones.len(), 1);
    assert_eq!(send_problem(ask("away")).0, 503);
    let (status, error) = send_problem(ask("elsewhere"));
    assert!(status == 400 && error.contains("zone"), "{error}");
    assert_eq!(send_problem(ask("")).0, 400);
    event_loop.join().expect("three requests");
}

#[test]
fn serve_operators_names_what_is_wrong() {
    let (server, _rx) = start();
    let req = |path| get(&server, path).bearer_auth(TOKEN);
    assert_eq!(send_problem(req("/nothing")).0, 404);
    assert_eq!(send_problem(req("/drain")).0, 405);
    let (status, error) = send_problem(req("/log?from=x"));
    assert!(status == 400 && error.contains("from"), "{error}");
    let publish = || post(&server, "/configuration").bearer_auth(TOKEN);
    let (status, error) = send_problem(publish().text(r#"{"odd":1}"#));
    assert!(status == 400 && error.contains("odd"), "{error}");
    let large = "x".repeat(2 * 1024 * 1024);
    assert_eq!(send_problem(publish().text(large)).0, 413);
}

#[test]
fn serve_operators_tells_that_the_node_is_stopping() {
    let (server, rx) = start();
    drop(rx);
    assert_eq!(send_problem(get(&server, "/health")).0, 503);
}

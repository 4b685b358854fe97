//! Tests of the operators' HTTP server against a stand-in for the event loop.

use camphorturn::{
    events::view::EventPage,
    protocol::{
        load_report::UpstreamCondition,
        operator_views::{NodeCondition, NodeStatus, OperatorProblem},
    },
    transport::operators::{
        request::OperatorRequest,
        server::{OperatorServer, serve_operators},
    },
};
use flume::Receiver;
use std::thread;

const TOKEN: &str = "secret";

fn start() -> (OperatorServer, Receiver<OperatorRequest>) {
    let (tx, rx) = flume::unbounded();
    let listen = ([127, 0, 0, 1], 0).into();
    (serve_operators(listen, TOKEN, tx).expect("a free port"), rx)
}

/// Answers one request as an event loop would.
fn answer(request: OperatorRequest) {
    let condition = NodeCondition {
        condition: UpstreamCondition::Draining,
        ..NodeCondition::default()
    };
    match request {
        OperatorRequest::Status { reply } => {
            reply.send(NodeStatus::default()).expect("asker waits");
        }
        OperatorRequest::Events { query, reply } => {
            let page = EventPage {
                next: query.since,
                ..EventPage::default()
            };
            reply.send(page).expect("asker waits");
        }
        OperatorRequest::Health { reply }
        | OperatorRequest::Drain { reply }
        | OperatorRequest::Announce { reply, .. } => reply.send(condition).expect("asker waits"),
        OperatorRequest::Rejected => {}
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
    let problem: OperatorProblem = res.json().expect("JSON");
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
    let page: EventPage = get(&server, "/events?since=41")
        .bearer_auth(TOKEN)
        .send()
        .expect("an answer")
        .json()
        .expect("JSON");
    assert_eq!(page.next, 41);
    let drained: NodeCondition = post(&server, "/drain")
        .bearer_auth(TOKEN)
        .send()
        .expect("an answer")
        .json()
        .expect("JSON");
    assert_eq!(drained.condition, UpstreamCondition::Draining);
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
            .all(|request| matches!(request, OperatorRequest::Rejected))
    );
}

#[test]
fn serve_operators_takes_announcements_from_loopback() {
    let (server, rx) = start();
    let event_loop = thread::spawn(move || rx.iter().take(1).for_each(answer));
    let res = post(&server, "/upstream")
        .text(r#"{"condition":"draining"}"#)
        .send()
        .expect("an answer");
    assert_eq!(res.status().as_u16(), 200);
    event_loop.join().expect("one request");
}

#[test]
fn serve_operators_names_what_is_wrong() {
    let (server, _rx) = start();
    let req = |path| get(&server, path).bearer_auth(TOKEN);
    assert_eq!(send_problem(req("/nothing")).0, 404);
    assert_eq!(send_problem(req("/drain")).0, 405);
    let (status, error) = send_problem(req("/events?since=x"));
    assert!(status == 400 && error.contains("since"), "{error}");
    let (status, error) = send_problem(post(&server, "/upstream").text(r#"{"condition":"odd"}"#));
    assert!(status == 400 && error.contains("odd"), "{error}");
    let large = "x".repeat(64 * 1024);
    assert_eq!(send_problem(post(&server, "/upstream").text(large)).0, 413);
}

#[test]
fn serve_operators_tells_that_the_node_is_stopping() {
    let (server, rx) = start();
    drop(rx);
    assert_eq!(send_problem(get(&server, "/health")).0, 503);
}

//! Tests of the commands that ask all nodes, against stand-ins for nodes.

use camphorturn::{
    commands::{
        drain::{DrainArguments, run_drain},
        explain::{ExplainArguments, run_explain},
        mesh::survey_nodes,
        status::{StatusArguments, run_status},
        timeline::{TimelineArguments, run_timeline, selection::EventSelection},
    },
    events::{
        event::Event,
        reasons::{ChoiceReason, OutcomeSummary, Severity},
        recorder::{EventRecorder, RingSizes},
        stamp::CausalStamp,
    },
    options::{
        access::{AccessArguments, OperatorAccess},
        exit_code::ExitCode,
        secret::Secret,
    },
    protocol::{
        attempt::CallId,
        operator_views::{ClassStatus, MemberStatus, NodeCondition, NodeStatus},
        outcome::RefusalReason,
    },
    state::{
        configuration::ConfigurationVersion,
        member::Incarnation,
        names::{ClassName, NodeName, ServiceName},
    },
    timers::TimerService,
    transport::operators::{
        client::OperatorClient,
        request::OperatorRequest,
        server::{OperatorServer, serve_operators},
    },
};
use std::{
    fs,
    net::{SocketAddr, TcpListener},
    thread,
    time::Duration,
};
use uuid::Uuid;

const TOKEN: &str = "secret";
const CALL: CallId = CallId(Uuid::from_u128(0xca11));

/// Events that a stand-in for a node records, each after observing a stamp.
type Script = Vec<(CausalStamp, Event, Option<CallId>)>;

/// Starts a node that tells `status` and holds the events of `script`. Its wall clock is `ahead`.
fn start_node(status: NodeStatus, ahead: Duration, script: Script) -> OperatorServer {
    let (tx, rx) = flume::unbounded();
    let listen = ([127, 0, 0, 1], 0).into();
    let server = serve_operators(listen, TOKEN, tx).expect("a free port");
    thread::spawn(move || {
        let timers = TimerService::fake();
        timers.advance(ahead);
        let recorder = EventRecorder::new(
            status.node.clone().expect("a name"),
            Incarnation(1),
            timers,
            RingSizes::default(),
        );
        for (stamp, event, call) in script {
            recorder.observe(stamp);
            recorder.record(event, call);
        }
        for request in rx {
            answer(&recorder, &status, request);
        }
    });
    server
}

fn answer(recorder: &EventRecorder, status: &NodeStatus, request: OperatorRequest) {
    // An asker that has gone away is no concern of a node.
    match request {
        OperatorRequest::Status { reply } => drop(reply.send(status.clone())),
        OperatorRequest::Events { query, reply } => drop(reply.send(recorder.find(&query))),
        OperatorRequest::Health { reply }
        | OperatorRequest::Drain { reply }
        | OperatorRequest::Announce { reply, .. } => drop(reply.send(NodeCondition::default())),
        OperatorRequest::Rejected => {}
    }
}

fn new_status(name: &str, members: &[SocketAddr]) -> NodeStatus {
    let members = members.iter().map(|address| MemberStatus {
        operator_address: Some(*address),
        ..MemberStatus::default()
    });
    NodeStatus {
        node: Some(NodeName::from(name)),
        members: members.collect(),
        ..NodeStatus::default()
    }
}

fn reach(server: &OperatorServer) -> OperatorAccess {
    OperatorAccess {
        nodes: vec![server.address],
        token: Secret::from(TOKEN),
    }
}

/// An address where nothing listens.
fn find_closed_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

/// A call that an entry node, whose clock is an hour ahead, sends to `b`, where it is refused.
fn start_refused_call() -> (OperatorServer, OperatorServer) {
    let hour = Duration::from_hours(1);
    let sent = CausalStamp::at_millis(3_600_000 + 1);
    let refused = Event::AttemptRefused {
        attempt: 0,
        class: ClassName::from("confirm"),
        reason: RefusalReason::QueueFull,
        queued: 12,
        running: 6,
        limit: 6,
    };
    let b = start_node(
        new_status("b", &[]),
        Duration::ZERO,
        vec![(sent, refused, Some(CALL))],
    );
    let received = Event::CallReceived {
        service: ServiceName::from("booking"),
        class: ClassName::from("confirm"),
        depth: 0,
        time_left_micros: 300_000,
        target_micros: 100_000,
        keyed: true,
    };
    let chosen = Event::AttemptChosen {
        attempt: 0,
        upstream: NodeName::from("b"),
        reason: ChoiceReason::KeyOwner,
        candidates: 1,
        known_load: 3,
        known_age_ms: 40,
    };
    let ended = Event::CallEnded {
        service: ServiceName::from("booking"),
        class: ClassName::from("confirm"),
        outcome: OutcomeSummary::NotRun(RefusalReason::QueueFull),
        attempts: 1,
        took_micros: 2_000,
        target_micros: 100_000,
    };
    let none = CausalStamp::default();
    let heard = CausalStamp::at_millis(3_600_000 + 2);
    let script = vec![
        (none, Event::NodeStarted { upstream_slots: 6 }, None),
        (none, received, Some(CALL)),
        (none, chosen, Some(CALL)),
        (heard, ended, Some(CALL)),
    ];
    let a = start_node(new_status("a", &[b.address]), hour, script);
    (a, b)
}

fn run_text(arguments: &TimelineArguments, access: &OperatorAccess) -> (ExitCode, String) {
    let mut out = Vec::new();
    let code = run_timeline(arguments, access, &TimerService::fake(), &mut out).expect("written");
    (code, String::from_utf8(out).expect("text"))
}

fn new_timeline() -> TimelineArguments {
    TimelineArguments {
        access: AccessArguments::default(),
        selection: EventSelection::default(),
        follow: false,
        json: false,
        html: None,
    }
}

#[test]
fn run_timeline_merges_nodes_in_causal_order() {
    // Symptom: a refusal stands an hour before the call that was refused.
    // Sequence: the entry node's wall clock is an hour ahead of the executing node's.
    // Cause: rings were merged by wall clock.
    let (a, _b) = start_refused_call();
    let mut arguments = new_timeline();
    arguments.selection.call = Some(CALL.0);
    let (code, text) = run_text(&arguments, &reach(&a));
    let numbers: Vec<&str> = text
        .lines()
        .filter_map(|line| line.split_whitespace().nth(2))
        .collect();
    assert_eq!(
        (code, numbers),
        (ExitCode::Success, vec!["101", "102", "105", "117"]),
        "{text}"
    );
}

#[test]
fn run_timeline_filters_by_class_and_severity() {
    let (a, _b) = start_refused_call();
    let mut arguments = new_timeline();
    assert!(run_text(&arguments, &reach(&a)).1.contains("node started"));
    arguments.selection.class = Some("confirm".to_owned());
    assert_eq!(run_text(&arguments, &reach(&a)).1.lines().count(), 4);
    arguments.selection.severity = Some(Severity::Warning);
    assert_eq!(run_text(&arguments, &reach(&a)).1, "");
}

#[test]
fn run_timeline_writes_a_page_of_its_own() {
    let (a, _b) = start_refused_call();
    let path = std::env::temp_dir().join(format!("camphorturn-{}.html", Uuid::new_v4()));
    let mut arguments = new_timeline();
    arguments.selection.call = Some(CALL.0);
    arguments.html = Some(path.clone());
    run_text(&arguments, &reach(&a));
    let page = fs::read_to_string(&path).expect("a page");
    fs::remove_file(&path).expect("removed");
    assert_eq!(page.matches("<circle").count(), 4);
    assert!(
        !page.contains("src=") && !page.contains("href="),
        "the page loads nothing"
    );
}

#[test]
fn run_explain_tells_why_a_call_was_refused() {
    let (a, _b) = start_refused_call();
    let arguments = ExplainArguments {
        access: AccessArguments::default(),
        json: false,
        call: CALL.0,
    };
    let mut out = Vec::new();
    let code = run_explain(&arguments, &reach(&a), &mut out).expect("written");
    let text = String::from_utf8(out).expect("text");
    assert_eq!(code, ExitCode::Success, "{text}");
    assert!(
        text.contains("did not run, because the queue of the class was full"),
        "{text}"
    );
    assert!(
        text.contains("sent attempt 0 to b, because it owned the idempotency key"),
        "{text}"
    );
}

#[test]
fn survey_nodes_names_those_not_reached() {
    let closed = find_closed_address();
    let node = start_node(new_status("a", &[closed]), Duration::ZERO, Vec::new());
    let survey = survey_nodes(&OperatorClient::new(&reach(&node)), &[node.address]);
    assert_eq!(survey.reached.len(), 1);
    assert_eq!(survey.unreached.len(), 1);
    assert_eq!(survey.unreached[0].address, closed);
}

#[test]
fn run_status_puts_problems_first_in_80_columns() {
    let closed = find_closed_address();
    let mut b = new_status("a-node-with-a-rather-long-name", &[]);
    b.configuration_version = ConfigurationVersion(3);
    b.classes.push(ClassStatus {
        service: Some(ServiceName::from("practice-records")),
        class: Some(ClassName::from("internal-checks")),
        window_ms: 1_000,
        calls: 100,
        answered: 90,
        on_target: 90,
        target_ms: 50,
        target_share: 0.99,
        ..ClassStatus::default()
    });
    let b = start_node(b, Duration::ZERO, Vec::new());
    let a = start_node(
        new_status("a", &[b.address, closed]),
        Duration::ZERO,
        Vec::new(),
    );
    let arguments = StatusArguments {
        access: AccessArguments::default(),
        json: false,
        watch: false,
    };
    let mut out = Vec::new();
    let code =
        run_status(&arguments, &reach(&a), &TimerService::fake(), &mut out).expect("written");
    let text = String::from_utf8(out).expect("text");
    assert_eq!(code, ExitCode::Partial);
    assert!(
        text.lines().all(|line| line.chars().count() <= 80),
        "{text}"
    );
    let second = text.lines().nth(1).expect("a problem");
    assert!(
        second.contains("practice-records/internal-checks on target for 90.00%"),
        "{text}"
    );
    assert!(
        text.contains("1 nodes do not apply version 3 yet"),
        "{text}"
    );
    assert!(text.contains(&closed.to_string()), "{text}");
}

#[test]
fn run_drain_finds_the_node_by_name() {
    let b = start_node(new_status("b", &[]), Duration::ZERO, Vec::new());
    let a = start_node(new_status("a", &[b.address]), Duration::ZERO, Vec::new());
    let mut arguments = DrainArguments {
        access: AccessArguments::default(),
        json: false,
        target: "b".to_owned(),
    };
    let mut out = Vec::new();
    assert_eq!(
        run_drain(&arguments, &reach(&a), &mut out).expect("written"),
        ExitCode::Success
    );
    assert!(
        String::from_utf8(out)
            .expect("text")
            .contains(&b.address.to_string())
    );
    arguments.target = "c".to_owned();
    assert_eq!(
        run_drain(&arguments, &reach(&a), &mut Vec::new()).expect("written"),
        ExitCode::BadInput
    );
}

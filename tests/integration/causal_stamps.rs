//! Events of real nodes whose wall clocks disagree, in the order of their stamps.

use camphorturn::{
    commands::{
        dev::deployments::booking_deployments,
        explain::{ExplainArguments, run_explain},
        mesh::survey_nodes,
        timeline::{collect::Collector, selection::EventSelection},
    },
    constants::CALL_HEADER,
    events::{event::Event, view::EventView},
    local_mesh::{
        LOCAL_TOKEN,
        plan::{MeshPlan, publish_first},
    },
    node::{NodeHandle, start_node_by},
    options::{
        access::{AccessArguments, OperatorAccess},
        exit_code::ExitCode,
        secret::Secret,
    },
    state::names::NodeName,
    timers::TimerService,
    transport::operators::client::OperatorClient,
};
use camphorturn_stand_ins::{
    log_service::LogService,
    upstream::{Upstream, UpstreamHost},
};
use std::time::Duration;
use uuid::Uuid;

/// How far the entry node's wall clock is ahead.
const AHEAD: Duration = Duration::from_secs(30);
/// Lookups after which the two nodes should long have found each other.
const MOST_LOOKS: u32 = 1_000;

/// An entry node beside a dock upstream and an executing node beside a front desk.
struct TwoNodes {
    entry: NodeHandle,
    executing: NodeHandle,
    _upstreams: [Upstream; 2],
    _stand_ins: (LogService, UpstreamHost),
}

fn start_two_nodes() -> TwoNodes {
    let MeshPlan {
        configuration,
        nodes,
    } = booking_deployments(1);
    let log = LogService::start().expect("a free port");
    publish_first(&log, &configuration).expect("a valid configuration");
    let host = UpstreamHost::start().expect("a free port");
    let start = |index: usize, ahead, seeds: &[_]| {
        let plan = &nodes[index];
        let upstream = host.add(plan.upstream_settings()).expect("a free port");
        let settings = plan.node_settings(upstream.address(), log.address(), seeds);
        let timers = TimerService::system_ahead(ahead);
        let node = start_node_by(settings.expect("valid settings"), timers);
        (node.expect("a free port"), upstream)
    };
    let (executing, first) = start(0, Duration::ZERO, &[]);
    let (entry, second) = start(8, AHEAD, &[executing.member.peer_address]);
    TwoNodes {
        entry,
        executing,
        _upstreams: [first, second],
        _stand_ins: (log, host),
    }
}

/// Looks slots up at the entry node until they are found, and returns that call's identity.
fn look_up(nodes: &TwoNodes) -> Uuid {
    let timers = TimerService::system();
    let ticks = timers.every(Duration::from_millis(20));
    let url = format!("http://{}/frontdesk/slots", nodes.entry.caller_address);
    for _ in 0..MOST_LOOKS {
        let answer = attohttpc::get(&url).send().expect("a reply");
        if answer.is_success() {
            timers.stop();
            let call = answer.headers()[CALL_HEADER].to_str().expect("text");
            return call.parse().expect("an identity");
        }
        ticks.recv().expect("a tick");
    }
    panic!("the front desk was not found");
}

fn reach(nodes: &TwoNodes) -> OperatorAccess {
    OperatorAccess {
        nodes: vec![nodes.entry.member.operator_address],
        token: Secret::from(LOCAL_TOKEN),
    }
}

fn collect_events(access: &OperatorAccess, call: Uuid) -> Vec<EventView> {
    let client = OperatorClient::new(access);
    let mut survey = survey_nodes(&client, &access.nodes);
    let selection = EventSelection {
        call: Some(call),
        ..EventSelection::default()
    };
    Collector::new(client, &selection).collect(&mut survey)
}

fn find(events: &[EventView], node: &NodeName, wanted: fn(&Event) -> bool) -> usize {
    let is_wanted =
        |view: &EventView| view.node == *node && view.event.as_ref().is_some_and(wanted);
    let found = events.iter().position(is_wanted);
    found.unwrap_or_else(|| panic!("not in {events:#?}"))
}

#[test]
fn stamps_order_call_over_nodes_with_wrong_clocks() {
    // Symptom: the executing node's steps of a call stood before the call was received, or after
    // its answer was told.
    // Sequence: the wall clock of the entry node is 30 s ahead; it sends a call to another node.
    // Cause: messages between nodes carried no stamp, so each node's clock ordered its events.
    let nodes = start_two_nodes();
    let call = look_up(&nodes);
    let access = reach(&nodes);
    let events = collect_events(&access, call);
    let (entry, executing) = (nodes.entry.name(), nodes.executing.name());
    let order = [
        find(&events, entry, |event| {
            matches!(event, Event::CallReceived { .. })
        }),
        find(&events, entry, |event| {
            matches!(event, Event::AttemptChosen { .. })
        }),
        find(&events, executing, |event| {
            matches!(event, Event::AttemptAdmitted { .. })
        }),
        find(&events, executing, |event| {
            matches!(event, Event::UpstreamAnswered { .. })
        }),
        find(&events, entry, |event| {
            matches!(event, Event::AttemptReturned { .. })
        }),
        find(&events, entry, |event| {
            matches!(event, Event::CallEnded { .. })
        }),
    ];
    assert!(order.is_sorted(), "{order:?} in {events:#?}");
    let ahead = events[order[1]]
        .wall_millis
        .abs_diff(events[order[2]].wall_millis);
    assert!(ahead > 20_000, "the clocks differ by {ahead} ms only");
}

#[test]
fn explain_tells_why_call_went_where_it_did() {
    // Symptom: `explain` told where a call ran but not why it was sent there.
    // Sequence: an entry node sends a call to the one upstream of another service.
    // Cause: the choice was not recorded.
    let nodes = start_two_nodes();
    let call = look_up(&nodes);
    let access = reach(&nodes);
    let arguments = ExplainArguments {
        access: AccessArguments::default(),
        json: false,
        call,
    };
    let mut out = Vec::new();
    let code = run_explain(&arguments, &access, &mut out).expect("written to memory");
    let text = String::from_utf8(out).expect("text");
    assert_eq!(code, ExitCode::Success, "{text}");
    let why = "sent attempt 0 to frontdesk-1, because no other upstream was left";
    assert!(text.contains(why), "{text}");
    assert!(text.contains("and 1 attempt:"), "{text}");
}

//! One real node whose upstream has more calls than it can do, refuses them, or goes away.

use crate::single_node::{Caller, ManualUpstream, SingleNode};

/// Most calls of a class that wait while nothing is known of its times.
const QUEUE_LIMIT: usize = 64;

fn start(slots: u16) -> (ManualUpstream, SingleNode) {
    let upstream = ManualUpstream::start();
    let node = SingleNode::start(upstream.address, slots);
    (upstream, node)
}

fn send_lookup(node: &SingleNode, number: usize) -> Caller {
    let mut caller = node.connect();
    caller.send(&format!(
        "GET /desk/slots?{number} HTTP/1.1\r\nhost: x\r\n\r\n"
    ));
    caller
}

#[test]
fn calls_beyond_the_slots_wait_and_run_in_turn() {
    let (upstream, node) = start(1);
    let mut first = send_lookup(&node, 1);
    let running = upstream.receive();
    let mut second = send_lookup(&node, 2);
    node.wait_until(|status| status.upstream.queued == 1);
    assert!(upstream.received_nothing(), "one slot, one call");
    running.answer("1");
    assert_eq!(first.read_reply().body, "1");
    upstream.receive().answer("2");
    assert_eq!(second.read_reply().body, "2");
}

#[test]
fn calls_beyond_the_queue_are_refused_at_once() {
    // Symptom: callers wait for their whole deadline on an upstream that can't serve them.
    // Sequence: the upstream stands still; calls keep coming.
    // Cause: the queue has no bound.
    let (upstream, node) = start(1);
    let mut callers = vec![send_lookup(&node, 0)];
    let running = upstream.receive();
    for number in 1..=QUEUE_LIMIT {
        callers.push(send_lookup(&node, number));
    }
    node.wait_until(|status| usize::from(status.upstream.queued) == QUEUE_LIMIT);
    let refused = send_lookup(&node, 999).read_reply();
    assert_eq!((refused.status, refused.outcome()), (503, Some("not-run")));
    assert_eq!(refused.reason(), Some("queue_full"));
    running.answer("0");
    assert_eq!(callers[0].read_reply().body, "0");
    for _ in 1..=QUEUE_LIMIT {
        upstream.receive().answer("later");
    }
    for caller in &mut callers[1..] {
        assert_eq!(caller.read_reply().body, "later");
    }
}

#[test]
fn calls_of_callers_that_left_leave_the_queue() {
    // Symptom: a queue full of calls that nobody waits for.
    // Sequence: a call waits; its caller goes away; a slot falls free.
    // Cause: a disconnect is seen only when the call's turn comes.
    let (upstream, node) = start(1);
    let _first = send_lookup(&node, 1);
    let running = upstream.receive();
    let second = send_lookup(&node, 2);
    node.wait_until(|status| status.upstream.queued == 1);
    drop(second);
    node.wait_until(|status| status.upstream.queued == 0);
    let mut third = send_lookup(&node, 3);
    node.wait_until(|status| status.upstream.queued == 1);
    running.answer("1");
    let next = upstream.receive();
    assert!(next.head.starts_with("GET /slots?3 "), "{}", next.head);
    next.answer("3");
    assert_eq!(third.read_reply().body, "3");
}

#[test]
fn call_that_the_upstream_sheds_is_not_run() {
    let (upstream, node) = start(1);
    let mut caller = send_lookup(&node, 1);
    upstream.receive().send(
        "HTTP/1.1 503 Service Unavailable\r\ncamphorturn-shed: not-run\r\ncontent-length: 0\r\n\r\n",
    );
    let reply = caller.read_reply();
    assert_eq!((reply.status, reply.outcome()), (503, Some("not-run")));
    assert_eq!(reply.reason(), Some("upstream_shed"));
}

#[test]
fn call_that_fails_at_the_upstream_is_answered_and_sent_once() {
    let (upstream, node) = start(1);
    let mut caller = send_lookup(&node, 1);
    upstream
        .receive()
        .send("HTTP/1.1 500 Internal Server Error\r\ncontent-length: 4\r\n\r\noops");
    let reply = caller.read_reply();
    assert_eq!((reply.status, reply.outcome()), (500, Some("answered")));
    assert_eq!(reply.body, "oops");
    assert!(upstream.received_nothing());
}

#[test]
fn request_stop_refuses_what_waits_and_ends_what_runs() {
    // Symptom: a planned stop cuts a call, or callers wait for a node that is leaving.
    // Sequence: one call runs and one waits when the stop is requested.
    // Cause: the queue is kept, or the running call is not waited for.
    let (upstream, node) = start(1);
    let mut first = send_lookup(&node, 1);
    let running = upstream.receive();
    let mut second = send_lookup(&node, 2);
    node.wait_until(|status| status.upstream.queued == 1);
    node.node.request_stop();
    let refused = second.read_reply();
    assert_eq!((refused.status, refused.outcome()), (503, Some("not-run")));
    assert_eq!(refused.reason(), Some("draining"));
    assert_eq!(refused.header("connection"), Some("close"));
    running.answer("whole");
    let reply = first.read_reply();
    assert_eq!(
        (reply.outcome(), reply.body.as_str()),
        (Some("answered"), "whole")
    );
    node.node.join();
}

#[test]
fn announce_more_slots_starts_waiting_calls() {
    // Symptom: an upstream that was given more slots still runs one call at a time.
    // Sequence: one call runs, one waits; the upstream announces two slots.
    // Cause: the announced number is not put in force.
    let (upstream, node) = start(1);
    let mut first = send_lookup(&node, 1);
    let running = upstream.receive();
    let mut second = send_lookup(&node, 2);
    node.wait_until(|status| status.upstream.queued == 1);
    node.announce(r#"{"condition":"serving","slots":2}"#);
    upstream.receive().answer("2");
    assert_eq!(second.read_reply().body, "2");
    running.answer("1");
    assert_eq!(first.read_reply().body, "1");
}

#[test]
fn announce_other_port_moves_calls_there() {
    // Symptom: calls end as not sent after the upstream was started again on another port.
    // Sequence: a call is answered; the upstream announces another port; a call comes.
    // Cause: the announced port is not put in force, or an idle connection to the old one is used.
    let (upstream, node) = start(1);
    let mut first = send_lookup(&node, 1);
    upstream.receive().answer("old");
    assert_eq!(first.read_reply().body, "old");
    let moved = ManualUpstream::start();
    let port = moved.address.port();
    node.announce(&format!(r#"{{"condition":"serving","port":{port}}}"#));
    let mut second = send_lookup(&node, 2);
    moved.receive().answer("new");
    assert_eq!(second.read_reply().body, "new");
}

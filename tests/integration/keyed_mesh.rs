//! Calls with an idempotency key over real nodes and stand-in upstreams.

use camphorturn::{
    commands::dev::deployments::{booking_deployments, call_kinds},
    constants::{KEY_HEADER, OUTCOME_HEADER},
    local_mesh::{LocalMesh, audit::count_runs, load::CallKind, ready::wait_until_ready},
    timers::TimerService,
};
use std::{net::SocketAddr, time::Duration};
use uuid::Uuid;

/// What a caller was told, and the body.
struct Reply {
    outcome: String,
    body: String,
}

fn book(address: SocketAddr, kind: &CallKind, key: Uuid) -> Option<Reply> {
    let url = format!("http://{address}/{}{}?mark={key}", kind.service, kind.path);
    let answer = attohttpc::RequestBuilder::new(kind.method.clone(), url)
        .header(KEY_HEADER, key.to_string())
        .timeout(Duration::from_secs(10))
        .text("one berth")
        .send()
        .ok()?;
    let outcome = answer.headers().get(OUTCOME_HEADER)?.to_str().ok()?;
    Some(Reply {
        outcome: outcome.to_owned(),
        body: answer.text().ok()?,
    })
}

/// Books with new keys until one is answered: the first owners wait for a lease length.
fn book_until_answered(address: SocketAddr, kind: &CallKind) -> Option<Uuid> {
    let timers = TimerService::system();
    let ticks = timers.every(Duration::from_millis(100));
    for _ in 0..600 {
        let key = Uuid::now_v7();
        if book(address, kind, key).is_some_and(|reply| reply.outcome == "answered") {
            timers.stop();
            return Some(key);
        }
        let _ = ticks.recv();
    }
    None
}

#[test]
fn carry_keyed_call_runs_once_at_whichever_nodes() {
    // Symptom: a deposit is charged twice.
    // Sequence: a caller repeats its booking with the same key at every other node.
    // Cause: each node knew only of the calls that it had seen itself.
    let plan = booking_deployments(1);
    let mesh = LocalMesh::start(&plan).expect("loopback ports are free");
    assert!(wait_until_ready(&mesh, Duration::from_mins(1)));
    let kinds = call_kinds(&plan.configuration);
    let kind = kinds.iter().find(|kind| kind.keyed).expect("a keyed class");
    let entries = mesh.caller_addresses();
    let key = book_until_answered(entries[0], kind).expect("a booking is answered");
    let first = book(entries[0], kind, key).expect("a reply");
    assert_eq!(first.outcome, "answered");
    for entry in &entries {
        let repeated = book(*entry, kind, key).expect("a reply");
        assert_eq!(repeated.outcome, "answered");
        assert_eq!(repeated.body, first.body);
    }
    assert_eq!(count_runs(&mesh).get(&key), Some(&1));
}

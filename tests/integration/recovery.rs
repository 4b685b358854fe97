//! Nodes and upstreams that go away under load.

use camphorturn::{
    commands::dev::deployments::{booking_deployments, call_kinds},
    local_mesh::{
        LocalMesh,
        audit::{audit_calls, count_runs},
        client::ToldOutcome,
        load::{CallRecord, LoadPlan, run_load},
        ready::{wait_for_all, wait_until_ready},
    },
    protocol::operator_views::NodeStatus,
};
use std::{thread, time::Duration};

const READY_TIMEOUT: Duration = Duration::from_mins(1);

fn start_mesh() -> LocalMesh {
    let mesh = LocalMesh::start(&booking_deployments(7)).expect("loopback ports are free");
    assert!(
        wait_until_ready(&mesh, READY_TIMEOUT),
        "the mesh did not get ready"
    );
    let is_well = |status: &NodeStatus| status.problems.is_empty();
    assert!(
        wait_for_all(&mesh, READY_TIMEOUT, is_well),
        "it has problems"
    );
    mesh
}

fn plan_load(mesh: &LocalMesh, seconds: u64) -> LoadPlan {
    LoadPlan {
        kinds: call_kinds(&booking_deployments(7).configuration),
        entries: mesh.caller_addresses(),
        rate: 100.0,
        span: Duration::from_secs(seconds),
        seed: 7,
    }
}

fn assert_nothing_wrong(mesh: &LocalMesh, load: &LoadPlan, records: &[CallRecord]) {
    let audit = audit_calls(&load.kinds, records, &count_runs(mesh));
    assert!(audit.is_clean(), "{audit:?}");
}

fn count(records: &[CallRecord], outcome: ToldOutcome) -> usize {
    records
        .iter()
        .filter(|record| record.outcome == outcome)
        .count()
}

/// Symptom: a booking is lost or runs twice when a VM fails.
/// Sequence: a load runs; one node is killed in the middle of it; its upstream goes on.
/// Cause: an entry node that lost the answer of the killed node repeats work that may have run.
#[test]
fn kill_node_under_load_loses_and_doubles_nothing() {
    let mut mesh = start_mesh();
    let load = plan_load(&mesh, 2);
    let calls = load.clone();
    let loader = thread::spawn(move || run_load(&calls));
    // Once some calls have run, so that some are under way.
    while mesh.nodes[2].upstream.run_count() < 5 {
        thread::yield_now();
    }
    mesh.kill_node(2);
    let records = loader.join().expect("the load does not panic");
    assert_nothing_wrong(&mesh, &load, &records);
    assert!(count(&records, ToldOutcome::Answered) * 2 > records.len());
}

/// Symptom: callers see errors whenever a node is replaced as planned.
/// Sequence: a load runs at the other nodes; one node is told to stop.
/// Cause: calls are cut off, or keep going to the node that leaves.
#[test]
fn stop_node_under_load_cuts_off_nothing() {
    let mut mesh = start_mesh();
    let mut load = plan_load(&mesh, 2);
    let leaving = mesh.nodes[1].node.as_ref().expect("it runs").caller_address;
    load.entries.retain(|address| *address != leaving);
    let calls = load.clone();
    let loader = thread::spawn(move || run_load(&calls));
    while mesh.nodes[1].upstream.run_count() < 5 {
        thread::yield_now();
    }
    mesh.stop_node(1);
    let records = loader.join().expect("the load does not panic");
    assert_nothing_wrong(&mesh, &load, &records);
    assert_eq!(count(&records, ToldOutcome::Unknown), 0);
}

/// Symptom: a restarted node is never used again, or never knows the others.
/// Sequence: a node is killed and started again at its addresses with a new incarnation.
/// Cause: the others hold on to the old incarnation and refuse the new one.
#[test]
fn restart_node_is_taken_back() {
    let mut mesh = start_mesh();
    mesh.kill_node(4);
    mesh.restart_node(4).expect("its ports are free again");
    assert!(wait_until_ready(&mesh, READY_TIMEOUT));
    let incarnation = mesh.nodes[4]
        .node
        .as_ref()
        .expect("it runs")
        .member
        .incarnation;
    let name = mesh.nodes[4].plan.name.clone();
    let knows_new_run = |status: &NodeStatus| {
        status.node.as_ref() == Some(&name)
            || status.members.iter().any(|member| {
                member.node.as_ref() == Some(&name) && member.incarnation == incarnation
            })
    };
    assert!(wait_for_all(&mesh, READY_TIMEOUT, knows_new_run));
}

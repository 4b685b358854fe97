//! A call goes from a caller through nodes to an upstream and back.

use camphorturn::{
    commands::dev::deployments::{booking_deployments, call_kinds},
    local_mesh::{
        LocalMesh,
        audit::{audit_calls, count_runs},
        client::ToldOutcome,
        load::{LoadPlan, run_load},
        ready::wait_until_ready,
    },
};
use std::time::Duration;

#[test]
fn run_load_every_call_answered_by_a_healthy_mesh() {
    let plan = booking_deployments(1);
    let mesh = LocalMesh::start(&plan).expect("loopback ports are free");
    assert!(wait_until_ready(&mesh, Duration::from_mins(1)));
    let kinds = call_kinds(&plan.configuration);
    let load = LoadPlan {
        kinds: kinds.clone(),
        entries: mesh.caller_addresses(),
        rate: 100.0,
        span: Duration::from_secs(1),
        seed: 1,
    };
    let records = run_load(&load);
    assert!(records.len() > 50, "only {} calls", records.len());
    let told = |record: &&_| -> bool {
        let record: &camphorturn::local_mesh::load::CallRecord = record;
        record.outcome == ToldOutcome::Rejected
    };
    assert_eq!(records.iter().filter(told).count(), 0);
    let audit = audit_calls(&kinds, &records, &count_runs(&mesh));
    assert!(audit.is_clean(), "{audit:?}");
    let answered = records
        .iter()
        .filter(|record| record.outcome == ToldOutcome::Answered);
    assert!(answered.count() > 50);
}

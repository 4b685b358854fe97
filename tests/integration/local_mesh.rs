//! Whole meshes in one process: requests, publications, drains, graceful stops and crashes.

use bytes::Bytes;
use camphorturn::{
    commands::dev::deployments::{
        ORDINARY_PARTNER, build_booking_configuration, build_booking_mesh_plan, build_call_kinds,
    },
    coordination::publishing::{PublicationOutcome, PublicationRequest},
    local_mesh::{
        LOCAL_TOKEN, LocalMesh,
        audit::{audit_calls, count_executions},
        client::{CallerCall, CallerClient, ReportedOutcome},
        load::{CallRecord, LoadPlan, run_load},
        ready::{fetch_status, wait_for_all, wait_until_ready},
        store::StoreCondition,
    },
    options::access::OperatorAccess,
    state::configuration::ConfigurationVersion,
    transport::operators::client::OperatorClient,
};
use http::{HeaderMap, HeaderValue, Method, header::HOST};
use std::{thread, time::Duration};
use tokio::{runtime::Builder, task::LocalSet};
use uuid::Uuid;

/// Timeout of all waits. It is reached only if a test fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

fn start_mesh() -> LocalMesh {
    let mesh = LocalMesh::start(&build_booking_mesh_plan(1)).expect("free ports");
    assert!(
        wait_until_ready(&mesh, WAIT_TIMEOUT),
        "the mesh was not ready"
    );
    mesh
}

fn plan_load(mesh: &LocalMesh, seed: u64) -> LoadPlan {
    LoadPlan {
        kinds: build_call_kinds(&build_booking_configuration()),
        node_addresses: mesh.caller_addresses(),
        calls_per_second: 150.0,
        duration: Duration::from_secs(1),
        seed,
    }
}

fn build_client(mesh: &LocalMesh) -> OperatorClient {
    OperatorClient::new(&OperatorAccess {
        nodes: mesh.operator_addresses(),
        token: LOCAL_TOKEN.into(),
    })
}

fn count_outcome(records: &[CallRecord], outcome: ReportedOutcome) -> usize {
    let matching = records.iter().filter(|record| record.outcome == outcome);
    matching.count()
}

fn build_publication(id: u128, target_ms: u32) -> PublicationRequest {
    let mut configuration = build_booking_configuration();
    configuration.classes[1].target_ms = target_ms;
    PublicationRequest {
        id: Uuid::from_u128(id),
        author: "ana".to_owned(),
        note: "n".to_owned(),
        based_on: None,
        configuration,
    }
}

#[test]
fn load_all_calls_answered_without_faults() {
    let mesh = start_mesh();
    let load = plan_load(&mesh, 1);
    let records = run_load(&load);
    let audit = audit_calls(&load.kinds, &records, &count_executions(&mesh));
    assert!(audit.is_clean(), "{audit:?}");
    assert_eq!(
        count_outcome(&records, ReportedOutcome::Answered),
        records.len()
    );
    let requests: u64 = mesh
        .operator_addresses()
        .into_iter()
        .filter_map(fetch_status)
        .flat_map(|status| status.classes)
        .map(|class| class.requests)
        .sum();
    assert_eq!(usize::try_from(requests), Ok(records.len()));
}

#[test]
fn publication_accepted_is_in_force_at_all_nodes() {
    let mesh = start_mesh();
    let operators = mesh.operator_addresses();
    let outcome = build_client(&mesh).publish(operators[0], &build_publication(1, 70));
    let version = ConfigurationVersion(2);
    assert_eq!(
        outcome,
        Ok(PublicationOutcome::Accepted {
            version,
            in_force: version,
        })
    );
    assert!(wait_for_all(&mesh, WAIT_TIMEOUT, |status| status.version == version));
    let history = build_client(&mesh)
        .fetch_history(operators[3])
        .expect("a history");
    assert_eq!(history.in_force, version);
    assert_eq!(history.publications.len(), 2);
    assert_eq!(history.publications[0].author, "ana");
}

/// Guards against a publication that is stored twice, or reported as failed although it is in force. This happens
/// if the store accepts the record, its answer is lost, and the node does not check what the store holds.
#[test]
fn publication_lost_answer_is_accepted_once() {
    let mesh = start_mesh();
    let operators = mesh.operator_addresses();
    mesh.store.set_condition(StoreCondition::LosesAnswers);
    let outcome = build_client(&mesh).publish(operators[0], &build_publication(1, 70));
    let version = ConfigurationVersion(2);
    let accepted = PublicationOutcome::Accepted {
        version,
        in_force: version,
    };
    assert_eq!(outcome, Ok(accepted));
    mesh.store.set_condition(StoreCondition::Available);
    let history = build_client(&mesh)
        .fetch_history(operators[0])
        .expect("a history");
    assert_eq!(history.publications.len(), 2);
}

#[test]
fn publication_store_unavailable_changes_nothing() {
    let mesh = start_mesh();
    let operators = mesh.operator_addresses();
    mesh.store.set_condition(StoreCondition::Unavailable);
    let outcome = build_client(&mesh).publish(operators[0], &build_publication(1, 70));
    assert!(
        matches!(outcome, Ok(PublicationOutcome::NotStored { .. })),
        "{outcome:?}"
    );
    let load = plan_load(&mesh, 2);
    let records = run_load(&load);
    assert_eq!(
        count_outcome(&records, ReportedOutcome::Answered),
        records.len()
    );
    mesh.store.set_condition(StoreCondition::Available);
    let status = fetch_status(operators[0]).expect("a status");
    assert_eq!(status.version, ConfigurationVersion(1));
}

/// Guards against requests to a drained upstream. If one of three upstreams is drained under load, a node that
/// has not yet been notified would still send requests there.
#[test]
fn drained_upstream_gets_no_requests() {
    let mesh = start_mesh();
    let drained = &mesh.nodes[8];
    assert_eq!(drained.name().as_str(), "dock-3");
    let health = build_client(&mesh)
        .start_drain(drained.operator_address)
        .expect("the drain is accepted");
    assert!(health.leaving);
    let executions_before = drained.executions.lock().expect("no panic").len();
    let load = plan_load(&mesh, 3);
    let records = run_load(&load);
    assert_eq!(
        count_outcome(&records, ReportedOutcome::Answered),
        records.len()
    );
    assert_eq!(
        drained.executions.lock().expect("no panic").len(),
        executions_before
    );
}

/// Guards against a graceful stop that aborts requests. A node that is stopped while callers send requests to it, and other
/// nodes send requests through it, must not end before these requests have.
#[test]
fn stopped_node_completes_its_requests() {
    let mut mesh = start_mesh();
    let load = plan_load(&mesh, 4);
    let kinds = load.kinds.clone();
    let load_thread = thread::spawn(move || run_load(&load));
    mesh.nodes[1].stop();
    let records = load_thread.join().expect("a load");
    let audit = audit_calls(&kinds, &records, &count_executions(&mesh));
    assert!(audit.is_clean(), "{audit:?}");
    let unknown = records
        .iter()
        .filter(|record| record.outcome == ReportedOutcome::Unknown && record.status != 0);
    assert_eq!(unknown.count(), 0);
}

/// Guards against a request that runs twice, or is reported as not run although it ran. When a node crashes together with
/// its upstream during a load, a request that may have run must not be retried.
#[test]
fn killed_node_duplicates_nothing() {
    let mut mesh = start_mesh();
    let load = plan_load(&mesh, 5);
    let kinds = load.kinds.clone();
    let load_thread = thread::spawn(move || run_load(&load));
    mesh.nodes[7].kill();
    let records = load_thread.join().expect("a load");
    let audit = audit_calls(&kinds, &records, &count_executions(&mesh));
    assert_eq!(
        (
            audit.duplicated,
            audit.wrongly_reported_not_run,
            audit.wrong_answers
        ),
        (0, 0, 0)
    );
}

/// Failure: requests of an organisation within its quota are refused for seconds after the mesh has started, since all nodes take
/// themselves for nodes that have joined a running mesh and grant no credit.
#[test]
fn call_of_organisation_after_start() {
    let mesh = start_mesh();
    let headers = HeaderMap::from_iter([
        (HOST, HeaderValue::from_static("frontdesk.example")),
        (
            "x-api-key".parse().expect("a valid name"),
            HeaderValue::from_static(ORDINARY_PARTNER.api_key),
        ),
    ]);
    let call = CallerCall {
        method: Method::GET,
        target: "/slots/partners/".to_owned(),
        headers,
        body: Bytes::new(),
    };
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime");
    let outcomes = LocalSet::new().block_on(&runtime, async {
        let mut outcomes = Vec::new();
        for address in mesh.caller_addresses() {
            let client = CallerClient::new(address);
            // A node that reaches no keeper admits the first request on its own.
            for _ in 0..3 {
                let answer = client.call(call.clone()).await;
                outcomes.push(answer.map(|answer| answer.outcome()));
            }
        }
        outcomes
    });
    assert!(
        outcomes
            .iter()
            .all(|outcome| *outcome == Ok(ReportedOutcome::Answered)),
        "{outcomes:?}"
    );
}

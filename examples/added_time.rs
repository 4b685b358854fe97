//! Measures the time that camphorturn adds to a request.
//!
//! Requests go directly to a stand-in upstream, through the node beside it, and through a node of another
//! service, in turn on every connection, so that all three meet the same machine at the same time.
//! `--seconds N` sets the length of a step, `--json` prints JSON.

use bytes::Bytes;
use camphorturn::{
    local_mesh::{
        LocalMesh,
        client::{CallerCall, CallerClient},
        plan::{MeshPlan, ServicePlan},
        ready::wait_until_ready,
    },
    options::proxy_settings::HeaderNames,
    state::configuration::{ClassEntry, Configuration, ServiceEntry, ServiceShare},
};
use hdrhistogram::Histogram;
use http::{HeaderMap, HeaderValue, Method, header::HOST};
use serde::Serialize;
use std::{
    cell::RefCell,
    env,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::task::{LocalSet, spawn_local};

/// Connections of each step.
const CONNECTIONS: [u64; 3] = [1, 50, 200];
/// Requests a second and way.
const RATE: u64 = 400;
/// What may be added for 99 requests in 100, in microseconds.
const GOAL_MICROS: u64 = 610;
/// Slots of the upstreams: enough that none is waited for.
const SLOTS: u16 = 400;
/// Longest wait for the mesh.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Times of one way, in microseconds.
#[derive(Debug, Serialize)]
struct WayTimes {
    connections: u64,
    way: &'static str,
    requests: u64,
    p50: u64,
    p99: u64,
    added_p50: i64,
    added_p99: i64,
}

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let seconds = arguments
        .iter()
        .position(|argument| argument == "--seconds")
        .and_then(|at| arguments.get(at + 1)?.parse().ok())
        .unwrap_or(3);
    let mesh = LocalMesh::start(&describe_mesh()).expect("free ports");
    assert!(
        wait_until_ready(&mesh, READY_TIMEOUT),
        "the mesh is not ready"
    );
    let ways = [
        ("direct", mesh.nodes[0].upstream_address),
        ("local", mesh.nodes[0].client_address),
        ("node to node", mesh.nodes[1].client_address),
    ];
    let mut rows = Vec::new();
    for connections in CONNECTIONS {
        rows.extend(run_step(&ways, connections, Duration::from_secs(seconds)));
    }
    if arguments.iter().any(|argument| argument == "--json") {
        println!("{}", serde_json::to_string_pretty(&rows).expect("JSON"));
        return;
    }
    println!("| connections | way | requests | p50 | p99 | added p50 | added p99 |");
    println!("|---|---|---|---|---|---|---|");
    for row in rows {
        println!(
            "| {} | {} | {} | {} | {} | {} | {} |",
            row.connections, row.way, row.requests, row.p50, row.p99, row.added_p50, row.added_p99
        );
    }
    println!("goal: {GOAL_MICROS} us added at p99");
}

fn describe_mesh() -> MeshPlan {
    let service = |name: &str| ServicePlan {
        service: name.into(),
        upstreams: 1,
        slots: SLOTS,
        availability_zones: vec!["a".into()],
        service_times: Vec::new(),
    };
    let mut nodes = service("desk").build_nodes(1);
    nodes.extend(service("records").build_nodes(2));
    let entry = |name: &str| ServiceEntry {
        name: name.into(),
        health_path: "/health".into(),
    };
    MeshPlan {
        configuration: Configuration {
            services: vec![entry("desk"), entry("records")],
            classes: vec![ClassEntry {
                name: "look".into(),
                host: "desk.example".into(),
                path_prefix: "/".into(),
                services: vec![ServiceShare {
                    name: "desk".into(),
                    weight: 1,
                }],
                idempotent: true,
                target_ms: 1_000,
                timeout_ms: 2_000,
                priority: 0,
                max_attempts: 2,
            }],
        },
        nodes,
    }
}

/// Sends on all connections for a while, each taking the ways in turn.
fn run_step(
    ways: &[(&'static str, SocketAddr); 3],
    connections: u64,
    span: Duration,
) -> Vec<WayTimes> {
    let times: Rc<RefCell<Vec<Histogram<u64>>>> = Rc::new(RefCell::new(
        ways.iter()
            .map(|_| Histogram::new(3).expect("three digits"))
            .collect(),
    ));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("an event loop");
    LocalSet::new().block_on(&runtime, async {
        let mut tasks = Vec::new();
        for connection in 0..connections {
            let times = Rc::clone(&times);
            let addresses = ways.map(|(_, address)| address);
            tasks.push(spawn_local(send_on(
                addresses,
                connection,
                connections,
                span,
                times,
            )));
        }
        for task in tasks {
            task.await.expect("a task that ends");
        }
    });
    let times = times.take();
    let direct = [
        times[0].value_at_quantile(0.5),
        times[0].value_at_quantile(0.99),
    ];
    ways.iter()
        .zip(&times)
        .map(|((way, _), times)| {
            let [p50, p99] = [times.value_at_quantile(0.5), times.value_at_quantile(0.99)];
            WayTimes {
                connections,
                way,
                requests: times.len(),
                p50,
                p99,
                added_p50: p50.cast_signed() - direct[0].cast_signed(),
                added_p99: p99.cast_signed() - direct[1].cast_signed(),
            }
        })
        .collect()
}

async fn send_on(
    ways: [SocketAddr; 3],
    connection: u64,
    connections: u64,
    span: Duration,
    times: Rc<RefCell<Vec<Histogram<u64>>>>,
) {
    let clients = ways.map(CallerClient::new);
    let pause = Duration::from_secs(connections) / u32::try_from(RATE).expect("a small rate");
    let began = Instant::now();
    let mut round: u32 = 0;
    while began.elapsed() < span {
        for (way, client) in clients.iter().enumerate() {
            let sent = Instant::now();
            let answer = client.call(build_call(connection, round, way)).await;
            let micros = u64::try_from(sent.elapsed().as_micros()).unwrap_or(u64::MAX);
            if answer.is_ok_and(|answer| answer.status.is_success()) {
                times.borrow_mut()[way].record(micros).expect("in range");
            }
        }
        round += 1;
        tokio::time::sleep_until((began + pause * round).into()).await;
    }
}

fn build_call(connection: u64, round: u32, way: usize) -> CallerCall {
    let names = HeaderNames::default_names();
    let mut headers = HeaderMap::new();
    headers.insert(HOST, HeaderValue::from_static("desk.example"));
    let id = format!("{connection}-{round}-{way}");
    headers.insert(
        names.request_id,
        HeaderValue::from_str(&id).expect("a header"),
    );
    headers.insert(names.target_instance, HeaderValue::from_static("desk-1"));
    CallerCall {
        method: Method::GET,
        target: "/7".to_owned(),
        headers,
        body: Bytes::new(),
    }
}

//! Measures the latency that camphorturn adds to a request.
//!
//! Each connection sends requests in turn directly to a stand-in upstream, through the node of this upstream, and
//! through a node of another service, so that the three paths share the load of the machine.
//! `--seconds N` sets the duration for each number of connections, `--json` prints JSON.

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

/// Numbers of connections, one run each.
const CONNECTION_COUNTS: [u64; 3] = [1, 50, 200];
/// Requests per second on each path, over all connections.
const REQUESTS_PER_SECOND: u64 = 400;
/// Goal for the latency added at the 99th percentile, in microseconds.
const MAX_ADDED_P99_MICROS: u64 = 610;
/// Slots of each upstream; enough that no request waits for one.
const SLOTS: u16 = 400;
/// Maximum time until the mesh is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Latencies on one path for one number of connections, in microseconds. `added_p50` and `added_p99` are the
/// differences to the direct path.
#[derive(Debug, Serialize)]
struct PathLatencies {
    connections: u64,
    #[serde(rename = "way")]
    path: &'static str,
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
    let mesh = LocalMesh::start(&build_mesh_plan()).expect("free ports");
    assert!(
        wait_until_ready(&mesh, READY_TIMEOUT),
        "the mesh is not ready"
    );
    let paths = [
        ("direct", mesh.nodes[0].upstream_address),
        ("local", mesh.nodes[0].client_address),
        ("node to node", mesh.nodes[1].client_address),
    ];
    let mut rows = Vec::new();
    for connections in CONNECTION_COUNTS {
        rows.extend(measure_paths(
            &paths,
            connections,
            Duration::from_secs(seconds),
        ));
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
            row.connections, row.path, row.requests, row.p50, row.p99, row.added_p50, row.added_p99
        );
    }
    println!("goal: {MAX_ADDED_P99_MICROS} us added at p99");
}

fn build_mesh_plan() -> MeshPlan {
    let build_service_plan = |name: &str| ServicePlan {
        service: name.into(),
        upstreams: 1,
        slots: SLOTS,
        availability_zones: vec!["a".into()],
        service_times: Vec::new(),
    };
    let mut nodes = build_service_plan("desk").build_nodes(1);
    nodes.extend(build_service_plan("records").build_nodes(2));
    let build_service_entry = |name: &str| ServiceEntry {
        name: name.into(),
        health_path: "/health".into(),
    };
    MeshPlan {
        configuration: Configuration {
            services: vec![build_service_entry("desk"), build_service_entry("records")],
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
                public: false,
            }],
            organisations: None,
        },
        nodes,
    }
}

/// Sends requests on all connections for `duration` and returns the latencies of each path.
fn measure_paths(
    paths: &[(&'static str, SocketAddr); 3],
    connections: u64,
    duration: Duration,
) -> Vec<PathLatencies> {
    let histograms: Rc<RefCell<Vec<Histogram<u64>>>> = Rc::new(RefCell::new(
        paths
            .iter()
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
            let histograms = Rc::clone(&histograms);
            let addresses = paths.map(|(_, address)| address);
            tasks.push(spawn_local(send_requests(
                addresses,
                connection,
                connections,
                duration,
                histograms,
            )));
        }
        for task in tasks {
            task.await.expect("a task that ends");
        }
    });
    let histograms = histograms.take();
    let direct = [
        histograms[0].value_at_quantile(0.5),
        histograms[0].value_at_quantile(0.99),
    ];
    paths
        .iter()
        .zip(&histograms)
        .map(|((path, _), histogram)| {
            let [p50, p99] = [
                histogram.value_at_quantile(0.5),
                histogram.value_at_quantile(0.99),
            ];
            PathLatencies {
                connections,
                path,
                requests: histogram.len(),
                p50,
                p99,
                added_p50: p50.cast_signed() - direct[0].cast_signed(),
                added_p99: p99.cast_signed() - direct[1].cast_signed(),
            }
        })
        .collect()
}

async fn send_requests(
    paths: [SocketAddr; 3],
    connection: u64,
    connections: u64,
    duration: Duration,
    histograms: Rc<RefCell<Vec<Histogram<u64>>>>,
) {
    let clients = paths.map(CallerClient::new);
    let interval = Duration::from_secs(connections)
        / u32::try_from(REQUESTS_PER_SECOND).expect("a small rate");
    let started = Instant::now();
    let mut round: u32 = 0;
    while started.elapsed() < duration {
        for (path_index, client) in clients.iter().enumerate() {
            let sent = Instant::now();
            let answer = client.call(build_call(connection, round, path_index)).await;
            let micros = u64::try_from(sent.elapsed().as_micros()).unwrap_or(u64::MAX);
            if answer.is_ok_and(|answer| answer.status.is_success()) {
                histograms.borrow_mut()[path_index]
                    .record(micros)
                    .expect("in range");
            }
        }
        round += 1;
        tokio::time::sleep_until((started + interval * round).into()).await;
    }
}

fn build_call(connection: u64, round: u32, path_index: usize) -> CallerCall {
    let names = HeaderNames::default_names();
    let mut headers = HeaderMap::new();
    headers.insert(HOST, HeaderValue::from_static("desk.example"));
    let id = format!("{connection}-{round}-{path_index}");
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

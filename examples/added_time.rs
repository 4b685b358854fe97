//! Measures the time that camphorturn adds to a call.
//!
//! Calls go directly to a stand-in upstream, through the node beside it, and through a node of
//! another service, in turn on every connection of one run, so that all three meet the same
//! machine at the same time. `--json` prints JSON, `--seconds N` sets the time a step takes.

use bytes::Bytes;
use camphorturn::{
    local_mesh::{
        LocalMesh,
        client::{CallerCall, CallerClient},
        plan::{MeshPlan, ServicePlan},
        ready::wait_until_ready,
    },
    state::{
        class::{Class, KeyRule, MatchRule, Target},
        configuration::{Configuration, Service},
        names::{AvailabilityZoneName, ClassName, RegionName, ServiceName},
    },
};
use hdrhistogram::Histogram;
use http::{HeaderMap, Method};
use serde::Serialize;
use std::{
    cell::RefCell,
    collections::BTreeMap,
    env, fs,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::task::{LocalSet, spawn_local};

/// Kept connections a path.
const CONNECTIONS: [usize; 3] = [1, 50, 200];
/// Calls a second a path while connections are varied; a single connection takes fewer.
const RATE: f64 = 400.0;
/// Calls a second through one node while the rate is varied.
const RATES: [f64; 6] = [500.0, 1_000.0, 2_000.0, 4_000.0, 8_000.0, 16_000.0];
/// What the goal allows camphorturn to add for 99 calls in 100, in microseconds.
const GOAL_MICROS: i64 = 610;
/// The system counts processor time in hundredths of a second.
const NANOS_A_TICK: u64 = 10_000_000;
/// Slots of the upstream: enough that it never queues.
const SLOTS: u16 = 256;

/// The ways that calls are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
enum Way {
    Direct,
    Local,
    NodeToNode,
}

const WAYS: [Way; 3] = [Way::Direct, Way::Local, Way::NodeToNode];

/// Times of one way, in microseconds.
#[derive(Debug, Serialize)]
struct Times {
    way: Way,
    calls: u64,
    failed: u64,
    p50: u64,
    p99: u64,
    p999: u64,
    /// Beyond the direct way at the same quantile.
    added_p50: i64,
    added_p99: i64,
    added_p999: i64,
}

/// One step: a number of connections and a rate.
#[derive(Debug, Serialize)]
struct Step {
    connections: usize,
    calls_per_second_a_way: f64,
    ways: Vec<Times>,
    /// Processor time a call, of each node's event loop, in microseconds.
    node_cpu_micros_a_call: BTreeMap<String, f64>,
}

#[derive(Debug, Serialize)]
struct Report {
    by_connections: Vec<Step>,
    by_rate: Vec<Step>,
    /// Highest rate a way at which the goal held for the node-to-node way.
    goal_held_up_to: f64,
    /// Resident memory of the whole process with both nodes, stand-ins and load, in MiB.
    resident_mib: f64,
}

fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let json = arguments.iter().any(|argument| argument == "--json");
    let seconds = arguments
        .iter()
        .position(|argument| argument == "--seconds");
    let seconds = seconds
        .and_then(|i| arguments.get(i + 1)?.parse().ok())
        .unwrap_or(4);
    let span = Duration::from_secs(seconds);
    let mesh = LocalMesh::start(&plan()).expect("loopback ports are free");
    assert!(
        wait_until_ready(&mesh, Duration::from_mins(1)),
        "the mesh did not get ready"
    );
    let clients = || {
        let address = |i: usize| mesh.nodes[i].node.as_ref().expect("it runs").caller_address;
        [mesh.nodes[0].upstream.address(), address(0), address(1)]
    };
    let measure = |connections, rate| run_step(clients(), connections, rate, span);
    let by_connections: Vec<Step> = CONNECTIONS.iter().map(|n| measure(*n, RATE)).collect();
    let by_rate: Vec<Step> = RATES.iter().map(|rate| measure(64, *rate)).collect();
    let holds = |step: &&Step| step.ways[2].added_p99 <= GOAL_MICROS && step.ways[2].failed == 0;
    let goal_held_up_to = by_rate
        .iter()
        .take_while(holds)
        .map(|step| step.calls_per_second_a_way)
        .fold(0.0, f64::max);
    let report = Report {
        by_connections,
        by_rate,
        goal_held_up_to,
        resident_mib: resident_mib(),
    };
    if json {
        println!(
            "{}",
            serde_json::to_string_pretty(&report).expect("it has no maps with odd keys")
        );
    } else {
        print_report(&report);
    }
}

/// A service `near` with one upstream, and a service `far` whose node is the entry for the
/// node-to-node way.
fn plan() -> MeshPlan {
    let service = |name: &str| ServicePlan {
        service: ServiceName::from(name),
        upstreams: 1,
        slots: SLOTS,
        region: RegionName::from("r"),
        availability_zones: vec![AvailabilityZoneName::from("z")],
        service_times: Vec::new(),
    };
    let class = |name: &str| Class {
        name: ClassName::from(name),
        rules: vec![MatchRule::default()],
        target: Target {
            latency_ms: 500,
            share: 0.99,
        },
        deadline_ms: 5_000,
        priority: 0,
        idempotent: true,
        key: KeyRule::None,
        hedge: false,
    };
    let publish = |name: &str| Service {
        classes: vec![class("all")],
        ..Service::named(ServiceName::from(name))
    };
    let mut nodes = service("near").nodes(1);
    nodes.extend(service("far").nodes(2));
    MeshPlan {
        configuration: Configuration {
            services: vec![publish("near"), publish("far")],
        },
        nodes,
    }
}

fn run_step(
    addresses: [std::net::SocketAddr; 3],
    connections: usize,
    rate: f64,
    span: Duration,
) -> Step {
    let before = node_cpu();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.expect("the system gives an event queue");
    let histograms = LocalSet::new().block_on(&runtime, drive(addresses, connections, rate, span));
    let after = node_cpu();
    let calls: u64 = histograms[1..].iter().map(|(times, _)| times.len()).sum();
    let spent = after.into_iter().map(|(name, nanos)| {
        let nanos = nanos - before.get(&name).copied().unwrap_or(0);
        (
            name,
            to_float(nanos) / 1_000.0 / to_float(calls / 2).max(1.0),
        )
    });
    let direct = &histograms[0].0;
    let ways = WAYS.iter().zip(&histograms);
    Step {
        connections,
        calls_per_second_a_way: rate,
        ways: ways
            .map(|(way, (times, failed))| describe(*way, times, *failed, direct))
            .collect(),
        node_cpu_micros_a_call: spent.collect(),
    }
}

type Measured = (Histogram<u64>, u64);

async fn drive(
    addresses: [std::net::SocketAddr; 3],
    connections: usize,
    rate: f64,
    span: Duration,
) -> Vec<Measured> {
    let empty = || (Histogram::new(3).expect("3 digits are allowed"), 0);
    let measured: Rc<RefCell<Vec<Measured>>> =
        Rc::new(RefCell::new(vec![empty(), empty(), empty()]));
    let gap = Duration::from_secs_f64(to_float(connections as u64) / rate);
    let began = Instant::now();
    let mut workers = Vec::new();
    for worker in 0..connections {
        let clients = addresses.map(CallerClient::new);
        let measured = Rc::clone(&measured);
        let offset = gap.mul_f64(to_float(worker as u64) / to_float(connections as u64));
        workers.push(spawn_local(async move {
            // Opens the connections; the first calls are not counted.
            for client in &clients {
                let _ = client.call(build_call()).await;
            }
            let mut due = began + Duration::from_millis(500) + offset;
            while due < began + Duration::from_millis(500) + span {
                tokio::time::sleep_until(due.into()).await;
                for (way, client) in clients.iter().enumerate() {
                    let sent = Instant::now();
                    let answered = client.call(build_call()).await;
                    let micros = u64::try_from(sent.elapsed().as_micros()).unwrap_or(u64::MAX);
                    let mut measured = measured.borrow_mut();
                    if answered.is_some_and(|answer| answer.status.is_success()) {
                        let _ = measured[way].0.record(micros);
                    } else {
                        measured[way].1 += 1;
                    }
                }
                due += gap;
            }
        }));
    }
    for worker in workers {
        let _ = worker.await;
    }
    measured.take()
}

fn build_call() -> CallerCall {
    CallerCall {
        method: Method::GET,
        target: "/near/lookup".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    }
}

fn describe(way: Way, times: &Histogram<u64>, failed: u64, direct: &Histogram<u64>) -> Times {
    let added = |quantile| {
        let own = times.value_at_quantile(quantile).cast_signed();
        own - direct.value_at_quantile(quantile).cast_signed()
    };
    Times {
        way,
        calls: times.len(),
        failed,
        p50: times.value_at_quantile(0.5),
        p99: times.value_at_quantile(0.99),
        p999: times.value_at_quantile(0.999),
        added_p50: added(0.5),
        added_p99: added(0.99),
        added_p999: added(0.999),
    }
}

/// Nanoseconds on a processor of every event loop of a node, by thread name.
fn node_cpu() -> BTreeMap<String, u64> {
    let mut spent = BTreeMap::new();
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return spent;
    };
    for task in tasks.flatten() {
        let read = |file: &str| fs::read_to_string(task.path().join(file)).unwrap_or_default();
        let name = read("comm").trim().to_owned();
        // The text after the name in brackets: user and system time are its 12th and 13th word.
        let stat = read("stat");
        let rest = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
        let ticks = rest.split_whitespace().skip(11).take(2);
        let ticks: u64 = ticks.filter_map(|word| word.parse::<u64>().ok()).sum();
        if name.starts_with("node-") {
            spent.insert(name, ticks * NANOS_A_TICK);
        }
    }
    spent
}

fn resident_mib() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
    to_float(kib.unwrap_or(0)) / 1_024.0
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts and times stay far below 2^52"
)]
fn to_float(number: u64) -> f64 {
    number as f64
}

fn print_report(report: &Report) {
    for step in report.by_connections.iter().chain(&report.by_rate) {
        println!(
            "\n{} connections, {:.0} calls/s a way; processor time a call {:?}",
            step.connections, step.calls_per_second_a_way, step.node_cpu_micros_a_call
        );
        for times in &step.ways {
            println!(
                "  {:<12} {:>7} calls {:>3} failed  p50 {:>6} p99 {:>6} p99.9 {:>6}  added {:>6} {:>6} {:>6} us",
                format!("{:?}", times.way),
                times.calls,
                times.failed,
                times.p50,
                times.p99,
                times.p999,
                times.added_p50,
                times.added_p99,
                times.added_p999
            );
        }
    }
    println!(
        "\ngoal (610 us added at p99) held up to {:.0} calls/s a way",
        report.goal_held_up_to
    );
    println!(
        "resident memory of the process: {:.0} MiB",
        report.resident_mib
    );
}

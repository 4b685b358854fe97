//! Measures the time from `publish` to the state of a node that reads the log, while the log is
//! healthy, slow, and returning from an outage.
//!
//! `cargo run --release --example publishing -- [--json] [--rounds N]`
//!
//! With `--mesh NODES` in place of that: until the version is in force at every node of a local mesh.

#[path = "publishing/mesh.rs"]
mod mesh;

use bpaf::{OptionParser, Parser, construct, long};
use camphorturn::{
    commands::publish::{PublishOptions, run_publish},
    coordination::{
        log_reader::{LogReader, LogUpdate, ReaderPace, SnapshotRules},
        publishing::{PublishOutcome, PublishRequest},
    },
    state::{configuration::Configuration, configuration::ConfigurationVersion},
    timers::TimerService,
    transport::platform::{LogClient, LogTimeouts, ReaderCommand, run_log_reader},
};
use camphorturn_stand_ins::log_service::{LogCondition, LogService};
use flume::{Receiver, Sender};
use rand::{SeedableRng, rngs::SmallRng};
use serde::Serialize;
use std::{io, thread, time::Duration};

const STREAM: &str = "mesh";
const SLOW_ANSWER: Duration = Duration::from_millis(300);
const OUTAGE: Duration = Duration::from_secs(3);
const LIMIT: Duration = Duration::from_secs(30);

struct Options {
    json: bool,
    rounds: usize,
    mesh: Option<usize>,
}

#[derive(Serialize)]
struct Spans {
    log: &'static str,
    publications: usize,
    /// Until `publish` returned.
    told_p50_ms: u128,
    told_worst_ms: u128,
    /// Until the reading node had folded the version.
    folded_p50_ms: u128,
    folded_p99_ms: u128,
    folded_worst_ms: u128,
}

struct Bench {
    log: LogService,
    client: LogClient,
    timers: TimerService,
    updates: Receiver<LogUpdate>,
    published: u32,
}

fn options() -> OptionParser<Options> {
    let json = long("json").help("Print JSON").switch();
    let rounds = long("rounds")
        .help("Publications to a healthy log; a third of them to a slow one, a sixth after outages")
        .argument("N")
        .fallback(60);
    let mesh = long("mesh")
        .help("Measure a local mesh of so many nodes in place of one reader")
        .argument("NODES")
        .optional();
    construct!(Options { json, rounds, mesh }).to_options()
}

fn content(latency_ms: u32) -> Configuration {
    let text = format!(
        r#"{{"services": [{{"name": "dock", "classes": [{{"name": "tide-window",
        "target": {{"latency_ms": {latency_ms}, "share": 0.99}},
        "deadline_ms": 1000, "idempotent": true}}]}}]}}"#
    );
    serde_json::from_str(&text).unwrap_or_default()
}

impl Bench {
    fn start() -> io::Result<(Self, Sender<ReaderCommand>)> {
        let log = LogService::start()?;
        let client = LogClient::new(&log.url(), STREAM, LogTimeouts::default());
        let timers = TimerService::system();
        let (commands, command_rx) = flume::unbounded();
        let (update_tx, updates) = flume::unbounded();
        let reader = LogReader::new(ReaderPace::default(), SnapshotRules::default());
        let reading = client.clone();
        let reader_timers = timers.clone();
        thread::spawn(move || {
            let rng = SmallRng::seed_from_u64(1);
            run_log_reader(
                &reading,
                reader,
                &reader_timers,
                rng,
                &command_rx,
                &update_tx,
            );
        });
        let bench = Self {
            log,
            client,
            timers,
            updates,
            published: 0,
        };
        Ok((bench, commands))
    }

    /// Publishes once; gives the time until told and until folded by the reader.
    fn publish(&mut self) -> Option<(Duration, Duration)> {
        let start = self.timers.now();
        self.published += 1;
        let options = PublishOptions {
            request: PublishRequest {
                id: None,
                author: "bench".to_owned(),
                note: String::new(),
                based_on: None,
                content: content(self.published),
            },
            limit: LIMIT,
            wait: None,
        };
        let report = run_publish(&options, &self.client, &self.timers);
        let told = self.timers.now().since(start);
        let PublishOutcome::Accepted { version, .. } = report.outcome else {
            eprintln!("not accepted: {report}");
            return None;
        };
        self.wait_for_version(version)?;
        Some((told, self.timers.now().since(start)))
    }

    fn wait_for_version(&self, version: ConfigurationVersion) -> Option<()> {
        loop {
            let update = self.updates.recv_timeout(LIMIT).ok()?;
            if matches!(update, LogUpdate::Folded { state, .. } if state.version() >= version) {
                return Some(());
            }
        }
    }

    fn measure(&mut self, log: &'static str, rounds: usize, outage: Duration) -> Option<Spans> {
        let mut told = Vec::new();
        let mut folded = Vec::new();
        for _ in 0..rounds {
            if !outage.is_zero() {
                self.log.set_condition(LogCondition::Refusing);
                self.timers.after(outage).recv().ok()?;
                self.log.set_condition(LogCondition::Serving);
            }
            let spans = self.publish()?;
            told.push(spans.0);
            folded.push(spans.1);
        }
        told.sort_unstable();
        folded.sort_unstable();
        Some(Spans {
            log,
            publications: rounds,
            told_p50_ms: quantile(&told, 50),
            told_worst_ms: quantile(&told, 100),
            folded_p50_ms: quantile(&folded, 50),
            folded_p99_ms: quantile(&folded, 99),
            folded_worst_ms: quantile(&folded, 100),
        })
    }
}

/// The smallest span that `percent` of the sorted `spans` don't exceed, in milliseconds.
fn quantile(spans: &[Duration], percent: usize) -> u128 {
    let place = (spans.len() * percent).div_ceil(100).max(1);
    spans.get(place - 1).map_or(0, Duration::as_millis)
}

fn measure_in_force(nodes: usize, options: &Options) -> io::Result<()> {
    let spans = mesh::measure_mesh(nodes, options.rounds.max(1))?;
    let (p50, p99, worst) = (
        quantile(&spans, 50),
        quantile(&spans, 99),
        quantile(&spans, 100),
    );
    if options.json {
        let report = serde_json::json!({
            "nodes": nodes,
            "publications": spans.len(),
            "in_force_p50_ms": p50,
            "in_force_p99_ms": p99,
            "in_force_worst_ms": worst,
        });
        println!("{report}");
    } else {
        println!(
            "{nodes} nodes, {} publications: in force everywhere p50 {p50} ms, p99 {p99} ms, worst {worst} ms",
            spans.len()
        );
    }
    Ok(())
}

fn main() -> io::Result<()> {
    let options = options().run();
    if let Some(nodes) = options.mesh {
        return measure_in_force(nodes, &options);
    }
    // The reader runs until the sender of its commands is gone.
    let (mut bench, _commands) = Bench::start()?;
    let rounds = options.rounds.max(1);
    let healthy = bench.measure("healthy", rounds, Duration::ZERO);
    bench.log.set_delay(SLOW_ANSWER);
    let slow = bench.measure("slow by 300 ms", rounds.div_ceil(3), Duration::ZERO);
    bench.log.set_delay(Duration::ZERO);
    let returning = bench.measure("returning after 3 s", rounds.div_ceil(6), OUTAGE);
    for spans in [healthy, slow, returning] {
        let spans = spans.ok_or(io::Error::other("a publication was not folded in time"))?;
        if options.json {
            println!("{}", serde_json::to_string(&spans)?);
        } else {
            println!(
                "{}: {} publications; told p50 {} ms, worst {} ms; folded p50 {} ms, p99 {} ms, worst {} ms",
                spans.log,
                spans.publications,
                spans.told_p50_ms,
                spans.told_worst_ms,
                spans.folded_p50_ms,
                spans.folded_p99_ms,
                spans.folded_worst_ms
            );
        }
    }
    Ok(())
}

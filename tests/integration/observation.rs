//! The log's lines and the metrics, as their readers get them.

use camphorturn::{
    options::node_settings::{LogFormat, LogLevel, LoggingSettings, MetricsSettings},
    state::names::NodeName,
    transport::{
        logging::build_subscriber,
        metrics::{Metric, MetricLabels, Metrics},
    },
};
use serde_json::Value;
use std::{
    io::{self, Write},
    net::UdpSocket,
    sync::{Arc, Mutex},
    time::Duration,
};
use tracing::{info, subscriber::with_default, warn};

const CATALOGUE: &str = include_str!("../../docs/operators/metrics.md");
const PATIENCE: Duration = Duration::from_secs(10);

#[derive(Clone, Default)]
struct Captured(Arc<Mutex<Vec<u8>>>);

impl Write for Captured {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("not poisoned").extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn log_two_lines(format: LogFormat, level: LogLevel) -> String {
    let captured = Captured::default();
    let writer = captured.clone();
    let settings = LoggingSettings { format, level };
    with_default(build_subscriber(&settings, move || writer.clone()), || {
        info!(number = 1, "started");
        warn!(number = 2, "slow");
    });
    let bytes = captured.0.lock().expect("not poisoned").clone();
    String::from_utf8(bytes).expect("UTF-8")
}

#[test]
fn build_subscriber_json_lines() {
    let text = log_two_lines(LogFormat::Json, LogLevel::Info);
    let lines: Vec<Value> = text
        .lines()
        .map(|line| serde_json::from_str(line).expect("JSON"))
        .collect();
    assert_eq!(lines.len(), 2);
    assert_eq!(lines[0]["message"], "started");
    assert_eq!(lines[1]["number"], 2);
}

#[test]
fn build_subscriber_text_above_level() {
    let text = log_two_lines(LogFormat::Text, LogLevel::Warn);
    assert_eq!(text.lines().count(), 1, "{text}");
    assert!(text.contains("slow number=2"), "{text}");
}

fn receive_text(server: &UdpSocket) -> String {
    let mut buf = [0; 2_048];
    let length = server.recv(&mut buf).expect("a datagram");
    String::from_utf8_lossy(&buf[..length])
        .trim_end()
        .to_owned()
}

#[test]
fn metrics_reach_a_statsd_server() {
    let server = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    server.set_read_timeout(Some(PATIENCE)).expect("settable");
    let settings = MetricsSettings {
        statsd: server.local_addr().ok(),
        prefix: "test".to_owned(),
    };
    let metrics = Metrics::connect(&settings, &NodeName::from("dock-1")).expect("a socket");
    let labels = MetricLabels {
        service: Some("dock"),
        class: Some("lookup"),
    };
    metrics.send(Metric::CallsAnswered, 3, labels);
    metrics.send(Metric::CallTimeP50, 12, labels);
    let answered = "test.calls.answered:3|c|#node:dock-1,service:dock,class:lookup";
    assert_eq!(receive_text(&server), answered);
    let time = "test.calls.p50_micros:12|g|#node:dock-1,service:dock,class:lookup";
    assert_eq!(receive_text(&server), time);
}

#[test]
fn metrics_without_address_go_nowhere() {
    let settings = MetricsSettings::default();
    let metrics = Metrics::connect(&settings, &NodeName::from("dock-1")).expect("nothing to open");
    metrics.send(Metric::CallsAnswered, 1, MetricLabels::default());
}

#[test]
fn metrics_catalogue_agrees_with_the_enum() {
    let listed: Vec<(&str, &str)> = CATALOGUE
        .lines()
        .filter_map(|line| line.strip_prefix("| `"))
        .filter_map(|line| {
            let (name, rest) = line.split_once("` | ")?;
            Some((name, rest.split_once(" |")?.0))
        })
        .collect();
    let sent: Vec<(&str, &str)> = Metric::ALL
        .iter()
        .map(|metric| (metric.name(), metric.kind().word()))
        .collect();
    assert_eq!(listed, sent);
}

//! A real node's metrics, as a statsd server gets them.

use crate::single_node::{ManualUpstream, SingleNode};
use camphorturn::transport::metrics::Metric;
use std::{collections::BTreeMap, net::UdpSocket, time::Duration};

const PATIENCE: Duration = Duration::from_secs(20);
/// A last metric of each report, so that seeing it twice more means that a whole one has come.
const LAST: Metric = Metric::LogAge;
/// What a node without further attempts and without other nodes may have nothing to tell of.
const MAY_BE_ABSENT: [Metric; 3] = [Metric::Retries, Metric::Probes, Metric::ProbeBytes];

/// Values received, by name and tags.
#[derive(Default)]
struct Received(BTreeMap<String, Vec<u64>>);

impl Received {
    fn take(&mut self, server: &UdpSocket) {
        let mut buf = [0; 2_048];
        let length = server.recv(&mut buf).expect("a metric comes");
        let text = String::from_utf8_lossy(&buf[..length]);
        let (name, rest) = text.trim_end().split_once(':').expect("NAME:VALUE");
        let mut parts = rest.split('|');
        let value = parts.next().and_then(|value| value.parse().ok());
        let (_kind, tags) = (parts.next(), parts.next().unwrap_or_default());
        let values = self.0.entry(format!("{name} {tags}")).or_default();
        values.push(value.expect("a whole number"));
    }

    fn values(&self, metric: Metric, tags: &str) -> &[u64] {
        let name = format!("mesh.{} #{tags}", metric.name());
        self.0.get(&name).map_or(&[], Vec::as_slice)
    }

    fn has(&self, metric: Metric) -> bool {
        let start = format!("mesh.{} ", metric.name());
        self.0.keys().any(|name| name.starts_with(&start))
    }
}

#[test]
fn send_metrics_of_a_node() {
    let server = UdpSocket::bind("127.0.0.1:0").expect("a loopback port is free");
    server.set_read_timeout(Some(PATIENCE)).expect("settable");
    let upstream = ManualUpstream::start();
    let node = SingleNode::start_with(upstream.address, 4, |settings| {
        settings.metrics.statsd = server.local_addr().ok();
        "mesh".clone_into(&mut settings.metrics.prefix);
    });
    end_three_calls(&upstream, &node);
    let mut received = Received::default();
    let lookup = "node:desk-1,service:desk,class:lookup";
    while received.values(Metric::CallsUnknown, lookup).is_empty() {
        received.take(&server);
    }
    let reports = received.values(LAST, "node:desk-1").len();
    while received.values(LAST, "node:desk-1").len() < reports + 3 {
        received.take(&server);
    }
    // A counter that was sent once more with the next report would add up to more.
    let sum = |metric| received.values(metric, lookup).iter().sum::<u64>();
    assert_eq!(sum(Metric::CallsAnswered), 1);
    assert_eq!(sum(Metric::CallsOnTarget), 1);
    assert_eq!(sum(Metric::CallsNotRun), 1);
    assert_eq!(sum(Metric::CallsUnknown), 1);
    let versions = received.values(Metric::ConfigurationVersion, "node:desk-1");
    assert_eq!(versions.last(), Some(&1));
    let sent = Metric::ALL.iter().filter(|m| !MAY_BE_ABSENT.contains(m));
    let missing: Vec<&Metric> = sent.filter(|metric| !received.has(**metric)).collect();
    assert!(missing.is_empty(), "{missing:?}");
}

/// One call answered, one that the upstream did not run, one cut off by its deadline.
fn end_three_calls(upstream: &ManualUpstream, node: &SingleNode) {
    let mut caller = node.connect();
    caller.send("GET /desk/slots HTTP/1.1\r\nhost: x\r\n\r\n");
    upstream.receive().answer("done");
    assert_eq!(caller.read_reply().outcome(), Some("answered"));
    caller.send("GET /desk/slots HTTP/1.1\r\nhost: x\r\n\r\n");
    let shed = "HTTP/1.1 503 Busy\r\ncamphorturn-shed: not-run\r\ncontent-length: 0\r\n\r\n";
    upstream.receive().send(shed);
    assert_eq!(caller.read_reply().outcome(), Some("not-run"));
    caller.send("GET /desk/slots HTTP/1.1\r\nhost: x\r\ncamphorturn-deadline-ms: 100\r\n\r\n");
    assert_eq!(caller.read_reply().outcome(), Some("unknown"));
}

//! Metrics of a node in the `OpenMetrics` text format. `docs/operators/metrics.md` lists them.

use crate::{
    coordination::upstream_health::HealthState,
    proxy::{
        core::ProxyCore,
        store_calls::{CallReason, StoreCall},
    },
    state::{class_counts::ClassCounts, organisation_counts::OrganisationCounts},
};
use prometheus_client::{
    collector::Collector,
    encoding::{DescriptorEncoder, EncodeMetric, NoLabelSet, text::encode},
    metrics::{MetricType, counter::ConstCounter, gauge::ConstGauge},
    registry::Registry,
};
use std::fmt;

/// Content type of the `OpenMetrics` text.
pub const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// Prefix of every metric name.
const NAME_PREFIX: &str = "camphorturn";

/// Value of a metric without labels, with its name and help text.
#[derive(Debug)]
struct MetricValue {
    name: &'static str,
    help: &'static str,
    value: u64,
}

/// Values of all metrics at one point in time.
#[derive(Debug)]
struct NodeMetrics {
    counters: Vec<MetricValue>,
    gauges: Vec<MetricValue>,
    classes: Vec<(String, ClassCounts)>,
    store_calls: Vec<(StoreCall, CallReason, u64)>,
    organisations: Vec<(String, OrganisationCounts)>,
}

/// Number of organisations with metrics of their own.
const LISTED_ORGANISATIONS: usize = 10;
/// Label of the sum of all other organisations.
const OTHER_ORGANISATIONS: &str = "";

/// Renders the current metrics of a node as `OpenMetrics` text.
#[must_use]
pub fn render_metrics(core: &ProxyCore) -> String {
    let mut registry = Registry::with_prefix(NAME_PREFIX);
    registry.register_collector(Box::new(NodeMetrics::read(core)));
    let mut text = String::new();
    // Writing to a string never fails.
    let _ = encode(&mut text, &registry);
    text
}

impl NodeMetrics {
    fn read(core: &ProxyCore) -> Self {
        let classes = core.class_counts.borrow();
        let classes = classes.iter();
        Self {
            counters: read_counters(core),
            gauges: read_gauges(core),
            classes: classes
                .map(|(class, counts)| (class.to_string(), *counts))
                .collect(),
            store_calls: core.counters.store_calls.list(),
            organisations: list_organisations(core),
        }
    }

    fn encode_organisation_counter(
        &self,
        encoder: &mut DescriptorEncoder<'_>,
        (name, help): (&str, &str),
        read: impl Fn(&OrganisationCounts) -> u64,
    ) -> Result<(), fmt::Error> {
        let mut metric = encoder.encode_descriptor(name, help, None, MetricType::Counter)?;
        for (organisation, counts) in &self.organisations {
            let labels = [("organisation", organisation.as_str())];
            ConstCounter::new(read(counts)).encode(metric.encode_family(&labels)?)?;
        }
        Ok(())
    }

    fn encode_class_counter(
        &self,
        encoder: &mut DescriptorEncoder<'_>,
        (name, help): (&str, &str),
        read: impl Fn(&ClassCounts) -> u64,
    ) -> Result<(), fmt::Error> {
        let mut metric = encoder.encode_descriptor(name, help, None, MetricType::Counter)?;
        for (class, counts) in &self.classes {
            let labels = [("class", class.as_str())];
            ConstCounter::new(read(counts)).encode(metric.encode_family(&labels)?)?;
        }
        Ok(())
    }

    fn encode_store_calls(&self, encoder: &mut DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        let help = "Calls to the store";
        let mut metric =
            encoder.encode_descriptor("store_calls", help, None, MetricType::Counter)?;
        for (call, reason, count) in &self.store_calls {
            let labels = [("call", call.name()), ("reason", reason.name())];
            ConstCounter::new(*count).encode(metric.encode_family(&labels)?)?;
        }
        Ok(())
    }

    fn encode_latency(&self, encoder: &mut DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        let help = "Time of answered requests in seconds";
        let mut metric =
            encoder.encode_descriptor("latency_seconds", help, None, MetricType::Histogram)?;
        for (class, counts) in &self.classes {
            let labels = [("class", class.as_str())];
            let mut family = metric.encode_family(&labels)?;
            let latency = counts.latency;
            family.encode_histogram::<NoLabelSet>(
                latency.sum_seconds(),
                latency.count(),
                &latency.list_separate(),
                None,
            )?;
        }
        Ok(())
    }
}

impl Collector for NodeMetrics {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        for MetricValue { name, help, value } in &self.counters {
            let metric = encoder.encode_descriptor(name, help, None, MetricType::Counter)?;
            ConstCounter::new(*value).encode(metric)?;
        }
        for MetricValue { name, help, value } in &self.gauges {
            let metric = encoder.encode_descriptor(name, help, None, MetricType::Gauge)?;
            let value = i64::try_from(*value).unwrap_or(i64::MAX);
            ConstGauge::new(value).encode(metric)?;
        }
        let encoder = &mut encoder;
        let requests = ("class_requests", "Requests of a class that ended");
        self.encode_class_counter(encoder, requests, |counts| counts.requests)?;
        let on_target = ("class_on_target", "Of these, answered within the target");
        self.encode_class_counter(encoder, on_target, |counts| counts.on_target)?;
        let requests = (
            "organisation_requests",
            "Requests of an organisation with a valid key",
        );
        self.encode_organisation_counter(encoder, requests, |counts| counts.requests)?;
        let over_quota = (
            "organisation_over_quota",
            "Of these, refused because the quota was used up",
        );
        self.encode_organisation_counter(encoder, over_quota, |counts| counts.over_quota)?;
        self.encode_store_calls(encoder)?;
        self.encode_latency(encoder)
    }
}

/// The largest organisations, and the sum of the others if there are any.
fn list_organisations(core: &ProxyCore) -> Vec<(String, OrganisationCounts)> {
    let counts = core.organisation_counts.borrow();
    let (largest, others) = counts.list_largest(LISTED_ORGANISATIONS);
    let largest = largest
        .into_iter()
        .map(|(name, counts)| (name.to_string(), counts));
    let others = (others.requests > 0).then(|| (OTHER_ORGANISATIONS.to_owned(), others));
    largest.chain(others).collect()
}

fn read_counters(core: &ProxyCore) -> Vec<MetricValue> {
    let mut counters = read_request_counters(core);
    counters.extend(read_upstream_counters(core));
    counters.extend(read_node_counters(core));
    counters
}

fn read_request_counters(core: &ProxyCore) -> Vec<MetricValue> {
    let counters = &core.counters;
    let metric = |name, help, value| MetricValue { name, help, value };
    vec![
        metric("requests", "Requests of clients", counters.requests.get()),
        metric(
            "answered",
            "Of these, answered by an upstream",
            counters.answered.get(),
        ),
        metric(
            "refused",
            "Of these, refused without having run",
            counters.refused.get(),
        ),
        metric(
            "unknown",
            "Of these, ended without it being known whether they ran",
            counters.unknown.get(),
        ),
        metric(
            "unauthorized",
            "Of the refused ones, those without a valid API key",
            counters.unauthorized.get(),
        ),
        metric(
            "executed",
            "Requests handed to the upstream beside the node",
            counters.executed.get(),
        ),
        metric(
            "repeats",
            "Requests sent to a further upstream",
            counters.retries.get(),
        ),
        metric(
            "calls_rejected",
            "Requests refused at the upstream's node because their calls would be rejected",
            counters.calls_rejected.get(),
        ),
    ]
}

fn read_upstream_counters(core: &ProxyCore) -> Vec<MetricValue> {
    let counters = &core.counters;
    let metric = |name, help, value| MetricValue { name, help, value };
    vec![
        metric(
            "crashed",
            "Requests that were at the upstream when it crashed",
            counters.aborted_by_crash.get(),
        ),
        metric(
            "probes",
            "Questions to the upstream for its load",
            counters.probes.get(),
        ),
        metric(
            "limits_named",
            "Answers of the upstream that named a request limit",
            counters.limits_named.get(),
        ),
        metric(
            "limits_unreadable",
            "Answers of the upstream whose request limit could not be read",
            counters.limits_unreadable.get(),
        ),
        metric(
            "refused_for_memory",
            "Requests refused unread because their bodies did not fit into the memory",
            counters.refused_for_memory.get(),
        ),
        metric(
            "leaving_unreadable",
            "Answers of the upstream of which it could not be read whether it leaves",
            counters.leaving_unreadable.get(),
        ),
        metric(
            "ejections",
            "Ejections of the upstream because it failed requests",
            counters.ejections.get(),
        ),
        metric(
            "upstream_trials",
            "Requests admitted as trials of the ejected upstream",
            counters.upstream_trials.get(),
        ),
        metric(
            "refused_as_failing",
            "Requests refused because the upstream is ejected or returning",
            counters.refused_as_failing.get(),
        ),
    ]
}

fn read_node_counters(core: &ProxyCore) -> Vec<MetricValue> {
    let counters = &core.counters;
    let metric = |name, help, value| MetricValue { name, help, value };
    vec![
        metric(
            "state_bytes",
            "Bytes of messages with state from other nodes",
            counters.state_bytes.get(),
        ),
        metric(
            "node_checks",
            "Checks of nodes that left requests unanswered",
            core.liveness.checks.get(),
        ),
        metric(
            "nodes_suspected",
            "Of these, those after which a node was suspect",
            core.liveness.suspicions.get(),
        ),
        metric(
            "suspect_hedges",
            "Requests sent to a further node because theirs was suspect",
            core.liveness.hedges.get(),
        ),
        metric(
            "stale_tables",
            "Routing tables from other nodes that were no news",
            counters.stale_tables.get(),
        ),
        metric(
            "credit_requests",
            "Messages that asked another node for credit of an organisation",
            counters.credit_requests.get(),
        ),
        metric(
            "credit_timeouts",
            "Of these, not answered in time",
            counters.credit_timeouts.get(),
        ),
    ]
}

fn read_gauges(core: &ProxyCore) -> Vec<MetricValue> {
    let load = core.slots.load();
    let directory = core.directory.borrow();
    let metric = |name, help, value| MetricValue { name, help, value };
    let in_progress = u64::try_from(core.in_progress.get()).unwrap_or(u64::MAX);
    let nodes = u64::try_from(directory.nodes.len()).unwrap_or(u64::MAX);
    let quarantined = core.quarantine.borrow().len(core.timers.now());
    let quarantined = u64::try_from(quarantined).unwrap_or(u64::MAX);
    vec![
        metric(
            "in_progress",
            "Requests of clients in progress",
            in_progress,
        ),
        metric(
            "held_bytes",
            "Bytes held for connections, requests and answers",
            u64::try_from(core.memory.held()).unwrap_or(u64::MAX),
        ),
        metric(
            "held_bytes_limit",
            "Largest number of such bytes",
            u64::try_from(core.memory.total()).unwrap_or(u64::MAX),
        ),
        metric("running", "Requests at the upstream", load.running.into()),
        metric("queued", "Requests that wait for it", load.queued.into()),
        metric("limit", "Requests let run at once", load.limit.into()),
        metric(
            "request_limit_millis",
            "Thousandths of a request per second that the upstream accepts; 0 if it names no limit",
            core.slots.request_limit().map_or(0, |rate| rate.0.into()),
        ),
        metric(
            "slowdown_percent",
            "Time that work takes now, in percent of the usual",
            load.slowdown_percent.into(),
        ),
        metric(
            "quarantined",
            "Requests that are kept from upstreams since these crash under them",
            quarantined,
        ),
        metric(
            "evacuated_zones",
            "Availability zones whose upstreams get no requests",
            u64::try_from(core.evacuations.zones().len()).unwrap_or(u64::MAX),
        ),
        metric(
            "suspect_nodes",
            "Nodes that are suspect because they answer nothing",
            u64::try_from(core.liveness.list_suspects().len()).unwrap_or(u64::MAX),
        ),
        metric(
            "quotas_kept",
            "Organisations whose quota this node keeps or has kept",
            u64::try_from(core.quotas.kept()).unwrap_or(u64::MAX),
        ),
        metric(
            "ejected",
            "1 while the upstream is ejected because it fails requests, else 0",
            u64::from(core.health.state(core.timers.now()) == HealthState::Ejected),
        ),
        metric("nodes", "Nodes known, this one included", nodes),
        metric(
            "version",
            "Version of the configuration in force",
            directory.version().0,
        ),
    ]
}

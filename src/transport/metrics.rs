//! Metrics over statsd. Sending never waits: a queue and a thread of its own stand between.

use crate::{options::node_settings::MetricsSettings, state::names::NodeName};
use cadence::{Counted, Gauged, QueuingMetricSink, StatsdClient, UdpMetricSink};
use std::{
    io,
    net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket},
};

/// Metrics that wait to be sent; further ones are dropped, so that a full queue can't stop a call.
const QUEUE_LIMIT: usize = 4_096;

/// How a metric's values are to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricKind {
    /// Sum of what happened since the last report.
    Counter,
    /// Value at this instant.
    Gauge,
}

impl MetricKind {
    /// The word used in the catalogue.
    #[must_use]
    pub const fn word(self) -> &'static str {
        match self {
            Self::Counter => "counter",
            Self::Gauge => "gauge",
        }
    }
}

macro_rules! metrics {
    ($($(#[$doc:meta])* $variant:ident = $name:literal, $kind:ident;)*) => {
        /// Every metric that a node sends. `docs/operators/metrics.md` lists them.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Metric {
            $($(#[$doc])* $variant,)*
        }

        impl Metric {
            /// All of them, in the order of the catalogue.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Name on the wire, after the prefix.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$variant => $name,)*
                }
            }

            /// How its values are to be read.
            #[must_use]
            pub const fn kind(self) -> MetricKind {
                match self {
                    $(Self::$variant => MetricKind::$kind,)*
                }
            }
        }
    };
}

metrics! {
    /// Calls that this node took from callers and that were answered.
    CallsAnswered = "calls.answered", Counter;
    /// Calls that this node took from callers and that did not run.
    CallsNotRun = "calls.not_run", Counter;
    /// Calls that this node took from callers and whose outcome is unknown.
    CallsUnknown = "calls.unknown", Counter;
    /// Calls answered within their class's target.
    CallsOnTarget = "calls.on_target", Counter;
    /// Median time of the calls answered in the last 5 to 10 seconds, in microseconds.
    CallTimeP50 = "calls.p50_micros", Gauge;
    /// 99th percentile of the same.
    CallTimeP99 = "calls.p99_micros", Gauge;
    /// Calls of this node's callers that are in progress.
    CallsInProgress = "calls.in_progress", Gauge;
    /// Second and further attempts at calls that have ended, hedges included.
    Retries = "attempts.retries", Counter;
    /// Calls at the upstream.
    UpstreamRunning = "upstream.running", Gauge;
    /// Calls in the node's queue.
    UpstreamQueued = "upstream.queued", Gauge;
    /// Calls that the node lets the upstream run at once.
    UpstreamLimit = "upstream.limit", Gauge;
    /// Probes that this node sent to learn the load of a service's upstreams.
    Probes = "measuring.probes", Counter;
    /// Bytes of these probes and their answers.
    ProbeBytes = "measuring.bytes", Counter;
    /// Version of the configuration in force at this node.
    ConfigurationVersion = "configuration.version", Gauge;
    /// Other nodes that this node knows, dead ones not counted.
    MembersKnown = "members.known", Gauge;
    /// Of these, the ones that can't be reached at present.
    MembersSuspected = "members.suspected", Gauge;
    /// Milliseconds since this node, or one that it heard from, had the whole log; absent before.
    LogAge = "log.age_ms", Gauge;
    /// Reads of the platform's log that failed in a row.
    LogFailures = "log.failures", Gauge;
}

/// What a value is about, beside the node. Empty parts are left out.
#[derive(Clone, Copy, Debug, Default)]
pub struct MetricLabels<'a> {
    /// The service.
    pub service: Option<&'a str>,
    /// The class of work.
    pub class: Option<&'a str>,
}

/// Sends metrics, or drops them where no address is set.
#[derive(Debug, Default)]
pub struct Metrics {
    client: Option<StatsdClient>,
}

impl Metrics {
    /// Metrics tagged with the node's name, for the address in the settings.
    ///
    /// # Errors
    /// No UDP socket could be opened.
    pub fn connect(settings: &MetricsSettings, node: &NodeName) -> io::Result<Self> {
        let Some(address) = settings.statsd else {
            return Ok(Self::default());
        };
        let socket = UdpSocket::bind(any_port_towards(address))?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(address, socket).map_err(io::Error::other)?;
        let queue = QueuingMetricSink::with_capacity(sink, QUEUE_LIMIT);
        let client = StatsdClient::builder(&settings.prefix, queue)
            .with_tag("node", node)
            .build();
        Ok(Self {
            client: Some(client),
        })
    }

    /// Whether anything is sent at all.
    #[must_use]
    pub fn is_enabled(&self) -> bool {
        self.client.is_some()
    }

    /// Sends one value: an amount to add, or a value at this instant, by the kind of the metric.
    pub fn send(&self, metric: Metric, value: u64, labels: MetricLabels<'_>) {
        let Some(client) = &self.client else { return };
        let name = metric.name();
        match metric.kind() {
            MetricKind::Counter => send_tagged(client.count_with_tags(name, value), labels),
            MetricKind::Gauge => send_tagged(client.gauge_with_tags(name, value), labels),
        }
    }
}

fn send_tagged<'a, T: cadence::Metric + From<String>>(
    mut builder: cadence::MetricBuilder<'a, '_, T>,
    labels: MetricLabels<'a>,
) {
    if let Some(service) = labels.service {
        builder = builder.with_tag("service", service);
    }
    if let Some(class) = labels.class {
        builder = builder.with_tag("class", class);
    }
    builder.send();
}

fn any_port_towards(address: SocketAddr) -> SocketAddr {
    match address {
        SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
        SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
    }
}

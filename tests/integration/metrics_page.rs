//! Compares the operators' page of metrics with the metrics that a node serves.

use camphorturn::{
    coordination::{
        quota_shares::QuotaSettings, retry_budget::RetryBudgetSettings,
        slow_start::SlowStartSettings,
    },
    options::proxy_settings::{
        DEFAULT_MEMORY_BYTES, HeaderNames, LogSettings, NodeLimits, OverloadSettings, ProxySettings,
    },
    proxy::{core::ProxyCore, metrics::render_metrics},
    state::class_counts::ClassCounts,
    timers::TimerService,
};
use std::{collections::BTreeSet, fs, net::SocketAddr, rc::Rc, time::Duration};

fn read_page() -> String {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/docs/operators/metrics.md");
    fs::read_to_string(path).expect("a readable page")
}

fn start_core() -> Rc<ProxyCore> {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let settings = ProxySettings {
        name: "n1".into(),
        availability_zone: "a".into(),
        client_address: address,
        peer_address: address,
        upstream_address: address,
        service: "desk".into(),
        limits: NodeLimits {
            retry_budget: RetryBudgetSettings {
                ratio: 0.2,
                slack: 60.0,
                window: Duration::from_secs(10),
            },
            probes_per_second: 60.0,
            shutdown_grace: Duration::from_secs(6),
            configuration_apply_timeout: Duration::from_secs(2),
            slow_start: SlowStartSettings::default(),
            quota: QuotaSettings::default(),
            key_expiry: None,
            upstream_health: None,
            node_checks: false,
            overload: OverloadSettings::default(),
            memory_bytes: DEFAULT_MEMORY_BYTES,
        },
        log: LogSettings {
            ordinary_one_in: 1,
            kept_lines: 0,
        },
        operator_address: None,
        first_start: false,
        headers: HeaderNames::default_names(),
    };
    ProxyCore::new(settings, TimerService::fake())
}

/// Names and types of the served metrics, from the `# TYPE` lines.
fn list_served() -> BTreeSet<(String, String)> {
    let core = start_core();
    let text = render_metrics(&core);
    let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let parsed = types.filter_map(|line| line.split_once(' '));
    parsed
        .map(|(name, kind)| (name.to_owned(), kind.to_owned()))
        .collect()
}

#[test]
fn metrics_page_has_every_metric() {
    let page = read_page();
    let served = list_served();
    assert!(served.len() > 10, "{served:?}");
    for (name, kind) in &served {
        let start = format!("| `{name}` | {kind} |");
        assert!(page.contains(&start), "missing: {start}");
    }
    let rows = page.lines().filter(|line| line.starts_with("| `")).count();
    assert_eq!(rows, served.len(), "the page has rows without a metric");
}

#[test]
fn render_metrics_by_class() {
    let core = start_core();
    core.update_class_counts(&"lookups".into(), |counts| {
        counts.count_answer(Duration::from_millis(60), Duration::from_millis(50));
    });
    core.update_class_counts(&"lookups".into(), ClassCounts::count_refusal);
    let text = render_metrics(&core);
    for line in [
        "camphorturn_class_requests_total{class=\"lookups\"} 2",
        "camphorturn_class_on_target_total{class=\"lookups\"} 0",
        "camphorturn_latency_seconds_count{class=\"lookups\"} 1",
        "camphorturn_latency_seconds_sum{class=\"lookups\"} 0.06",
        "camphorturn_latency_seconds_bucket{le=\"0.05\",class=\"lookups\"} 0",
        "camphorturn_latency_seconds_bucket{le=\"0.08\",class=\"lookups\"} 1",
    ] {
        assert!(text.contains(line), "{line} in\n{text}");
    }
}

/// Failure: hundreds of organisations make as many series of metrics.
#[test]
fn render_metrics_by_organisation() {
    let core = start_core();
    for number in 0..40_u32 {
        let name = format!("organisation-{number:02}");
        for _ in 0..=number {
            let mut counts = core.organisation_counts.borrow_mut();
            counts.count(&name.as_str().into(), number == 39);
        }
    }
    let text = render_metrics(&core);
    let lines = text
        .lines()
        .filter(|line| line.starts_with("camphorturn_organisation_requests_total{"));
    assert_eq!(lines.count(), 11);
    for line in [
        "camphorturn_organisation_requests_total{organisation=\"organisation-39\"} 40",
        "camphorturn_organisation_over_quota_total{organisation=\"organisation-39\"} 40",
        "camphorturn_organisation_requests_total{organisation=\"\"} 465",
    ] {
        assert!(text.contains(line), "{line} in\n{text}");
    }
}

//! Computes an upper bound of the score that can be reached on a day of the platform's load test, and prints it next to
//! the score that was reached.
//!
//! Usage: `upper_bound SITE.toml REPORT.json...`, with reports of days of that site. The bound takes into account the
//! load, the slots and the average speed of the VMs, but no disruptions: work that is lost because upstreams or VMs
//! fail is part of the difference between the bound and the reached score.

use serde::Deserialize;
use std::{collections::HashMap, env, fs, process::ExitCode};

/// Share of the slots of an upstream that can be in use before its requests slow down.
const USABLE_SLOT_SHARE: f64 = 0.8;
/// Length of the time windows of a report, in seconds.
const WINDOW_SECONDS: f64 = 2.0;
/// Number of windows with the lowest credit that count separately.
const WORST_WINDOW_COUNT: usize = 2;

/// The parts of a site file that are used.
#[derive(Deserialize)]
struct Site {
    name: String,
    machines: Vec<VmGroup>,
    services: Vec<Service>,
    classes: Vec<Class>,
    traffic: Vec<Traffic>,
    goal: Goal,
}

/// A number of VMs that run the same service, `app`.
#[derive(Deserialize)]
struct VmGroup {
    app: Option<String>,
    count: f64,
}

/// A service with the number of slots of each upstream.
#[derive(Deserialize)]
struct Service {
    name: String,
    slots: f64,
    noise: Option<Noise>,
}

/// During `share` of the time, work takes `duration_factor` times as long.
#[derive(Deserialize)]
struct Noise {
    share: f64,
    #[serde(rename = "x")]
    duration_factor: f64,
}

/// A class of requests. `worth` is the weight of a request in the score.
#[derive(Deserialize)]
struct Class {
    name: String,
    service: String,
    #[serde(rename = "aim_ms")]
    target_ms: f64,
    worth: f64,
    work_ms: Work,
    #[serde(default)]
    calls: Vec<Call>,
}

/// Time that the upstream works on a request, in milliseconds.
#[derive(Deserialize)]
struct Work {
    mean: f64,
}

/// Calls of a request to another class, on average `times * share` of them.
#[derive(Deserialize)]
struct Call {
    class: String,
    times: f64,
    share: f64,
}

/// A source of requests, with the relative frequency of each class.
#[derive(Deserialize)]
struct Traffic {
    mix: HashMap<String, f64>,
}

/// Weights of the parts of the score: of the whole day, the worst windows, the worst class and the served requests.
#[derive(Deserialize)]
struct Goal {
    mean: f64,
    window: f64,
    class: f64,
    served: f64,
}

/// The parts of a report that are used. Each price holds a name, a number that is not used, and the share that it
/// takes off the score.
#[derive(Deserialize)]
struct Report {
    #[serde(rename = "G")]
    score: f64,
    windows: Vec<Window>,
    prices: Vec<(String, f64, f64)>,
}

/// A time window, with the number of requests of clients.
#[derive(Deserialize)]
struct Window {
    #[serde(rename = "n")]
    requests: f64,
}

/// Upper bound of the score, and its parts. The first three are shares of requests that can be served, where the first
/// two weight requests by class. `unavoidable` is the price of the time that the VMs run.
struct Bound {
    whole_day: f64,
    worst_windows: f64,
    worst_class: f64,
    unavoidable: f64,
    total: f64,
}

fn main() -> ExitCode {
    let mut arguments = env::args().skip(1);
    let Some(site) = arguments.next() else {
        eprintln!("upper_bound SITE.toml REPORT.json...");
        return ExitCode::from(2);
    };
    match print_table(&site, arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("{message}");
            ExitCode::FAILURE
        }
    }
}

fn print_table(site: &str, reports: impl Iterator<Item = String>) -> Result<(), String> {
    let text = read_file(site)?;
    let site: Site = toml::from_str(&text).map_err(|error| format!("{site}: {error}"))?;
    println!("{}", site.name);
    println!(
        "| Report | Whole day | Worst windows | Worst class | Unavoidable | At most | Reached |"
    );
    println!("|---|---|---|---|---|---|---|");
    for path in reports {
        let text = read_file(&path)?;
        let report: Report =
            serde_json::from_str(&text).map_err(|error| format!("{path}: {error}"))?;
        let bound = compute_bound(&site, &report);
        println!(
            "| {path} | {:.3} | {:.3} | {:.3} | {:.3} | {:.3} | {:.3} |",
            bound.whole_day,
            bound.worst_windows,
            bound.worst_class,
            bound.unavoidable,
            bound.total,
            report.score
        );
    }
    Ok(())
}

fn read_file(path: &str) -> Result<String, String> {
    fs::read_to_string(path).map_err(|error| format!("{path}: {error}"))
}

fn compute_bound(site: &Site, report: &Report) -> Bound {
    let class_shares = compute_class_shares(site);
    let served: Vec<HashMap<&str, f64>> = report
        .windows
        .iter()
        .map(|window| compute_served_shares(site, &class_shares, window.requests))
        .collect();
    let window_credits: Vec<f64> = served
        .iter()
        .map(|served| compute_credit(site, &class_shares, served))
        .collect();
    let request_count: f64 = report.windows.iter().map(|window| window.requests).sum();
    let weighted = report.windows.iter().zip(&window_credits);
    let whole_day = weighted
        .map(|(window, credit)| window.requests * credit)
        .sum::<f64>()
        / request_count;
    let mut sorted = window_credits.clone();
    sorted.sort_by(f64::total_cmp);
    sorted.truncate(WORST_WINDOW_COUNT);
    let worst_windows = compute_mean(&sorted);
    let worst_class = class_shares
        .keys()
        .map(|class| {
            let shares = report.windows.iter().zip(&served);
            shares
                .map(|(window, served)| window.requests * served[class])
                .sum::<f64>()
                / request_count
        })
        .fold(1.0, f64::min);
    let unavoidable = report
        .prices
        .iter()
        .filter(|(name, ..)| name == "machine-seconds")
        .map(|(_, _, share)| share)
        .sum();
    let goal = &site.goal;
    let total = goal.mean * whole_day
        + goal.window * worst_windows
        + goal.class * worst_class
        + goal.served
        - unavoidable;
    Bound {
        whole_day,
        worst_windows,
        worst_class,
        unavoidable,
        total,
    }
}

/// Computes the share of each class among the requests of clients.
fn compute_class_shares(site: &Site) -> HashMap<&str, f64> {
    let mut class_shares: HashMap<&str, f64> = HashMap::new();
    for traffic in &site.traffic {
        for (class, share) in &traffic.mix {
            *class_shares.entry(class).or_default() += share;
        }
    }
    let total: f64 = class_shares.values().sum();
    for share in class_shares.values_mut() {
        *share /= total;
    }
    class_shares
}

/// Computes the work that one request of a class causes at each service, in milliseconds of a slot.
fn compute_work_by_service<'a>(site: &'a Site, class: &'a Class) -> HashMap<&'a str, f64> {
    let mut work = HashMap::from([(class.service.as_str(), class.work_ms.mean)]);
    for call in &class.calls {
        if let Some(called) = site.classes.iter().find(|other| other.name == call.class) {
            let added = call.times * call.share * called.work_ms.mean;
            *work.entry(&called.service).or_default() += added;
        }
    }
    work
}

/// Computes the share of the requests of each class that the slots can serve in a window with `request_count` requests.
/// Requests of the window may still be served after its end, up to their latency target.
fn compute_served_shares<'a>(
    site: &'a Site,
    class_shares: &HashMap<&'a str, f64>,
    request_count: f64,
) -> HashMap<&'a str, f64> {
    let classes = || {
        site.classes
            .iter()
            .filter(|class| class_shares.contains_key(class.name.as_str()))
    };
    let mut work_by_service: HashMap<&str, f64> = HashMap::new();
    for class in classes() {
        for (service, work) in compute_work_by_service(site, class) {
            *work_by_service.entry(service).or_default() +=
                request_count * class_shares[class.name.as_str()] * work;
        }
    }
    let served = classes().map(|class| {
        let available_ms = WINDOW_SECONDS * 1_000.0 + class.target_ms;
        let share = compute_work_by_service(site, class)
            .keys()
            .map(|service| {
                count_usable_slots(site, service) * available_ms / work_by_service[service].max(1.0)
            })
            .fold(1.0, f64::min);
        (class.name.as_str(), share)
    });
    served.collect()
}

/// Counts the usable slots of all VMs of a service, scaled by the average speed of the VMs.
fn count_usable_slots(site: &Site, service: &str) -> f64 {
    let slots = site
        .services
        .iter()
        .find(|service_entry| service_entry.name == service);
    let slots_per_vm = slots.map_or(0.0, |service_entry| {
        let speed = service_entry.noise.as_ref().map_or(1.0, |noise| {
            1.0 - noise.share + noise.share / noise.duration_factor
        });
        (service_entry.slots * USABLE_SLOT_SHARE).floor() * speed
    });
    let vm_groups = site
        .machines
        .iter()
        .filter(|vm_group| vm_group.app.as_deref() == Some(service));
    vm_groups
        .map(|vm_group| vm_group.count * slots_per_vm)
        .sum()
}

/// Computes the served share of all requests, weighted by class.
fn compute_credit(
    site: &Site,
    class_shares: &HashMap<&str, f64>,
    served: &HashMap<&str, f64>,
) -> f64 {
    let compute_weight = |class: &&Class| {
        class_shares
            .get(class.name.as_str())
            .map_or(0.0, |share| share * class.worth)
    };
    let classes = || site.classes.iter();
    let total_weight: f64 = classes().map(|class| compute_weight(&class)).sum();
    let credited_weight: f64 = classes()
        .map(|class| {
            compute_weight(&class) * served.get(class.name.as_str()).copied().unwrap_or_default()
        })
        .sum();
    credited_weight / total_weight
}

#[expect(clippy::cast_precision_loss, reason = "a day has few windows")]
fn compute_mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

//! What could be reached at most on a day of the platform's bench: what the slots can serve at those times,
//! less what can't be avoided.
//!
//! `upper_bound SITE.toml REPORT.json...`, with reports of days of that site. The bound knows the load, the
//! slots and how fast VMs work on average, and no disruption: what upstreams and VMs lose lies between it and what was reached.

use serde::Deserialize;
use std::{collections::HashMap, env, fs, process::ExitCode};

/// Share of an upstream's slots that may run at once before all of them take longer.
const USED_SLOTS: f64 = 0.8;
/// Length of the windows of a report, in seconds.
const WINDOW_SECONDS: f64 = 2.0;
/// Windows that count as the worst ones.
const WORST_WINDOWS: usize = 2;

/// What is read of a site.
#[derive(Deserialize)]
struct Site {
    name: String,
    machines: Vec<Machines>,
    services: Vec<Service>,
    classes: Vec<Class>,
    traffic: Vec<Traffic>,
    goal: Goal,
}

#[derive(Deserialize)]
struct Machines {
    app: Option<String>,
    count: f64,
}

#[derive(Deserialize)]
struct Service {
    name: String,
    slots: f64,
    noise: Option<Noise>,
}

/// A share of the time in which work takes that many times as long.
#[derive(Deserialize)]
struct Noise {
    share: f64,
    x: f64,
}

#[derive(Deserialize)]
struct Class {
    name: String,
    service: String,
    aim_ms: f64,
    worth: f64,
    work_ms: Work,
    #[serde(default)]
    calls: Vec<Call>,
}

#[derive(Deserialize)]
struct Work {
    mean: f64,
}

#[derive(Deserialize)]
struct Call {
    class: String,
    times: f64,
    share: f64,
}

#[derive(Deserialize)]
struct Traffic {
    mix: HashMap<String, f64>,
}

#[derive(Deserialize)]
struct Goal {
    mean: f64,
    window: f64,
    class: f64,
    served: f64,
}

/// What is read of a report.
#[derive(Deserialize)]
struct Report {
    #[serde(rename = "G")]
    worth: f64,
    windows: Vec<Window>,
    prices: Vec<(String, f64, f64)>,
}

#[derive(Deserialize)]
struct Window {
    n: f64,
}

/// Credit in parts of what is owed.
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
    match print_bounds(&site, arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("{problem}");
            ExitCode::FAILURE
        }
    }
}

fn print_bounds(site: &str, reports: impl Iterator<Item = String>) -> Result<(), String> {
    let text = read(site)?;
    let site: Site = toml::from_str(&text).map_err(|error| format!("{site}: {error}"))?;
    println!("{}", site.name);
    println!(
        "| Report | Whole day | Worst windows | Worst class | Unavoidable | At most | Reached |"
    );
    println!("|---|---|---|---|---|---|---|");
    for path in reports {
        let text = read(&path)?;
        let report: Report =
            serde_json::from_str(&text).map_err(|error| format!("{path}: {error}"))?;
        let bound = find_bound(&site, &report);
        println!(
            "| {path} | {:.3} | {:.3} | {:.3} | {:.3} | {:.3} | {:.3} |",
            bound.whole_day,
            bound.worst_windows,
            bound.worst_class,
            bound.unavoidable,
            bound.total,
            report.worth
        );
    }
    Ok(())
}

fn read(path: &str) -> Result<String, String> {
    fs::read_to_string(path).map_err(|error| format!("{path}: {error}"))
}

fn find_bound(site: &Site, report: &Report) -> Bound {
    let mix = find_mix(site);
    let served: Vec<HashMap<&str, f64>> = report
        .windows
        .iter()
        .map(|window| serve_window(site, &mix, window.n))
        .collect();
    let credits: Vec<f64> = served
        .iter()
        .map(|served| credit(site, &mix, served))
        .collect();
    let asked: f64 = report.windows.iter().map(|window| window.n).sum();
    let weighted = report.windows.iter().zip(&credits);
    let whole_day = weighted
        .map(|(window, credit)| window.n * credit)
        .sum::<f64>()
        / asked;
    let mut sorted = credits.clone();
    sorted.sort_by(f64::total_cmp);
    sorted.truncate(WORST_WINDOWS);
    let worst_windows = mean(&sorted);
    let worst_class = mix
        .keys()
        .map(|class| {
            let shares = report.windows.iter().zip(&served);
            shares
                .map(|(window, served)| window.n * served[class])
                .sum::<f64>()
                / asked
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

/// Share of each class among clients' requests.
fn find_mix(site: &Site) -> HashMap<&str, f64> {
    let mut mix: HashMap<&str, f64> = HashMap::new();
    for traffic in &site.traffic {
        for (class, part) in &traffic.mix {
            *mix.entry(class).or_default() += part;
        }
    }
    let sum: f64 = mix.values().sum();
    for part in mix.values_mut() {
        *part /= sum;
    }
    mix
}

/// Work that one request of a class brings to each service, in slot-milliseconds.
fn find_work<'a>(site: &'a Site, class: &'a Class) -> HashMap<&'a str, f64> {
    let mut work = HashMap::from([(class.service.as_str(), class.work_ms.mean)]);
    for call in &class.calls {
        if let Some(called) = site.classes.iter().find(|other| other.name == call.class) {
            let added = call.times * call.share * called.work_ms.mean;
            *work.entry(&called.service).or_default() += added;
        }
    }
    work
}

/// Share of each class that the slots can serve in a window with that many requests. Work of the window may
/// end until its target is over.
fn serve_window<'a>(
    site: &'a Site,
    mix: &HashMap<&'a str, f64>,
    asked: f64,
) -> HashMap<&'a str, f64> {
    let classes = || {
        site.classes
            .iter()
            .filter(|class| mix.contains_key(class.name.as_str()))
    };
    let mut wanted: HashMap<&str, f64> = HashMap::new();
    for class in classes() {
        for (service, work) in find_work(site, class) {
            *wanted.entry(service).or_default() += asked * mix[class.name.as_str()] * work;
        }
    }
    let served = classes().map(|class| {
        let span = WINDOW_SECONDS * 1_000.0 + class.aim_ms;
        let share = find_work(site, class)
            .keys()
            .map(|service| count_slots(site, service) * span / wanted[service].max(1.0))
            .fold(1.0, f64::min);
        (class.name.as_str(), share)
    });
    served.collect()
}

fn count_slots(site: &Site, service: &str) -> f64 {
    let slots = site.services.iter().find(|known| known.name == service);
    let each = slots.map_or(0.0, |known| {
        let pace = known
            .noise
            .as_ref()
            .map_or(1.0, |noise| 1.0 - noise.share + noise.share / noise.x);
        (known.slots * USED_SLOTS).floor() * pace
    });
    let machines = site
        .machines
        .iter()
        .filter(|machines| machines.app.as_deref() == Some(service));
    machines.map(|machines| machines.count * each).sum()
}

fn credit(site: &Site, mix: &HashMap<&str, f64>, served: &HashMap<&str, f64>) -> f64 {
    let owed = |class: &&Class| {
        mix.get(class.name.as_str())
            .map_or(0.0, |part| part * class.worth)
    };
    let classes = || site.classes.iter();
    let all: f64 = classes().map(|class| owed(&class)).sum();
    let earned: f64 = classes()
        .map(|class| owed(&class) * served.get(class.name.as_str()).copied().unwrap_or_default())
        .sum();
    earned / all
}

#[expect(clippy::cast_precision_loss, reason = "a day has few windows")]
fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

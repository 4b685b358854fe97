//! Measures admission: the cost of one decision, and what each limit rule does to one upstream.
//!
//! `cargo run --release --example admission -- [--json] [--seed N]`. The decisions run against a
//! simulated upstream in simulated time; only the cost is measured on the machine's clock.

mod cost;
mod upstream;

use bpaf::Bpaf;
use serde::Serialize;

#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Print JSON instead of a table
    json: bool,
    /// Seed of arrivals and service times
    #[bpaf(fallback(1))]
    seed: u64,
}

#[derive(Serialize)]
struct Results {
    cost: Vec<cost::Cost>,
    trials: Vec<upstream::Trial>,
}

fn main() {
    let options = options().run();
    let results = Results {
        cost: cost::measure_all(),
        trials: upstream::run_all(options.seed),
    };
    if options.json {
        let text = serde_json::to_string_pretty(&results).expect("plain numbers and names");
        println!("{text}");
    } else {
        print_tables(&results);
    }
}

fn print_tables(results: &Results) {
    for cost in &results.cost {
        println!(
            "queue {:>3}: offer+finish {:>6.0} ns, expire {:>7.0} ns",
            cost.queued, cost.offer_finish_ns, cost.expire_ns
        );
    }
    for trial in &results.trials {
        println!(
            "{:<10} {:<15} load {:>3}%  goodput {:>5.1}%  late refusals {:>5}  refusal max {:>6.1} ms",
            format!("{:?}", trial.rule),
            trial.scenario,
            trial.load_percent,
            trial.goodput_percent,
            trial.late_refusals,
            trial.refusal_max_ms,
        );
        for class in &trial.classes {
            println!(
                "      {:<8} offered {:>6}  on target {:>5.1}% of offered, {:>5.1}% of answered  \
                 refused {:>5.1}%  timed out {:>4}  p99 {:>6.1} ms",
                class.name,
                class.offered,
                class.on_target_of_offered_percent,
                class.on_target_of_answered_percent,
                class.refused_percent,
                class.timed_out,
                class.p99_ms,
            );
        }
    }
}

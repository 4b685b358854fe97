//! Runs real nodes with seeded faults and checks the recorded history; or checks a recording, one event a
//! line of JSON on standard input.
//!
//! `cargo run --release --example history -- --seed N --seconds S [--json] [--record FILE]`
//!
//! `cargo run --release --example history -- [--json] < events.jsonl`

#[path = "history/attribution.rs"]
mod attribution;
#[path = "history/callers.rs"]
mod callers;
#[path = "history/checker.rs"]
mod checker;
#[path = "history/event.rs"]
mod event;
#[path = "history/faults.rs"]
mod faults;
#[path = "history/key_register.rs"]
mod key_register;
#[path = "history/publishers.rs"]
mod publishers;
#[path = "history/recorder.rs"]
mod recorder;
#[path = "history/run.rs"]
mod run;
#[path = "history/version_watch.rs"]
mod version_watch;

use bpaf::Bpaf;
use checker::check_history;
use event::Event;
use run::{FinishedRun, RunPlan, run_history};
use std::{
    fs::File,
    io::{self, BufRead, BufWriter, Write},
    path::{Path, PathBuf},
    process::ExitCode,
    time::Duration,
};

/// Runs real nodes with seeded faults and checks what was recorded; without a seed, checks a recording.
#[derive(Bpaf)]
#[bpaf(options)]
struct Options {
    /// Print JSON.
    json: bool,
    /// Run with this seed in place of reading a recording.
    #[bpaf(argument("N"))]
    seed: Option<u64>,
    /// Length of the run in seconds.
    #[bpaf(argument("S"), fallback(30))]
    seconds: u64,
    /// Calls a second, not counting those that repeat a key.
    #[bpaf(argument("RATE"), fallback(200.0))]
    rate: f64,
    /// Write the recording of a run to this file.
    #[bpaf(argument("FILE"))]
    record: Option<PathBuf>,
}

fn main() -> ExitCode {
    let options = options().run();
    let clean = match options.seed {
        Some(seed) => run_and_check(seed, &options),
        None => check_recording(options.json),
    };
    match clean {
        Ok(clean) => ExitCode::from(u8::from(!clean)),
        Err(error) => {
            eprintln!("no verdict: {error}");
            ExitCode::from(2)
        }
    }
}

/// Whether there was no violation.
fn run_and_check(seed: u64, options: &Options) -> io::Result<bool> {
    let plan = RunPlan {
        seed,
        span: Duration::from_secs(options.seconds),
        rate: options.rate,
    };
    let FinishedRun { report, events } = run_history(plan).map_err(io::Error::other)?;
    if let Some(path) = &options.record {
        write_events(path, &events)?;
    }
    if options.json {
        println!("{}", serde_json::to_string(&report)?);
    } else {
        println!("{report:#?}");
    }
    Ok(report.violations.is_empty())
}

fn write_events(path: &Path, events: &[Event]) -> io::Result<()> {
    let mut file = BufWriter::new(File::create(path)?);
    for event in events {
        serde_json::to_writer(&mut file, event)?;
        file.write_all(b"\n")?;
    }
    file.flush()
}

fn check_recording(json: bool) -> io::Result<bool> {
    let events: Result<Vec<Event>, serde_json::Error> = io::stdin()
        .lock()
        .lines()
        .map_while(Result::ok)
        .map(|line| serde_json::from_str(&line))
        .collect();
    let events = events?;
    let found = check_history(&events);
    if json {
        let report = serde_json::json!({ "events": events.len(), "violations": found });
        println!("{report}");
    } else {
        println!("{} events, {} violations", events.len(), found.len());
        for one in &found {
            println!("  {one:?}");
        }
    }
    Ok(found.is_empty())
}

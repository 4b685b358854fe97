//! Checks a recorded history, one event a line of JSON on standard input.
//!
//! `cargo run --release --example history -- --json < events.jsonl`

#[path = "history/checker.rs"]
mod checker;
#[path = "history/event.rs"]
mod event;
#[path = "history/key_register.rs"]
mod key_register;

use bpaf::Bpaf;
use checker::check_history;
use event::Event;
use std::{
    io::{self, BufRead},
    process::ExitCode,
};

/// Checks a recorded history.
#[derive(Bpaf)]
#[bpaf(options)]
struct Options {
    /// Print JSON.
    json: bool,
}

fn main() -> ExitCode {
    let options = options().run();
    let events: Result<Vec<Event>, serde_json::Error> = io::stdin()
        .lock()
        .lines()
        .map_while(Result::ok)
        .map(|line| serde_json::from_str(&line))
        .collect();
    let events = match events {
        Ok(events) => events,
        Err(error) => {
            eprintln!("not an event: {error}");
            return ExitCode::from(2);
        }
    };
    let found = check_history(&events);
    if options.json {
        let report = serde_json::json!({ "events": events.len(), "violations": found });
        println!("{report}");
    } else {
        println!("{} events, {} violations", events.len(), found.len());
        for one in &found {
            println!("  {one:?}");
        }
    }
    ExitCode::from(u8::from(!found.is_empty()))
}

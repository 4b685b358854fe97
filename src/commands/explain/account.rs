//! The account of one call: answers to the usual questions, then the steps. Pure.

use crate::{
    commands::explain::sentences::tell_step,
    events::{
        event::Event,
        message::Millis,
        reasons::OutcomeSummary,
        view::EventView,
        words::{describe_cause, describe_refusal},
    },
};
use serde::Serialize;

/// What became of a call.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct CallAccount {
    /// How it ended; why it was refused, late or tried again, where that applies.
    pub answers: Vec<String>,
    /// What happened, step by step.
    pub steps: Vec<String>,
}

/// Where the time of a call went, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct TimeSpent {
    queued: u32,
    at_upstream: u32,
    in_earlier_attempts: u32,
}

/// Makes the account from a call's events in causal order.
#[must_use]
pub fn give_account(events: &[EventView]) -> CallAccount {
    let mut account = CallAccount::default();
    let known = || events.iter().filter_map(|view| view.event.as_ref());
    account.answers.extend(known().find_map(tell_outcome));
    account.answers.extend(tell_lateness(events));
    account.answers.extend(tell_attempts(events));
    account.steps = events.iter().map(tell_step).collect();
    account
}

fn tell_outcome(event: &Event) -> Option<String> {
    let Event::CallEnded { outcome, .. } = event else {
        return None;
    };
    Some(match outcome {
        OutcomeSummary::Answered(status) => format!("The call was answered with status {status}."),
        OutcomeSummary::NotRun(reason) => {
            let why = describe_refusal(*reason);
            format!("The call was refused and did not run, because {why}.")
        }
        OutcomeSummary::Unknown(cause) => {
            let why = describe_cause(*cause);
            format!("The call may have run, because {why}.")
        }
    })
}

fn tell_lateness(events: &[EventView]) -> Option<String> {
    let (took, target) = events.iter().find_map(|view| match view.event {
        Some(Event::CallEnded {
            took_micros,
            target_micros,
            ..
        }) => Some((took_micros, target_micros)),
        _ => None,
    })?;
    if target == 0 || took <= target {
        return None;
    }
    let spent = find_time_spent(events);
    let parts = spent.queued + spent.at_upstream + spent.in_earlier_attempts;
    Some(format!(
        "It was late: {} against a target of {}. Of that, {} went to waiting in a queue, {} to \
         the upstream, {} to earlier attempts and {} to the rest.",
        Millis(took),
        Millis(target),
        Millis(spent.queued),
        Millis(spent.at_upstream),
        Millis(spent.in_earlier_attempts),
        Millis(took.saturating_sub(parts)),
    ))
}

/// The attempt whose end was the call's end is the last that returned.
fn find_time_spent(events: &[EventView]) -> TimeSpent {
    let mut spent = TimeSpent::default();
    let returned = events.iter().filter_map(|view| match view.event {
        Some(Event::AttemptReturned {
            attempt,
            took_micros,
            ..
        }) => Some((attempt, took_micros)),
        _ => None,
    });
    let returned: Vec<(u16, u32)> = returned.collect();
    let last = returned.last().map_or(0, |(attempt, _)| *attempt);
    spent.in_earlier_attempts = returned
        .iter()
        .filter(|(attempt, _)| *attempt < last)
        .map(|(_, took)| took)
        .sum();
    for event in events.iter().filter_map(|view| view.event.as_ref()) {
        match event {
            Event::AttemptDispatched {
                attempt,
                waited_micros,
            } if *attempt == last => {
                spent.queued = *waited_micros;
            }
            Event::UpstreamAnswered {
                attempt,
                took_micros,
                ..
            }
            | Event::AttemptCut {
                attempt,
                took_micros,
                ..
            } if *attempt == last => {
                spent.at_upstream = *took_micros;
            }
            _ => {}
        }
    }
    spent
}

fn tell_attempts(events: &[EventView]) -> Vec<String> {
    let known = events.iter().filter_map(|view| view.event.as_ref());
    known
        .filter_map(|event| match event {
            Event::CallRetried { reason, .. } => {
                let why = describe_refusal(*reason);
                Some(format!("It was tried again, because {why}."))
            }
            Event::CallHedged { after_micros, .. } => Some(format!(
                "A second attempt was sent beside the first, which had not ended after {}.",
                Millis(*after_micros)
            )),
            _ => None,
        })
        .collect()
}

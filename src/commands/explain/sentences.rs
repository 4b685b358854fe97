//! One step of a call as a sentence.

use crate::{
    commands::timeline::text::format_time_of_day,
    events::{
        event::Event,
        message::Millis,
        view::EventView,
        words::{describe_choice, describe_refusal, describe_stop},
    },
    state::names::NodeName,
};

/// The sentence for a step, with the time of the node where it happened.
#[must_use]
pub fn tell_step(view: &EventView) -> String {
    let time = format_time_of_day(view.wall_millis);
    let told = view
        .event
        .as_ref()
        .and_then(|event| tell_event(&view.node, event));
    match told {
        Some(sentence) => format!("{time}  {sentence}"),
        None => format!("{time}  At {}: {}.", view.node, view.message),
    }
}

fn tell_event(node: &NodeName, event: &Event) -> Option<String> {
    tell_entry(node, event).or_else(|| tell_execution(node, event))
}

fn tell_entry(node: &NodeName, event: &Event) -> Option<String> {
    Some(match event {
        Event::CallReceived {
            service,
            class,
            depth,
            time_left_micros,
            target_micros,
            keyed,
        } => {
            let keyed = if *keyed { "an" } else { "no" };
            format!(
                "{node} received it for {service}, class {class}, at depth {depth}, with {keyed} \
                 idempotency key, {} to its deadline and a target of {}.",
                Millis(*time_left_micros),
                Millis(*target_micros),
            )
        }
        Event::AttemptChosen {
            attempt,
            upstream,
            reason,
            candidates,
            known_load,
            known_age_ms,
        } => {
            format!(
                "{node} sent attempt {attempt} to {upstream}, because {} among {candidates}; it \
                 knew of {known_load} calls there, {known_age_ms} ms ago.",
                describe_choice(*reason),
            )
        }
        Event::AttemptReturned {
            attempt,
            upstream,
            outcome,
            took_micros,
        } => format!(
            "{node} heard from {upstream} about attempt {attempt} after {}: {outcome}.",
            Millis(*took_micros),
        ),
        Event::CallRetried { attempt, reason } => format!(
            "{node} made attempt {attempt}, because {}.",
            describe_refusal(*reason),
        ),
        Event::RetryWithheld { reason } => {
            format!(
                "{node} made no further attempt, because {}.",
                describe_stop(*reason)
            )
        }
        Event::CallEnded {
            outcome,
            attempts,
            took_micros,
            ..
        } => format!(
            "{node} told the caller after {} and {attempts} attempt{}: {outcome}.",
            Millis(*took_micros),
            if *attempts == 1 { "" } else { "s" },
        ),
        _ => return None,
    })
}

fn tell_execution(node: &NodeName, event: &Event) -> Option<String> {
    Some(match event {
        Event::AttemptAdmitted {
            attempt,
            running,
            limit,
            ..
        } => format!(
            "{node} let attempt {attempt} run at once, with {running} of {limit} calls running."
        ),
        Event::AttemptQueued {
            attempt,
            queued,
            running,
            limit,
            ..
        } => format!(
            "{node} queued attempt {attempt}, since {running} of {limit} calls were running; \
             {queued} waited."
        ),
        Event::AttemptRefused {
            attempt,
            reason,
            queued,
            running,
            limit,
            ..
        } => format!(
            "{node} refused attempt {attempt}, because {}; {running} of {limit} calls were \
             running, {queued} waited.",
            describe_refusal(*reason),
        ),
        Event::AttemptDispatched {
            attempt,
            waited_micros,
        } => format!(
            "{node} handed attempt {attempt} to its upstream after a wait of {}.",
            Millis(*waited_micros),
        ),
        Event::UpstreamAnswered {
            attempt,
            status,
            took_micros,
        } => format!(
            "The upstream of {node} answered attempt {attempt} with status {status} after {}.",
            Millis(*took_micros),
        ),
        _ => return None,
    })
}

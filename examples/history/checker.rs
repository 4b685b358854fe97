//! Finds in a recorded history what must never happen.

use super::{
    event::{CallNumber, Event, Happening, KeyNumber, Told},
    key_register::keys_not_linearizable,
};
use serde::Serialize;
use std::collections::BTreeMap;

/// How long after it was announced that an upstream leaves it may still be given work.
pub const LEAVING_GRACE_MICROS: u64 = 3_000_000;

/// One thing that must never happen.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Violation {
    /// A caller was never told anything.
    Unanswered(CallNumber),
    /// A caller has an answer, and no upstream ran the call.
    Lost(CallNumber),
    /// A call that must run at most once ran this often.
    Doubled(CallNumber, u64),
    /// Calls with one key ran this often together.
    KeyDoubled(KeyNumber, u64),
    /// A caller got the answer to another call.
    Mixed {
        /// The caller's call.
        call: CallNumber,
        /// The call that the answer belongs to.
        of: CallNumber,
    },
    /// A caller was told that the call did not run, and it did.
    NotRunRan(CallNumber),
    /// What the callers of one key were told fits no order of the calls.
    KeyContradiction(KeyNumber),
    /// A node went to a lower version of the configuration.
    Reverted {
        /// The node.
        node: String,
        /// The version it had.
        from: u64,
        /// The version it took.
        to: u64,
    },
    /// An upstream was given work more than the grace after it announced that it leaves.
    WorkAfterLeaving {
        /// The upstream.
        upstream: String,
        /// The call.
        call: CallNumber,
    },
}

/// One call and all that is known of it.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// When it was sent.
    pub started: u64,
    /// When its caller was told the outcome, and which.
    pub ended: Option<(u64, Told)>,
    /// Its key.
    pub key: Option<KeyNumber>,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// When its runs began.
    pub runs: Vec<u64>,
}

/// All calls of a history.
pub type Calls = BTreeMap<CallNumber, CallRecord>;

/// All violations in a whole history, in a fixed order. The events may come in any order.
#[must_use]
pub fn check_history(events: &[Event]) -> Vec<Violation> {
    let mut ordered: Vec<&Event> = events.iter().collect();
    ordered.sort_by_key(|event| event.at_micros);
    let calls = collect_calls(&ordered);
    let mut found = Vec::new();
    for (number, call) in &calls {
        check_call(*number, call, &calls, &mut found);
    }
    check_keys(&calls, &mut found);
    check_versions(&ordered, &mut found);
    check_leaving(&ordered, &mut found);
    found.sort();
    found
}

fn collect_calls(events: &[&Event]) -> Calls {
    let mut calls = Calls::new();
    for event in events {
        if let Happening::Started {
            call,
            key,
            idempotent,
        } = &event.happening
        {
            let record = CallRecord {
                started: event.at_micros,
                ended: None,
                key: *key,
                idempotent: *idempotent,
                runs: Vec::new(),
            };
            calls.insert(*call, record);
        }
    }
    for event in events {
        match &event.happening {
            Happening::Ended { call, told } => {
                if let Some(record) = calls.get_mut(call) {
                    record.ended = Some((event.at_micros, *told));
                }
            }
            Happening::Ran { call, .. } => {
                if let Some(record) = calls.get_mut(call) {
                    record.runs.push(event.at_micros);
                }
            }
            Happening::Started { .. }
            | Happening::Version { .. }
            | Happening::Leaving { .. }
            | Happening::Joined { .. } => {}
        }
    }
    calls
}

fn check_call(number: CallNumber, call: &CallRecord, calls: &Calls, found: &mut Vec<Violation>) {
    if call.runs.len() > 1 && !call.idempotent {
        found.push(Violation::Doubled(number, call.runs.len() as u64));
    }
    match call.ended {
        None => found.push(Violation::Unanswered(number)),
        Some((_, Told::Answered { of })) => check_answer(number, call, of, calls, found),
        Some((_, Told::NotRun)) if !call.runs.is_empty() => {
            found.push(Violation::NotRunRan(number));
        }
        Some((_, Told::NotRun | Told::Unknown)) => {}
    }
}

/// An answer belongs to the call itself, or to an earlier call with the same key.
fn check_answer(
    number: CallNumber,
    call: &CallRecord,
    of: CallNumber,
    calls: &Calls,
    found: &mut Vec<Violation>,
) {
    let answered = calls.get(&of);
    let same_key = answered.is_some_and(|other| other.key.is_some() && other.key == call.key);
    if of != number && !same_key {
        found.push(Violation::Mixed { call: number, of });
        return;
    }
    if answered.is_none_or(|other| other.runs.is_empty()) {
        found.push(Violation::Lost(number));
    }
}

fn check_keys(calls: &Calls, found: &mut Vec<Violation>) {
    let mut runs: BTreeMap<KeyNumber, u64> = BTreeMap::new();
    for call in calls.values().filter(|call| !call.idempotent) {
        if let Some(key) = call.key {
            *runs.entry(key).or_default() += call.runs.len() as u64;
        }
    }
    let doubled = runs.into_iter().filter(|(_, count)| *count > 1);
    found.extend(doubled.map(|(key, count)| Violation::KeyDoubled(key, count)));
    let contradictions = keys_not_linearizable(calls).into_iter();
    found.extend(contradictions.map(Violation::KeyContradiction));
}

fn check_versions(events: &[&Event], found: &mut Vec<Violation>) {
    let mut highest: BTreeMap<(&str, u64), u64> = BTreeMap::new();
    for event in events {
        let Happening::Version {
            node,
            incarnation,
            version,
        } = &event.happening
        else {
            continue;
        };
        let held = highest.entry((node, *incarnation)).or_default();
        if *version < *held {
            found.push(Violation::Reverted {
                node: node.clone(),
                from: *held,
                to: *version,
            });
        }
        *held = (*held).max(*version);
    }
}

fn check_leaving(events: &[&Event], found: &mut Vec<Violation>) {
    let mut leaving: BTreeMap<&str, u64> = BTreeMap::new();
    for event in events {
        match &event.happening {
            Happening::Leaving { upstream } => {
                leaving.entry(upstream).or_insert(event.at_micros);
            }
            Happening::Joined { upstream } => {
                leaving.remove(upstream.as_str());
            }
            Happening::Ran { call, upstream, .. } => {
                let since = leaving.get(upstream.as_str());
                if since.is_some_and(|since| event.at_micros > since + LEAVING_GRACE_MICROS) {
                    found.push(Violation::WorkAfterLeaving {
                        upstream: upstream.clone(),
                        call: *call,
                    });
                }
            }
            Happening::Started { .. } | Happening::Ended { .. } | Happening::Version { .. } => {}
        }
    }
}

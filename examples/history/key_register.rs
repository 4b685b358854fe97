//! A key as a register that is written at most once, checked for linearizability by `todc-utils`.
//!
//! This finds what counting runs can't: an order of replies that no single register could give, such as
//! `not run` to a call that began after another call with the key was answered.

use super::{
    checker::{CallRecord, Calls},
    event::{CallNumber, KeyNumber, Told},
};
use std::collections::BTreeMap;
use todc_utils::{
    linearizability::{
        WGLChecker,
        history::{Action, History},
    },
    specifications::Specification,
};

/// A call with the key and what it is known to have done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum KeyOperation {
    /// It ran, and its caller was told so or told `unknown`.
    Wrote(CallNumber),
    /// Its caller got the answer to an earlier call.
    Read(CallNumber),
    /// Its caller was told that nothing ran.
    ReadEmpty,
    /// It ran nothing and its caller was told nothing that could be wrong.
    Nothing,
}

struct KeyRegister;

impl Specification for KeyRegister {
    type State = Option<CallNumber>;
    type Operation = KeyOperation;

    fn init() -> Self::State {
        None
    }

    fn apply(operation: &KeyOperation, state: &Self::State) -> (bool, Self::State) {
        match operation {
            KeyOperation::Wrote(call) => (state.is_none(), Some(*call)),
            KeyOperation::Read(call) => (*state == Some(*call), *state),
            KeyOperation::ReadEmpty => (state.is_none(), *state),
            KeyOperation::Nothing => (true, *state),
        }
    }
}

/// The keys whose calls fit no order.
pub fn keys_not_linearizable(calls: &Calls) -> Vec<KeyNumber> {
    let mut by_key: BTreeMap<KeyNumber, Vec<(CallNumber, &CallRecord)>> = BTreeMap::new();
    for (number, call) in calls.iter().filter(|(_, call)| !call.idempotent) {
        if let Some(key) = call.key {
            by_key.entry(key).or_default().push((*number, call));
        }
    }
    by_key.retain(|_, calls| !is_linearizable(calls));
    by_key.into_keys().collect()
}

fn is_linearizable(calls: &[(CallNumber, &CallRecord)]) -> bool {
    let mut actions = Vec::new();
    for (process, (number, call)) in calls.iter().enumerate() {
        let operation = describe(*number, call);
        actions.push((call.started, process, Action::Call(operation)));
        actions.push((response_time(call), process, Action::Response(operation)));
    }
    // Of two events at one time the call counts as the earlier one, which only allows more orders.
    actions.sort_by_key(|(at, _, action)| (*at, matches!(action, Action::Response(_))));
    let actions = actions
        .into_iter()
        .map(|(_, process, action)| (process, action));
    WGLChecker::<KeyRegister>::is_linearizable(History::from_actions(actions.collect()))
}

fn describe(number: CallNumber, call: &CallRecord) -> KeyOperation {
    match call.ended {
        Some((_, Told::Answered { of })) if of != number => KeyOperation::Read(of),
        Some((_, Told::NotRun)) => KeyOperation::ReadEmpty,
        Some((_, Told::Unknown)) | None if call.runs.is_empty() => KeyOperation::Nothing,
        Some((_, Told::Answered { .. } | Told::Unknown)) | None => KeyOperation::Wrote(number),
    }
}

/// A call without a certain outcome may take effect as late as its last run.
fn response_time(call: &CallRecord) -> u64 {
    let last_run = call.runs.iter().max().copied().unwrap_or(0);
    match call.ended {
        Some((at, Told::Answered { .. } | Told::NotRun)) => at,
        Some((at, Told::Unknown)) => at.max(last_run),
        None => u64::MAX,
    }
}

//! Finds out which call a run or an answer belongs to.
//!
//! All calls with a key are the same request, so that upstreams can't tell them apart by it. The node's
//! identity of the call does; a caller without a reply never learns it.

use super::{
    callers::{AnswerNames, ToldRecord},
    event::{CallNumber, Event, Happening, Told},
};
use std::collections::{BTreeMap, BTreeSet};

/// Calls by what upstreams know of them.
pub struct Attribution<'a> {
    by_id: BTreeMap<(CallNumber, &'a str), CallNumber>,
    /// A call of the group that got no reply.
    silent: BTreeMap<CallNumber, CallNumber>,
    told: &'a [ToldRecord],
}

impl<'a> Attribution<'a> {
    /// From what the callers know.
    #[must_use]
    pub fn new(told: &'a [ToldRecord]) -> Self {
        let known = told.iter().filter_map(|one| {
            let id = one.id.as_deref()?;
            Some(((one.group, id), one.call))
        });
        let silent = told.iter().filter(|one| one.id.is_none());
        Self {
            by_id: known.collect(),
            silent: silent.map(|one| (one.group, one.call)).collect(),
            told,
        }
    }

    /// The call that ran. A run that no reply names was of a call without a reply; if there is none, it
    /// counts for the first call of the group, so that counting finds it.
    #[must_use]
    pub fn find_call(&self, names: &AnswerNames) -> CallNumber {
        let by_id = names
            .id
            .as_deref()
            .and_then(|id| self.by_id.get(&(names.group, id)));
        let found = by_id.or_else(|| self.silent.get(&names.group));
        found.copied().unwrap_or(names.group)
    }

    /// Sets in all answers which call they belong to.
    pub fn assign_answers(&self, events: &mut [Event]) {
        let told: BTreeMap<CallNumber, &ToldRecord> =
            self.told.iter().map(|one| (one.call, one)).collect();
        let ran = self.calls_that_ran(events);
        for event in events {
            if let Happening::Ended {
                call,
                told: Told::Answered { of },
            } = &mut event.happening
                && let Some(record) = told.get(call)
            {
                *of = match &record.answer {
                    Some(names) => self.find_call(names),
                    None => error_of(record, &ran),
                };
            }
        }
    }

    /// The groups of calls that ran, with the call.
    fn calls_that_ran(&self, events: &[Event]) -> BTreeSet<(CallNumber, CallNumber)> {
        let ran: BTreeSet<CallNumber> = events
            .iter()
            .filter_map(|event| match event.happening {
                Happening::Ran { call, .. } => Some(call),
                _ => None,
            })
            .collect();
        let told = self.told.iter().filter(|one| ran.contains(&one.call));
        told.map(|one| (one.group, one.call)).collect()
    }
}

/// An upstream's error names no call: it is the call's own if that ran, else the one of its group that did.
fn error_of(record: &ToldRecord, ran: &BTreeSet<(CallNumber, CallNumber)>) -> CallNumber {
    if ran.contains(&(record.group, record.call)) {
        return record.call;
    }
    let mut of_group = ran.iter().filter(|(group, _)| *group == record.group);
    of_group.next().map_or(record.call, |(_, call)| *call)
}

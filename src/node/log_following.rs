//! Takes what the log's reader, or a peer, tells of the log.

use crate::{
    coordination::log_reader::LogUpdate,
    events::{event::Event, reasons::ConfigurationSource},
    node::{
        configuring::apply_configuration,
        core::{ConfigurationInForce, NodeCore},
        keyed_calls::{note_fresh_owners, take_ownership_update},
        mesh::perform,
    },
    protocol::gossip::{LogKnowledge, StateShare},
    state::{
        log_record::Offset,
        membership::MembershipRecord,
        moment::Moment,
        published::{FoldEffect, FoldedState, MembershipEffect},
    },
    transport::platform::ReaderCommand,
};
use bytes::Bytes;
use flume::Receiver;
use std::{rc::Rc, sync::Arc};

/// Takes the reader's updates until the reader has ended.
pub async fn follow_log(core: Rc<NodeCore>, updates: Receiver<LogUpdate>) {
    while let Ok(update) = updates.recv_async().await {
        take_update(&core, update);
    }
}

fn take_update(core: &Rc<NodeCore>, update: LogUpdate) {
    take_ownership_update(core, &update);
    match update {
        LogUpdate::Folded { state, records } => {
            let effects: Vec<FoldEffect> =
                records.into_iter().map(|record| record.effect).collect();
            take_state(core, &state, &effects);
        }
        LogUpdate::CaughtUp { next, fresh_at } => {
            note_recovered(core);
            note_fresh(core, next, fresh_at);
        }
        LogUpdate::Unavailable { .. } => note_unavailable(core),
        LogUpdate::NoBase { first_retained } => {
            let expected = core.folded.borrow().next().0;
            let found = first_retained.0;
            core.recorder
                .record(Event::LogGap { expected, found }, None);
        }
        LogUpdate::WentBackwards { next } => {
            let expected = core.folded.borrow().next().0;
            let found = next.0;
            core.recorder
                .record(Event::LogGap { expected, found }, None);
        }
    }
}

fn take_state(core: &Rc<NodeCore>, state: &Arc<FoldedState>, effects: &[FoldEffect]) {
    let source = if effects.is_empty() {
        ConfigurationSource::Snapshot
    } else {
        ConfigurationSource::Log
    };
    *core.folded.borrow_mut() = Arc::clone(state);
    if effects.is_empty() {
        let members = state.members().cloned();
        members.for_each(|member| tell_membership(core, &MembershipRecord::Join(member)));
    }
    for effect in effects {
        take_effect(core, effect);
    }
    let configuration = ConfigurationInForce {
        version: state.version(),
        content: state.configuration().clone(),
    };
    apply_configuration(core, configuration, source);
}

fn take_effect(core: &Rc<NodeCore>, effect: &FoldEffect) {
    match effect {
        FoldEffect::Membership(MembershipEffect::Joined { member, .. }) => {
            tell_membership(core, &MembershipRecord::Join(member.clone()));
        }
        FoldEffect::Membership(MembershipEffect::Left(leave)) => {
            let record = MembershipRecord::Leave {
                name: leave.node.clone(),
                incarnation: leave.incarnation,
            };
            tell_membership(core, &record);
        }
        _ => {}
    }
}

fn tell_membership(core: &Rc<NodeCore>, record: &MembershipRecord) {
    let now = core.timers.now();
    let actions = core.membership.borrow_mut().on_log(record, now);
    perform(core, actions);
}

/// Everything below `next` is folded, and nothing more was in the log at `as_of`.
fn note_fresh(core: &NodeCore, next: Offset, as_of: Moment) {
    let now = core.timers.now();
    let knowledge = LogKnowledge {
        configuration_version: core.configuration().version,
        offset: next.0,
        age: now.since(as_of),
    };
    core.membership
        .borrow_mut()
        .set_log_knowledge(knowledge, now);
}

/// Takes a peer's word on how fresh its knowledge is. Its age counts from the moment of asking,
/// since the answer may have been given at once and travelled long.
pub fn note_peer_log(core: &NodeCore, log: &LogKnowledge, asked: Moment) {
    let folded = core.folded.borrow().next();
    let as_of = asked - log.age;
    let now = core.timers.now();
    let own_age = core.membership.borrow().log_knowledge(now).age;
    // Freshness is worth something only for a state that reaches as far as the peer's.
    if log.offset > 0 && folded.0 >= log.offset && now.since(as_of) < own_age {
        note_fresh(core, folded, as_of);
        note_fresh_owners(core, as_of);
    }
}

fn note_unavailable(core: &NodeCore) {
    let failures = core.log_failures.get() + 1;
    core.log_failures.set(failures);
    if failures == 1 {
        core.log_failing_since.set(core.timers.now());
        core.recorder
            .record(Event::LogUnavailable { failures }, None);
    }
}

fn note_recovered(core: &NodeCore) {
    if core.log_failures.replace(0) > 0 {
        let outage = core.timers.now().since(core.log_failing_since.get());
        let outage_ms = u64::try_from(outage.as_millis()).unwrap_or(u64::MAX);
        core.recorder
            .record(Event::LogRecovered { outage_ms }, None);
    }
}

/// The state for a peer that has folded the log up to `after`, if this node is ahead.
pub fn share_state(core: &NodeCore, after: u64) -> StateShare {
    let state = Arc::clone(&core.folded.borrow());
    if state.next().0 <= after {
        return StateShare::None;
    }
    match serde_json::to_vec(&*state) {
        Ok(encoded) => StateShare::Snapshot {
            offset: state.next().0,
            state: Bytes::from(encoded),
        },
        Err(_) => StateShare::None,
    }
}

/// Hands a peer's state to the reader, which adopts it if it is ahead.
pub fn take_shared_state(core: &NodeCore, share: &StateShare) {
    let StateShare::Snapshot { offset, state } = share else {
        return;
    };
    if *offset <= core.folded.borrow().next().0 {
        return;
    }
    match serde_json::from_slice::<FoldedState>(state) {
        Ok(state) => core.log.command(ReaderCommand::Adopt(Box::new(state))),
        Err(error) => tracing::warn!(%error, "a peer's state can't be read"),
    }
}

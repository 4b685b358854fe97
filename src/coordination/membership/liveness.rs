//! From a failed exchange to a dead member, and when the dead are forgotten.

use crate::{
    coordination::membership::{Membership, MembershipTiming, actions::MembershipAction},
    protocol::gossip::{DeclaredState, Health},
    state::{
        member::Incarnation,
        membership::{MemberRecord, MembershipRecord, SUSPECTING_LIMIT, rank},
        moment::Moment,
        names::NodeName,
    },
};
use std::time::Duration;

/// From this many failures in a row on, a node takes itself for cut off and buries no one.
const CUT_OFF_FROM: u32 = 4;
/// A tick that comes this late means that this process was paused.
const PAUSE: Duration = Duration::from_secs(2);
/// How long after a pause of this process failures are not counted.
const PAUSE_GRACE: Duration = Duration::from_secs(2);
/// How long the end of a run that left by itself is remembered.
const LEFT_KEPT: Duration = Duration::from_mins(5);
/// How long a dead member is tried again before its leave is appended to the log.
///
/// Longer than regions lose each other for.
const DEAD_KEPT: Duration = Duration::from_hours(1);
/// Time between two looks for members to be forgotten.
const BURY_PERIOD: Duration = Duration::from_mins(1);

impl Membership {
    /// An exchange with this run of a member failed.
    pub fn on_peer_failure(
        &mut self,
        name: &NodeName,
        incarnation: Incarnation,
        now: Moment,
    ) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        if now < self.schedule.grace_until || *name == self.own_name {
            return actions;
        }
        let known = self.table.get(name);
        let Some(record) = known.filter(|record| record.member.incarnation == incarnation) else {
            return actions;
        };
        if record.health == Health::Dead {
            return actions;
        }
        self.failures_in_a_row = self.failures_in_a_row.saturating_add(1);
        let own_name = self.own_name.clone();
        self.change(name, now, &mut actions, |own| {
            let news = own.table.update(name, |record| {
                record.set_health(Health::Suspected, now);
                record.add_suspecting(&own_name)
            });
            if news == Some(true) {
                own.rumours.add(name, false);
            }
        });
        actions
    }

    /// Notices that this process was paused: what failed meanwhile says nothing of the others.
    pub(super) fn note_tick(&mut self, now: Moment) {
        let last = self.schedule.last_tick.replace(now);
        if last.is_some_and(|last| now.since(last) > PAUSE) {
            self.schedule.grace_until = now + PAUSE_GRACE;
        }
    }

    /// Ends a run of failures. A node that was cut off takes back what it alone suspected then; else
    /// it would bury at once all whose time ran out meanwhile.
    pub(super) fn note_success(&mut self, now: Moment, actions: &mut Vec<MembershipAction>) {
        let failures = std::mem::take(&mut self.failures_in_a_row);
        if failures < CUT_OFF_FROM {
            return;
        }
        let own_name = self.own_name.clone();
        let alone = |record: &&MemberRecord| {
            record.health == Health::Suspected && record.suspected_by == [own_name.clone()]
        };
        let suspected = self.table.iter().filter(alone);
        let names: Vec<NodeName> = suspected.map(|record| record.member.name.clone()).collect();
        for name in names {
            self.change(&name, now, actions, |own| {
                own.table
                    .update(&name, |record| record.withdraw_suspicion(now));
                own.rumours.remove(&name);
            });
        }
    }

    pub(super) fn judge_suspected(&mut self, now: Moment, actions: &mut Vec<MembershipAction>) {
        // A node that reaches no one would bury the whole mesh, and spread that when it is back.
        if self.failures_in_a_row >= CUT_OFF_FROM || now < self.schedule.grace_until {
            return;
        }
        let judging = self
            .table
            .iter()
            .filter(|record| record.health == Health::Alive && record.member.name != self.own_name);
        let wanted = SUSPECTING_LIMIT.min(judging.count() + 1);
        let dead: Vec<NodeName> = self
            .table
            .iter()
            .filter(|record| record.health == Health::Suspected)
            .filter(|record| self.timing.is_over(record, wanted, now))
            .map(|record| record.member.name.clone())
            .collect();
        for name in dead {
            self.change(&name, now, actions, |own| {
                own.table
                    .update(&name, |record| record.set_health(Health::Dead, now));
                own.rumours.add(&name, false);
            });
        }
    }

    /// Forgets members that left long ago; has the log forget members that died long ago.
    pub(super) fn forget_dead(&mut self, now: Moment, actions: &mut Vec<MembershipAction>) {
        if now < self.schedule.bury {
            return;
        }
        self.schedule.bury = now + BURY_PERIOD;
        let overdue = |record: &&MemberRecord| record.health == Health::Dead;
        let dead: Vec<MemberRecord> = self.table.iter().filter(overdue).cloned().collect();
        for record in dead {
            let name = &record.member.name;
            let age = now.since(record.health_since);
            if record.declared == DeclaredState::Draining && age >= LEFT_KEPT {
                self.table.remove(name);
            } else if age >= DEAD_KEPT && self.is_chosen_to_bury(name) {
                actions.push(MembershipAction::Append(MembershipRecord::Leave {
                    name: name.clone(),
                    incarnation: record.member.incarnation,
                }));
            }
        }
    }

    /// One live node, the same for all, appends the leave; it does so again until the log shows it.
    fn is_chosen_to_bury(&self, dead: &NodeName) -> bool {
        let alive = self
            .table
            .iter()
            .filter(|record| record.health == Health::Alive);
        let chosen = alive.min_by_key(|record| rank(dead.as_str(), &record.member.name));
        chosen.is_some_and(|record| record.member.name == self.own_name)
    }
}

impl MembershipTiming {
    /// Whether a suspected member has had its time, when `wanted` nodes must confirm a suspicion.
    fn is_over(&self, record: &MemberRecord, wanted: usize, now: Moment) -> bool {
        let age = now.since(record.health_since);
        let confirmed = record.suspected_by.len() >= wanted;
        age >= self.unconfirmed_timeout || (confirmed && age >= self.confirmed_timeout)
    }
}

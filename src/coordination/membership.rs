//! Which members there are and which of them can be reached.
//!
//! Members are learned from the log and from other nodes. Each node sends one heartbeat a period to
//! a random member, with a bounded number of news on others, so that the cost a node does not grow
//! with the mesh. A member that one node can't reach is suspected; it is taken for dead when others
//! confirm that, or after a longer time, and comes back as soon as it shows itself. The dead are
//! tried again now and then, so that two parts of a mesh find each other again.

pub mod actions;
mod exchange;
mod liveness;
mod reconcile;
mod rumours;
mod sending;
mod timing;

pub use self::timing::MembershipTiming;

use crate::{
    coordination::membership::{actions::MembershipAction, rumours::RumourQueue, timing::Schedule},
    protocol::gossip::{DeclaredState, Health, LogKnowledge, Revision},
    state::{
        member::{Incarnation, Member},
        membership::{
            MemberRecord, MemberState, MembershipRecord,
            table::{Applied, MemberTable},
        },
        moment::Moment,
        names::NodeName,
    },
};
use rand::{SeedableRng, rngs::StdRng};
use std::{net::SocketAddr, time::Duration};

/// How often the node calls [`Membership::on_tick`].
pub const TICK_PERIOD: Duration = Duration::from_millis(250);

/// The membership as one node sees it.
pub struct Membership {
    own_name: NodeName,
    table: MemberTable,
    rumours: RumourQueue,
    seeds: Vec<SocketAddr>,
    rng: StdRng,
    log: LogKnowledge,
    log_noted: Moment,
    /// Whether the own join shows in the log.
    join_logged: bool,
    /// There is news that can't wait for the next heartbeat.
    urgent: bool,
    /// Exchanges that failed since the last that succeeded.
    failures_in_a_row: u32,
    /// Messages sent because of another one since the last heartbeat.
    follow_ups: u32,
    timing: MembershipTiming,
    schedule: Schedule,
}

impl Membership {
    /// A node that knows itself and the addresses of some others. `random_seed` must differ from
    /// node to node.
    #[must_use]
    pub fn new(own: Member, seeds: Vec<SocketAddr>, random_seed: u64, now: Moment) -> Self {
        let own_name = own.name.clone();
        let mut table = MemberTable::default();
        table.insert(MemberRecord::new(
            own,
            Revision(1),
            DeclaredState::Joining,
            now,
        ));
        let mut rumours = RumourQueue::default();
        rumours.add(&own_name, true);
        Self {
            own_name,
            table,
            rumours,
            seeds,
            rng: StdRng::seed_from_u64(random_seed),
            log: LogKnowledge::default(),
            log_noted: now,
            join_logged: false,
            urgent: false,
            failures_in_a_row: 0,
            follow_ups: 0,
            timing: MembershipTiming::default(),
            schedule: Schedule::default(),
        }
    }

    /// The same with other spans than the default ones.
    #[must_use]
    pub fn with_timing(self, timing: MembershipTiming) -> Self {
        Self { timing, ..self }
    }

    /// To be called every [`TICK_PERIOD`].
    pub fn on_tick(&mut self, now: Moment) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        self.note_tick(now);
        self.judge_suspected(now, &mut actions);
        self.forget_dead(now, &mut actions);
        self.send_urgent(now, &mut actions);
        self.send_heartbeat(now, &mut actions);
        self.retry_dead(now, &mut actions);
        self.contact_seed(now, &mut actions);
        self.append_join(now, &mut actions);
        actions
    }

    /// A record of the log, in the order of the log.
    pub fn on_log(&mut self, record: &MembershipRecord, now: Moment) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        match record {
            MembershipRecord::Join(member) if member.name == self.own_name => {
                let own = self.own().member.incarnation;
                self.join_logged |= member.incarnation == own;
                if member.incarnation > own {
                    actions.push(MembershipAction::Superseded(member.incarnation));
                }
            }
            MembershipRecord::Join(member) => self.change(&member.name, now, &mut actions, |own| {
                if own.table.apply_join(member, now) == Applied::Changed {
                    own.rumours.add(&member.name, true);
                }
            }),
            MembershipRecord::Leave { name, incarnation } => {
                self.on_logged_leave(name, *incarnation, now, &mut actions);
            }
        }
        actions
    }

    /// What the node knows of the log now. Newer knowledge is told to others at once.
    pub fn set_log_knowledge(&mut self, log: LogKnowledge, now: Moment) {
        self.urgent |= log.offset > self.log.offset;
        self.log = log;
        self.log_noted = now;
    }

    /// The node's own upstream is announced and takes work, or does not any more.
    pub fn set_serving(&mut self, serving: bool, now: Moment) -> Vec<MembershipAction> {
        let declared = if serving {
            DeclaredState::Serving
        } else {
            DeclaredState::Joining
        };
        let current = self.own().declared;
        if current == DeclaredState::Draining || current == declared {
            return Vec::new();
        }
        self.declare(declared);
        self.broadcast(now)
    }

    /// The node takes no new work from now on. The broadcast goes to all that may send it work.
    pub fn leave(&mut self, now: Moment) -> Vec<MembershipAction> {
        if self.own().declared == DeclaredState::Draining {
            return Vec::new();
        }
        self.declare(DeclaredState::Draining);
        self.broadcast(now)
    }

    /// The node has finished its work and is about to end.
    pub fn finish(&mut self, now: Moment) -> Vec<MembershipAction> {
        let own_name = self.own_name.clone();
        self.declare(DeclaredState::Draining);
        self.table
            .update(&own_name, |own| own.set_health(Health::Dead, now));
        let mut actions = self.broadcast(now);
        actions.push(MembershipAction::Append(MembershipRecord::Leave {
            name: own_name,
            incarnation: self.own().member.incarnation,
        }));
        actions
    }

    /// All members but this node, with their states.
    pub fn members(&self, now: Moment) -> impl Iterator<Item = (&Member, MemberState)> {
        let others = self.table.iter();
        let others = others.filter(|record| record.member.name != self.own_name);
        others.map(move |record| (&record.member, record.state(now)))
    }

    /// Digest of all members that aren't dead; equal at nodes that know the same of them.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.table.digest()
    }

    /// The state of this node.
    #[must_use]
    pub fn own_state(&self, now: Moment) -> MemberState {
        self.own().state(now)
    }

    /// Whether this node is one of the few of its availability zone that read the log.
    #[must_use]
    pub fn is_log_reader(&self) -> bool {
        self.table.is_log_reader(&self.own_name)
    }

    /// What is known of the log, with its age as of now.
    #[must_use]
    pub fn log_knowledge(&self, now: Moment) -> LogKnowledge {
        LogKnowledge {
            age: self.log.age + now.since(self.log_noted),
            ..self.log
        }
    }

    fn own(&self) -> &MemberRecord {
        self.table
            .get(&self.own_name)
            .expect("a node never takes its own record out of its table")
    }

    /// A new statement of this node on itself.
    fn declare(&mut self, declared: DeclaredState) {
        let own_name = self.own_name.clone();
        self.table.update(&own_name, |own| {
            own.declared = declared;
            own.revision.0 = own.revision.0.saturating_add(1);
        });
        self.rumours.add(&own_name, false);
        self.urgent = true;
    }

    fn broadcast(&mut self, now: Moment) -> Vec<MembershipAction> {
        let gossip = self.new_gossip(now);
        vec![MembershipAction::Broadcast(Box::new(gossip))]
    }

    /// Runs a change of one member and reports what the node has to know of it.
    fn change(
        &mut self,
        name: &NodeName,
        now: Moment,
        actions: &mut Vec<MembershipAction>,
        change: impl FnOnce(&mut Self),
    ) {
        let before = self.view(name, now);
        change(self);
        let after = self.view(name, now);
        if before != after && *name != self.own_name {
            report(before, after, actions);
        }
    }

    fn view(&self, name: &NodeName, now: Moment) -> Option<(Member, MemberState)> {
        let record = self.table.get(name)?;
        Some((record.member.clone(), record.state(now)))
    }

    fn on_logged_leave(
        &mut self,
        name: &NodeName,
        incarnation: Incarnation,
        now: Moment,
        actions: &mut Vec<MembershipAction>,
    ) {
        let held = self.table.get(name).map(|record| record.member.incarnation);
        if held != Some(incarnation) {
            return;
        }
        if *name == self.own_name {
            // Others took this node for gone for a long time; it is not.
            self.join_logged = false;
            return;
        }
        self.change(name, now, actions, |own| {
            own.table.remove(name);
        });
    }
}

fn report(
    before: Option<(Member, MemberState)>,
    after: Option<(Member, MemberState)>,
    actions: &mut Vec<MembershipAction>,
) {
    let before = before.filter(|(_, state)| *state != MemberState::Dead);
    let after = after.filter(|(_, state)| *state != MemberState::Dead);
    match (before, after) {
        (Some((old, _)), Some((new, state))) if old.incarnation == new.incarnation => {
            actions.push(MembershipAction::MemberChanged(new, state));
        }
        (before, after) => {
            actions.extend(before.map(|(old, _)| MembershipAction::MemberGone(old)));
            actions.extend(after.map(|(new, state)| MembershipAction::MemberUp(new, state)));
        }
    }
}

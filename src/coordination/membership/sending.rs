//! What a node sends by itself: heartbeats, urgent news, retries, contacts and its own join.

use crate::{
    coordination::membership::{Membership, actions::MembershipAction},
    protocol::gossip::{DeclaredState, Gossip, Health},
    state::{
        member::Member,
        membership::{MemberRecord, MembershipRecord},
        moment::Moment,
    },
};
use rand::seq::IteratorRandom;
use std::time::Duration;

/// Time between two attempts to reach a dead member.
const DEAD_RETRY_PERIOD: Duration = Duration::from_secs(10);
/// Time between two contacts to a seed while no other member can be reached.
const SEED_PERIOD_ALONE: Duration = Duration::from_secs(1);
/// Time between two contacts to a seed otherwise.
const SEED_PERIOD: Duration = Duration::from_mins(1);
/// Time between two appends of the own join while it does not show in the log.
const JOIN_PERIOD: Duration = Duration::from_secs(5);

impl Membership {
    pub(super) fn append_join(&mut self, now: Moment, actions: &mut Vec<MembershipAction>) {
        let own = self.own();
        if self.join_logged || own.declared == DeclaredState::Draining || now < self.schedule.join {
            return;
        }
        let member = own.member.clone();
        actions.push(MembershipAction::Append(MembershipRecord::Join(member)));
        self.schedule.join = now + JOIN_PERIOD;
    }

    pub(super) fn send_heartbeat(&mut self, now: Moment, actions: &mut Vec<MembershipAction>) {
        if now < self.schedule.gossip {
            return;
        }
        self.schedule.gossip = now + self.timing.heartbeat;
        self.follow_ups = 0;
        let to = self.choose(1, |record| record.health != Health::Dead);
        self.send_to(to, now, actions);
    }

    pub(super) fn send_urgent(&mut self, now: Moment, actions: &mut Vec<MembershipAction>) {
        if !std::mem::take(&mut self.urgent) {
            return;
        }
        let to = self.choose(self.timing.urgent_fanout, |record| {
            record.health == Health::Alive
        });
        self.send_to(to, now, actions);
    }

    pub(super) fn retry_dead(&mut self, now: Moment, actions: &mut Vec<MembershipAction>) {
        if now < self.schedule.dead_retry {
            return;
        }
        self.schedule.dead_retry = now + DEAD_RETRY_PERIOD;
        let to = self.choose(1, |record| {
            record.health == Health::Dead && record.declared != DeclaredState::Draining
        });
        self.send_to(to, now, actions);
    }

    pub(super) fn contact_seed(&mut self, now: Moment, actions: &mut Vec<MembershipAction>) {
        if now < self.schedule.seed {
            return;
        }
        let alone = self
            .choose(1, |record| record.health == Health::Alive)
            .is_empty();
        let period = if alone {
            SEED_PERIOD_ALONE
        } else {
            SEED_PERIOD
        };
        self.schedule.seed = now + period;
        let own_address = self.own().member.peer_address;
        let others = self.seeds.iter().filter(|seed| **seed != own_address);
        if let Some(seed) = others.choose(&mut self.rng) {
            actions.push(MembershipAction::ContactSeed(*seed));
        }
    }

    pub(super) fn choose(
        &mut self,
        count: usize,
        wanted: impl Fn(&MemberRecord) -> bool,
    ) -> Vec<Member> {
        let others = self.table.iter();
        let others = others.filter(|record| record.member.name != self.own_name && wanted(record));
        let chosen = others.sample(&mut self.rng, count);
        chosen
            .into_iter()
            .map(|record| record.member.clone())
            .collect()
    }

    pub(super) fn send_to(
        &mut self,
        to: Vec<Member>,
        now: Moment,
        actions: &mut Vec<MembershipAction>,
    ) {
        for to in to {
            let gossip = Box::new(self.new_gossip(now));
            actions.push(MembershipAction::SendGossip { to, gossip });
        }
    }

    pub(super) fn new_gossip(&mut self, now: Moment) -> Gossip {
        Gossip {
            rumours: self.rumours.take(&self.table),
            ..self.new_heartbeat(now)
        }
    }

    pub(super) fn new_heartbeat(&self, now: Moment) -> Gossip {
        let own = self.own();
        Gossip {
            incarnation: own.member.incarnation,
            revision: own.revision,
            declared: own.declared,
            digest: self.table.digest(),
            log: self.log_knowledge(now),
            ..Gossip::default()
        }
    }
}

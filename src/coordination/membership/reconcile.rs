//! Comparing tables: what rumours did not carry, or carried before a part of the mesh was cut off.
//!
//! A node whose digest differs from the other's sends the digests of its buckets; the other asks
//! for one bucket that differs, and both then hold the newer of each member's records.

use crate::{
    coordination::membership::{Membership, actions::MembershipAction},
    protocol::gossip::{DeclaredState, Gossip, Health, Rumour},
    state::{member::Member, membership::MemberRecord, moment::Moment},
};
use rand::seq::IteratorRandom;
use std::time::Duration;

/// Time between two comparisons, so that their cost stays small while news is under way.
const RECONCILE_PERIOD: Duration = Duration::from_secs(4);

impl Membership {
    /// Adds to an answer what the comparison needs.
    pub(super) fn answer_reconciling(&mut self, gossip: &Gossip, now: Moment, reply: &mut Gossip) {
        if let Some(bucket) = gossip.wanted_buckets.first() {
            let records = self.table.iter_bucket(*bucket);
            reply
                .rumours
                .extend(records.map(|record| record.to_rumour(false)));
            // Asks for the other side's records of the same bucket.
            reply.wanted_buckets.push(*bucket);
            return;
        }
        let starting = gossip.declared == DeclaredState::Joining;
        if gossip.digest == reply.digest || (now < self.schedule.reconcile && !starting) {
            return;
        }
        self.schedule.reconcile = now + RECONCILE_PERIOD;
        reply.buckets.extend(self.table.buckets());
    }

    /// The next message of a comparison, if the answer calls for one.
    pub(super) fn go_on_reconciling(
        &mut self,
        from: &Member,
        reply: &Gossip,
        now: Moment,
    ) -> Option<MembershipAction> {
        let gossip = match reply.wanted_buckets.first() {
            Some(bucket) => self.tell_bucket(*bucket, reply, now)?,
            None => self.ask_bucket(reply, now)?,
        };
        Some(MembershipAction::SendGossip {
            to: from.clone(),
            gossip: Box::new(gossip),
        })
    }

    fn ask_bucket(&mut self, reply: &Gossip, now: Moment) -> Option<Gossip> {
        let pairs = self.table.buckets().iter().zip(&reply.buckets);
        let differing = (0_u8..).zip(pairs).filter(|(_, (own, other))| own != other);
        let (bucket, _) = differing.choose(&mut self.rng)?;
        if !self.may_follow_up() {
            return None;
        }
        let mut gossip = self.new_gossip(now);
        gossip.wanted_buckets.push(bucket);
        Some(gossip)
    }

    /// This node's records of a bucket, where the other side's are older or missing.
    fn tell_bucket(&mut self, bucket: u8, reply: &Gossip, now: Moment) -> Option<Gossip> {
        let own = self.table.iter_bucket(bucket);
        let rumours: Vec<Rumour> = own
            .filter_map(|record| match find(reply, record) {
                None => Some(record.to_rumour(true)),
                Some(told) if is_older(told, record) => Some(record.to_rumour(false)),
                Some(_) => None,
            })
            .collect();
        let dead = reply.rumours.iter().filter_map(|told| {
            let record = self.table.get(&told.name)?;
            (record.health == Health::Dead && is_older(told, record))
                .then(|| record.to_rumour(false))
        });
        let rumours: Vec<Rumour> = rumours.into_iter().chain(dead).collect();
        if rumours.is_empty() {
            return None;
        }
        let mut gossip = self.new_gossip(now);
        gossip.rumours.extend(rumours);
        Some(gossip)
    }
}

fn find<'a>(reply: &'a Gossip, record: &MemberRecord) -> Option<&'a Rumour> {
    let mut told = reply.rumours.iter();
    told.find(|told| told.name == record.member.name)
}

fn is_older(told: &Rumour, record: &MemberRecord) -> bool {
    let told = (told.incarnation, told.revision, told.health);
    told < (record.member.incarnation, record.revision, record.health)
}

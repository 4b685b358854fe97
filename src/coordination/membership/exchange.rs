//! Taking in what another node tells, and answering it.

use crate::{
    coordination::membership::{Membership, actions::MembershipAction},
    protocol::gossip::{Gossip, Health, Rumour},
    state::{
        member::Member,
        membership::{SUSPECTING_LIMIT, table::Applied},
        moment::Moment,
        names::NodeName,
    },
};
use rand::RngExt;
use std::time::Duration;

/// Most rumours that one message holds beside the news, to set the other side right.
const CORRECTIONS_LIMIT: usize = 8;
/// Most descriptions asked for and given in one message.
const DESCRIPTIONS_LIMIT: usize = 32;
/// Most messages sent because of another one between two heartbeats.
const FOLLOW_UPS_A_PERIOD: u32 = 16;
/// How long to wait for an answer to a request for state before another is sent.
const STATE_REQUEST_PERIOD: Duration = Duration::from_millis(500);

/// What taking in one message led to.
#[derive(Default)]
pub(super) struct Absorbed {
    pub actions: Vec<MembershipAction>,
    /// Members of which the sender holds something older than this node.
    pub corrections: Vec<NodeName>,
    /// Members whose descriptions are missing here.
    pub undescribed: Vec<NodeName>,
    /// This node had to contradict a statement on itself.
    pub contradicted: bool,
    /// Members that are suspected and that this node wants to see for itself.
    pub doubted: Vec<NodeName>,
}

impl Membership {
    /// A message from another node. The answer goes back to it; state that it asked for
    /// (`wants_state_after`) is for the caller to add.
    pub fn on_gossip(
        &mut self,
        from: &Member,
        gossip: &Gossip,
        now: Moment,
    ) -> (Gossip, Vec<MembershipAction>) {
        let mut absorbed = self.absorb(from, gossip, now);
        let mut reply = if self.note_digest(gossip) {
            self.new_heartbeat(now)
        } else {
            self.new_gossip(now)
        };
        self.add_corrections(&absorbed.corrections, &mut reply);
        self.add_descriptions(&gossip.wanted_descriptions, &mut reply);
        self.answer_reconciling(gossip, now, &mut reply);
        self.ask_back(from, gossip, &absorbed, now)
            .into_iter()
            .for_each(|action| absorbed.actions.push(action));
        (reply, absorbed.actions)
    }

    /// The answer to a message that this node sent.
    pub fn on_reply(
        &mut self,
        from: &Member,
        gossip: &Gossip,
        now: Moment,
    ) -> Vec<MembershipAction> {
        let mut absorbed = self.absorb(from, gossip, now);
        self.note_digest(gossip);
        let follow_up = self.ask_back(from, gossip, &absorbed, now);
        absorbed.actions.extend(follow_up);
        let reconciling = self.go_on_reconciling(from, gossip, now);
        absorbed.actions.extend(reconciling);
        absorbed.actions
    }

    /// Who answered at the address of a seed.
    pub fn on_introduced(&mut self, member: &Member, now: Moment) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        self.change(&member.name, now, &mut actions, |own| {
            if own.table.apply_join(member, now) == Applied::Changed {
                own.rumours.add(&member.name, true);
            }
        });
        if member.name != self.own_name {
            self.send_to(vec![member.clone()], now, &mut actions);
        }
        actions
    }

    /// Whether the sender's table equals this node's, so that no news needs telling.
    fn note_digest(&mut self, gossip: &Gossip) -> bool {
        let equal = gossip.digest == self.table.digest();
        if equal {
            self.rumours.damp(self.table.iter().count());
        }
        equal
    }

    /// Counts one message that is sent because of another.
    ///
    /// Two processes that run under one name and incarnation by mistake contradict each other
    /// without end; without a limit they would do so as fast as the network allows.
    pub(super) fn may_follow_up(&mut self) -> bool {
        self.follow_ups += 1;
        self.follow_ups <= FOLLOW_UPS_A_PERIOD
    }

    fn absorb(&mut self, from: &Member, gossip: &Gossip, now: Moment) -> Absorbed {
        let mut absorbed = Absorbed::default();
        self.note_success(now, &mut absorbed.actions);
        let of_sender = Rumour {
            name: from.name.clone(),
            incarnation: from.incarnation,
            revision: gossip.revision,
            declared: gossip.declared,
            health: Health::Alive,
            suspected_by: None,
            description: Some(from.clone()),
        };
        self.absorb_one(&of_sender, now, &mut absorbed);
        for rumour in &gossip.rumours {
            self.absorb_one(rumour, now, &mut absorbed);
        }
        absorbed
    }

    fn absorb_one(&mut self, rumour: &Rumour, now: Moment, absorbed: &mut Absorbed) {
        if rumour.name == self.own_name {
            self.absorb_on_self(rumour, absorbed);
            return;
        }
        let held = self.table.get(&rumour.name);
        let new_run = held.is_none_or(|held| held.member.incarnation < rumour.incarnation);
        let declared = held.map(|held| held.declared);
        let mut applied = Applied::Unchanged;
        self.change(&rumour.name, now, &mut absorbed.actions, |own| {
            applied = own.table.apply(rumour, now);
        });
        match applied {
            Applied::Unchanged => {}
            Applied::Stale => absorbed.corrections.push(rumour.name.clone()),
            Applied::Undescribed => absorbed.undescribed.push(rumour.name.clone()),
            Applied::Changed => {
                self.rumours.add(&rumour.name, new_run);
                self.urgent |= declared.is_some_and(|declared| declared != rumour.declared);
                if rumour.health == Health::Suspected && self.wants_to_see(now) {
                    absorbed.doubted.push(rumour.name.clone());
                }
            }
        }
    }

    /// Others must hear that this node lives before they take it for dead.
    fn absorb_on_self(&mut self, rumour: &Rumour, absorbed: &mut Absorbed) {
        let own = self.own();
        if own.health == Health::Dead {
            // Said so itself: it is about to end.
            return;
        }
        if rumour.incarnation > own.member.incarnation {
            let superseded = MembershipAction::Superseded(rumour.incarnation);
            absorbed.actions.push(superseded);
            return;
        }
        let outdated = rumour.incarnation < own.member.incarnation
            || (rumour.revision, rumour.health) < (own.revision, own.health);
        if outdated {
            absorbed.corrections.push(rumour.name.clone());
            return;
        }
        if rumour.health == Health::Alive && rumour.revision == own.revision {
            return;
        }
        let own_name = self.own_name.clone();
        self.table.update(&own_name, |own| {
            own.revision.0 = rumour.revision.0.saturating_add(1);
        });
        self.rumours.add(&own_name, false);
        self.urgent = true;
        absorbed.contradicted = true;
    }

    /// About [`SUSPECTING_LIMIT`] nodes of the mesh look for themselves after a suspicion.
    fn wants_to_see(&mut self, now: Moment) -> bool {
        if now < self.schedule.grace_until {
            return false;
        }
        let others = self.table.iter().count().saturating_sub(2).max(1);
        self.rng.random_range(0..others) < SUSPECTING_LIMIT
    }

    fn add_corrections(&self, names: &[NodeName], gossip: &mut Gossip) {
        for name in names.iter().take(CORRECTIONS_LIMIT) {
            let told = gossip.rumours.iter().any(|rumour| rumour.name == *name);
            if let Some(record) = self.table.get(name).filter(|_| !told) {
                gossip.rumours.push(record.to_rumour(false));
            }
        }
    }

    fn add_descriptions(&self, names: &[NodeName], gossip: &mut Gossip) {
        for name in names.iter().take(DESCRIPTIONS_LIMIT) {
            if let Some(record) = self.table.get(name) {
                gossip.rumours.push(record.to_rumour(true));
            }
        }
    }

    /// A further message to the sender, if it knows what this node needs or needs what it knows.
    fn ask_back(
        &mut self,
        from: &Member,
        gossip: &Gossip,
        absorbed: &Absorbed,
        now: Moment,
    ) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        for name in &absorbed.doubted {
            let record = self.table.get(name);
            let member = record.map(|record| record.member.clone());
            self.send_to(member.into_iter().collect(), now, &mut actions);
        }
        let wants_state = gossip.log.offset > self.log.offset && now >= self.schedule.state_request;
        if wants_state {
            self.schedule.state_request = now + STATE_REQUEST_PERIOD;
        }
        let needed = wants_state || absorbed.contradicted || !absorbed.undescribed.is_empty();
        if !needed || !self.may_follow_up() {
            return actions;
        }
        let mut follow_up = self.new_gossip(now);
        follow_up.wants_state_after = wants_state.then_some(self.log.offset);
        let wanted = absorbed.undescribed.iter().take(DESCRIPTIONS_LIMIT);
        follow_up.wanted_descriptions.extend(wanted.cloned());
        actions.push(MembershipAction::SendGossip {
            to: from.clone(),
            gossip: Box::new(follow_up),
        });
        actions
    }
}

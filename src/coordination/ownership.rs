//! The node as an owner of keys: which slots it holds, until when, and what a keyed call gets.
//!
//! One [`KeyOwner`] a node, for the service of its upstream. All that happens to it comes in as
//! events with a [`ClockReading`]; it reads no clock and sends nothing itself.

pub mod directory;
pub mod handover;
pub mod proposal;
mod slots;
pub mod types;

pub use types::{Begin, ClockReading, OwnershipSettings};

use crate::{
    coordination::ownership::{
        handover::{Handover, HandoverAnswer, HandoverDue},
        slots::SlotState,
    },
    state::{
        key_table::{
            KeyTable,
            entry::{KeyStatus, RunEnd, RunNumber},
            key::{Fingerprint, KeyId, Slot, WallMillis},
        },
        lease::{LeaseEnd, LeaseTimes, OwnerLease, Promise},
        moment::Moment,
        ownership::{EpochNumber, Owner, OwnershipEpoch, OwnershipView, ProposedBy},
    },
};
use std::time::Duration;

/// The node as an owner of keys.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct KeyOwner<A> {
    me: Owner,
    settings: OwnershipSettings,
    view: OwnershipView,
    lease: OwnerLease,
    table: KeyTable<A>,
    slots: Vec<SlotState>,
    /// No slot gained so far may be run before this without a handover.
    others_until: Moment,
}

impl<A: Clone> KeyOwner<A> {
    /// A node that knows no epoch and no key.
    #[must_use]
    pub fn new(me: Owner, settings: OwnershipSettings) -> Self {
        let slots = usize::from(settings.table.slots.max(1));
        Self {
            me,
            settings,
            view: OwnershipView::new(),
            lease: OwnerLease::new(settings.times),
            table: KeyTable::new(settings.table, WallMillis::default()),
            slots: vec![SlotState::Foreign; slots],
            others_until: Moment::default(),
        }
    }

    /// This node and its run.
    #[must_use]
    pub fn me(&self) -> &Owner {
        &self.me
    }

    /// The owners as far as known here.
    #[must_use]
    pub fn view(&self) -> &OwnershipView {
        &self.view
    }

    /// The key table, to be looked at.
    #[must_use]
    pub fn table(&self) -> &KeyTable<A> {
        &self.table
    }

    /// When the lease ends, if there is one.
    #[must_use]
    pub fn lease_end(&self, now: Moment) -> Option<LeaseEnd> {
        let me = &self.me;
        let others = self.view.owners().iter().filter(|owner| *owner != me);
        self.lease.end(others, now)
    }

    /// Age of the latest fresh view, to tell to a peer that asks.
    #[must_use]
    pub fn view_age(&self, now: Moment) -> Option<Duration> {
        self.lease.age(now)
    }

    /// Lengths of leases and waits.
    #[must_use]
    pub fn times(&self) -> LeaseTimes {
        self.settings.times
    }

    /// Folds a record of the log, in log order. Returns what is to be handed over, if anything: this
    /// node runs no key of those slots any more.
    pub fn on_record(&mut self, record: &OwnershipEpoch, at: ClockReading) -> Vec<HandoverDue> {
        let former = self.view.clone();
        if !self.view.fold(record, self.settings.table.slots) {
            return Vec::new();
        }
        let by_outsider = record.proposed_by == ProposedBy::Outsider;
        self.change_slots(&former, by_outsider, at)
    }

    /// Takes the owners from a snapshot or from a peer, when records between were not seen.
    pub fn on_snapshot(&mut self, record: &OwnershipEpoch, at: ClockReading) -> Vec<HandoverDue> {
        if record.epoch == self.view.epoch().next() {
            return self.on_record(record, at);
        }
        if !self.view.adopt_snapshot(record, self.settings.table.slots) {
            return Vec::new();
        }
        // The slots of this node may have had other owners in the epochs between.
        self.slots.fill(SlotState::Foreign);
        self.change_slots(&OwnershipView::new(), true, at)
    }

    /// A read sent at `as_of` reached the end of the log, all of it is folded, and `epoch` was the last.
    /// The same may be learnt from a peer: `as_of` is then the moment of asking, less the age it told.
    pub fn on_fresh_view(&mut self, epoch: EpochNumber, as_of: Moment) {
        self.lease.on_fresh_view(epoch, as_of);
    }

    /// Another owner asks for a promise. Tells whether it is given.
    pub fn give_promise(&mut self, to: &Owner, epoch: EpochNumber, now: Moment) -> bool {
        let both_own = self.view.is_owner(to) && self.view.is_owner(&self.me);
        both_own && self.lease.give_promise(epoch, now)
    }

    /// Another owner gave a promise.
    pub fn on_promise(&mut self, promise: Promise) {
        self.lease.on_promise(promise);
    }

    /// Must be called before an epoch is appended to the log; appends only if it returns `true`.
    pub fn start_proposal(&mut self, record: &OwnershipEpoch, now: Moment) -> bool {
        let as_owner = record.proposed_by == ProposedBy::Owner;
        let first = self.view.epoch() == EpochNumber::default();
        if as_owner && !first && !self.view.is_owner(&self.me) {
            return false;
        }
        self.lease.start_proposal(record.epoch, now)
    }

    /// Moves on the slots whose wait is over.
    pub fn on_time(&mut self, at: ClockReading) {
        for place in 0..self.slots.len() {
            self.end_wait(place, at);
        }
    }

    /// Slots of this node whose newly issued keys are not run yet: the wait after a takeover goes on,
    /// or the floor that it left lies ahead.
    #[must_use]
    pub fn unsettled_slots(&self, at: ClockReading) -> usize {
        let places = self.slots.iter().zip(0..);
        let unsettled = places.filter(|(state, place)| match state {
            SlotState::Foreign => false,
            SlotState::Waiting { .. } => true,
            SlotState::Ready { .. } => self.table.floor(Slot(*place)) > at.wall,
        });
        unsettled.count()
    }

    /// When the next wait ends, to call [`Self::on_time`] then.
    #[must_use]
    pub fn next_ready(&self) -> Option<Moment> {
        let waits = self.slots.iter().filter_map(|slot| match slot {
            SlotState::Waiting { until, .. } => Some(*until),
            SlotState::Foreign | SlotState::Ready { .. } => None,
        });
        waits.min()
    }

    /// A keyed call arrives.
    pub fn begin(&mut self, key: KeyId, fingerprint: Fingerprint, at: ClockReading) -> Begin<A> {
        let slot = self.table.slot_of(key);
        self.end_wait(usize::from(slot.0), at);
        match self.table.inspect(key, fingerprint, at.wall) {
            KeyStatus::InProgress => Begin::InProgress,
            KeyStatus::Answered(answer) => Begin::Repeat(answer),
            KeyStatus::AnswerGone => Begin::AnswerGone,
            KeyStatus::Unknown => Begin::Unknown,
            KeyStatus::DifferentRequest => Begin::DifferentRequest,
            KeyStatus::TooOld => self.begin_absent(key, fingerprint, Some(Begin::TooOld), at),
            // Only the present owner can say so: another one may run the key by its own clock.
            KeyStatus::FromTheFuture => {
                self.begin_absent(key, fingerprint, Some(Begin::FromTheFuture), at)
            }
            KeyStatus::New => self.begin_absent(key, fingerprint, None, at),
        }
    }

    /// A run ended, or was settled after its end was unknown.
    pub fn finish(&mut self, key: KeyId, run: RunNumber, end: RunEnd<A>) {
        self.table.finish(key, run, end);
    }

    /// What goes to the next owner, once the runs in progress have ended or can't be waited for.
    #[must_use]
    pub fn export(&self, due: &HandoverDue) -> Handover<A> {
        Handover {
            from: self.me.clone(),
            epoch: due.epoch,
            slots: due
                .slots
                .iter()
                .map(|slot| self.table.export(*slot))
                .collect(),
        }
    }

    /// The former owner hands over. A second copy changes nothing.
    pub fn on_handover(&mut self, handover: Handover<A>) -> HandoverAnswer {
        if handover.epoch > self.view.epoch() {
            return HandoverAnswer::Early;
        }
        let mut taken = false;
        for exported in handover.slots {
            if self.take_slot(exported.slot, &handover.from, handover.epoch) {
                self.table.import(exported);
                taken = true;
            }
        }
        if taken {
            HandoverAnswer::Taken
        } else {
            HandoverAnswer::Stale
        }
    }

    fn begin_absent(
        &mut self,
        key: KeyId,
        fingerprint: Fingerprint,
        refused: Option<Begin<A>>,
        at: ClockReading,
    ) -> Begin<A> {
        let slot = self.table.slot_of(key);
        match self.slots.get(usize::from(slot.0)) {
            None | Some(SlotState::Foreign) => {
                return Begin::NotOwner(self.view.owner_of_slot(slot).cloned());
            }
            Some(SlotState::Waiting { until, .. }) => return Begin::NotReady(*until),
            Some(SlotState::Ready { .. }) => {}
        }
        if matches!(refused, Some(Begin::TooOld)) {
            return Begin::TooOld;
        }
        if self.lease_end(at.now).is_none_or(|end| end.0 <= at.now) {
            return Begin::Lapsed;
        }
        if let Some(refused) = refused {
            return refused;
        }
        let run = self.table.start(key, fingerprint, at.wall);
        run.map_or(Begin::TooOld, Begin::Run)
    }
}

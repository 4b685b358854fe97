//! The owners of all services as a node folds them from the log, and its own part in its service.

use crate::{
    coordination::{
        log_reader::LogUpdate,
        ownership::{ClockReading, KeyOwner, OwnershipSettings, handover::HandoverDue},
    },
    state::{
        names::ServiceName,
        ownership::{Owner, OwnershipEpoch, OwnershipView},
        published::FoldEffect,
    },
};
use std::collections::HashMap;

/// Who owns which keys, as far as this node knows.
#[derive(Clone, Debug)]
pub struct OwnerDirectory<A> {
    service: ServiceName,
    slots: u16,
    own: KeyOwner<A>,
    others: HashMap<ServiceName, OwnershipView>,
}

impl<A: Clone> OwnerDirectory<A> {
    /// A node beside an upstream of `service` that knows no epoch yet.
    #[must_use]
    pub fn new(service: ServiceName, me: Owner, settings: OwnershipSettings) -> Self {
        Self {
            service,
            slots: settings.table.slots,
            own: KeyOwner::new(me, settings),
            others: HashMap::new(),
        }
    }

    /// This node as an owner of keys of its own service.
    #[must_use]
    pub fn own(&self) -> &KeyOwner<A> {
        &self.own
    }

    /// This node as an owner of keys of its own service.
    pub fn own_mut(&mut self) -> &mut KeyOwner<A> {
        &mut self.own
    }

    /// The owners of a service; `None` before its first epoch.
    #[must_use]
    pub fn view(&self, service: &ServiceName) -> Option<&OwnershipView> {
        if *service == self.service {
            return Some(self.own.view());
        }
        self.others.get(service)
    }

    /// Takes in what the log reader tells, in its order. Returns what is to be handed over.
    pub fn on_log_update(&mut self, update: &LogUpdate, at: ClockReading) -> Vec<HandoverDue> {
        match update {
            LogUpdate::Folded { state, records } if records.is_empty() => {
                let epochs = state.epochs().values();
                epochs
                    .flat_map(|epoch| self.on_snapshot(epoch, at))
                    .collect()
            }
            LogUpdate::Folded { records, .. } => {
                let effects = records.iter().map(|record| &record.effect);
                effects
                    .flat_map(|effect| self.on_effect(effect, at))
                    .collect()
            }
            LogUpdate::CaughtUp { fresh_at, .. } => {
                let epoch = self.own.view().epoch();
                self.own.on_fresh_view(epoch, *fresh_at);
                Vec::new()
            }
            LogUpdate::Unavailable { .. }
            | LogUpdate::NoBase { .. }
            | LogUpdate::WentBackwards { .. } => Vec::new(),
        }
    }

    fn on_effect(&mut self, effect: &FoldEffect, at: ClockReading) -> Vec<HandoverDue> {
        let FoldEffect::EpochAccepted(epoch) = effect else {
            return Vec::new();
        };
        if epoch.service == self.service {
            return self.own.on_record(epoch, at);
        }
        let view = self.others.entry(epoch.service.clone()).or_default();
        view.fold(epoch, self.slots);
        Vec::new()
    }

    fn on_snapshot(&mut self, epoch: &OwnershipEpoch, at: ClockReading) -> Vec<HandoverDue> {
        if epoch.service == self.service {
            return self.own.on_snapshot(epoch, at);
        }
        let view = self.others.entry(epoch.service.clone()).or_default();
        view.adopt_snapshot(epoch, self.slots);
        Vec::new()
    }
}

//! All members, with digests by which two tables are compared.

use crate::state::{
    member::Member,
    membership::{
        MemberRecord, rank,
        statement::{DeclaredState, Health, Revision, Rumour},
    },
    moment::Moment,
    names::NodeName,
};
use std::collections::BTreeMap;

/// Number of parts that a table is compared in.
pub const BUCKET_COUNT: usize = 32;
/// Log readers in each availability zone.
const READERS_A_ZONE: usize = 2;

/// What a statement did to the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// Nothing new.
    Unchanged,
    /// Something new, to be passed on.
    Changed,
    /// Older than what the table holds.
    Stale,
    /// Of a run of a member whose description is not known.
    Undescribed,
}

/// All members by name.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    records: BTreeMap<NodeName, MemberRecord>,
    buckets: [u64; BUCKET_COUNT],
}

impl MemberTable {
    /// The record of that name.
    #[must_use]
    pub fn get(&self, name: &NodeName) -> Option<&MemberRecord> {
        self.records.get(name)
    }

    /// All records in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records.values()
    }

    /// Adds a record or replaces the one of the same name.
    pub fn insert(&mut self, record: MemberRecord) {
        let name = record.member.name.clone();
        self.remove(&name);
        self.buckets[bucket_of(&name)] ^= record.digest();
        self.records.insert(name, record);
    }

    /// Takes a record out.
    pub fn remove(&mut self, name: &NodeName) -> Option<MemberRecord> {
        let record = self.records.remove(name)?;
        self.buckets[bucket_of(name)] ^= record.digest();
        Some(record)
    }

    /// Changes a record in place. Returns `None` if there is none of that name.
    pub fn update<T>(
        &mut self,
        name: &NodeName,
        change: impl FnOnce(&mut MemberRecord) -> T,
    ) -> Option<T> {
        let record = self.records.get_mut(name)?;
        let before = record.digest();
        let result = change(record);
        self.buckets[bucket_of(name)] ^= before ^ record.digest();
        Some(result)
    }

    /// Digest of the whole table; equal tables have equal digests.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.buckets.iter().fold(0, |all, bucket| all ^ bucket)
    }

    /// Digests of the parts of the table.
    #[must_use]
    pub fn buckets(&self) -> &[u64; BUCKET_COUNT] {
        &self.buckets
    }

    /// The members of one part that aren't dead.
    pub fn iter_bucket(&self, bucket: u8) -> impl Iterator<Item = &MemberRecord> {
        self.records.iter().filter_map(move |(name, record)| {
            let wanted = bucket_of(name) == usize::from(bucket);
            (wanted && record.health != Health::Dead).then_some(record)
        })
    }

    /// Takes in a statement. The newest run wins, then the member's newest own statement, then the
    /// worst that others say of it, so that nodes agree in whatever order statements arrive.
    pub fn apply(&mut self, rumour: &Rumour, now: Moment) -> Applied {
        let Some(record) = self.records.get(&rumour.name) else {
            return self.apply_to_unknown(rumour, now);
        };
        let held = record.member.incarnation;
        if rumour.incarnation < held {
            return Applied::Stale;
        }
        if rumour.incarnation > held {
            return self.apply_new_run(rumour, now);
        }
        let new = (rumour.revision, rumour.health);
        let old = (record.revision, record.health);
        if new < old {
            return Applied::Stale;
        }
        let changed = self.update(&rumour.name, |record| apply_same_run(record, rumour, now));
        match changed {
            Some(true) => Applied::Changed,
            Some(false) | None => Applied::Unchanged,
        }
    }

    /// A run that joined according to the log.
    pub fn apply_join(&mut self, member: &Member, now: Moment) -> Applied {
        let rumour = Rumour {
            name: member.name.clone(),
            incarnation: member.incarnation,
            revision: Revision::default(),
            declared: DeclaredState::Joining,
            health: Health::Alive,
            suspected_by: None,
            description: Some(member.clone()),
        };
        self.apply(&rumour, now)
    }

    /// Whether a node is one of the few of its availability zone that read the log.
    #[must_use]
    pub fn is_log_reader(&self, name: &NodeName) -> bool {
        let Some(own) = self.records.get(name) else {
            return false;
        };
        let zone = &own.member.availability_zone;
        let own_rank = rank("log reader", name);
        let ahead = self.records.values().filter(|record| {
            record.health == Health::Alive
                && record.declared != DeclaredState::Draining
                && record.member.availability_zone == *zone
                && rank("log reader", &record.member.name) < own_rank
        });
        ahead.take(READERS_A_ZONE).count() < READERS_A_ZONE
    }

    fn apply_to_unknown(&mut self, rumour: &Rumour, now: Moment) -> Applied {
        if rumour.health == Health::Dead {
            return Applied::Unchanged;
        }
        let Some(member) = &rumour.description else {
            return Applied::Undescribed;
        };
        self.insert(new_record(member, rumour, now));
        Applied::Changed
    }

    fn apply_new_run(&mut self, rumour: &Rumour, now: Moment) -> Applied {
        let Some(member) = &rumour.description else {
            return Applied::Undescribed;
        };
        let mut record = new_record(member, rumour, now);
        if let Some(former) = self.records.get(&rumour.name) {
            record.flaps = former.flaps.clone();
            record.flaps.add(now);
        }
        self.insert(record);
        Applied::Changed
    }
}

fn new_record(member: &Member, rumour: &Rumour, now: Moment) -> MemberRecord {
    let mut record = MemberRecord::new(member.clone(), rumour.revision, rumour.declared, now);
    record.set_health(rumour.health, now);
    record.suspected_by.extend(rumour.suspected_by.clone());
    record
}

fn apply_same_run(record: &mut MemberRecord, rumour: &Rumour, now: Moment) -> bool {
    let before = (record.revision, record.health);
    record.revision = rumour.revision;
    if rumour.revision > before.0 {
        record.declared = rumour.declared;
        record.suspected_by.clear();
    }
    record.set_health(rumour.health, now);
    let suspecting = rumour.suspected_by.as_ref();
    let confirmed = rumour.health == Health::Suspected
        && suspecting.is_some_and(|name| record.add_suspecting(name));
    confirmed || before != (record.revision, record.health)
}

fn bucket_of(name: &NodeName) -> usize {
    let bucket = rank("bucket", name) % BUCKET_COUNT as u64;
    usize::try_from(bucket).unwrap_or_default()
}

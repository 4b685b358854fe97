//! Keys of calls that must run at most once, with their answers while these are held.
//!
//! A key that is not in the table has either never been here or was forgotten. The *floor* of its slot
//! tells the two apart: every key issued at or after the floor that ever ran here is in the table, and
//! a key issued before the floor is never run.

pub mod entry;
pub mod key;

use entry::{Entry, ExportedKey, ExportedSlot, KeyState, KeyStatus, RunEnd, RunNumber};
use key::{Fingerprint, KeyId, Slot, WallMillis};
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

/// Bytes that one key costs apart from its answer: 113 measured with `--example key_table`, and its
/// place among the held answers.
const BYTES_PER_KEY: usize = 113 + 2 * size_of::<KeyId>();

/// Bounds of a key table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct KeyTableLimits {
    /// How long after its issue a key is remembered.
    pub key_memory: Duration,
    /// How far ahead of the node's clock a key's time of issue may lie.
    pub future_bound: Duration,
    /// Most keys that are remembered.
    pub max_keys: usize,
    /// Most bytes of answers that are held.
    pub max_answer_bytes: usize,
    /// Into how many slots the keys are divided.
    pub slots: u16,
}

/// The table. Memory is bounded by its limits, whatever callers send.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct KeyTable<A> {
    limits: KeyTableLimits,
    /// In the order of issue, so that the oldest is dropped first.
    entries: BTreeMap<KeyId, Entry<A>>,
    /// Keys with held answers, in the order in which the answers came.
    held: VecDeque<KeyId>,
    held_bytes: usize,
    slot_floors: Vec<WallMillis>,
    /// Floor of all slots, raised whenever a key is forgotten.
    forgotten_floor: WallMillis,
    next_run: RunNumber,
}

impl<A: Clone> KeyTable<A> {
    /// An empty table whose slots all have floor `floor`.
    #[must_use]
    pub fn new(limits: KeyTableLimits, floor: WallMillis) -> Self {
        Self {
            limits,
            entries: BTreeMap::new(),
            held: VecDeque::new(),
            held_bytes: 0,
            slot_floors: vec![floor; usize::from(limits.slots.max(1))],
            forgotten_floor: WallMillis::default(),
            next_run: RunNumber::default(),
        }
    }

    /// The slot of a key.
    #[must_use]
    pub fn slot_of(&self, key: KeyId) -> Slot {
        key.slot(self.limits.slots)
    }

    /// Keys of `slot` that were issued before this are not run.
    #[must_use]
    pub fn floor(&self, slot: Slot) -> WallMillis {
        let own = self.slot_floors.get(usize::from(slot.0));
        own.copied()
            .unwrap_or(WallMillis(u64::MAX))
            .max(self.forgotten_floor)
    }

    /// Sets the floor of a slot: at its takeover, or to what its former owner handed over.
    pub fn set_floor(&mut self, slot: Slot, floor: WallMillis) {
        if let Some(own) = self.slot_floors.get_mut(usize::from(slot.0)) {
            *own = floor;
        }
    }

    /// What is known of a key at wall-clock time `wall`.
    #[must_use]
    pub fn inspect(&self, key: KeyId, fingerprint: Fingerprint, wall: WallMillis) -> KeyStatus<A> {
        if let Some(entry) = self.entries.get(&key) {
            return entry.status(fingerprint);
        }
        // The floor goes first: below it the former owner may have run the key, also if it was issued
        // ahead of this node's clock, and "from the future" would say that it never ran.
        let memory_floor = wall - self.limits.key_memory;
        if key.issued() < self.floor(self.slot_of(key)).max(memory_floor) {
            return KeyStatus::TooOld;
        }
        if key.issued() > wall + self.limits.future_bound {
            return KeyStatus::FromTheFuture;
        }
        KeyStatus::New
    }

    /// Records that a key is about to be run. `None` unless [`Self::inspect`] says that it is new.
    pub fn start(
        &mut self,
        key: KeyId,
        fingerprint: Fingerprint,
        wall: WallMillis,
    ) -> Option<RunNumber> {
        self.forget_before(wall - self.limits.key_memory);
        let status = self.inspect(key, fingerprint, wall);
        if !matches!(status, KeyStatus::New) {
            return None;
        }
        let number = self.take_run_number();
        let state = KeyState::InProgress(number);
        self.entries.insert(key, Entry { fingerprint, state });
        self.keep_key_bound();
        Some(number)
    }

    /// Records how a run ended. A report on a run that has ended for certain changes nothing.
    pub fn finish(&mut self, key: KeyId, run: RunNumber, end: RunEnd<A>) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        if !entry.is_open(run) {
            return;
        }
        entry.state = match end {
            RunEnd::NotRun => {
                self.entries.remove(&key);
                return;
            }
            RunEnd::Answered { answer, bytes } => KeyState::Answered { answer, bytes },
            RunEnd::RanWithoutAnswer => KeyState::AnswerGone,
            RunEnd::Unknown => KeyState::Unknown(run),
        };
        self.note_held(key);
    }

    /// Forgets keys issued before `floor`, none of which will be run any more.
    pub fn forget_before(&mut self, floor: WallMillis) {
        self.forgotten_floor = self.forgotten_floor.max(floor);
        while let Some(first) = self.entries.first_key_value().map(|(key, _)| *key) {
            if first.issued() >= self.forgotten_floor {
                break;
            }
            self.remove(first);
        }
    }

    /// All that is known of one slot. A run in progress is exported as unknown.
    #[must_use]
    pub fn export(&self, slot: Slot) -> ExportedSlot<A> {
        let of_slot = self
            .entries
            .iter()
            .filter(|(key, _)| self.slot_of(**key) == slot);
        let keys = of_slot.map(|(key, entry)| entry.export(*key)).collect();
        ExportedSlot {
            slot,
            floor: self.floor(slot),
            keys,
        }
    }

    /// Whether a key of one of these slots runs now.
    #[must_use]
    pub fn has_runs(&self, slots: &[Slot]) -> bool {
        let mut running = self.entries.iter().filter(|(_, entry)| entry.is_running());
        running.any(|(key, _)| slots.contains(&self.slot_of(*key)))
    }

    /// Takes over what the former owner knew. Keys that are known here already stay as they are.
    pub fn import(&mut self, exported: ExportedSlot<A>) {
        self.set_floor(exported.slot, exported.floor);
        for key in exported.keys {
            self.import_key(key);
        }
        self.keep_key_bound();
    }

    /// Number of keys in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table has no keys.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Estimated memory in bytes.
    #[must_use]
    pub fn memory(&self) -> usize {
        self.entries.len() * BYTES_PER_KEY + self.held_bytes
    }

    /// Bytes of held answers.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    fn import_key(&mut self, exported: ExportedKey<A>) {
        if exported.key.issued() < self.forgotten_floor {
            return;
        }
        if self.entries.contains_key(&exported.key) {
            return;
        }
        let run = self.take_run_number();
        let key = exported.key;
        self.entries.insert(key, Entry::import(exported, run));
        self.note_held(key);
    }

    fn take_run_number(&mut self) -> RunNumber {
        let number = self.next_run;
        self.next_run = RunNumber(number.0 + 1);
        number
    }

    fn note_held(&mut self, key: KeyId) {
        let Some(bytes) = self.entries.get(&key).and_then(Entry::held_bytes) else {
            return;
        };
        self.held.push_back(key);
        self.held_bytes += bytes;
        self.keep_answer_bound();
    }

    /// Drops the oldest answers. The keys stay: a repeat is told that the call ran.
    fn keep_answer_bound(&mut self) {
        while self.held_bytes > self.limits.max_answer_bytes {
            let Some(oldest) = self.held.pop_front() else {
                return;
            };
            let Some(entry) = self.entries.get_mut(&oldest) else {
                continue;
            };
            self.held_bytes -= entry.held_bytes().unwrap_or(0);
            entry.state = KeyState::AnswerGone;
        }
    }

    /// Forgets the oldest keys, and raises the floor above each.
    ///
    /// Without the raised floor, a repeat of a forgotten key would pass for a new one and run twice.
    fn keep_key_bound(&mut self) {
        while self.entries.len() > self.limits.max_keys.max(1) {
            let Some(oldest) = self.entries.first_key_value().map(|(key, _)| *key) else {
                return;
            };
            self.forget_before(oldest.issued() + Duration::from_millis(1));
        }
    }

    fn remove(&mut self, key: KeyId) {
        let Some(entry) = self.entries.remove(&key) else {
            return;
        };
        if let Some(bytes) = entry.held_bytes() {
            self.held_bytes -= bytes;
            self.drop_from_held(key);
        }
    }

    fn drop_from_held(&mut self, key: KeyId) {
        // Answers come roughly in the order of issue, so the key is near the front.
        if let Some(place) = self.held.iter().position(|held| *held == key) {
            self.held.remove(place);
        }
    }
}

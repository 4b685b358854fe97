//! The key table: what a repeat of a key gets, and what forgetting does.

use camphorturn::state::key_table::{
    KeyTable, KeyTableLimits,
    entry::{KeyStatus, RunEnd, RunNumber},
    key::{Fingerprint, KeyId, WallMillis},
};
use std::time::Duration;

const NOW: WallMillis = WallMillis(1_000_000);
const REQUEST: Fingerprint = Fingerprint([1; 16]);
const OTHER_REQUEST: Fingerprint = Fingerprint([2; 16]);

fn limits() -> KeyTableLimits {
    KeyTableLimits {
        key_memory: Duration::from_secs(100),
        future_bound: Duration::from_millis(500),
        max_keys: 3,
        max_answer_bytes: 100,
        slots: 4,
    }
}

fn table() -> KeyTable<&'static str> {
    KeyTable::new(limits(), WallMillis(0))
}

fn key(issued: u64, rest: u128) -> KeyId {
    KeyId::from_parts(WallMillis(issued), rest)
}

fn run(table: &mut KeyTable<&'static str>, key: KeyId) -> RunNumber {
    table.start(key, REQUEST, NOW).expect("a new key")
}

fn answered(answer: &'static str, bytes: usize) -> RunEnd<&'static str> {
    RunEnd::Answered { answer, bytes }
}

#[test]
fn inspect_tells_each_state_of_a_run() {
    let mut table = table();
    let key = key(NOW.0, 1);
    assert_eq!(table.inspect(key, REQUEST, NOW), KeyStatus::New);
    let number = run(&mut table, key);
    assert_eq!(table.inspect(key, REQUEST, NOW), KeyStatus::InProgress);
    assert_eq!(table.start(key, REQUEST, NOW), None);
    table.finish(key, number, answered("booked", 6));
    assert_eq!(
        table.inspect(key, REQUEST, NOW),
        KeyStatus::Answered("booked")
    );
}

#[test]
fn inspect_refuses_another_request() {
    // Symptom: a caller's second booking gets the answer of the first and is never made.
    // Sequence: a caller uses one key for two bookings.
    // Cause: the key alone was taken for the identity of the request.
    let mut table = table();
    let key = key(NOW.0, 1);
    run(&mut table, key);
    assert_eq!(
        table.inspect(key, OTHER_REQUEST, NOW),
        KeyStatus::DifferentRequest
    );
    assert_eq!(table.start(key, OTHER_REQUEST, NOW), None);
}

#[test]
fn start_drops_the_oldest_key_and_raises_the_floor() {
    // Symptom: a booking runs twice.
    // Sequence: its key is dropped because newer keys fill the table; the caller tries again.
    // Cause: a dropped key looked like a new one.
    let mut table = table();
    let oldest = key(NOW.0 - 9, 1);
    let number = run(&mut table, oldest);
    table.finish(oldest, number, answered("booked", 6));
    for issued in [NOW.0 - 8, NOW.0 - 7, NOW.0 - 6] {
        run(&mut table, key(issued, 1));
    }
    assert_eq!(table.len(), 3);
    assert_eq!(table.held_bytes(), 0);
    assert_eq!(table.inspect(oldest, REQUEST, NOW), KeyStatus::TooOld);
    assert_eq!(table.start(oldest, REQUEST, NOW), None);
}

#[test]
fn start_never_runs_a_key_older_than_the_memory() {
    let mut table = table();
    let old = key(NOW.0 - 100_001, 1);
    assert_eq!(table.inspect(old, REQUEST, NOW), KeyStatus::TooOld);
    assert_eq!(table.start(old, REQUEST, NOW), None);
}

#[test]
fn forget_before_holds_when_the_clock_is_set_back() {
    // Symptom: a booking runs twice.
    // Sequence: its key expires; the VM's clock is set back; the caller tries again.
    // Cause: the floor was worked out from the clock alone and sank with it.
    let mut table = table();
    let key_a = key(NOW.0, 1);
    run(&mut table, key_a);
    let late = NOW + Duration::from_secs(101);
    table.start(key(late.0, 2), REQUEST, late);
    assert_eq!(table.inspect(key_a, REQUEST, NOW), KeyStatus::TooOld);
}

#[test]
fn inspect_calls_a_key_below_the_floor_too_old_also_if_it_is_ahead_of_the_clock() {
    // Symptom: a caller is told that a booking was not run, and it was.
    // Sequence: the former owner, its clock ahead, runs the key; the next owner, its floor above the
    // key and its clock behind, is asked for it.
    // Cause: the bound on keys from the future is looked at before the floor.
    let mut table = table();
    let ahead = key(NOW.0 + 1_000, 1);
    table.set_floor(table.slot_of(ahead), WallMillis(NOW.0 + 2_000));
    assert_eq!(table.inspect(ahead, REQUEST, NOW), KeyStatus::TooOld);
}

#[test]
fn inspect_refuses_a_key_from_the_future() {
    let table = table();
    let ahead = key(NOW.0 + 501, 1);
    assert_eq!(table.inspect(ahead, REQUEST, NOW), KeyStatus::FromTheFuture);
    let near = key(NOW.0 + 500, 1);
    assert_eq!(table.inspect(near, REQUEST, NOW), KeyStatus::New);
}

#[test]
fn finish_holds_answers_within_the_byte_bound() {
    let mut table = table();
    let keys = [key(NOW.0, 1), key(NOW.0, 2)];
    for key in keys {
        let number = run(&mut table, key);
        table.finish(key, number, answered("booked", 60));
    }
    assert_eq!(table.held_bytes(), 60);
    assert_eq!(
        table.inspect(keys[0], REQUEST, NOW),
        KeyStatus::AnswerGone,
        "the first answer went, the key did not"
    );
    assert_eq!(
        table.inspect(keys[1], REQUEST, NOW),
        KeyStatus::Answered("booked")
    );
}

#[test]
fn finish_keeps_no_answer_above_the_whole_bound() {
    let mut table = table();
    let key = key(NOW.0, 1);
    let number = run(&mut table, key);
    table.finish(key, number, answered("long", 101));
    assert_eq!(table.held_bytes(), 0);
    assert_eq!(table.inspect(key, REQUEST, NOW), KeyStatus::AnswerGone);
}

#[test]
fn finish_ignores_a_late_report_on_an_earlier_run() {
    // Symptom: a booking runs twice.
    // Sequence: a first run is proven not to have run; the caller's repeat runs; the proof arrives a
    // second time and the caller repeats again.
    // Cause: the second copy of the proof was taken for one about the second run.
    let mut table = table();
    let key = key(NOW.0, 1);
    let first = run(&mut table, key);
    table.finish(key, first, RunEnd::Unknown);
    assert_eq!(table.inspect(key, REQUEST, NOW), KeyStatus::Unknown);
    table.finish(key, first, RunEnd::NotRun);
    run(&mut table, key);
    table.finish(key, first, RunEnd::NotRun);
    assert_eq!(table.inspect(key, REQUEST, NOW), KeyStatus::InProgress);
}

#[test]
fn import_takes_over_keys_and_floor_once() {
    // Symptom: a booking runs twice, or a repeat loses its answer.
    // Sequence: an owner hands its keys over and the message arrives twice, the second copy after the
    // new owner ran a key itself.
    // Cause: the second copy overwrote what the new owner knew.
    let mut old = table();
    let done = key(NOW.0 - 5, 0);
    let open = key(NOW.0 - 4, 4);
    let number = run(&mut old, done);
    old.finish(done, number, answered("booked", 6));
    run(&mut old, open);
    let slot = old.slot_of(done);
    let exported = old.export(slot);

    let mut new = KeyTable::new(limits(), NOW + Duration::from_secs(1));
    assert_eq!(new.inspect(done, REQUEST, NOW), KeyStatus::TooOld);
    new.import(exported.clone());
    assert_eq!(new.floor(slot), NOW - limits().key_memory);
    assert_eq!(
        new.inspect(done, REQUEST, NOW),
        KeyStatus::Answered("booked")
    );
    assert_eq!(new.inspect(open, REQUEST, NOW), KeyStatus::Unknown);
    let later = key(NOW.0 - 3, 8);
    let number = run(&mut new, later);
    new.import(exported);
    assert_eq!(new.inspect(later, REQUEST, NOW), KeyStatus::InProgress);
    new.finish(later, number, answered("moved", 5));
    assert_eq!(new.held_bytes(), 11);
}

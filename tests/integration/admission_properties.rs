//! What holds of admission whatever calls arrive, end and expire.

use bolero::{TypeGenerator, check};
use camphorturn::{
    coordination::admission::{
        Admission, AdmissionAction, AdmissionSettings, CancelResult, End, EndKind, Offer,
    },
    protocol::{
        attempt::{AttemptId, CallId},
        load_report::UpstreamCondition,
    },
    state::{
        admission_queue::{ClassChooser, ClassPlace, TURN_PERIOD},
        class::{Class, KeyRule, Target},
        moment::Moment,
        names::ClassName,
    },
};
use std::{collections::BTreeSet, time::Duration};
use uuid::Uuid;

const SLOTS: u16 = 3;
const NAMES: [&str; 3] = ["high", "middle", "low"];

#[derive(Debug, TypeGenerator)]
enum Event {
    Offer { class: u8, time_left_ms: u16 },
    Answer { error: bool },
    Shed,
    TimeOut,
    Cancel,
    Wait { millis: u8 },
    Drain,
    Serve,
    Revise { target_ms: u8, classes: u8 },
}

/// Admission with the calls that it has, as its owner sees them.
struct Owner {
    admission: Admission,
    now: Moment,
    next: u128,
    waiting: BTreeSet<AttemptId>,
    running: Vec<AttemptId>,
}

impl Owner {
    fn new() -> Self {
        let settings = AdmissionSettings {
            slots: SLOTS,
            ..AdmissionSettings::default()
        };
        let mut admission = Admission::new(settings);
        admission.set_classes(&classes(NAMES.len(), 100));
        admission.set_condition(UpstreamCondition::Serving, Moment(0));
        Self {
            admission,
            now: Moment(0),
            next: 0,
            waiting: BTreeSet::new(),
            running: Vec::new(),
        }
    }

    fn handle(&mut self, event: &Event) {
        match event {
            Event::Offer {
                class,
                time_left_ms,
            } => self.offer(NAMES[usize::from(*class) % NAMES.len()], *time_left_ms),
            Event::Answer { error } => self.end(EndKind::Answered {
                server_error: *error,
            }),
            Event::Shed => self.end(EndKind::Shed),
            Event::TimeOut => self.end(EndKind::TimedOut),
            Event::Cancel => self.cancel(),
            Event::Wait { millis } => {
                self.now = self.now + Duration::from_millis(u64::from(*millis));
                let actions = self.admission.expire(self.now);
                self.carry_out(&actions);
            }
            Event::Drain => self.set_condition(UpstreamCondition::Draining),
            Event::Serve => self.set_condition(UpstreamCondition::Serving),
            Event::Revise {
                target_ms,
                classes: count,
            } => {
                let revised = classes(usize::from(*count) % 4, u32::from(*target_ms));
                self.admission.set_classes(&revised);
            }
        }
    }

    fn offer(&mut self, class: &str, time_left_ms: u16) {
        let id = AttemptId {
            call: CallId(Uuid::from_u128(self.next)),
            number: 0,
        };
        self.next += 1;
        let time_left = Duration::from_millis(u64::from(time_left_ms));
        match self
            .admission
            .offer(id, &ClassName::from(class), time_left, self.now)
        {
            Offer::Run => self.running.push(id),
            Offer::Queued => assert!(self.waiting.insert(id)),
            Offer::Refused(_) => {}
        }
    }

    fn end(&mut self, kind: EndKind) {
        let Some(id) = self.running.pop() else {
            return;
        };
        let took = Duration::from_millis(5);
        let actions = self.admission.finish(id, End { took, kind }, self.now);
        self.carry_out(&actions);
    }

    fn cancel(&mut self) {
        if let Some(id) = self.waiting.pop_first() {
            let result = self.admission.cancel(id, self.now);
            assert_eq!(result, CancelResult::WasQueued);
        }
    }

    fn set_condition(&mut self, condition: UpstreamCondition) {
        let actions = self.admission.set_condition(condition, self.now);
        self.carry_out(&actions);
        assert!(self.waiting.is_empty() || condition == UpstreamCondition::Serving);
    }

    fn carry_out(&mut self, actions: &[AdmissionAction]) {
        for action in actions {
            match action {
                AdmissionAction::Start(id) => {
                    assert!(
                        self.waiting.remove(id),
                        "started once, and only if it waited"
                    );
                    self.running.push(*id);
                }
                AdmissionAction::Refuse(id, _) => {
                    assert!(
                        self.waiting.remove(id),
                        "refused once, and only if it waited"
                    );
                }
            }
        }
    }

    fn assert_sound(&self) {
        let load = self.admission.load_report(self.now);
        assert!((1..=SLOTS).contains(&load.limit));
        assert!(load.running <= SLOTS);
        assert_eq!(usize::from(load.running), self.running.len());
        assert_eq!(usize::from(load.queued), self.waiting.len());
        assert_eq!(self.admission.next_expiry().is_some(), load.queued > 0);
    }
}

fn classes(count: usize, target_ms: u32) -> Vec<Class> {
    let class = |(i, name): (usize, &&str)| Class {
        name: ClassName::from(*name),
        rules: Vec::new(),
        target: Target {
            latency_ms: target_ms,
            share: 0.99,
        },
        deadline_ms: 1000,
        priority: 9 - u8::try_from(i).expect("few classes"),
        idempotent: true,
        key: KeyRule::None,
        hedge: false,
    };
    NAMES.iter().enumerate().take(count).map(class).collect()
}

#[test]
fn every_call_is_decided_once_and_slots_are_never_exceeded() {
    check!()
        .with_iterations(3000)
        .with_type::<Vec<Event>>()
        .for_each(|events| {
            let mut owner = Owner::new();
            for event in events {
                owner.handle(event);
                owner.assert_sound();
            }
        });
}

#[test]
fn waiting_calls_are_decided_within_their_time_if_nothing_ends() {
    check!()
        .with_iterations(1000)
        .with_type::<Vec<Event>>()
        .for_each(|events| {
            let mut owner = Owner::new();
            for event in events {
                owner.handle(event);
            }
            let last = owner.now + Duration::from_millis(u64::from(u16::MAX));
            while let Some(due) = owner.admission.next_expiry() {
                assert!(due <= last, "calls wait past the longest deadline");
                owner.now = owner.now.max(due);
                let actions = owner.admission.expire(owner.now);
                owner.carry_out(&actions);
            }
            assert!(owner.waiting.is_empty());
        });
}

#[test]
fn choose_passes_no_waiting_class_over_for_long() {
    // Symptom: a class of low priority gets nothing while higher ones are busy.
    // Sequence: higher classes always have calls waiting.
    // Cause: strict priority.
    check!()
        .with_iterations(1000)
        .with_type::<(Vec<u8>, Vec<u8>)>()
        .for_each(|(priorities, pattern)| {
            let priorities: Vec<u8> = priorities.iter().copied().take(8).collect();
            let Some(lowest) = priorities.iter().enumerate().min_by_key(|(_, p)| **p) else {
                return;
            };
            let (watched, bound) = (lowest.0, TURN_PERIOD as usize * priorities.len());
            let mut chooser = ClassChooser::default();
            let mut last_starts = vec![0; priorities.len()];
            let mut passed_over = 0;
            for step in 0..bound * 3 {
                let wave = pattern
                    .get(step % pattern.len().max(1))
                    .copied()
                    .unwrap_or(255);
                let places: Vec<ClassPlace> = (0..priorities.len())
                    .map(|i| ClassPlace {
                        priority: priorities[i],
                        last_start: last_starts[i],
                        waiting: i == watched || wave >> i & 1 == 1,
                    })
                    .collect();
                let (chosen, number) = chooser.choose(&places).expect("the watched class waits");
                last_starts[chosen] = number;
                passed_over = if chosen == watched {
                    0
                } else {
                    passed_over + 1
                };
                assert!(passed_over <= bound, "passed over {passed_over} times");
            }
        });
}

//! Shares of organisations in the slots of an upstream, in virtual time.

use camphorturn::{
    coordination::slot_queue::{SlotAction, SlotDecision, SlotNumber, SlotQueue, SlotRequest},
    state::{names::OrganisationName, timestamp::Timestamp},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::Duration,
};

const SLOTS: usize = 4;
const QUIET_ORGANISATIONS: u32 = 86;
const EXECUTION: Duration = Duration::from_millis(50);
const TARGET: Duration = Duration::from_millis(400);
const DEADLINE: Duration = Duration::from_secs(1);
const RUN_MICROS: u64 = 60_000_000;
/// Requests of each quiet organisation in a run. Together they take half of the slots' time.
const QUIET_REQUESTS: u32 = 28;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Finish(u64),
    Arrive(u32),
}

struct Run {
    queue: SlotQueue,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    /// Arrival and organisation by slot number.
    requests: HashMap<SlotNumber, (u64, u32)>,
    on_time: HashMap<u32, u32>,
}

impl Run {
    fn start(&mut self, number: SlotNumber, now: u64) {
        let took = u64::try_from(EXECUTION.as_micros()).expect("a short time");
        self.events
            .push(Reverse((now + took, Event::Finish(number.0))));
    }

    fn apply(&mut self, actions: Vec<SlotAction>, now: u64) {
        for action in actions {
            match action {
                SlotAction::Start(number) => self.start(number, now),
                SlotAction::Expire(number) => {
                    self.requests.remove(&number);
                }
            }
        }
    }

    fn arrive(&mut self, organisation: u32, now: u64) {
        let request = SlotRequest {
            priority: 1,
            organisation: Some(OrganisationName::from(organisation.to_string().as_str())),
            finish_within: TARGET,
            target_left: TARGET,
            time_left: DEADLINE,
            expected: EXECUTION,
        };
        match self.queue.submit(&request, Timestamp(now)) {
            SlotDecision::Run(number) => {
                self.requests.insert(number, (now, organisation));
                self.start(number, now);
            }
            SlotDecision::Wait(number) => {
                self.requests.insert(number, (now, organisation));
            }
            SlotDecision::Refuse { .. } => {}
        }
    }

    fn finish(&mut self, number: u64, now: u64) {
        let number = SlotNumber(number);
        let (arrived, organisation) = self.requests.remove(&number).expect("a started request");
        if Duration::from_micros(now - arrived) <= TARGET {
            *self.on_time.entry(organisation).or_default() += 1;
        }
        let actions = self.queue.finish(number, Timestamp(now));
        self.apply(actions, now);
    }
}

/// Runs quiet organisations, beside organisation 0 with this number of requests. Returns the share of requests in time of all quiet
/// organisations, and of the worst of them.
fn run_beside(flood_requests: u32) -> (f64, f64) {
    let mut rng = StdRng::seed_from_u64(5);
    let mut run = Run {
        queue: SlotQueue::new(SLOTS, Timestamp(0)),
        events: BinaryHeap::new(),
        requests: HashMap::new(),
        on_time: HashMap::new(),
    };
    for organisation in 1..=QUIET_ORGANISATIONS {
        for _ in 0..QUIET_REQUESTS {
            let at = rng.random_range(0..RUN_MICROS);
            run.events.push(Reverse((at, Event::Arrive(organisation))));
        }
    }
    for _ in 0..flood_requests {
        let at = rng.random_range(0..RUN_MICROS);
        run.events.push(Reverse((at, Event::Arrive(0))));
    }
    while let Some(Reverse((now, event))) = run.events.pop() {
        match event {
            Event::Arrive(organisation) => run.arrive(organisation, now),
            Event::Finish(number) => run.finish(number, now),
        }
    }
    let shares = (1..=QUIET_ORGANISATIONS).map(|organisation| {
        let on_time = run.on_time.get(&organisation).copied().unwrap_or_default();
        f64::from(on_time) / f64::from(QUIET_REQUESTS)
    });
    let shares: Vec<f64> = shares.collect();
    let mean = shares.iter().sum::<f64>() / f64::from(QUIET_ORGANISATIONS);
    let worst = shares.iter().copied().fold(1.0, f64::min);
    (mean, worst)
}

/// Failure: an organisation that sends far more than its share delays and displaces the requests of all others.
#[test]
fn submit_one_organisation_floods() {
    let (mean_alone, _) = run_beside(0);
    assert!(mean_alone > 0.99, "{mean_alone}");
    for flood_requests in [2_400, 6_000, 20_000] {
        let (mean, worst) = run_beside(flood_requests);
        assert!(mean > mean_alone - 0.02, "{flood_requests}: {mean}");
        assert!(worst > 0.85, "{flood_requests}: {worst}");
    }
}

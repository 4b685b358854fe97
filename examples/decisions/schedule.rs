//! The seeded schedule of events of one block.

use super::scenario::Scenario;
use camphorturn::local_mesh::LocalMesh;
use camphorturn_stand_ins::upstream::{Behaviour, ColdStart};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{
    thread,
    time::{Duration, Instant},
};

/// Factor of a noisy neighbour.
const NOISY_FACTOR: f64 = 10.0;
/// Factor of a lasting slowness.
const SLOW_FACTOR: f64 = 5.0;
/// Factor of a cold start at its beginning.
const COLD_FACTOR: f64 = 5.0;

/// What is done to an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// Service times are multiplied by this.
    Slow(f64),
    /// Every call fails at once.
    FailFast,
    /// New calls are refused.
    Drain,
    /// It serves again, slowly at first.
    StartCold,
    /// It reports no load.
    ReportNothing,
}

/// A change at a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Event {
    /// Time since the start of the block.
    pub at: Duration,
    /// Position of the upstream.
    pub upstream: usize,
    /// What is done.
    pub change: Change,
}

/// The events of a block, by time. The same seed gives the same events.
#[must_use]
pub fn plan_events(scenario: Scenario, span: Duration, seed: u64) -> Vec<Event> {
    let mut rng = StdRng::seed_from_u64(seed);
    let upstreams = scenario.upstreams();
    let victim = rng.random_range(0..upstreams);
    let event = |share: f64, change| Event {
        at: span.mul_f64(share),
        upstream: victim,
        change,
    };
    let mut events = match scenario {
        Scenario::Steady | Scenario::Overload => Vec::new(),
        Scenario::Noisy | Scenario::Dock => plan_noise(upstreams, span, &mut rng),
        Scenario::Slow => vec![event(0.25, Change::Slow(SLOW_FACTOR))],
        Scenario::FailFast => vec![event(0.25, Change::FailFast)],
        Scenario::DrainCold => vec![event(0.2, Change::Drain), event(0.5, Change::StartCold)],
        Scenario::Lying => vec![
            event(0.0, Change::ReportNothing),
            event(0.25, Change::Slow(SLOW_FACTOR)),
        ],
        Scenario::TwoAtOnce => {
            let mut events = plan_noise(upstreams, span, &mut rng);
            events.push(event(0.25, Change::FailFast));
            events
        }
    };
    events.sort_by_key(|event| event.at);
    events
}

fn plan_noise(upstreams: usize, span: Duration, rng: &mut StdRng) -> Vec<Event> {
    let mut events = Vec::new();
    let mut at = Duration::ZERO;
    while at < span {
        let upstream = rng.random_range(0..upstreams);
        let lasts = Duration::from_millis(rng.random_range(20..=200));
        let slow = Change::Slow(NOISY_FACTOR);
        events.push(Event {
            at,
            upstream,
            change: slow,
        });
        at += lasts;
        events.push(Event {
            at,
            upstream,
            change: Change::Slow(1.0),
        });
        at += Duration::from_millis(rng.random_range(0..=40));
    }
    events
}

/// Carries out the events at their time.
pub fn run_events(mesh: &LocalMesh, events: &[Event]) {
    let began = Instant::now();
    for event in events {
        // The schedule is part of the measured load: nothing waits for it to come true.
        thread::sleep(event.at.saturating_sub(began.elapsed()));
        let upstream = &mesh.nodes[event.upstream].upstream;
        upstream.change_behaviour(|behaviour| apply(behaviour, event.change));
    }
}

fn apply(behaviour: &mut Behaviour, change: Change) {
    match change {
        Change::Slow(factor) => behaviour.slow_factor = factor,
        Change::FailFast => behaviour.fail_fast = true,
        Change::Drain => behaviour.draining = true,
        Change::StartCold => {
            behaviour.draining = false;
            behaviour.cold_start = Some(ColdStart {
                factor: COLD_FACTOR,
                span: Duration::from_secs(1),
            });
        }
        Change::ReportNothing => behaviour.reported_running = Some(0),
    }
}

/// Makes all upstreams healthy again.
pub fn end_events(mesh: &LocalMesh) {
    for local in &mesh.nodes {
        local
            .upstream
            .change_behaviour(|behaviour| *behaviour = Behaviour::default());
    }
}

//! One upstream whose executions end at once, and what its node hears of its peers.

use camphorturn::{
    coordination::upstream_health::{
        Admission, EndEffect, EvidenceKind, ExecutionEnd, ExecutionStart, HealthChange,
        HealthState, PeerReport, TrialNumber, UpstreamHealth, UpstreamHealthSettings,
    },
    state::{failure_rate::FailureRate, known_node::NodeLoad, timestamp::Timestamp},
};
use std::time::Duration;

pub const TARGET: Duration = Duration::from_millis(300);
pub const STEP: Duration = Duration::from_millis(100);
/// Running and waiting requests, and slots.
pub const IDLE: (usize, usize) = (0, 14);

/// One upstream whose executions end at once, and its peers.
pub struct Fixture {
    pub health: UpstreamHealth,
    pub rate: FailureRate,
    pub peers: Vec<PeerReport>,
    /// Whether no new reports arrive.
    pub are_peers_silent: bool,
    pub now: Timestamp,
    pub changes: Vec<HealthChange>,
}

impl Fixture {
    pub fn new() -> Self {
        Self {
            health: UpstreamHealth::default(),
            rate: FailureRate::default(),
            peers: Vec::new(),
            are_peers_silent: false,
            now: Timestamp(1_000_000_000),
            changes: Vec::new(),
        }
    }

    /// A fixture with four peers that report this failed percentage with each step.
    pub fn with_peers(percent: u8) -> Self {
        let mut fixture = Self::new();
        fixture.report_peers(&[percent; 4]);
        fixture
    }

    pub fn report_peers(&mut self, percents: &[u8]) {
        let now = self.now;
        self.peers = percents
            .iter()
            .map(|percent| report(*percent, 2, now))
            .collect();
    }

    /// Lets time pass, in which the peers report the same again.
    pub fn pass(&mut self, span: Duration) {
        self.now = self.now + span;
        if self.are_peers_silent {
            return;
        }
        for peer in &mut self.peers {
            peer.at = self.now;
        }
    }

    pub fn judge(&mut self) {
        let change = self.health.judge(
            UpstreamHealthSettings::default(),
            self.rate.percent(),
            &self.peers,
            self.now,
        );
        self.changes.extend(change);
    }

    /// One request; returns whether it was admitted.
    pub fn send(&mut self, class: &str, idempotent: bool, kind: EvidenceKind) -> bool {
        self.pass(STEP);
        self.judge();
        let trial = match self.health.admit(idempotent, IDLE, self.now) {
            Admission::Admit => None,
            Admission::Trial(trial) => Some(trial),
            Admission::Refuse { .. } => return false,
        };
        self.execute(class, trial, kind);
        true
    }

    pub fn execute(&mut self, class: &str, trial: Option<TrialNumber>, kind: EvidenceKind) {
        let number = self
            .health
            .begin_execution(build_start(class, trial), self.now);
        let end = ExecutionEnd::Ended(kind);
        let effect = self.health.end_execution(number, end, 100, self.now);
        assert_ne!(effect, EndEffect::CountedBefore);
        self.rate.observe(kind.is_failure());
        self.judge();
    }

    pub fn send_many(&mut self, count: usize, kind: EvidenceKind) -> usize {
        (0..count).filter(|_| self.send("look", true, kind)).count()
    }

    pub fn state(&self) -> HealthState {
        self.health.state(self.now)
    }

    /// Ejects the upstream by failures.
    pub fn eject(&mut self) {
        for _ in 0..10 {
            if self.state() != HealthState::Ejected {
                self.send("look", true, EvidenceKind::Failed);
            }
        }
        assert_eq!(self.state(), HealthState::Ejected);
    }

    /// Waits for the next trial and executes it.
    pub fn run_trial(&mut self, kind: EvidenceKind) {
        let wait = self.health.time_to_trial(self.now).expect("an ejection");
        self.pass(wait);
        assert!(self.send("look", true, kind), "a trial is admitted");
    }
}

pub fn report(failed_percent: u8, running: u16, at: Timestamp) -> PeerReport {
    PeerReport {
        load: NodeLoad {
            running,
            queued: 0,
            limit: 14,
            slowdown_percent: 100,
            failed_percent,
        },
        at,
        is_ejected: false,
    }
}

pub fn build_start(class: &str, trial: Option<TrialNumber>) -> ExecutionStart {
    ExecutionStart {
        class: class.into(),
        target: Some(TARGET),
        slowdown_percent: 100,
        trial,
    }
}

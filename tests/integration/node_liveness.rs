//! When an entry node checks another node, suspects it and clears it.

use camphorturn::{
    coordination::node_liveness::{
        AttemptEnd, AttemptId, CHECK_TIMEOUT, MAX_CHECKS_PER_SECOND, NodeLiveness, SentAttempt,
        TICK, Verdict,
    },
    state::{
        names::{ClassName, ServiceName},
        timestamp::Timestamp,
    },
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

const TARGET: Duration = Duration::from_secs(2);
const USUAL: Duration = Duration::from_millis(200);

fn node(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 1))
}

/// Nodes that answer checks at once, except the stalled ones, and one entry node, in virtual time.
struct Mesh {
    liveness: NodeLiveness,
    now: Timestamp,
    stalled: Vec<SocketAddr>,
    /// Attempts by the time at which they end.
    ends: BTreeMap<(Timestamp, AttemptId), SocketAddr>,
    /// Check timeouts by their time.
    timeouts: Vec<(Timestamp, SocketAddr)>,
    checks: Vec<(Timestamp, SocketAddr)>,
    verdicts: Vec<(Timestamp, SocketAddr, Verdict)>,
}

impl Mesh {
    fn new() -> Self {
        Self {
            liveness: NodeLiveness::default(),
            now: Timestamp::default() + Duration::from_secs(10),
            stalled: Vec::new(),
            ends: BTreeMap::new(),
            timeouts: Vec::new(),
            checks: Vec::new(),
            verdicts: Vec::new(),
        }
    }

    fn send_class(&mut self, to: SocketAddr, class: &str, takes: Duration) -> AttemptId {
        let (service, class) = (ServiceName::from("desk"), ClassName::from(class));
        let sent = SentAttempt {
            to,
            service: &service,
            class: &class,
            target: TARGET,
        };
        let id = self.liveness.begin_attempt(&sent, self.now);
        self.ends.insert((self.now + takes, id), to);
        id
    }

    fn send(&mut self, to: SocketAddr, takes: Duration) -> AttemptId {
        self.send_class(to, "look", takes)
    }

    /// Lets time pass, a millisecond at a time.
    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Duration::from_millis(1);
            self.end_attempts();
            self.end_checks();
            if self
                .now
                .0
                .is_multiple_of(u64::try_from(TICK.as_micros()).unwrap())
            {
                self.tick();
            }
        }
    }

    fn end_attempts(&mut self) {
        let due: Vec<_> = self
            .ends
            .iter()
            .filter(|((at, _), to)| *at <= self.now && !self.stalled.contains(to))
            .map(|(key, to)| (*key, *to))
            .collect();
        for (key, to) in due {
            self.ends.remove(&key);
            let end = AttemptEnd::Executed;
            let verdict = self.liveness.end_attempt(to, key.1, end, self.now);
            self.record(to, verdict);
        }
    }

    fn end_checks(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.timeouts.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, to) in due {
            let verdict = self.liveness.record_check_timeout(to, now);
            self.record(to, verdict);
            let verdict = self.liveness.end_check(to, false, now);
            self.record(to, verdict);
        }
    }

    fn tick(&mut self) {
        for to in self.liveness.tick(self.now) {
            self.checks.push((self.now, to));
            if self.stalled.contains(&to) {
                self.timeouts.push((self.now + CHECK_TIMEOUT, to));
            } else {
                let verdict = self.liveness.end_check(to, true, self.now);
                self.record(to, verdict);
            }
        }
    }

    fn record(&mut self, to: SocketAddr, verdict: Option<Verdict>) {
        self.verdicts
            .extend(verdict.map(|verdict| (self.now, to, verdict)));
    }

    /// Makes the usual duration of the class known.
    fn warm_up(&mut self) {
        for _ in 0..50 {
            self.send(node(1), USUAL);
            self.run(USUAL);
        }
        self.checks.clear();
    }
}

#[test]
fn suspect_stalled_node() {
    let mut mesh = Mesh::new();
    mesh.warm_up();
    mesh.stalled.push(node(2));
    mesh.send(node(2), USUAL);
    let sent = mesh.now;
    mesh.run(Duration::from_secs(1));
    let (at, to, verdict) = mesh.verdicts[0];
    assert_eq!(to, node(2));
    let Verdict::Suspect { outstanding, .. } = verdict else {
        panic!("{verdict:?}");
    };
    assert_eq!(outstanding, 1);
    let after = at.since(sent);
    let bound = USUAL.mul_f64(1.6) + TICK + CHECK_TIMEOUT;
    assert!(after > USUAL && after <= bound, "{after:?}");
    assert!(mesh.liveness.is_suspect(node(2)));
    assert_eq!(mesh.liveness.list_suspects(), [node(2)]);
}

/// Failure: a stall is found late because the class was never seen. Then half of the latency target counts.
#[test]
fn suspect_stalled_node_unknown_class() {
    let mut mesh = Mesh::new();
    mesh.stalled.push(node(2));
    mesh.send(node(2), USUAL);
    let sent = mesh.now;
    mesh.run(TARGET);
    let after = mesh.verdicts[0].0.since(sent);
    assert!(after <= TARGET / 2 + TICK + CHECK_TIMEOUT, "{after:?}");
}

/// Failure: a node that executes a request for long is taken for a stalled one. It answers the checks, which become rarer.
#[test]
fn suspect_healthy_node_long_execution() {
    let mut mesh = Mesh::new();
    mesh.warm_up();
    mesh.send(node(1), Duration::from_secs(20));
    mesh.run(Duration::from_secs(20));
    assert_eq!(mesh.verdicts, []);
    assert!((2..=22).contains(&mesh.checks.len()), "{:?}", mesh.checks);
}

/// Failure: a node that stalls in the middle of a long execution, after it has answered checks, isn't found.
#[test]
fn suspect_node_stalled_in_long_execution() {
    let mut mesh = Mesh::new();
    mesh.warm_up();
    mesh.send(node(1), Duration::from_mins(1));
    mesh.run(Duration::from_secs(10));
    mesh.stalled.push(node(1));
    let stalled = mesh.now;
    mesh.run(Duration::from_secs(2));
    let after = mesh.verdicts[0].0.since(stalled);
    let bound = Duration::from_secs(1) + TICK + CHECK_TIMEOUT;
    assert!(after <= bound, "{after:?}");
}

/// Failure: a busy node is checked although it answers other attempts all the time.
#[test]
fn check_node_that_answers_others() {
    let mut mesh = Mesh::new();
    mesh.warm_up();
    mesh.send(node(1), Duration::from_secs(3));
    for _ in 0..60 {
        mesh.send(node(1), Duration::from_millis(50));
        mesh.run(Duration::from_millis(50));
    }
    assert_eq!(mesh.checks, []);
}

#[test]
fn clear_resumed_node() {
    let mut mesh = Mesh::new();
    mesh.warm_up();
    mesh.stalled.push(node(2));
    mesh.send(node(2), USUAL);
    mesh.run(Duration::from_secs(4));
    assert_eq!(mesh.verdicts.len(), 1, "{:?}", mesh.verdicts);
    mesh.stalled.clear();
    mesh.run(Duration::from_millis(1));
    assert!(!mesh.liveness.is_suspect(node(2)));
    let (_, to, verdict) = mesh.verdicts[1];
    assert_eq!(to, node(2));
    assert!(matches!(verdict, Verdict::Clear { .. }), "{verdict:?}");
    mesh.run(Duration::from_secs(1));
    assert!(!mesh.liveness.is_watching());
}

/// Failure: a suspect node whose attempts have all ended without an answer stays suspect after it has resumed, since nothing is
/// expected from it any more.
#[test]
fn clear_resumed_node_without_attempts() {
    let mut mesh = Mesh::new();
    mesh.warm_up();
    mesh.stalled.push(node(2));
    let id = mesh.send(node(2), USUAL);
    mesh.run(Duration::from_secs(1));
    mesh.ends.clear();
    let end = AttemptEnd::NoAnswer;
    assert_eq!(mesh.liveness.end_attempt(node(2), id, end, mesh.now), None);
    assert!(mesh.liveness.is_suspect(node(2)));
    mesh.stalled.clear();
    mesh.run(Duration::from_millis(1_100) + CHECK_TIMEOUT + TICK);
    assert!(!mesh.liveness.is_suspect(node(2)));
}

/// Failure: a lost node is checked for ever. After a while failed attempts alone keep requests away from it.
#[test]
fn check_lost_node_for_ten_seconds() {
    let mut mesh = Mesh::new();
    mesh.stalled.push(node(2));
    let id = mesh.send(node(2), USUAL);
    mesh.run(Duration::from_secs(3));
    mesh.ends.clear();
    mesh.liveness
        .end_attempt(node(2), id, AttemptEnd::NoAnswer, mesh.now);
    mesh.run(Duration::from_secs(20));
    assert!(!mesh.liveness.is_watching());
    assert!(mesh.checks.len() < 15, "{:?}", mesh.checks);
}

/// Failure: an outage of many nodes costs more checks than the bound, or several at one node at a time.
#[test]
fn check_many_stalled_nodes() {
    let mut mesh = Mesh::new();
    for number in 0..40 {
        mesh.stalled.push(node(number));
        mesh.send(node(number), USUAL);
    }
    mesh.run(Duration::from_secs(12));
    for (index, (at, to)) in mesh.checks.iter().enumerate() {
        let window = mesh.checks[index..].iter();
        let within = window.take_while(|(later, _)| later.since(*at) < Duration::from_secs(1));
        let within: Vec<_> = within.collect();
        assert!(within.len() <= MAX_CHECKS_PER_SECOND, "{within:?}");
        let same = mesh.checks[index + 1..].iter().find(|(_, next)| next == to);
        assert!(same.is_none_or(|(next, _)| next.since(*at) >= CHECK_TIMEOUT));
    }
    assert!(mesh.verdicts.len() >= 40, "{}", mesh.verdicts.len());
}

/// Failure: in a calm mesh the checks cost more bytes than they are worth. Durations here are exponentially distributed, so that
/// a good part of the attempts lasts longer than one and a half times the average.
#[test]
fn checks_in_calm_load() {
    let mut mesh = Mesh::new();
    let mut rng = StdRng::seed_from_u64(7);
    let mut sent = 0;
    for _ in 0..20_000 {
        if rng.random_bool(0.05) {
            let chance: f64 = rng.random_range(0.000_1..1.0);
            let class = if rng.random_bool(0.5) { "look" } else { "book" };
            let scale = if class == "look" { 0.1 } else { 0.6 };
            mesh.send_class(
                node(rng.random_range(0..70)),
                class,
                Duration::from_secs_f64(-chance.ln() * scale),
            );
            sent += 1;
        }
        mesh.run(Duration::from_millis(1));
    }
    let share = mesh.checks.len() * 100 / sent;
    assert!(
        share <= 4,
        "{} checks for {sent} attempts",
        mesh.checks.len()
    );
    assert_eq!(mesh.verdicts, []);
}

/// Failure: after this node itself was stalled it suspects all others, whose answers it has not read yet.
#[test]
fn suspect_after_own_stall() {
    let mut mesh = Mesh::new();
    mesh.warm_up();
    for number in 1..5 {
        mesh.send(node(number), USUAL);
    }
    mesh.run(TICK * 2);
    mesh.now = mesh.now + Duration::from_secs(4);
    assert_eq!(mesh.liveness.tick(mesh.now), []);
    assert_eq!(mesh.liveness.record_check_timeout(node(1), mesh.now), None);
}

/// The same for a check that was sent before the stall.
#[test]
fn suspect_after_own_stall_in_check() {
    let mut mesh = Mesh::new();
    mesh.send(node(1), Duration::from_secs(9));
    mesh.run(TARGET.mul_f64(0.49));
    mesh.stalled.push(node(1));
    while mesh.checks.is_empty() {
        mesh.run(Duration::from_millis(1));
    }
    mesh.now = mesh.now + Duration::from_secs(4);
    assert_eq!(mesh.liveness.record_check_timeout(node(1), mesh.now), None);
    assert_eq!(mesh.liveness.end_check(node(1), true, mesh.now), None);
    assert!(!mesh.liveness.is_suspect(node(1)));
}

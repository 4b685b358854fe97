//! Detects nodes that accept connections and do not answer, by the attempts that this node has outstanding there.
//!
//! If an attempt lasts longer than attempts of its class usually do and nothing comes from its node meanwhile, the node is checked
//! with a message that it answers at once. A node that does not answer the check is suspect until it gives a sign of life.
//!
//! The module is pure: the caller passes in the events and the time, and performs the actions that are returned.

mod usual_duration;

use crate::state::{
    names::{ClassName, ServiceName},
    timestamp::Timestamp,
};
use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};
use usual_duration::UsualDuration;

/// Time without an answer to a check after which a node is suspect. A message between zones and its answer take a few
/// milliseconds.
pub const CHECK_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum number of checks that a node starts within a second. Each costs some hundreds of bytes.
pub const MAX_CHECKS_PER_SECOND: usize = 5;
/// Interval of [`NodeLiveness::tick`] while attempts are outstanding. It delays the detection of a stalled node by as much.
pub const TICK: Duration = Duration::from_millis(25);

/// Shortest time after which an attempt causes a check. Pauses of a healthy node are shorter.
const MIN_PATIENCE: Duration = Duration::from_millis(150);
/// Longest time until the next check for an attempt whose node has answered one, unless attempts of its class usually take longer.
/// A node that stalls during a long execution is found within this time.
const MAX_REPEAT_PATIENCE: Duration = Duration::from_secs(1);
/// Time after which a suspect node is checked again. Doubles with each check that it does not answer.
const INITIAL_RECHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time until a suspect node is checked again. It limits how late a node that has recovered is used.
const MAX_RECHECK_INTERVAL: Duration = Duration::from_secs(1);
/// A node that is suspect for longer is lost rather than stalled. It is checked no more, since checks cost bytes, and only failed
/// attempts keep requests away from it.
const MAX_SUSPICION: Duration = Duration::from_secs(10);
/// If this much time passes between two ticks, this node itself was stalled. What other nodes sent meanwhile has not been read.
const OWN_STALL: Duration = Duration::from_millis(250);

/// Identifies an outstanding attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId(u64);

/// An attempt that is sent to another node.
#[derive(Clone, Copy, Debug)]
pub struct SentAttempt<'a> {
    /// The node.
    pub to: SocketAddr,
    /// Service of the request.
    pub service: &'a ServiceName,
    /// Class of the request.
    pub class: &'a ClassName,
    /// Latency target of the class. It determines when the first attempts of a class cause a check.
    pub target: Duration,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// An upstream has executed it.
    Executed,
    /// The node answered and did not execute it.
    NotExecuted,
    /// The connection failed or the request ended before; nothing came from the node.
    NoAnswer,
}

/// Change of the verdict on a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The node is suspect from now on.
    Suspect {
        /// Time without a sign of life.
        silence: Duration,
        /// Number of attempts that this node has outstanding there.
        outstanding: usize,
    },
    /// The node is no longer suspect.
    Clear {
        /// Time for which it was suspect.
        suspect_for: Duration,
    },
}

#[derive(Clone, Copy, Debug)]
struct Suspicion {
    since: Timestamp,
    next_check: Timestamp,
    interval: Duration,
}

#[derive(Clone, Debug)]
struct OutstandingAttempt {
    sent: Timestamp,
    service: ServiceName,
    class: ClassName,
    /// Time without a sign of life after which the attempt causes a check.
    patience: Duration,
    /// Whether the node was suspect meanwhile. How long the attempt takes says nothing about its class then.
    was_suspect: bool,
}

impl OutstandingAttempt {
    /// When the attempt causes a check, if the node was last heard at `last_sign`.
    fn due(&self, last_sign: Timestamp) -> Timestamp {
        self.sent.max(last_sign) + self.patience
    }
}

#[derive(Clone, Debug, Default)]
struct WatchedNode {
    attempts: BTreeMap<AttemptId, OutstandingAttempt>,
    last_sign: Timestamp,
    /// When the check in progress was sent; `None` without one.
    check_sent: Option<Timestamp>,
    suspicion: Option<Suspicion>,
}

impl WatchedNode {
    /// Since when the node has left all of its attempts unanswered; `None` without one.
    fn silent_since(&self) -> Option<Timestamp> {
        let earliest = self.attempts.values().map(|attempt| attempt.sent).min();
        earliest.map(|sent| sent.max(self.last_sign))
    }

    /// When the node has to be checked; `None` if nothing is expected from it.
    fn check_due(&self) -> Option<Timestamp> {
        if self.check_sent.is_some() {
            return None;
        }
        if let Some(suspicion) = self.suspicion {
            return Some(suspicion.next_check);
        }
        let attempts = self.attempts.values();
        attempts.map(|attempt| attempt.due(self.last_sign)).min()
    }

    /// Records that a check is sent. The attempts that caused it cause the next one later: a long execution would otherwise cause
    /// checks all the time.
    fn begin_check(&mut self, now: Timestamp) {
        self.check_sent = Some(now);
        for attempt in self.attempts.values_mut() {
            if attempt.due(self.last_sign) <= now {
                let longest = attempt.patience.max(MAX_REPEAT_PATIENCE);
                attempt.patience = (attempt.patience * 2).min(longest);
            }
        }
    }

    /// Whether the node has sent nothing since the check in progress.
    fn is_check_unanswered(&self) -> bool {
        self.check_sent.is_some_and(|sent| self.last_sign < sent)
    }

    fn suspect(&mut self, now: Timestamp) -> Option<Verdict> {
        if let Some(suspicion) = &mut self.suspicion {
            suspicion.interval = (suspicion.interval * 2).min(MAX_RECHECK_INTERVAL);
            suspicion.next_check = now + suspicion.interval;
            return None;
        }
        let silence = self.silent_since().map(|since| now.since(since))?;
        self.suspicion = Some(Suspicion {
            since: now,
            next_check: now + INITIAL_RECHECK_INTERVAL,
            interval: INITIAL_RECHECK_INTERVAL,
        });
        for attempt in self.attempts.values_mut() {
            attempt.was_suspect = true;
        }
        Some(Verdict::Suspect {
            silence,
            outstanding: self.attempts.len(),
        })
    }

    fn is_idle(&self) -> bool {
        self.attempts.is_empty() && self.check_sent.is_none() && self.suspicion.is_none()
    }
}

/// What an entry node knows of the liveness of other nodes.
#[derive(Clone, Debug, Default)]
pub struct NodeLiveness {
    /// Nodes with outstanding attempts or checks, and suspect ones.
    nodes: HashMap<SocketAddr, WatchedNode>,
    durations: HashMap<ServiceName, HashMap<ClassName, UsualDuration>>,
    next_id: u64,
    /// Start times of the checks within the last second.
    recent_checks: VecDeque<Timestamp>,
    last_tick: Option<Timestamp>,
}

impl NodeLiveness {
    /// Records that an attempt is sent.
    pub fn begin_attempt(&mut self, sent: &SentAttempt<'_>, now: Timestamp) -> AttemptId {
        let id = AttemptId(self.next_id);
        self.next_id += 1;
        let patience = self.find_patience(sent);
        let node = self.nodes.entry(sent.to).or_default();
        let attempt = OutstandingAttempt {
            sent: now,
            service: sent.service.clone(),
            class: sent.class.clone(),
            patience,
            was_suspect: node.suspicion.is_some(),
        };
        node.attempts.insert(id, attempt);
        id
    }

    /// Records that an attempt has ended. Returns the verdict if it changes.
    pub fn end_attempt(
        &mut self,
        to: SocketAddr,
        id: AttemptId,
        end: AttemptEnd,
        now: Timestamp,
    ) -> Option<Verdict> {
        let node = self.nodes.get_mut(&to)?;
        if let Some(attempt) = node.attempts.remove(&id)
            && end == AttemptEnd::Executed
            && !attempt.was_suspect
        {
            let classes = self.durations.entry(attempt.service).or_default();
            let usual = classes.entry(attempt.class).or_default();
            usual.observe(now.since(attempt.sent));
        }
        if end == AttemptEnd::NoAnswer {
            self.forget_if_idle(to);
            return None;
        }
        self.record_answer(to, now)
    }

    /// Records that the node sent an answer to an attempt or to a check. Returns the verdict if it changes.
    pub fn record_answer(&mut self, from: SocketAddr, now: Timestamp) -> Option<Verdict> {
        let node = self.nodes.get_mut(&from)?;
        node.last_sign = now;
        let suspicion = node.suspicion.take();
        self.forget_if_idle(from);
        suspicion.map(|suspicion| Verdict::Clear {
            suspect_for: now.since(suspicion.since),
        })
    }

    /// Records that a check has had no answer for [`CHECK_TIMEOUT`]. Returns the verdict if it changes.
    pub fn record_check_timeout(&mut self, to: SocketAddr, now: Timestamp) -> Option<Verdict> {
        let node = self.nodes.get_mut(&to)?;
        let sent = node.check_sent.filter(|_| node.is_check_unanswered())?;
        if now.since(sent) > CHECK_TIMEOUT + OWN_STALL {
            // The answer may have arrived while this node itself was stalled.
            return None;
        }
        node.suspect(now)
    }

    /// Records that a check has ended, with an answer or without. Returns the verdict if it changes.
    pub fn end_check(
        &mut self,
        to: SocketAddr,
        is_answered: bool,
        now: Timestamp,
    ) -> Option<Verdict> {
        let node = self.nodes.get_mut(&to)?;
        if is_answered {
            node.check_sent = None;
            return self.record_answer(to, now);
        }
        let verdict = if node.is_check_unanswered() {
            node.suspect(now)
        } else {
            None
        };
        node.check_sent = None;
        self.forget_if_idle(to);
        verdict
    }

    /// Returns the nodes to which a check has to be sent now. Called every [`TICK`] while [`Self::is_watching`].
    pub fn tick(&mut self, now: Timestamp) -> Vec<SocketAddr> {
        if self
            .last_tick
            .replace(now)
            .is_some_and(|last| now.since(last) > OWN_STALL)
        {
            self.restart_silences(now);
        }
        self.drop_old_suspicions(now);
        let mut due: Vec<(bool, Timestamp, SocketAddr)> = self
            .nodes
            .iter()
            .filter_map(|(address, node)| {
                let due = node.check_due().filter(|due| *due <= now)?;
                Some((node.suspicion.is_some(), due, *address))
            })
            .collect();
        // Nodes that are suspect already can wait: no request depends on the answer.
        due.sort();
        due.truncate(self.count_allowed_checks(now));
        for (_, _, address) in &due {
            self.recent_checks.push_back(now);
            if let Some(node) = self.nodes.get_mut(address) {
                node.begin_check(now);
            }
        }
        due.into_iter().map(|(_, _, address)| address).collect()
    }

    /// Whether anything is expected from another node. If not, [`Self::tick`] is not needed.
    #[must_use]
    pub fn is_watching(&self) -> bool {
        !self.nodes.is_empty()
    }

    /// Records that [`Self::tick`] is not called until the next attempt.
    pub fn pause(&mut self) {
        self.last_tick = None;
    }

    /// Whether the node is suspect.
    #[must_use]
    pub fn is_suspect(&self, address: SocketAddr) -> bool {
        let node = self.nodes.get(&address);
        node.is_some_and(|node| node.suspicion.is_some())
    }

    /// The suspect nodes, in order of their addresses.
    #[must_use]
    pub fn list_suspects(&self) -> Vec<SocketAddr> {
        let suspects = self.nodes.iter();
        let mut suspects: Vec<SocketAddr> = suspects
            .filter(|(_, node)| node.suspicion.is_some())
            .map(|(address, _)| *address)
            .collect();
        suspects.sort_unstable();
        suspects
    }

    fn find_patience(&self, sent: &SentAttempt<'_>) -> Duration {
        let classes = self.durations.get(sent.service);
        let usual = classes.and_then(|classes| classes.get(sent.class));
        let usual = usual.and_then(UsualDuration::find_longest_usual);
        usual.unwrap_or(sent.target / 2).max(MIN_PATIENCE)
    }

    fn count_allowed_checks(&mut self, now: Timestamp) -> usize {
        let is_old = |at: &Timestamp| now.since(*at) >= Duration::from_secs(1);
        while self.recent_checks.front().is_some_and(is_old) {
            self.recent_checks.pop_front();
        }
        MAX_CHECKS_PER_SECOND.saturating_sub(self.recent_checks.len())
    }

    fn restart_silences(&mut self, now: Timestamp) {
        for node in self.nodes.values_mut() {
            node.last_sign = now;
        }
    }

    fn drop_old_suspicions(&mut self, now: Timestamp) {
        let is_old = |suspicion: &Suspicion| now.since(suspicion.since) > MAX_SUSPICION;
        for node in self.nodes.values_mut() {
            if node.suspicion.as_ref().is_some_and(is_old) {
                node.suspicion = None;
                // The attempts that are still outstanding have been hedged already.
                node.last_sign = now;
            }
        }
        self.nodes.retain(|_, node| !node.is_idle());
    }

    fn forget_if_idle(&mut self, address: SocketAddr) {
        if self.nodes.get(&address).is_some_and(WatchedNode::is_idle) {
            self.nodes.remove(&address);
        }
    }
}

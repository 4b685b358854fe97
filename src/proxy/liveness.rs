//! Watches the attempts at other nodes, checks nodes that are silent for unusually long, and keeps requests away from suspect ones.
//!
//! The decisions are in `src/coordination/node_liveness.rs`, the reasons in `docs/design/stalled-nodes.md`.

use crate::{
    coordination::node_liveness::{
        AttemptEnd, AttemptId, CHECK_TIMEOUT, NodeLiveness, SentAttempt, TICK, Verdict,
    },
    protocol::hop::{AttemptOutcome, StateMessage},
    proxy::{
        core::{ProxyCore, increment},
        events::{NodeClearance, NodeSuspicion, ProxyEvent, in_millis},
        executing::CompletedAttempt,
        state_messages::ask_state,
    },
    state::{
        ablation::Mechanism,
        names::{ClassName, ServiceName},
    },
    transport::outgoing::SendError,
};
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    time::Duration,
};
use tokio::{
    sync::{Notify, futures::Notified},
    task::spawn_local,
};

/// Liveness of other nodes, as this node sees it.
#[derive(Debug, Default)]
pub struct PeerLiveness {
    decisions: RefCell<NodeLiveness>,
    /// Notified when an attempt begins while nothing was watched.
    watch_begun: Notify,
    /// Notified when a node becomes suspect.
    node_suspected: Notify,
    /// Checks sent to other nodes since the start.
    pub checks: Cell<u64>,
    /// How often a node became suspect since the start.
    pub suspicions: Cell<u64>,
    /// Attempts at a further node, because all nodes that had the request were suspect.
    pub hedges: Cell<u64>,
}

impl PeerLiveness {
    /// Whether the node is suspect.
    #[must_use]
    pub fn is_suspect(&self, address: SocketAddr) -> bool {
        self.decisions.borrow().is_suspect(address)
    }

    /// The suspect nodes.
    #[must_use]
    pub fn list_suspects(&self) -> Vec<SocketAddr> {
        self.decisions.borrow().list_suspects()
    }

    /// Ends when a node becomes suspect after this call.
    pub fn wait_for_suspicion(&self) -> Notified<'_> {
        self.node_suspected.notified()
    }
}

/// An attempt at another node that is watched until it ends or is dropped.
pub struct WatchedAttempt {
    core: Rc<ProxyCore>,
    to: SocketAddr,
    id: AttemptId,
    end: Cell<AttemptEnd>,
}

impl WatchedAttempt {
    /// Begins to watch an attempt; `None` if checks are disabled or it goes to the local upstream.
    #[must_use]
    pub fn begin(
        core: &Rc<ProxyCore>,
        to: SocketAddr,
        (service, class): (&ServiceName, &ClassName),
        target: Duration,
    ) -> Option<Self> {
        if !core.limits().node_checks || to == core.settings.peer_address {
            return None;
        }
        let sent = SentAttempt {
            to,
            service,
            class,
            target,
        };
        let mut decisions = core.liveness.decisions.borrow_mut();
        if !decisions.is_watching() {
            core.liveness.watch_begun.notify_one();
        }
        Some(Self {
            core: Rc::clone(core),
            to,
            id: decisions.begin_attempt(&sent, core.timers.now()),
            end: Cell::new(AttemptEnd::NoAnswer),
        })
    }

    /// Records the result of the attempt.
    pub fn record_result(&self, result: &Result<CompletedAttempt, SendError>) {
        let end = match result {
            Ok(completed) if completed.answer.outcome == AttemptOutcome::Answered => {
                AttemptEnd::Executed
            }
            Ok(_) | Err(SendError::BadAnswer | SendError::Rejected) => AttemptEnd::NotExecuted,
            Err(SendError::NotSent | SendError::Disconnected) => AttemptEnd::NoAnswer,
        };
        self.end.set(end);
    }
}

impl Drop for WatchedAttempt {
    fn drop(&mut self) {
        let now = self.core.timers.now();
        let mut decisions = self.core.liveness.decisions.borrow_mut();
        let verdict = decisions.end_attempt(self.to, self.id, self.end.get(), now);
        drop(decisions);
        apply_verdict(&self.core, self.to, verdict);
    }
}

/// Sends the checks that are due, while attempts are outstanding. Never ends.
pub async fn watch_nodes(core: Rc<ProxyCore>) {
    let liveness = &core.liveness;
    loop {
        if !liveness.decisions.borrow().is_watching() {
            liveness.decisions.borrow_mut().pause();
            liveness.watch_begun.notified().await;
        }
        if core.timers.after(TICK).recv_async().await.is_err() {
            return;
        }
        let due = liveness.decisions.borrow_mut().tick(core.timers.now());
        for to in due {
            spawn_local(check_node(Rc::clone(&core), to));
        }
    }
}

/// Sends a check to a node and records its end. An answer that comes after [`CHECK_TIMEOUT`] clears the node.
async fn check_node(core: Rc<ProxyCore>, to: SocketAddr) {
    let liveness = &core.liveness;
    increment(&liveness.checks);
    let mut answer = pin!(is_answering(&core, to));
    let timeout = core.timers.after(CHECK_TIMEOUT);
    let in_time = tokio::select! {
        biased;
        is_answered = &mut answer => Some(is_answered),
        _ = timeout.recv_async() => None,
    };
    let is_answered = if let Some(is_answered) = in_time {
        is_answered
    } else {
        let now = core.timers.now();
        let verdict = liveness
            .decisions
            .borrow_mut()
            .record_check_timeout(to, now);
        apply_verdict(&core, to, verdict);
        answer.await
    };
    let now = core.timers.now();
    let verdict = liveness
        .decisions
        .borrow_mut()
        .end_check(to, is_answered, now);
    apply_verdict(&core, to, verdict);
}

/// Whether the node answers an empty message, whatever it answers.
async fn is_answering(core: &ProxyCore, to: SocketAddr) -> bool {
    let answer = ask_state(core, to, &StateMessage::default()).await;
    matches!(answer, Ok(_) | Err(SendError::BadAnswer))
}

fn apply_verdict(core: &ProxyCore, to: SocketAddr, verdict: Option<Verdict>) {
    match verdict {
        None => {}
        Some(Verdict::Suspect {
            silence,
            outstanding,
        }) => {
            increment(&core.liveness.suspicions);
            core.log(&ProxyEvent::NodeSuspected(NodeSuspicion {
                to,
                silent_ms: in_millis(silence),
                outstanding,
            }));
            if !Mechanism::NodeBackoff.is_disabled()
                && let Some(node) = core.directory.borrow_mut().nodes.get_mut(&to)
            {
                node.record_unreachable(core.timers.now());
            }
            core.liveness.node_suspected.notify_waiters();
        }
        Some(Verdict::Clear { suspect_for }) => {
            core.log(&ProxyEvent::NodeCleared(NodeClearance {
                to,
                suspect_ms: in_millis(suspect_for),
            }));
            // A backoff without a failure comes from a refusal, which the node may just have sent.
            if let Some(node) = core.directory.borrow_mut().nodes.get_mut(&to)
                && node.consecutive_failures > 0
            {
                node.reset_backoff();
            }
        }
    }
}

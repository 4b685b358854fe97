//! Decides from the result of an attempt how its request goes on.

use crate::{
    coordination::slot_search::Refusal,
    protocol::{
        hop::{AttemptOutcome, HopAnswer},
        outcome::{RefusalReason, UnknownCause},
    },
    proxy::{
        client_reply::RequestOutcome,
        crash_detection::report_answer_after_crash,
        entry::{attempt::AttemptResult, request_router::RequestRouter},
        executing::CompletedAttempt,
    },
    transport::{message_body::MessageBody, outgoing::SendError},
};
use http::Response;
use std::{net::SocketAddr, time::Duration};

/// How a request goes on after an attempt.
pub enum NextStep {
    /// The request ends with this outcome.
    End(RequestOutcome),
    /// The attempt did not reach an upstream; another node may be asked.
    TryAnotherNode,
    /// The attempt reached an upstream or may have; another attempt is a retry and is spent from the retry budget.
    Retry,
}

impl RequestRouter {
    /// Updates the request with the result of an attempt.
    pub fn apply_result(&mut self, attempt: AttemptResult) -> NextStep {
        let AttemptResult { to, result } = attempt;
        match result {
            Ok(CompletedAttempt { answer, response }) => self.apply_answer(to, answer, response),
            Err(SendError::NotSent | SendError::Rejected) => {
                self.last_refusal = RefusalReason::NotSent;
                NextStep::TryAnotherNode
            }
            Err(_) => {
                self.attempts.count_upstream_attempt();
                self.apply_unknown(UnknownCause::NodeLost)
            }
        }
    }

    fn apply_answer(
        &mut self,
        to: SocketAddr,
        answer: HopAnswer,
        response: Option<Response<MessageBody>>,
    ) -> NextStep {
        match (answer.outcome, response) {
            (AttemptOutcome::Answered, Some(response)) => {
                self.attempts.count_upstream_attempt();
                self.apply_response(response)
            }
            (AttemptOutcome::Answered, None) => {
                self.attempts.count_upstream_attempt();
                self.apply_unknown(UnknownCause::BadAnswer)
            }
            (AttemptOutcome::Unknown(cause), _) => {
                self.attempts.count_upstream_attempt();
                self.apply_unknown(cause)
            }
            (AttemptOutcome::Refused(RefusalReason::UpstreamShed), _) => {
                self.attempts.count_upstream_attempt();
                self.last_refusal = RefusalReason::UpstreamShed;
                NextStep::Retry
            }
            (AttemptOutcome::Refused(RefusalReason::Quarantined), _)
                if self.in_flight.is_empty() =>
            {
                let outcome =
                    RequestOutcome::Refused(RefusalReason::Quarantined, answer.finish_or_wait);
                NextStep::End(self.earlier_outcome.take().unwrap_or(outcome))
            }
            (AttemptOutcome::Refused(reason), _) => {
                self.last_refusal = reason;
                if reason == RefusalReason::QueueFull {
                    self.record_full_queue(to, answer.finish_or_wait);
                }
                if reason == RefusalReason::UpstreamFailing {
                    self.was_refused_as_failing = true;
                }
                if reason.is_node_wide() {
                    self.search.continue_in_remote_zones();
                }
                NextStep::TryAnotherNode
            }
        }
    }

    fn record_full_queue(&mut self, address: SocketAddr, reported_finish: Duration) {
        let mut directory = self.core.directory.borrow_mut();
        let Some(node) = directory.nodes.get_mut(&address) else {
            return;
        };
        node.record_refusal(
            &self.call.route.class,
            reported_finish,
            self.core.timers.now(),
        );
        let is_local = node.record.availability_zone == self.core.settings.availability_zone;
        drop(directory);
        self.search.record_refusal(Refusal {
            node: address,
            in_local_zone: is_local,
            finish_in: reported_finish,
        });
    }

    /// A server error ends an idempotent request only if no retry gives an answer: the cause may lie in this upstream.
    fn apply_response(&mut self, response: Response<MessageBody>) -> NextStep {
        if matches!(
            self.earlier_outcome,
            Some(RequestOutcome::Unknown(UnknownCause::UpstreamCrashed))
        ) {
            report_answer_after_crash(&self.core, self.call.fingerprint);
        }
        let failed = response.status().is_server_error();
        let outcome = RequestOutcome::Answered(Box::new(response));
        if failed && self.call.route.idempotent {
            self.earlier_outcome = Some(outcome);
            return NextStep::Retry;
        }
        NextStep::End(outcome)
    }

    fn apply_unknown(&mut self, cause: UnknownCause) -> NextStep {
        let outcome = RequestOutcome::Unknown(cause);
        if !self.call.route.idempotent || cause == UnknownCause::DeadlinePassed {
            return NextStep::End(outcome);
        }
        if self.earlier_outcome.is_none() {
            self.earlier_outcome = Some(outcome);
        }
        NextStep::Retry
    }
}

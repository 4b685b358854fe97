//! What the end of an attempt means for its request.

use crate::{
    coordination::slot_search::Offer,
    protocol::{
        hop::{AttemptOutcome, HopAnswer},
        outcome::{RefusalReason, UnknownCause},
    },
    proxy::{
        client_reply::RequestOutcome,
        crash_detection::clear_suspect,
        entry::{attempt::Returned, request_router::RequestRouter},
        executing::CompletedAttempt,
    },
    transport::outgoing::SendError,
};
use bytes::Bytes;
use http::Response;
use std::{net::SocketAddr, time::Duration};

/// What an attempt's end means for the request.
pub enum Step {
    /// The request ends with it.
    End(RequestOutcome),
    /// It did not reach an upstream; another node may be asked.
    Elsewhere,
    /// It reached an upstream; another one costs a repeat.
    Repeat,
}

impl RequestRouter {
    /// Learns from the end of an attempt.
    pub fn judge(&mut self, returned: Returned) -> Step {
        let Returned { to, result } = returned;
        match result {
            Ok(CompletedAttempt { answer, response }) => self.judge_answer(to, answer, response),
            Err(SendError::NotSent) => {
                self.last_refusal = RefusalReason::NotSent;
                Step::Elsewhere
            }
            Err(_) => {
                self.attempts.count_arrival();
                self.judge_unknown(UnknownCause::NodeLost)
            }
        }
    }

    fn judge_answer(
        &mut self,
        to: SocketAddr,
        answer: HopAnswer,
        response: Option<Response<Bytes>>,
    ) -> Step {
        match (answer.outcome, response) {
            (AttemptOutcome::Answered, Some(response)) => {
                self.attempts.count_arrival();
                self.judge_response(response)
            }
            (AttemptOutcome::Answered, None) => {
                self.attempts.count_arrival();
                self.judge_unknown(UnknownCause::BadAnswer)
            }
            (AttemptOutcome::Unknown(cause), _) => {
                self.attempts.count_arrival();
                self.judge_unknown(cause)
            }
            (AttemptOutcome::Refused(RefusalReason::UpstreamShed), _) => {
                self.attempts.count_arrival();
                self.last_refusal = RefusalReason::UpstreamShed;
                Step::Repeat
            }
            (AttemptOutcome::Refused(RefusalReason::Quarantined), _)
                if self.under_way.is_empty() =>
            {
                let end =
                    RequestOutcome::Refused(RefusalReason::Quarantined, answer.finish_or_wait);
                Step::End(self.earlier.take().unwrap_or(end))
            }
            (AttemptOutcome::Refused(reason), _) => {
                self.last_refusal = reason;
                if reason == RefusalReason::QueueFull {
                    self.note_offer(to, answer.finish_or_wait);
                }
                if reason.is_node_wide() {
                    self.search.reopen();
                }
                Step::Elsewhere
            }
        }
    }

    fn note_offer(&mut self, address: SocketAddr, finish: Duration) {
        let mut directory = self.core.directory.borrow_mut();
        let Some(view) = directory.nodes.get_mut(&address) else {
            return;
        };
        view.record_refusal(&self.call.route.class, finish, self.core.timers.now());
        let near = view.record.availability_zone == self.core.settings.availability_zone;
        drop(directory);
        self.search.note_offer(Offer {
            node: address,
            near,
            finish,
        });
    }

    /// A server error of an idempotent request may be a matter of that upstream only.
    fn judge_response(&mut self, response: Response<Bytes>) -> Step {
        if matches!(
            self.earlier,
            Some(RequestOutcome::Unknown(UnknownCause::UpstreamCrashed))
        ) {
            clear_suspect(&self.core, self.call.digest);
        }
        let failed = response.status().is_server_error();
        let end = RequestOutcome::Answered(Box::new(response));
        if failed && self.call.route.idempotent {
            self.earlier = Some(end);
            return Step::Repeat;
        }
        Step::End(end)
    }

    fn judge_unknown(&mut self, cause: UnknownCause) -> Step {
        let end = RequestOutcome::Unknown(cause);
        if !self.call.route.idempotent || cause == UnknownCause::DeadlinePassed {
            return Step::End(end);
        }
        if self.earlier.is_none() {
            self.earlier = Some(end);
        }
        Step::Repeat
    }
}

//! Reasons and conditions in words, for messages and explanations.

use crate::{
    events::reasons::{ChoiceReason, KeyRepeat, RetryStop},
    protocol::{
        load_report::UpstreamCondition,
        outcome::{RefusalReason, Settlement, UnknownCause},
    },
};

/// The reason of a refusal in words, to follow "because".
#[must_use]
pub const fn describe_refusal(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::NoUpstream => "no upstream of the service is known and serving",
        RefusalReason::QueueFull => "the queue of the class was full",
        RefusalReason::DeadlineTooShort => "the deadline could not be met",
        RefusalReason::DeadlinePassed => "the deadline passed while the call was queued",
        RefusalReason::Draining => "the upstream was draining or its node stopping",
        RefusalReason::UpstreamDown => "the upstream was down or not announced yet",
        RefusalReason::UpstreamShed => "the upstream itself refused the work",
        RefusalReason::NotSent => "no byte of the request could be sent",
        RefusalReason::Cancelled => "the caller cancelled while the call was queued",
        RefusalReason::TooDeep => "the chain of calls was too deep",
        RefusalReason::RetryBudget => "the budget for second attempts was used up",
        RefusalReason::NotOwner => "the node did not own the key, or its lease had lapsed",
        RefusalReason::KeyMissing => "its class needs an idempotency key and there was none",
        RefusalReason::KeyInvalid => "the idempotency key was malformed or from the future",
        RefusalReason::KeyReused => "the idempotency key was used before with another request",
        RefusalReason::UnknownClass => "the executing node did not know the service or class",
    }
}

/// The cause of an unknown outcome in words, to follow "because".
#[must_use]
pub const fn describe_cause(cause: UnknownCause) -> &'static str {
    match cause {
        UnknownCause::UpstreamCut => {
            "the connection to the upstream broke after it had the request"
        }
        UnknownCause::DeadlinePassed => "the deadline passed while the upstream ran the call",
        UnknownCause::NodeLost => "the executing node was lost and could not be asked",
        UnknownCause::Cancelled => "the caller went away while the upstream ran the call",
        UnknownCause::BadAnswer => "the upstream's answer was malformed, cut short or too large",
        UnknownCause::AnswerNotHeld => "the key ran before and its answer is no longer held",
        UnknownCause::KeyUnsettled => "no node that could tell whether the key ran was reached",
        UnknownCause::KeyTooOld => "the key is older than what its present owner remembers",
    }
}

/// Why an upstream was chosen, in words, to follow "because".
#[must_use]
pub const fn describe_choice(reason: ChoiceReason) -> &'static str {
    match reason {
        ChoiceReason::Policy => "the policy rated it best",
        ChoiceReason::OtherZone => "the own availability zone could not meet the target",
        ChoiceReason::KeyOwner => "it owned the idempotency key",
        ChoiceReason::OnlyCandidate => "no other upstream was left",
    }
}

/// Why no further attempt was made, in words, to follow "because".
#[must_use]
pub const fn describe_stop(reason: RetryStop) -> &'static str {
    match reason {
        RetryStop::Budget => "the budget for second attempts was used up",
        RetryStop::Attempts => "the largest number of attempts was reached",
        RetryStop::Deadline => "too little time was left",
        RetryStop::MayHaveRun => "the call may have run and its class is not idempotent",
        RetryStop::NoCandidate => "no other upstream was left to try",
        RetryStop::Advice => "the refusal said that trying again can't help",
        RetryStop::Cancelled => "the caller went away",
    }
}

/// What a repeated key met, in words.
#[must_use]
pub const fn describe_repeat(met: KeyRepeat) -> &'static str {
    match met {
        KeyRepeat::Joined => "waits for the first call's answer",
        KeyRepeat::Replayed => "got the first call's answer again",
        KeyRepeat::BodyDiffers => "was refused, its body differs from the first",
        KeyRepeat::Unknown => "got no answer, the first call's outcome is unknown",
    }
}

/// The word of an executing node, to follow "settled:".
#[must_use]
pub const fn describe_settlement(settlement: Settlement) -> &'static str {
    match settlement {
        Settlement::NeverRuns => "it did not run and never will",
        Settlement::Ran => "it was handed to the upstream",
        Settlement::Unknown => "it can't be told",
    }
}

/// The condition of an upstream in one word.
#[must_use]
pub const fn describe_condition(condition: UpstreamCondition) -> &'static str {
    match condition {
        UpstreamCondition::Down => "down",
        UpstreamCondition::Warming => "warming",
        UpstreamCondition::Serving => "serving",
        UpstreamCondition::Draining => "draining",
    }
}

//! Reads the complete body of a caller's request, with limits on its size, its time and its memory.

use crate::{
    state::{request_fingerprint::FingerprintHasher, timestamp::Timestamp},
    timers::TimerService,
    transport::{
        held_bytes::SharedBudget,
        message_body::{BodyCollector, HeldBody, ReadError, is_large},
    },
};
use flume::Receiver;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::{future::pending, time::Duration};

/// Part of the time for a body that may pass before its pace counts, as a divisor.
const PACE_GRACE_DIVISOR: u32 = 5;

/// Limits on the body of a request.
#[derive(Clone, Copy)]
pub struct BodyLimits {
    /// Largest length in bytes.
    pub bytes: usize,
    /// Longest time until the body is complete.
    pub time: Duration,
}

/// The length that a body announces; `None` if it announces none.
#[must_use]
pub fn get_declared_length(incoming: &Incoming) -> Option<usize> {
    let exact = incoming.size_hint().exact()?;
    Some(usize::try_from(exact).unwrap_or(usize::MAX))
}

/// Reads the complete body into memory of the budget, and hashes it. On failure `incoming` is left where it was.
///
/// # Errors
/// See [`ReadError`].
pub async fn read_body(
    incoming: &mut Incoming,
    limits: BodyLimits,
    budget: &SharedBudget,
    timers: &TimerService,
    hasher: &mut FingerprintHasher,
) -> Result<HeldBody, ReadError> {
    let declared = get_declared_length(incoming);
    if declared.is_some_and(|length| length > limits.bytes.min(budget.total())) {
        return Err(ReadError::TooLarge);
    }
    let mut collector = BodyCollector::begin(budget, declared)?;
    let timeout = timers.after(limits.time);
    let pace = Pace {
        began: timers.now(),
        refused_before: budget.refusals(),
        declared: declared.filter(|length| is_large(*length)),
        time: limits.time,
    };
    let checks = pace
        .declared
        .map(|_| timers.every(limits.time / PACE_GRACE_DIVISOR));
    loop {
        let frame = tokio::select! {
            frame = incoming.frame() => frame,
            _ = timeout.recv_async() => return Err(ReadError::Timeout),
            () = wait_for_check(checks.as_ref()) => {
                pace.check(collector.length(), budget, timers.now())?;
                continue;
            }
        };
        let Some(frame) = frame else {
            return Ok(collector.finish());
        };
        let data = frame.map_err(|_| ReadError::Malformed)?.into_data();
        let data = data.unwrap_or_default();
        if collector.length() + data.len() > limits.bytes {
            return Err(ReadError::TooLarge);
        }
        collector.reserve(data.len())?;
        hasher.update(&data);
        collector.push(data);
        pace.check(collector.length(), budget, timers.now())?;
    }
}

async fn wait_for_check(checks: Option<&Receiver<Timestamp>>) {
    if let Some(checks) = checks
        && checks.recv_async().await.is_ok()
    {
        return;
    }
    pending::<()>().await;
}

/// The pace at which a large body has to arrive while others are refused because of it.
struct Pace {
    began: Timestamp,
    /// Refusals before the body began.
    refused_before: u64,
    declared: Option<usize>,
    time: Duration,
}

impl Pace {
    /// A body that holds memory has to arrive evenly within its time, after a short while, if other bodies were refused meanwhile.
    fn check(&self, read: usize, budget: &SharedBudget, now: Timestamp) -> Result<(), ReadError> {
        let Some(declared) = self.declared else {
            return Ok(());
        };
        let grace = self.time / PACE_GRACE_DIVISOR;
        let elapsed = now.since(self.began).saturating_sub(grace);
        let due = declared as u128 * elapsed.as_millis();
        let is_slow = (read as u128) * (self.time.saturating_sub(grace)).as_millis() < due;
        if is_slow && budget.refusals() > self.refused_before {
            return Err(ReadError::Timeout);
        }
        Ok(())
    }
}

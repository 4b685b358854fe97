//! Results of attempts and load reports.

use crate::{
    protocol::{
        load_report::LoadReport,
        outcome::{AttemptResult, Outcome, Refusal, RetryAdvice, UpstreamAnswer},
    },
    transport::peers::{
        codec::{
            enums::{
                read_cause, read_condition, read_reason, write_cause, write_condition, write_reason,
            },
            headers::{read_headers, write_headers},
            list_length,
        },
        error::DecodeError,
        mesh_capnp::{attempt_result, load_report, refusal, upstream_answer},
    },
};
use bytes::Bytes;
use http::StatusCode;
use std::time::Duration;

pub fn write_load(load: LoadReport, mut builder: load_report::Builder) {
    builder.set_running(load.running);
    builder.set_queued(load.queued);
    builder.set_limit(load.limit);
    builder.set_latency_micros(load.latency_micros);
    builder.set_errors_permille(load.errors_permille);
    builder.set_condition(write_condition(load.condition));
}

pub fn read_load(reader: load_report::Reader) -> Result<LoadReport, DecodeError> {
    Ok(LoadReport {
        running: reader.get_running(),
        queued: reader.get_queued(),
        limit: reader.get_limit(),
        latency_micros: reader.get_latency_micros(),
        errors_permille: reader.get_errors_permille(),
        condition: read_condition(reader.get_condition()?),
    })
}

pub fn write_result(result: &AttemptResult, mut builder: attempt_result::Builder) {
    write_load(result.load, builder.reborrow().init_load());
    let mut outcome = builder.init_outcome();
    match &result.outcome {
        Outcome::Answered(answer) => write_answer(answer, outcome.init_answered()),
        Outcome::NotRun(refusal) => write_not_run(*refusal, outcome.init_not_run()),
        Outcome::Unknown(cause) => outcome.set_unknown(write_cause(*cause)),
    }
}

pub fn read_result(
    reader: attempt_result::Reader,
    body_limit: usize,
) -> Result<AttemptResult, DecodeError> {
    let outcome = match reader.get_outcome().which()? {
        attempt_result::outcome::Which::Answered(answer) => {
            Outcome::Answered(read_answer(answer?, body_limit)?)
        }
        attempt_result::outcome::Which::NotRun(refusal) => Outcome::NotRun(read_not_run(refusal?)?),
        attempt_result::outcome::Which::Unknown(cause) => Outcome::Unknown(read_cause(cause?)),
    };
    Ok(AttemptResult {
        outcome,
        load: read_load(reader.get_load()?)?,
    })
}

pub fn write_answer(answer: &UpstreamAnswer, mut builder: upstream_answer::Builder) {
    builder.set_status(answer.status.as_u16());
    builder.set_body(&answer.body);
    let headers = builder.init_headers(list_length(answer.headers.len()));
    write_headers(&answer.headers, headers);
}

pub fn read_answer(
    reader: upstream_answer::Reader,
    body_limit: usize,
) -> Result<UpstreamAnswer, DecodeError> {
    let body = reader.get_body()?;
    if body.len() > body_limit {
        return Err(DecodeError::TooLarge {
            field: "body",
            limit: body_limit,
        });
    }
    let status = StatusCode::from_u16(reader.get_status());
    Ok(UpstreamAnswer {
        status: status.map_err(|_| DecodeError::Invalid("status"))?,
        headers: read_headers(reader.get_headers()?)?,
        body: Bytes::copy_from_slice(body),
    })
}

fn write_not_run(refusal: Refusal, mut builder: refusal::Builder) {
    builder.set_reason(write_reason(refusal.reason));
    let mut advice = builder.init_advice();
    match refusal.advice {
        RetryAdvice::Elsewhere => advice.set_elsewhere(()),
        RetryAdvice::After(span) => {
            advice.set_after_micros(u64::try_from(span.as_micros()).unwrap_or(u64::MAX));
        }
        RetryAdvice::Never => advice.set_never(()),
    }
}

fn read_not_run(reader: refusal::Reader) -> Result<Refusal, DecodeError> {
    let advice = match reader.get_advice().which()? {
        refusal::advice::Which::Elsewhere(()) => RetryAdvice::Elsewhere,
        refusal::advice::Which::AfterMicros(micros) => {
            RetryAdvice::After(Duration::from_micros(micros))
        }
        refusal::advice::Which::Never(()) => RetryAdvice::Never,
    };
    Ok(Refusal {
        reason: read_reason(reader.get_reason()?),
        advice,
    })
}

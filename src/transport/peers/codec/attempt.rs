//! Attempts and their identities.

use crate::{
    protocol::{
        attempt::{AttemptId, CallId},
        call::{CallAttempt, IdempotencyKey},
    },
    transport::peers::{
        codec::{
            headers::{read_headers, write_headers},
            list_length, read_name, read_text,
        },
        error::DecodeError,
        mesh_capnp::{attempt_id, call_attempt, call_id},
    },
};
use bytes::Bytes;
use capnp::text;
use http::{Method, uri::PathAndQuery};
use std::time::Duration;
use uuid::Uuid;

pub fn write_attempt_id(id: AttemptId, mut builder: attempt_id::Builder) {
    builder.set_number(id.number);
    write_uuid(id.call.0, builder.init_call());
}

pub fn read_attempt_id(reader: attempt_id::Reader) -> Result<AttemptId, DecodeError> {
    Ok(AttemptId {
        call: CallId(read_uuid(reader.get_call()?)),
        number: reader.get_number(),
    })
}

pub fn write_attempt(attempt: &CallAttempt, mut builder: call_attempt::Builder) {
    write_attempt_id(attempt.id, builder.reborrow().init_id());
    builder.set_service(attempt.service.as_str());
    builder.set_class(attempt.class.as_str());
    builder.set_method(attempt.method.as_str());
    builder.set_target(attempt.target.as_str());
    let headers = builder
        .reborrow()
        .init_headers(list_length(attempt.headers.len()));
    write_headers(&attempt.headers, headers);
    builder.set_body(&attempt.body);
    let time_left = u64::try_from(attempt.time_left.as_micros()).unwrap_or(u64::MAX);
    builder.set_time_left_micros(time_left);
    builder.set_depth(attempt.depth);
    let mut key = builder.init_key();
    match attempt.key {
        Some(IdempotencyKey(uuid)) => write_uuid(uuid, key.init_uuid()),
        None => key.set_none(()),
    }
}

pub fn read_attempt(
    reader: call_attempt::Reader,
    body_limit: usize,
) -> Result<CallAttempt, DecodeError> {
    let body = reader.get_body()?;
    if body.len() > body_limit {
        return Err(DecodeError::TooLarge {
            field: "body",
            limit: body_limit,
        });
    }
    Ok(CallAttempt {
        id: read_attempt_id(reader.get_id()?)?,
        service: read_name(reader.get_service(), "service name")?.into(),
        class: read_name(reader.get_class(), "class name")?.into(),
        method: read_method(reader.get_method())?,
        target: read_target(reader.get_target())?,
        headers: read_headers(reader.get_headers()?)?,
        body: Bytes::copy_from_slice(body),
        time_left: Duration::from_micros(reader.get_time_left_micros()),
        key: read_key(reader.get_key())?,
        depth: reader.get_depth(),
    })
}

fn read_method(text: capnp::Result<text::Reader>) -> Result<Method, DecodeError> {
    let name = read_name(text, "method")?;
    Method::from_bytes(name.as_bytes()).map_err(|_| DecodeError::Invalid("method"))
}

fn read_target(text: capnp::Result<text::Reader>) -> Result<String, DecodeError> {
    let target = read_text(text, "target")?;
    let valid = target.starts_with('/') && target.parse::<PathAndQuery>().is_ok();
    if !valid {
        return Err(DecodeError::Invalid("target"));
    }
    Ok(target.to_owned())
}

fn read_key(reader: call_attempt::key::Reader) -> Result<Option<IdempotencyKey>, DecodeError> {
    match reader.which()? {
        call_attempt::key::Which::None(()) => Ok(None),
        call_attempt::key::Which::Uuid(uuid) => Ok(Some(IdempotencyKey(read_uuid(uuid?)))),
    }
}

pub fn write_uuid(uuid: Uuid, mut builder: call_id::Builder) {
    let (high, low) = uuid.as_u64_pair();
    builder.set_high(high);
    builder.set_low(low);
}

pub fn read_uuid(reader: call_id::Reader) -> Uuid {
    Uuid::from_u64_pair(reader.get_high(), reader.get_low())
}

//! Answers to appends and reads.

use super::{AnswerLoss, Shared, refuse};
use rouille::{Response, ResponseBody};
use serde::Serialize;
use std::{io::Cursor, time::Instant};

/// Most records in one answer.
const PAGE_LIMIT: usize = 1_000;

#[derive(Serialize)]
struct Appended {
    offset: u64,
}

#[derive(Serialize)]
struct Bounds {
    first_retained: u64,
    next: u64,
}

#[derive(Serialize)]
struct PageRecord<'a> {
    offset: u64,
    time_ms: u64,
    body: &'a str,
}

#[derive(Serialize)]
struct Page<'a> {
    first_retained: u64,
    next: u64,
    records: Vec<PageRecord<'a>>,
}

pub(super) fn answer_append(
    shared: &mut Shared,
    name: &str,
    body: String,
) -> Result<Response, AnswerLoss> {
    if !shared.throttle.admit(Instant::now()) {
        shared.counters.throttled += 1;
        return Ok(refuse(503, "too many appends"));
    }
    if shared.faults.take_held() {
        shared.faults.held.push((name.to_owned(), body));
        return Err(AnswerLoss::ServerError);
    }
    if shared.faults.take_duplicate() {
        shared.store(name, body.clone());
    }
    let offset = shared.store(name, body);
    let repeated = shared.faults.take_repeated_answer();
    let last = shared.stream(name).last_answer.replace(offset);
    if let Some(loss) = shared.faults.take_loss() {
        return Err(loss);
    }
    let offset = last.filter(|_| repeated).unwrap_or(offset);
    Ok(Response::json(&Appended { offset }))
}

pub(super) fn answer_read(shared: &mut Shared, name: &str, from: u64, limit: usize) -> Response {
    let stream = shared.stream(name);
    let first_retained = stream.first_retained();
    let next = stream.next();
    if from < first_retained {
        let bounds = Bounds {
            first_retained,
            next,
        };
        return Response::json(&bounds).with_status_code(410);
    }
    let records = stream.page(from, limit.min(PAGE_LIMIT));
    let page = Page {
        first_retained,
        next,
        records: records
            .into_iter()
            .map(|record| PageRecord {
                offset: record.offset,
                time_ms: record.time_ms,
                body: &record.body,
            })
            .collect(),
    };
    let Ok(text) = serde_json::to_string(&page) else {
        return refuse(500, "the page can't be encoded");
    };
    shared.counters.reads += 1;
    shared.counters.bytes_out += text.len() as u64;
    Response::from_data("application/json", text)
}

/// An answer that announces more bytes than it has.
pub(super) fn cut_short() -> Response {
    let body = Cursor::new(b"{\"off".to_vec());
    Response {
        status_code: 200,
        headers: vec![("Content-Type".into(), "application/json".into())],
        data: ResponseBody::from_reader_and_size(body, 64),
        upgrade: None,
    }
}

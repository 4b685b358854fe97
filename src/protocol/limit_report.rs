//! Reads from the answer of an upstream the limit of its request rate.

use crate::{
    options::proxy_settings::HeaderNames,
    protocol::headers::list_values,
    state::request_rate::{LimitReport, RequestRate},
};
use http::{HeaderMap, StatusCode};
use thiserror::Error;

/// What the headers of an answer say about the limit; `Err` if they name one that can't be read. Of several values the lowest
/// counts. Only a signed success without a limit shows that there is none.
///
/// # Errors
/// If no value can be read.
pub fn read_limit_report(
    names: &HeaderNames,
    headers: &HeaderMap,
    status: StatusCode,
) -> Result<LimitReport, UnreadableLimit> {
    let values = || list_values(headers, &names.request_limit);
    let rates = values().filter_map(|value| RequestRate::parse(value.to_str().ok()?));
    match rates.min() {
        Some(rate) => Ok(LimitReport::Named(rate)),
        None if values().next().is_some() => Err(UnreadableLimit),
        None if status.is_success() && headers.contains_key(&names.signature) => {
            Ok(LimitReport::NotNamed)
        }
        None => Ok(LimitReport::Unknown),
    }
}

/// A limit was named that is no decimal number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the request limit is no decimal number")]
pub struct UnreadableLimit;

//! Reads from the answer of an upstream whether it is leaving.

use crate::{options::proxy_settings::HeaderNames, protocol::headers::list_values};
use http::HeaderMap;
use thiserror::Error;

/// Whether the headers of an answer say that the upstream is leaving.
///
/// # Errors
/// If a value is neither `1` nor `0`, `true` nor `false`, and none says that it is leaving.
pub fn read_leaving_report(
    names: &HeaderNames,
    headers: &HeaderMap,
) -> Result<bool, UnreadableLeaving> {
    let mut result = Ok(false);
    for value in list_values(headers, &names.leaving) {
        match value.as_bytes().trim_ascii() {
            b"1" | b"true" => return Ok(true),
            b"0" | b"false" => {}
            _ => result = Err(UnreadableLeaving),
        }
    }
    result
}

/// It can't be read whether the upstream is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("neither 1 nor 0")]
pub struct UnreadableLeaving;

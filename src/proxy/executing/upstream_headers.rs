//! Reports headers of the local upstream's answers that the platform defines and this version does not know or can't read.

use crate::proxy::{core::ProxyCore, events::ProxyEvent};
use http::{HeaderMap, HeaderName, HeaderValue};
use std::{cell::RefCell, collections::HashSet};

/// Maximum number of names that are reported by one process.
const MAX_REPORTED_NAMES: usize = 16;
/// Number of characters of a value that are reported.
const REPORTED_VALUE_CHARS: usize = 64;

/// Names of unread headers that have been reported.
#[derive(Debug, Default)]
pub struct UnreadHeaders(RefCell<HashSet<HeaderName>>);

impl UnreadHeaders {
    /// Records that a header is reported; false if it was before, or if the maximum is reached.
    fn insert(&self, name: &HeaderName) -> bool {
        let mut reported = self.0.borrow_mut();
        reported.len() < MAX_REPORTED_NAMES && reported.insert(name.clone())
    }
}

/// Logs each unknown header of an answer, once for each name.
pub fn log_unread_headers(core: &ProxyCore, headers: &HeaderMap, instance: &str) {
    let names = &core.settings.headers;
    let unknown = headers
        .iter()
        .filter(|(name, _)| names.is_reserved_and_unread(name));
    log_once(core, unknown, instance);
}

/// Logs the headers of an answer that name a request limit which can't be read, once for each name.
pub fn log_unreadable_limit(core: &ProxyCore, headers: &HeaderMap, instance: &str) {
    let names = &core.settings.headers.request_limit;
    let limits = headers.iter().filter(|(name, _)| names.contains(name));
    log_once(core, limits, instance);
}

/// Logs the headers of an answer of which it can't be read whether the upstream is leaving, once for each name.
pub fn log_unreadable_leaving(core: &ProxyCore, headers: &HeaderMap, instance: &str) {
    let names = &core.settings.headers.leaving;
    let reports = headers.iter().filter(|(name, _)| names.contains(name));
    log_once(core, reports, instance);
}

fn log_once<'a>(
    core: &ProxyCore,
    headers: impl Iterator<Item = (&'a HeaderName, &'a HeaderValue)>,
    instance: &str,
) {
    for (name, value) in headers {
        if core.unread_headers.insert(name) {
            let text = String::from_utf8_lossy(value.as_bytes());
            core.log(&ProxyEvent::HeaderUnread {
                instance: instance.to_owned(),
                header: name.to_string(),
                value: text.chars().take(REPORTED_VALUE_CHARS).collect(),
            });
        }
    }
}

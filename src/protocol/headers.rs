//! Headers of forwarded messages: removal of hop-by-hop headers, headers that nodes add for each other, and the check of a message's
//! length headers.

use crate::options::proxy_settings::HeaderNames;
use http::{
    HeaderMap, HeaderName, HeaderValue,
    header::{
        CONNECTION, CONTENT_LENGTH, HOST, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
        TRANSFER_ENCODING, UPGRADE,
    },
};

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Headers that concern one connection only (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 9] = [
    CONNECTION,
    KEEP_ALIVE,
    PROXY_CONNECTION,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Removes the headers that concern one connection only, including those that `Connection` names. `Host` and the headers in `names`
/// stay: they never concern one connection only, and a message without them would be forwarded with another meaning.
pub fn remove_hop_by_hop(headers: &mut HeaderMap, names: &HeaderNames) {
    for name in list_connection_named(headers) {
        if name != HOST && !names.contains(&name) {
            headers.remove(name);
        }
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}

fn list_connection_named(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(CONNECTION);
    let texts = values.iter().filter_map(|value| value.to_str().ok());
    let tokens = texts.flat_map(|text| text.split(','));
    tokens
        .filter_map(|token| token.trim().parse().ok())
        .collect()
}

/// Adds a header of a node. It precedes all headers with the same name in the message, which belong to an application.
pub fn insert_first(headers: &mut HeaderMap, name: &HeaderName, value: HeaderValue) {
    let others: Vec<HeaderValue> = headers.get_all(name).iter().cloned().collect();
    headers.insert(name, value);
    for other in others {
        headers.append(name, other);
    }
}

/// Removes the header that [`insert_first`] has added, and leaves those with the same name that belong to an application.
pub fn take_first(headers: &mut HeaderMap, name: &HeaderName) -> Option<HeaderValue> {
    let others: Vec<HeaderValue> = headers.get_all(name).iter().skip(1).cloned().collect();
    let first = headers.remove(name);
    for other in others {
        headers.append(name, other);
    }
    first
}

/// All values of a header that may have either of two names.
pub fn list_values<'a>(
    headers: &'a HeaderMap,
    names: &'a [HeaderName; 2],
) -> impl Iterator<Item = &'a HeaderValue> {
    names.iter().flat_map(|name| headers.get_all(name))
}

/// Whether the headers give the message's length twice: by several `Content-Length` headers, or by
/// `Content-Length` and `Transfer-Encoding`. Two readers of the same bytes could then disagree about
/// where the message ends.
#[must_use]
pub fn has_conflicting_lengths(headers: &HeaderMap) -> bool {
    let lengths = headers.get_all(CONTENT_LENGTH).iter().count();
    lengths > 1 || (lengths == 1 && headers.contains_key(TRANSFER_ENCODING))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn remove_hop_by_hop_named_by_connection() {
        let mut headers = HeaderMap::new();
        headers.insert(CONNECTION, HeaderValue::from_static("close, x-private"));
        headers.insert("x-private", HeaderValue::from_static("1"));
        headers.insert("x-kept", HeaderValue::from_static("1"));
        remove_hop_by_hop(&mut headers, &HeaderNames::default_names());
        assert_eq!(headers.len(), 1);
        assert!(headers.contains_key("x-kept"));
    }
}

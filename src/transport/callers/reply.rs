//! Replies that the node itself generates, as JSON.

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header::CONTENT_TYPE};
use http_body_util::Full;
use serde_json::json;

/// A reply to a caller.
pub type CallerReply = Response<Full<Bytes>>;

/// Builds a reply with the JSON body `{"error": error}`.
#[must_use]
pub fn reply_json(status: StatusCode, error: &str) -> CallerReply {
    let body = json!({ "error": error }).to_string();
    let mut reply = Response::new(Full::new(Bytes::from(body)));
    *reply.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(CONTENT_TYPE, json);
    reply
}

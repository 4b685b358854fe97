//! Replies of the node itself, as JSON.

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header::CONTENT_TYPE};
use http_body_util::Full;
use serde_json::json;

/// What a caller gets.
pub type CallerReply = Response<Full<Bytes>>;

/// A reply with a JSON body that names an error.
#[must_use]
pub fn reply_json(status: StatusCode, error: &str) -> CallerReply {
    let body = json!({ "error": error }).to_string();
    let mut reply = Response::new(Full::new(Bytes::from(body)));
    *reply.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(CONTENT_TYPE, json);
    reply
}

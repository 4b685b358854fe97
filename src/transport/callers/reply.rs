//! Replies that the node itself generates, as JSON.

use crate::transport::message_body::MessageBody;
use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header::CONTENT_TYPE};
use serde_json::json;

/// A reply to a caller.
pub type CallerReply = Response<MessageBody>;

/// Builds a reply with the JSON body `{"error": error}`.
#[must_use]
pub fn reply_json(status: StatusCode, error: &str) -> CallerReply {
    let body = json!({ "error": error }).to_string();
    let mut reply = Response::new(MessageBody::from(Bytes::from(body)));
    *reply.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(CONTENT_TYPE, json);
    reply
}

//! The bytes that an upstream sends as the answer to a request.

use crate::{
    http::{PlainRequest, build_answer},
    upstream::{UpstreamAction, UpstreamHeaderNames, UpstreamSettings},
};

/// The parts of an answer that depend on the request.
pub struct Answer {
    names: UpstreamHeaderNames,
    id: String,
    body: Vec<u8>,
}

impl Answer {
    /// Prepares the answer to a request by an upstream with these settings, with `body` if there is one.
    pub fn prepare(
        settings: &UpstreamSettings,
        request: &PlainRequest,
        body: Option<Vec<u8>>,
    ) -> Self {
        let names = settings.names;
        let body = match body {
            Some(body) => body,
            None if settings.echoes_request => {
                let start = format!("{} {}\n", request.method, request.target);
                [start.as_bytes(), &request.body].concat()
            }
            None => b"whole body".to_vec(),
        };
        Self {
            names,
            id: request
                .header(names.request_id)
                .unwrap_or_default()
                .to_owned(),
            body,
        }
    }

    /// Builds a head with status 200, without a length and without its last line end.
    pub fn build_head(&self, load: &str) -> String {
        let names = self.names;
        format!(
            "HTTP/1.1 200 -\r\n{}: {}\r\n{}: {load}\r\n{}: signed\r\n",
            names.request_id, self.id, names.load, names.signature
        )
    }

    /// Builds the bytes to send for an action. The second value is whether the connection stays open afterwards. `load` is the
    /// value of the load header, and `reports` are further headers.
    pub fn build(
        &self,
        action: UpstreamAction,
        load: &str,
        reports: &[(String, String)],
    ) -> (Vec<u8>, bool) {
        let names = self.names;
        let id = self.id.as_str();
        let reports = reports
            .iter()
            .map(|(name, value)| (name.as_str(), value.as_str()));
        let head = |id| {
            let known = [
                (names.request_id, id),
                (names.load, load),
                (names.signature, "signed"),
            ];
            known
                .into_iter()
                .chain(reports.clone())
                .collect::<Vec<(&str, &str)>>()
        };
        match action {
            UpstreamAction::Answer | UpstreamAction::Hold => {
                (build_answer(200, &head(id), &self.body), true)
            }
            UpstreamAction::Fail => (build_answer(500, &head(id), b"failed"), true),
            UpstreamAction::Shed => {
                let headers = [(names.request_id, id), (names.not_executed, "1")];
                (build_answer(503, &headers, b""), true)
            }
            UpstreamAction::LoseAnswer | UpstreamAction::Restart | UpstreamAction::Flood(_) => {
                (Vec::new(), false)
            }
            UpstreamAction::CutBody => {
                let mut answer = build_answer(200, &head(id), &self.body);
                answer.truncate(answer.len() - 4);
                (answer, false)
            }
            UpstreamAction::ForeignId => (build_answer(200, &head("another"), &self.body), true),
            UpstreamAction::Unsigned => {
                let headers = [(names.request_id, id)];
                (build_answer(200, &headers, &self.body), true)
            }
            UpstreamAction::AnswerTwice => {
                (build_answer(200, &head(id), &self.body).repeat(2), true)
            }
        }
    }
}

//! A blocking client of the log service.

use crate::{
    options::node_settings::PlatformLogSettings,
    protocol::platform_log::{AppendError, PlatformLog, ReadError, ReadPage, StoredBody},
    state::log_record::Offset,
};
use attohttpc::{Error, ProxySettings, RequestBuilder, body::Body};
use http::{StatusCode, header::CONTENT_LENGTH};
use serde::Deserialize;
use std::time::Duration;
use thiserror::Error;

/// How long the client waits for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogTimeouts {
    /// For a connection.
    pub connect: Duration,
    /// For a whole request, the connection included.
    pub whole: Duration,
}

impl Default for LogTimeouts {
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(1),
            whole: Duration::from_secs(3),
        }
    }
}

/// Client of one stream of the log. It opens a connection a request.
#[derive(Clone, Debug)]
pub struct LogClient {
    records_url: String,
    timeouts: LogTimeouts,
}

#[derive(Deserialize)]
struct Appended {
    offset: Offset,
}

#[derive(Deserialize)]
struct Forgotten {
    first_retained: Offset,
}

#[derive(Deserialize)]
struct Page {
    first_retained: Offset,
    next: Offset,
    records: Vec<PageRecord>,
}

#[derive(Deserialize)]
struct PageRecord {
    offset: Offset,
    time_ms: u64,
    body: String,
}

struct WholeAnswer {
    status: StatusCode,
    text: String,
}

#[derive(Debug, Error)]
enum ExchangeError {
    #[error(transparent)]
    Http(#[from] Error),
    #[error("the answer has {received} bytes of {announced}")]
    CutShort { announced: usize, received: usize },
}

impl LogClient {
    /// A client of the stream `stream` at `url`, such as `http://10.0.0.9:7000`.
    #[must_use]
    pub fn new(url: &str, stream: &str, timeouts: LogTimeouts) -> Self {
        let url = url.trim_end_matches('/');
        Self {
            records_url: format!("{url}/streams/{stream}/records"),
            timeouts,
        }
    }

    /// A client of the log that the settings name.
    #[must_use]
    pub fn for_settings(settings: &PlatformLogSettings) -> Self {
        let timeouts = LogTimeouts {
            whole: settings.timeout,
            ..LogTimeouts::default()
        };
        let url = format!("http://{}", settings.address);
        Self::new(&url, &settings.stream, timeouts)
    }

    /// Sends one request exactly once and takes the whole answer.
    fn exchange<B: Body>(&self, req: RequestBuilder<B>) -> Result<WholeAnswer, ExchangeError> {
        let response = req
            .connect_timeout(self.timeouts.connect)
            .read_timeout(self.timeouts.whole)
            .timeout(self.timeouts.whole)
            // A redirected append would be a second append.
            .follow_redirects(false)
            .proxy_settings(ProxySettings::builder().build())
            .send()?;
        let status = response.status();
        let length = response.headers().get(CONTENT_LENGTH);
        let announced = length.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
        let text = response.text_utf8()?;
        // attohttpc takes a body that ends early for a whole one. A page cut between two records
        // is no JSON, but the length tells in every case.
        match announced {
            Some(announced) if text.len() != announced => Err(ExchangeError::CutShort {
                announced,
                received: text.len(),
            }),
            _ => Ok(WholeAnswer { status, text }),
        }
    }
}

impl PlatformLog for LogClient {
    fn append(&self, body: &str) -> Result<Offset, AppendError> {
        let req = attohttpc::post(&self.records_url).text(body);
        let answer = self
            .exchange(req)
            .map_err(|e| AppendError::Unknown(e.to_string()))?;
        if answer.status.is_client_error() {
            let refusal = format!("{}: {}", answer.status, answer.text);
            return Err(AppendError::Refused(refusal));
        }
        // A 5xx may come from an intermediary after the record was stored: it proves nothing.
        if answer.status != StatusCode::OK {
            return Err(AppendError::Unknown(answer.status.to_string()));
        }
        let appended: Appended =
            serde_json::from_str(&answer.text).map_err(|e| AppendError::Unknown(e.to_string()))?;
        Ok(appended.offset)
    }

    fn read(&self, from: Offset, limit: usize) -> Result<ReadPage, ReadError> {
        let req = attohttpc::get(&self.records_url)
            .param("from", from)
            .param("limit", limit);
        let answer = self
            .exchange(req)
            .map_err(|e| ReadError::Unavailable(e.to_string()))?;
        match answer.status {
            StatusCode::OK => parse_page(&answer.text),
            StatusCode::GONE => Err(parse_forgotten(&answer.text)),
            status => Err(ReadError::Unavailable(status.to_string())),
        }
    }
}

fn parse_page(text: &str) -> Result<ReadPage, ReadError> {
    let page: Page = serde_json::from_str(text).map_err(|e| malformed(&e))?;
    let records = page.records.into_iter().map(|record| StoredBody {
        offset: record.offset,
        time_ms: record.time_ms,
        body: record.body,
    });
    Ok(ReadPage {
        first_retained: page.first_retained,
        next: page.next,
        records: records.collect(),
    })
}

fn parse_forgotten(text: &str) -> ReadError {
    match serde_json::from_str::<Forgotten>(text) {
        Ok(Forgotten { first_retained }) => ReadError::Forgotten { first_retained },
        Err(e) => malformed(&e),
    }
}

fn malformed(error: &serde_json::Error) -> ReadError {
    ReadError::Unavailable(format!("malformed answer: {error}"))
}

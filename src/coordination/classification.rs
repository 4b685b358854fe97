//! What a caller's request is: its service, class, deadline, key and depth.

use crate::{
    constants::{DEADLINE_HEADER, DEPTH_HEADER, KEY_HEADER, MAX_DEPTH},
    protocol::call::IdempotencyKey,
    state::{
        class::{Class, KeyRule, MatchRule},
        configuration::{Configuration, Service},
    },
};
use http::{
    HeaderMap, Method, Uri,
    header::HOST,
    uri::{Authority, PathAndQuery},
};
use std::time::Duration;
use thiserror::Error;
use uuid::{Uuid, Version};

/// A request that may be carried.
#[derive(Clone, Debug)]
pub struct ClassifiedCall<'a> {
    /// The service that is called.
    pub service: &'a Service,
    /// Its class of work.
    pub class: &'a Class,
    /// Path and query, without the service prefix.
    pub target: String,
    /// Time until the deadline.
    pub time_left: Duration,
    /// The caller's idempotency key.
    pub key: Option<IdempotencyKey>,
    /// Calls above this one.
    pub depth: u8,
}

/// Why a request is not carried. The message tells the caller what to change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Rejection {
    /// Neither Host nor path prefix names a service.
    #[error("unknown service: name it by the Host header or as the first part of the path")]
    UnknownService,
    /// No class of the service matches.
    #[error("unknown class: no rule of the service matches method, path and headers")]
    UnknownClass,
    /// The deadline header is not a positive whole number.
    #[error("malformed {DEADLINE_HEADER}: a whole number of milliseconds, at least 1")]
    MalformedDeadline,
    /// The depth header is not a small whole number.
    #[error("malformed {DEPTH_HEADER}: a whole number")]
    MalformedDepth,
    /// The chain of calls is too long.
    #[error("calls nested deeper than {MAX_DEPTH}")]
    TooDeep,
    /// The key is not a version 7 UUID, or given twice.
    #[error("malformed {KEY_HEADER}: one version 7 UUID")]
    MalformedKey,
    /// The class needs a key.
    #[error("missing {KEY_HEADER}: this class needs one, a version 7 UUID")]
    MissingKey,
}

/// Finds service and class of a request and reads the headers that steer the call.
///
/// # Errors
/// A [`Rejection`] that the caller can mend.
pub fn classify_call<'a>(
    configuration: &'a Configuration,
    method: &Method,
    uri: &Uri,
    headers: &HeaderMap,
) -> Result<ClassifiedCall<'a>, Rejection> {
    let (service, target) = find_service(configuration, uri, headers)?;
    let class = find_class(service, method, &target, headers).ok_or(Rejection::UnknownClass)?;
    Ok(ClassifiedCall {
        service,
        class,
        target,
        time_left: read_deadline(headers, class)?,
        key: read_key(headers, class)?,
        depth: read_depth(headers)?,
    })
}

fn find_service<'a>(
    configuration: &'a Configuration,
    uri: &Uri,
    headers: &HeaderMap,
) -> Result<(&'a Service, String), Rejection> {
    let whole = uri.path_and_query().map_or("/", PathAndQuery::as_str);
    if let Some(service) = find_by_host(configuration, uri, headers) {
        return Ok((service, whole.to_owned()));
    }
    find_by_prefix(configuration, whole).ok_or(Rejection::UnknownService)
}

fn find_by_host<'a>(
    configuration: &'a Configuration,
    uri: &Uri,
    headers: &HeaderMap,
) -> Option<&'a Service> {
    let header = headers.get(HOST).and_then(|value| value.to_str().ok());
    let host = uri.authority().map(Authority::as_str).or(header)?;
    let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
    let has_name = |service: &&Service| service.hosts.iter().any(|h| h.eq_ignore_ascii_case(name));
    configuration.services.iter().find(has_name)
}

fn find_by_prefix<'a>(
    configuration: &'a Configuration,
    whole: &str,
) -> Option<(&'a Service, String)> {
    let rest = whole.strip_prefix('/')?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (name, target) = rest.split_at(end);
    let has_name = |service: &&Service| service.name.as_str() == name;
    let service = configuration.services.iter().find(has_name)?;
    let target = match target.strip_prefix('/') {
        Some(_) => target.to_owned(),
        None => format!("/{target}"),
    };
    Some((service, target))
}

fn find_class<'a>(
    service: &'a Service,
    method: &Method,
    target: &str,
    headers: &HeaderMap,
) -> Option<&'a Class> {
    let matches = |rule: &MatchRule| matches_rule(rule, method, target, headers);
    let applies = |class: &&Class| class.rules.is_empty() || class.rules.iter().any(matches);
    service.classes.iter().find(applies)
}

fn matches_rule(rule: &MatchRule, method: &Method, target: &str, headers: &HeaderMap) -> bool {
    // A HEAD request asks for the headers of the GET, so it belongs to the class of the GET.
    let as_get = method == Method::HEAD;
    let method_fits = |wanted: &String| wanted == method.as_str() || (as_get && wanted == "GET");
    let path_fits = |prefix: &String| target.starts_with(prefix.as_str());
    rule.method.as_ref().is_none_or(method_fits)
        && rule.path_prefix.as_ref().is_none_or(path_fits)
        && rule.header.as_ref().is_none_or(|wanted| {
            let mut values = headers.get_all(&wanted.name).iter();
            values.any(|value| value.as_bytes() == wanted.value.as_bytes())
        })
}

/// The header's value as a whole number, or the given rejection if it is none.
fn read_number(
    headers: &HeaderMap,
    name: &str,
    malformed: Rejection,
) -> Result<Option<u64>, Rejection> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| malformed)?;
    let number = text.trim().parse().map_err(|_| malformed)?;
    Ok(Some(number))
}

fn read_deadline(headers: &HeaderMap, class: &Class) -> Result<Duration, Rejection> {
    match read_number(headers, DEADLINE_HEADER, Rejection::MalformedDeadline)? {
        None => Ok(class.deadline()),
        Some(0) => Err(Rejection::MalformedDeadline),
        Some(millis) => Ok(Duration::from_millis(millis).min(class.deadline())),
    }
}

fn read_depth(headers: &HeaderMap) -> Result<u8, Rejection> {
    let depth = read_number(headers, DEPTH_HEADER, Rejection::MalformedDepth)?.unwrap_or(0);
    match u8::try_from(depth) {
        Ok(depth) if depth < MAX_DEPTH => Ok(depth),
        _ => Err(Rejection::TooDeep),
    }
}

fn read_key(headers: &HeaderMap, class: &Class) -> Result<Option<IdempotencyKey>, Rejection> {
    if class.key == KeyRule::None {
        return Ok(None);
    }
    let mut values = headers.get_all(KEY_HEADER).iter();
    let Some(value) = values.next() else {
        return match class.key {
            KeyRule::Required => Err(Rejection::MissingKey),
            KeyRule::None | KeyRule::Optional => Ok(None),
        };
    };
    if values.next().is_some() {
        return Err(Rejection::MalformedKey);
    }
    let text = value.to_str().map_err(|_| Rejection::MalformedKey)?;
    // Quotes are allowed: the drafted Idempotency-Key header is a structured string.
    let text = text.trim().trim_matches('"');
    let key = Uuid::parse_str(text).map_err(|_| Rejection::MalformedKey)?;
    match key.get_version() {
        Some(Version::SortRand) => Ok(Some(IdempotencyKey(key))),
        _ => Err(Rejection::MalformedKey),
    }
}

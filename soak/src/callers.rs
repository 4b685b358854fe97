//! Callers on each VM: they keep connections open and send requests all the time, also while the node stops.

use crate::{
    configurations::DrawnRequest,
    history::CallerRecord,
    mesh::SoakMesh,
    organisations::{UNLIMITED, draw_key, mark_target},
};
use bytes::Bytes;
use camphorturn::local_mesh::client::{CallFailure, CallerCall, CallerClient};
use http::{HeaderMap, HeaderValue, Method, header::HOST};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::time::{sleep, timeout};

/// Number of callers on each VM.
pub const CALLERS_PER_VM: usize = 3;
/// Shortest and longest pause between two requests of one caller, in milliseconds.
const PAUSE_MS: (u64, u64) = (5, 60);
/// Timeout that callers announce in the request's header, in milliseconds.
const REQUEST_TIMEOUT_MS: &str = "1500";
/// Time after which a caller gives up on a node that sends no answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);

/// Sends random requests to one node until the mesh is finished. Node and caller number determine the requests together with
/// the seed.
pub async fn call_node(mesh: Rc<SoakMesh>, node: usize, caller: usize, seed: u64) {
    let seed = seed ^ ((node as u64) << 32) ^ caller as u64;
    let mut rng = StdRng::seed_from_u64(seed);
    let mut key_rng = StdRng::seed_from_u64(!seed);
    let client = CallerClient::new(mesh.vms[node].client_address());
    let mut number = 0;
    while !mesh.is_finished() {
        number += 1;
        let id = format!("{node}-{caller}-{number}");
        let mut drawn = mesh.configurations.borrow().draw_request(&mut rng, &id);
        let newest_version = mesh.configurations.borrow().newest_version();
        let key = draw_key(&mut key_rng, newest_version);
        drawn.target = mark_target(&drawn.target, &key);
        let call = PreparedCall {
            node,
            id,
            key,
            drawn,
        };
        let record = call.send(&mesh, &client).await;
        let is_not_sent = record.answer == Err(CallFailure::NotSent);
        if !is_not_sent {
            mesh.history.borrow_mut().requests.push(record);
        }
        let pause = rng.random_range(PAUSE_MS.0..=PAUSE_MS.1);
        sleep(Duration::from_millis(pause)).await;
    }
}

/// Sends the same request `requests` times, spread evenly over `span`, each time with another request id and to the next
/// node.
pub async fn send_repeatedly(mesh: &SoakMesh, target: &str, requests: usize, span: Duration) {
    let pause = span / u32::try_from(requests.max(1)).unwrap_or(u32::MAX);
    for number in 0..requests {
        let node = number % mesh.vms.len();
        let client = CallerClient::new(mesh.vms[node].client_address());
        let call = PreparedCall {
            node,
            id: format!("{}-{number}", target.trim_start_matches('/')),
            key: UNLIMITED.to_owned(),
            drawn: DrawnRequest {
                route_version: 0,
                idempotent: true,
                target: target.to_owned(),
            },
        };
        let record = call.send(mesh, &client).await;
        if record.answer != Err(CallFailure::NotSent) {
            mesh.history.borrow_mut().requests.push(record);
        }
        sleep(pause).await;
    }
}

struct PreparedCall {
    node: usize,
    /// Request id.
    id: String,
    /// API key.
    key: String,
    drawn: DrawnRequest,
}

impl PreparedCall {
    async fn send(self, mesh: &SoakMesh, client: &CallerClient) -> CallerRecord {
        let node_incarnation = mesh.vms[self.node].node_incarnation.get();
        let sent = Instant::now();
        let answer = timeout(CALL_TIMEOUT, client.call(self.build())).await;
        let answer = answer
            .unwrap_or(Err(CallFailure::Disconnected))
            .map(|answer| {
                let body = String::from_utf8_lossy(&answer.body).into_owned();
                (answer.status.as_u16(), body)
            });
        CallerRecord {
            node: self.node,
            node_incarnation,
            route_version: self.drawn.route_version,
            target: self.drawn.target,
            idempotent: self.drawn.idempotent,
            sent,
            ended: Instant::now(),
            answer,
        }
    }

    fn build(&self) -> CallerCall {
        let mut headers = HeaderMap::new();
        headers.insert(HOST, HeaderValue::from_static("shop.example"));
        if let Ok(id) = HeaderValue::from_str(&self.id) {
            headers.insert("camphorturn-request-id", id);
        }
        if let Ok(key) = HeaderValue::from_str(&self.key) {
            headers.insert("api-key", key);
        }
        let request_timeout = HeaderValue::from_static(REQUEST_TIMEOUT_MS);
        headers.insert("camphorturn-timeout-ms", request_timeout);
        CallerCall {
            method: if self.drawn.idempotent {
                Method::GET
            } else {
                Method::POST
            },
            target: self.drawn.target.clone(),
            headers,
            body: Bytes::new(),
        }
    }
}

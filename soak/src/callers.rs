//! Callers on each VM: kept connections, requests all the time, also while the node stops.

use crate::{configurations::DrawnTarget, history::CallerRecord, world::World};
use bytes::Bytes;
use camphorturn::local_mesh::client::{CallFailure, CallerCall, CallerClient};
use http::{HeaderMap, HeaderValue, Method, header::HOST};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::time::{sleep, timeout};

/// Callers on each VM.
pub const CALLERS: usize = 3;
/// Pause between two requests of one caller, at the least and at the most, in milliseconds.
const PAUSES_MS: (u64, u64) = (5, 60);
/// Time that callers give a request.
const TIME_LEFT_MS: &str = "1500";
/// Time after which a caller gives up on a node that does not answer at all.
const PATIENCE: Duration = Duration::from_secs(4);

/// Sends requests to one node until the world says that it is enough.
pub async fn call_node(world: Rc<World>, node: usize, caller: usize, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed ^ ((node as u64) << 32) ^ caller as u64);
    let client = CallerClient::new(world.machines[node].clients());
    let mut number = 0;
    while !world.is_over() {
        number += 1;
        let id = format!("{node}-{caller}-{number}");
        let drawn = world.configurations.borrow().draw_target(&mut random, &id);
        let call = OneCall { node, id, drawn };
        let record = call.run(&world, &client).await;
        let unreached = record.answer == Err(CallFailure::NotSent);
        if !unreached {
            world.history.borrow_mut().requests.push(record);
        }
        let pause = random.random_range(PAUSES_MS.0..=PAUSES_MS.1);
        sleep(Duration::from_millis(pause)).await;
    }
}

/// Asks for the same thing so many times within a span, each time under another identity and at another node.
pub async fn call_again(world: &World, target: &str, calls: usize, span: Duration) {
    let pause = span / u32::try_from(calls.max(1)).unwrap_or(u32::MAX);
    for number in 0..calls {
        let node = number % world.machines.len();
        let client = CallerClient::new(world.machines[node].clients());
        let call = OneCall {
            node,
            id: format!("{}-{number}", target.trim_start_matches('/')),
            drawn: DrawnTarget {
                route_version: 0,
                idempotent: true,
                target: target.to_owned(),
            },
        };
        let record = call.run(world, &client).await;
        if record.answer != Err(CallFailure::NotSent) {
            world.history.borrow_mut().requests.push(record);
        }
        sleep(pause).await;
    }
}

struct OneCall {
    node: usize,
    /// Identity of this attempt of a client.
    id: String,
    drawn: DrawnTarget,
}

impl OneCall {
    async fn run(self, world: &World, client: &CallerClient) -> CallerRecord {
        let node_run = world.machines[self.node].node_run.get();
        let sent = Instant::now();
        let answer = timeout(PATIENCE, client.call(self.build())).await;
        let answer = answer
            .unwrap_or(Err(CallFailure::Disconnected))
            .map(|answer| {
                let body = String::from_utf8_lossy(&answer.body).into_owned();
                (answer.status.as_u16(), body)
            });
        CallerRecord {
            node: self.node,
            node_run,
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
        let time_left = HeaderValue::from_static(TIME_LEFT_MS);
        headers.insert("camphorturn-timeout-ms", time_left);
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

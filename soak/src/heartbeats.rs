//! What upstreams tell the nodes beside them.

use crate::{
    foreign::{Damage, damage},
    history::Acknowledged,
    machine::Machine,
    world::{ANSWER_TIMEOUT, World, build_call},
};
use camphorturn::local_mesh::client::CallerClient;
use http::Method;
use serde_json::json;
use std::{
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::time::{sleep, timeout};

/// Pause between two heartbeats of an upstream.
const HEARTBEAT_PAUSE: Duration = Duration::from_millis(250);

/// The upstream of a VM tells of itself until the end, while it runs.
pub async fn send_heartbeats(world: Rc<World>, number: usize) {
    let machine = &world.machines[number];
    let client = CallerClient::new(machine.announcements());
    while !world.is_over() {
        if !machine.upstream.is_crashed() {
            send_heartbeat(&world, machine, &client).await;
        }
        sleep(HEARTBEAT_PAUSE).await;
    }
}

async fn send_heartbeat(world: &World, machine: &Machine, client: &CallerClient) {
    let (instance, born) = (machine.instance(), machine.upstream.started_ms());
    let leaving = machine.leaving.get();
    let body = describe(machine).into_bytes();
    let taken = send(machine, client, body).await;
    if taken && leaving {
        let at = Instant::now();
        let left = Acknowledged::Leaving { instance, born, at };
        world.history.borrow_mut().acknowledged.push(left);
    }
}

/// Somebody sends a heartbeat of the upstream that has some damage.
pub async fn send_foreign(machine: &Machine, how: Damage) {
    let client = CallerClient::new(machine.announcements());
    let body = damage(&describe(machine), how);
    send(machine, &client, body).await;
}

async fn send(machine: &Machine, client: &CallerClient, body: Vec<u8>) -> bool {
    let target = format!("/-/rpc?call=instances.heartbeat&of={}", machine.instance());
    let call = client.call(build_call(Method::POST, target, body));
    let answer = timeout(ANSWER_TIMEOUT, call).await;
    matches!(answer, Ok(Ok(answer)) if answer.status.is_success())
}

fn describe(machine: &Machine) -> String {
    json!({
        "service": machine.plan.service, "address": machine.upstream_link.address.to_string(),
        "zone": machine.plan.zone, "version": "v1", "slots": 6, "born": machine.upstream.started_ms(),
        "state": if machine.leaving.get() { "draining" } else { "ready" },
        "warmup_left_s": machine.upstream.warmup_left().as_secs_f64(), "sequence": machine.count_heartbeat(),
    })
    .to_string()
}

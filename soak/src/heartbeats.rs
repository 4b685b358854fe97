//! Heartbeats, by which upstreams announce themselves to their nodes.

use crate::{
    corruption::{Corruption, corrupt},
    history::Acknowledged,
    mesh::{ANSWER_TIMEOUT, SoakMesh, build_call},
    vm::Vm,
};
use camphorturn::local_mesh::client::CallerClient;
use http::Method;
use serde_json::json;
use std::{
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::time::{sleep, timeout};

/// Time between two heartbeats of an upstream.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Sends the heartbeats of a VM's upstream until the mesh is finished, except while the upstream is crashed.
pub async fn send_heartbeats(mesh: Rc<SoakMesh>, number: usize) {
    let vm = &mesh.vms[number];
    let client = CallerClient::new(vm.announcement_address());
    while !mesh.is_finished() {
        if !vm.upstream.is_crashed() {
            send_heartbeat(&mesh, vm, &client).await;
        }
        sleep(HEARTBEAT_INTERVAL).await;
    }
}

async fn send_heartbeat(mesh: &SoakMesh, vm: &Vm, client: &CallerClient) {
    let (instance, incarnation_started_ms) = (vm.instance(), vm.upstream.started_ms());
    let is_leaving = vm.is_leaving.get();
    let body = build_heartbeat(vm).into_bytes();
    let is_accepted = send(vm, client, body).await;
    if is_accepted && is_leaving {
        let at = Instant::now();
        let leaving = Acknowledged::Leaving {
            instance,
            incarnation_started_ms,
            at,
        };
        mesh.history.borrow_mut().acknowledged.push(leaving);
    }
}

/// Sends one malformed heartbeat to the upstream's node.
pub async fn send_corrupted_heartbeat(vm: &Vm, corruption: Corruption) {
    let client = CallerClient::new(vm.announcement_address());
    let body = corrupt(&build_heartbeat(vm), corruption);
    send(vm, &client, body).await;
}

/// Sends a heartbeat. Returns whether the node accepted it.
async fn send(vm: &Vm, client: &CallerClient, body: Vec<u8>) -> bool {
    let target = format!("/-/rpc?call=instances.heartbeat&of={}", vm.instance());
    let call = client.call(build_call(Method::POST, target, body));
    let answer = timeout(ANSWER_TIMEOUT, call).await;
    matches!(answer, Ok(Ok(answer)) if answer.status.is_success())
}

fn build_heartbeat(vm: &Vm) -> String {
    json!({
        "service": vm.plan.service, "address": vm.upstream_link.address.to_string(),
        "zone": vm.plan.zone, "version": "v1", "slots": 6, "born": vm.upstream.started_ms(),
        "state": if vm.is_leaving.get() { "draining" } else { "ready" },
        "warmup_left_s": vm.upstream.warmup_left().as_secs_f64(), "sequence": vm.next_heartbeat_number(),
    })
    .to_string()
}

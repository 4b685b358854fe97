//! Case 5: an upstream deregisters while the store answers nobody, its node is killed and starts again, and a heartbeat that the
//! upstream sent before it deregistered arrives late. The node takes the upstream for ready and sends requests to it.

#[path = "../4/common.rs"]
mod common;

use common::{Client, Deployment, End, Record, Sent, StoreMode, finish, has_trouble, pause};
use std::{
    io,
    sync::{Arc, Mutex, atomic::Ordering},
    thread,
};

const CONFIG: &str = r#"{"version":"00000007","services":[{"name":"frontdesk","health_path":"/health","max_connections":260,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15},"base_version":"00000005","virtual_hosts":[{"host":"jepu9.example","paths":[{"name":"r-book","path_prefix":"/book/","kind":"non_idempotent","timeout_s":2,"latency_target_s":0.5,"priority":1,"service":"frontdesk","max_attempts":2}]}]}"#;

/// `drain_s` and `contact_s` of the settings.
const DRAIN_MS: u64 = 2_000;
const CONTACT_MS: u64 = 3_000;
/// Length of the store's outage.
const OUTAGE_MS: u64 = 8_000;
/// How late the heartbeat arrives.
const LATE_MS: u64 = 3_500;
/// How long the upstream serves on after it has deregistered.
const SERVES_ON_MS: u64 = 20_000;
const DEADLINE_MS: u64 = 2_000;

fn play(record: &Arc<Record>) -> io::Result<bool> {
    let plan = [
        ("za", "frontdesk"),
        ("za", "frontdesk"),
        ("zb", "frontdesk"),
        ("zb", "frontdesk"),
        ("zc", "frontdesk"),
        ("zc", "frontdesk"),
    ];
    let day = Arc::new(Deployment::start(
        &plan,
        &[("/book/", 150)],
        CONFIG,
        record,
    )?);
    let sent = Arc::new(Mutex::new(Vec::new()));
    let began = record.ms();
    let until = began + 30_000;
    let mut clients = Vec::new();
    for number in 0..plan.len() * 2 {
        let (day, record, sent) = (Arc::clone(&day), Arc::clone(record), Arc::clone(&sent));
        clients.push(thread::spawn(move || {
            let mut client = Client::new(&day.machines[number / 2], &format!("c{number}"), &record);
            let mut count = 0;
            while record.ms() < until {
                count += 1;
                let path = format!("/book/{number}-{count}");
                let one: Sent = client.send(
                    "POST",
                    "jepu9.example",
                    &path,
                    &[],
                    b"{}",
                    DEADLINE_MS,
                    "book",
                );
                sent.lock().unwrap().push(one);
                pause(200);
            }
        }));
    }
    pause(3_000);
    let (leaving, machine) = (&day.upstreams[0], &day.machines[0]);
    if has_trouble() {
        day.store.set_mode(StoreMode::Silent);
        record.line("store: answers nobody");
    }
    let outage_from = record.ms();
    pause(300);
    // Delayed on its way.
    let late = leaving.beat_body("ready", leaving.next_sequence());
    pause(50);
    leaving.silent_beats.store(true, Ordering::SeqCst);
    leaving.leaving.store(true, Ordering::SeqCst);
    let acknowledged = leaving.call_control("instances.deregister", b"");
    let ack_ms = record.ms();
    record.say(&format!(
        "upstream {} deregisters: {acknowledged:?}",
        leaving.instance()
    ));
    if acknowledged != Some(200) {
        return Err(io::Error::other("the departure was not acknowledged"));
    }
    pause(200);
    machine.kill_node();
    record.line("platform: the node of machine 0 is killed");
    pause(300);
    machine.start_node()?;
    let restart_ms = record.ms();
    record.line("platform: the node of machine 0 is started");
    pause(LATE_MS - (record.ms() - ack_ms));
    let status = leaving.call_control("instances.heartbeat", late.as_bytes());
    record.say(&format!(
        "a heartbeat from before the departure arrives {} ms after it: {status:?}",
        record.ms() - ack_ms
    ));
    if has_trouble() {
        pause(OUTAGE_MS.saturating_sub(record.ms() - outage_from));
        day.store.set_mode(StoreMode::Sound);
        record.line("store: answers again");
    }
    let outage_to = record.ms();
    pause((ack_ms + SERVES_ON_MS).saturating_sub(record.ms()));
    let ended_ms = record.ms();
    leaving.crash();
    record.line("the upstream that deregistered exits");
    for client in clients {
        let _ = client.join();
    }
    // DRAIN: requests reach the upstream later than drain_s after the acknowledgement, sent on by a machine in touch.
    let touch = restart_ms.max(outage_to) + CONTACT_MS;
    let all = day.runs();
    let at_leaving = |from: u64, to: u64| {
        all.iter()
            .filter(|run| run.machine == 0 && run.at_ms > from && run.at_ms <= to)
            .count()
    };
    let late_runs = at_leaving(ack_ms + DRAIN_MS, ended_ms);
    let in_touch = at_leaving(touch.max(ack_ms + DRAIN_MS), ended_ms);
    let sent = sent.lock().unwrap();
    let broken_off = sent
        .iter()
        .filter(|one| one.at_ms + one.took_ms >= ended_ms && one.end == End::Status(502))
        .count();
    record.say(&format!("{late_runs} requests reached the upstream later than drain_s after the acknowledgement; {in_touch} of them after contact_s without disruption"));
    record.say(&format!(
        "{broken_off} requests were answered 502 when it exited"
    ));
    if sent
        .iter()
        .filter(|one| one.end == End::Status(200))
        .count()
        < 100
    {
        return Err(io::Error::other("too few requests were served to judge"));
    }
    Ok(in_touch > 0)
}

fn main() {
    let record = Record::create("review/5/record.txt").expect("review/5 can be written");
    let result = play(&record);
    finish(&record, result)
}

//! Case 7: clients of a route that was added later send a header with the name by which nodes mark their own messages. Such requests
//! are taken for messages between nodes: they never run, and their bodies are read as state.

#[path = "../4/common.rs"]
mod common;

use common::{Client, Deployment, End, Record, Sent, finish, has_trouble, pause};
use std::{
    collections::{BTreeMap, HashSet},
    io,
    sync::{Arc, Mutex},
    thread,
};

/// A route that is in no case disturbed, and the one that is added later.
fn config(version: &str, added: &str) -> String {
    format!(
        r#"{{"version":"{version}","services":[{{"name":"frontdesk","health_path":"/health","max_connections":260,"protocol":"h1","tls":false}},{{"name":"reports","health_path":"/health","max_connections":260,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}},"base_version":"00000005","virtual_hosts":[{{"host":"jepu9.example","paths":[{{"name":"r-book","path_prefix":"/book/","kind":"non_idempotent","timeout_s":2,"latency_target_s":0.5,"priority":2,"service":"frontdesk","max_attempts":2}}{added}]}}]}}"#
    )
}

const ADDED: &str = r#",{"name":"r-report","path_prefix":"/report/","kind":"non_idempotent","timeout_s":2,"latency_target_s":0.5,"priority":1,"service":"reports","max_attempts":2}"#;
const DEADLINE_MS: u64 = 2_000;
const DAY_MS: u64 = 25_000;

fn play(record: &Arc<Record>) -> io::Result<bool> {
    let mut plan = vec![
        ("za", "frontdesk"),
        ("za", "frontdesk"),
        ("zb", "frontdesk"),
        ("zb", "frontdesk"),
        ("zc", "frontdesk"),
        ("zc", "frontdesk"),
    ];
    plan.extend([
        ("za", "frontdesk"),
        ("zb", "frontdesk"),
        ("zc", "frontdesk"),
        ("za", "frontdesk"),
        ("zb", "reports"),
        ("zc", "reports"),
    ]);
    let day = Arc::new(Deployment::start(
        &plan,
        &[("/", 30)],
        &config("00000007", ""),
        record,
    )?);
    day.store
        .put("keyed.op", "config", config("00000009", ADDED).as_bytes());
    record.line("operator: version 00000009 adds the route r-report");
    // config_apply_s is 2 s; steady state begins contact_s after it.
    pause(6_000);
    let until = record.ms() + DAY_MS;
    let sent = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for number in 0..plan.len() * 2 {
        let (day, record, sent) = (Arc::clone(&day), Arc::clone(record), Arc::clone(&sent));
        clients.push(thread::spawn(move || {
            let is_later = number % 2 == 1;
            let mut client = Client::new(&day.machines[number / 2], &format!("c{number}"), &record);
            // With TROUBLE=0 the clients of the added route send no such header.
            let extra: &[(&str, &str)] = if is_later && has_trouble() {
                &[("x-state", "draft")]
            } else {
                &[]
            };
            let mut count = 0;
            while record.ms() < until {
                count += 1;
                let path = format!(
                    "/{}/{number}-{count}",
                    if is_later { "report" } else { "book" }
                );
                let body = format!("{{\"title\":\"slot {count}\"}}");
                let group = if is_later { "later" } else { "first" };
                let one = client.send(
                    "POST",
                    "jepu9.example",
                    &path,
                    extra,
                    body.as_bytes(),
                    DEADLINE_MS,
                    group,
                );
                sent.lock().unwrap().push(one);
                pause(500);
            }
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    let sent = sent.lock().unwrap();
    judge(&day, &sent)
}

/// CONFIG: in steady state, machines in touch get 20 or more requests on routes that were added later, and serve them less than a
/// quarter as often as those on the first routes.
fn judge(day: &Deployment, sent: &[Sent]) -> io::Result<bool> {
    let run: HashSet<String> = day.runs().into_iter().map(|run| run.request).collect();
    let mut shares = Vec::new();
    for group in ["first", "later"] {
        let asked: Vec<&Sent> = sent.iter().filter(|one| one.group == group).collect();
        let mut ends: BTreeMap<String, usize> = BTreeMap::new();
        for one in &asked {
            *ends
                .entry(format!(
                    "{:?} {}",
                    one.end,
                    if one.signed { "" } else { &one.body }
                ))
                .or_default() += 1;
        }
        let served = asked
            .iter()
            .filter(|one| one.end == End::Status(200) && one.signed)
            .count();
        let ran = asked
            .iter()
            .filter(|one| run.contains(&one.request))
            .count();
        day.record.say(&format!(
            "{group} route: {} requests, {served} served, {ran} run by an upstream; {ends:?}",
            asked.len()
        ));
        shares.push((asked.len(), served as f64 / asked.len().max(1) as f64));
    }
    let ((first, first_share), (later, later_share)) = (shares[0], shares[1]);
    if first < 20 || later < 20 || first_share < 0.5 {
        return Err(io::Error::other("too few requests to judge"));
    }
    Ok(later_share < first_share / 4.0)
}

fn main() {
    let record = Record::create("review/7/record.txt").expect("review/7 can be written");
    let result = play(&record);
    finish(&record, result)
}

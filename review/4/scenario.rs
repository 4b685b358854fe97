//! Case 4: upstreams shed requests while some of their answers come twice, the second time late. A node takes the late copy of an
//! answer "not executed" for the answer to the next request on the connection, which the upstream is running, and sends that request
//! to another upstream.

mod common;

use common::{Client, Deployment, End, Record, Sent, finish, has_trouble, pause};
use std::{
    collections::BTreeMap,
    io,
    sync::{Arc, Mutex, atomic::Ordering},
    thread,
};

const CONFIG: &str = r#"{"version":"00000007","services":[{"name":"shop","health_path":"/health","max_connections":260,"protocol":"h1","tls":false},{"name":"readings","health_path":"/health","max_connections":260,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15},"base_version":"00000005","virtual_hosts":[{"host":"jepu9.example","paths":[{"name":"r-frost","path_prefix":"/frost/","kind":"safe","timeout_s":0.6,"latency_target_s":0.12,"priority":2,"service":"shop","max_attempts":2},{"name":"r-order","path_prefix":"/order/","kind":"non_idempotent","timeout_s":0.8,"latency_target_s":0.2,"priority":1,"service":"shop","max_attempts":2}]}]}"#;

/// The upstreams of the service shed this share of their requests in these spans (`srv_grey`, `how = "shed all"`).
const SHED_PERCENT: u64 = 55;
const SHED_MS: u64 = 8_500;
/// Within each span, this many of the five upstreams send a second copy of this many of a thousand answers (`garble`,
/// `how = "extra late"`).
const EXTRA_UPSTREAMS: usize = 3;
const EXTRA_PER_MILLE: u64 = 30;
/// Two such disruptions, one after the other.
const EXTRA_MS: u64 = 2 * 4_000;
const SPANS: u64 = 8;
const SPAN_MS: u64 = 12_000;

fn play(record: &Arc<Record>) -> io::Result<bool> {
    // Five upstreams of the service, and five machines of another one whose clients call it too.
    let zones = ["za", "zb", "zc", "za", "zb", "zc", "za", "zb", "zc", "za"];
    let plan: Vec<(&str, &str)> = zones
        .iter()
        .enumerate()
        .map(|(number, zone)| (*zone, if number % 2 == 0 { "shop" } else { "readings" }))
        .collect();
    let day = Arc::new(Deployment::start(
        &plan,
        &[("/frost/", 36), ("/order/", 63)],
        CONFIG,
        record,
    )?);
    let until = record.ms() + SPANS * SPAN_MS + 2_000;
    let sent = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    // On each machine two clients look up and three order, some hundred requests a second on all machines together.
    for number in 0..plan.len() * 5 {
        let (day, record, sent) = (Arc::clone(&day), Arc::clone(record), Arc::clone(&sent));
        clients.push(thread::spawn(move || {
            let orders = number % 5 >= 2;
            let mut client = Client::new(&day.machines[number / 5], &format!("c{number}"), &record);
            let mut count = 0;
            while record.ms() < until {
                count += 1;
                let one: Sent = if orders {
                    client.send(
                        "POST",
                        "jepu9.example",
                        &format!("/order/{number}-{count}"),
                        &[],
                        b"{}",
                        800,
                        "order",
                    )
                } else {
                    client.send(
                        "GET",
                        "jepu9.example",
                        &format!("/frost/{number}-{count}"),
                        &[],
                        b"",
                        600,
                        "frost",
                    )
                };
                sent.lock().unwrap().push(one);
                pause(250 + number as u64 % 7 * 20);
            }
        }));
    }
    for _ in 0..SPANS {
        pause(SPAN_MS - SHED_MS);
        let shed = |percent| {
            day.upstreams
                .iter()
                .for_each(|upstream| upstream.shed_percent.store(percent, Ordering::SeqCst))
        };
        let extra = |per_mille| {
            day.upstreams
                .iter()
                .filter(|upstream| upstream.service == "shop")
                .take(EXTRA_UPSTREAMS)
                .for_each(|upstream| upstream.extra_per_mille.store(per_mille, Ordering::SeqCst))
        };
        if has_trouble() {
            shed(SHED_PERCENT);
        }
        pause((SHED_MS - EXTRA_MS) / 2);
        if has_trouble() {
            extra(EXTRA_PER_MILLE);
        }
        pause(EXTRA_MS);
        extra(0);
        pause((SHED_MS - EXTRA_MS) / 2);
        shed(0);
    }
    for client in clients {
        let _ = client.join();
    }
    let sent = sent.lock().unwrap();
    judge(&day, &sent)
}

/// TWICE: a request that isn't idempotent runs more than once. REFUSED: such a request is answered 429 or 503 and has run.
fn judge(day: &Deployment, sent: &[Sent]) -> io::Result<bool> {
    let mut runs: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for run in day.runs() {
        runs.entry(run.request)
            .or_default()
            .push(format!("{} at {} ms", run.instance, run.at_ms));
    }
    let (mut twice, mut refused) = (0, 0);
    for one in sent.iter().filter(|one| one.group == "order") {
        let ran = runs
            .get(&one.request)
            .map(Vec::as_slice)
            .unwrap_or_default();
        if ran.len() > 1 {
            twice += 1;
            day.record.say(&format!(
                "TWICE: {} was run by {}; its client got {:?}",
                one.request,
                ran.join(" and by "),
                one.end
            ));
        }
        if !ran.is_empty() && matches!(one.end, End::Status(503 | 429 | 408 | 421)) {
            refused += 1;
            day.record.say(&format!(
                "REFUSED: {} was run by {}; its client got {:?}",
                one.request,
                ran.join(" and by "),
                one.end
            ));
        }
    }
    let orders = sent.iter().filter(|one| one.group == "order").count();
    let served = sent
        .iter()
        .filter(|one| one.end == End::Status(200))
        .count();
    day.record.say(&format!("{} requests, {served} served, {orders} that may run once at most: {twice} TWICE, {refused} REFUSED", sent.len()));
    if orders < 100 || served < 100 {
        return Err(io::Error::other("too few requests were served to judge"));
    }
    Ok(twice + refused > 0)
}

fn main() {
    let record = Record::create("review/4/record.txt").expect("review/4 can be written");
    let result = play(&record);
    finish(&record, result)
}

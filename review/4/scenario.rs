//! Case 4: clients upload documents within the operator's limit for bodies. When many users come at once, nodes exceed the memory
//! limit of their machines and are killed by the platform, with the requests that they hold.

mod common;

use common::{Client, Deployment, End, Record, Sent, finish, has_trouble, pause};
use std::{
    collections::HashSet,
    io,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// `limits.memory_mb` of the settings.
const MEMORY_MB: f64 = 260.0;
/// Size of a document; the configuration's `max_body_bytes` is 67108864.
const DOCUMENT_BYTES: usize = 38 << 20;
const DOCUMENT_DEADLINE_MS: u64 = 15_000;
const LOOKUP_DEADLINE_MS: u64 = 3_000;
/// Usual clients of a machine, of each kind.
const USUAL: usize = 2;
/// Clients of the burst, of each kind: with the 12 usual ones of six machines, 20 = 1.67 times the usual.
const BURST: usize = 8;
const BURST_MS: u64 = 5_000;
/// When the bursts begin, after the start of traffic.
const BURSTS_MS: [u64; 4] = [8_000, 21_000, 34_000, 47_000];
const DAY_MS: u64 = 58_000;

const CONFIG: &str = r#"{"version":"00000007","services":[{"name":"records","health_path":"/health","max_connections":260,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15},"base_version":"00000005","virtual_hosts":[{"host":"jepu9.example","paths":[{"name":"r-scan","path_prefix":"/scan/","kind":"non_idempotent","timeout_s":15,"latency_target_s":4,"priority":2,"service":"records","max_attempts":2},{"name":"r-look","path_prefix":"/look/","kind":"safe","timeout_s":3,"latency_target_s":1,"priority":1,"service":"records","max_attempts":2}]}]}"#;

/// Kills a process that exceeds its memory, as the platform does, and starts it again a second later.
fn watch_memory(
    day: &Deployment,
    stop: &AtomicBool,
    kills: &Mutex<Vec<(usize, u64)>>,
    peaks: &Mutex<Vec<f64>>,
) {
    let mut back: Vec<Option<Instant>> = vec![None; day.machines.len()];
    while !stop.load(Ordering::SeqCst) {
        for machine in &day.machines {
            let number = machine.number;
            if back[number].is_some_and(|at| Instant::now() >= at) {
                back[number] = None;
                let _ = machine.start_node();
            }
            let Some(memory) = machine.memory_mb() else {
                continue;
            };
            let mut peaks = peaks.lock().unwrap();
            peaks[number] = peaks[number].max(memory);
            drop(peaks);
            if memory > MEMORY_MB {
                machine.kill_node();
                day.record.say(&format!("platform: the node of machine {number} has {memory:.0} MB of {MEMORY_MB:.0} MB and is killed"));
                kills.lock().unwrap().push((number, day.record.ms()));
                back[number] = Some(Instant::now() + Duration::from_secs(1));
            }
        }
        pause(3);
    }
}

fn upload(client: &mut Client, document: &[u8]) -> Sent {
    client.send(
        "POST",
        "jepu9.example",
        "/scan/page",
        &[],
        document,
        DOCUMENT_DEADLINE_MS,
        "scan",
    )
}

fn look(client: &mut Client, number: u64) -> Sent {
    client.send(
        "GET",
        "jepu9.example",
        &format!("/look/{number}"),
        &[],
        b"",
        LOOKUP_DEADLINE_MS,
        "look",
    )
}

fn play(record: &Arc<Record>) -> io::Result<bool> {
    let plan = [
        ("za", "records"),
        ("za", "records"),
        ("zb", "records"),
        ("zb", "records"),
        ("zc", "records"),
        ("zc", "records"),
    ];
    let day = Arc::new(Deployment::start(
        &plan,
        &[("/scan/", 400), ("/look/", 300)],
        CONFIG,
        record,
    )?);
    let stop = Arc::new(AtomicBool::new(false));
    let (kills, peaks) = (
        Arc::new(Mutex::new(Vec::new())),
        Arc::new(Mutex::new(vec![0.0; plan.len()])),
    );
    let watch = {
        let (day, stop, kills, peaks) = (
            Arc::clone(&day),
            Arc::clone(&stop),
            Arc::clone(&kills),
            Arc::clone(&peaks),
        );
        thread::spawn(move || watch_memory(&day, &stop, &kills, &peaks))
    };
    let document = Arc::new(vec![b'd'; DOCUMENT_BYTES]);
    let sent = Arc::new(Mutex::new(Vec::new()));
    let began = record.ms();
    let mut clients = Vec::new();
    let mut spans = vec![("u".to_owned(), 0, DAY_MS, USUAL * plan.len())];
    if has_trouble() {
        for (number, at) in BURSTS_MS.iter().enumerate() {
            spans.push((format!("b{number}"), *at, at + BURST_MS, BURST));
        }
    }
    for (name, from, to, count) in spans {
        for number in 0..count * 2 {
            let (day, record, sent, document) = (
                Arc::clone(&day),
                Arc::clone(record),
                Arc::clone(&sent),
                Arc::clone(&document),
            );
            let name = format!("{name}{number}");
            clients.push(thread::spawn(move || {
                let is_upload = number % 2 == 0;
                let machine = &day.machines[number / 2 % day.machines.len()];
                let mut client = Client::new(machine, &name, &record);
                pause(from + number as u64 * 37 % 500);
                let mut requests = 0;
                while record.ms() < began + to {
                    requests += 1;
                    let one = if is_upload {
                        upload(&mut client, &document)
                    } else {
                        look(&mut client, requests)
                    };
                    sent.lock().unwrap().push(one);
                    pause(if is_upload { 600 } else { 150 });
                }
            }));
        }
    }
    for client in clients {
        let _ = client.join();
    }
    stop.store(true, Ordering::SeqCst);
    let _ = watch.join();
    judge(
        &day,
        &sent.lock().unwrap(),
        &kills.lock().unwrap(),
        &peaks.lock().unwrap(),
    )
}

/// LOST: more than three requests from kept connections were passed on to a sound upstream, and their connections were closed without
/// an answer. Only machines whose process ended by itself, for its memory, are counted; no upstream ends in this case.
fn judge(
    day: &Deployment,
    sent: &[Sent],
    kills: &[(usize, u64)],
    peaks: &[f64],
) -> io::Result<bool> {
    let run: HashSet<String> = day.runs().into_iter().map(|run| run.request).collect();
    let killed: HashSet<usize> = kills.iter().map(|(machine, _)| *machine).collect();
    let closed: Vec<&Sent> = sent
        .iter()
        .filter(|one| one.end == End::Closed && killed.contains(&one.machine))
        .collect();
    let lost: Vec<&&Sent> = closed
        .iter()
        .filter(|one| one.kept && run.contains(&one.request))
        .collect();
    for one in &lost {
        day.record.line(&format!("LOST: {} from a kept connection, run by an upstream, connection closed without an answer", one.request));
    }
    let answered = sent
        .iter()
        .filter(|one| one.end == End::Status(200))
        .count();
    day.record.say(&format!(
        "{} requests, {answered} answered with 200; peaks of memory {peaks:.0?} MB",
        sent.len()
    ));
    day.record.say(&format!("{} kills for memory, {} connections closed on these machines, {} of them LOST (more than 3 break the rule)", kills.len(), closed.len(), lost.len()));
    if sent.len() < 100 || answered * 2 < sent.len() && kills.is_empty() {
        return Err(io::Error::other("too few requests were served to judge"));
    }
    Ok(lost.len() > 3)
}

fn main() {
    let record = Record::create("review/4/record.txt").expect("review/4 can be written");
    let result = play(&record);
    finish(&record, result)
}

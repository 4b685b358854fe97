//! One real node on loopback, an upstream that does as the test says, and a caller that sends bytes.

use camphorturn::{
    local_mesh::{
        plan::{NodePlan, publish_first},
        ready::ask_status,
    },
    node::{NodeHandle, start_node},
    options::node_settings::NodeSettings,
    protocol::operator_views::NodeStatus,
    state::{
        class::{Class, KeyRule, MatchRule, Target},
        configuration::{Configuration, Service},
        names::{AvailabilityZoneName, ClassName, NodeName, RegionName, ServiceName},
    },
    timers::TimerService,
};
use camphorturn_stand_ins::log_service::LogService;
use flume::{Receiver, Sender};
use std::{
    io::{ErrorKind, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

/// Nothing in these tests takes as long unless it hangs.
const PATIENCE: Duration = Duration::from_secs(20);
const ASK_PERIOD: Duration = Duration::from_millis(5);

/// A node in front of one upstream, with the service `desk` and its classes `lookup` (GET and HEAD
/// of `/slots`, idempotent) and `booking` (POST `/bookings`, key optional).
pub struct SingleNode {
    pub node: NodeHandle,
    _log: LogService,
}

impl SingleNode {
    pub fn start(upstream: SocketAddr, slots: u16) -> Self {
        Self::start_with(upstream, slots, |_| {})
    }

    /// The same with settings as the test wants them.
    pub fn start_with(
        upstream: SocketAddr,
        slots: u16,
        adjust: impl FnOnce(&mut NodeSettings),
    ) -> Self {
        let log = LogService::start().expect("a loopback port is free");
        publish_first(&log, &configuration()).expect("a plain configuration");
        let plan = NodePlan {
            name: NodeName::from("desk-1"),
            service: ServiceName::from("desk"),
            region: RegionName::from("prairie-west"),
            availability_zone: AvailabilityZoneName::from("yxe-a"),
            slots,
            seed: 1,
            service_times: Vec::new(),
        };
        let mut settings = plan
            .node_settings(upstream, log.address(), &[])
            .expect("settings fit the schema");
        settings.callers.body_limit_bytes = 64 * 1024;
        adjust(&mut settings);
        let node = start_node(settings).expect("loopback ports are free");
        let single = Self { node, _log: log };
        single.wait_until(|status| status.configuration_version.0 > 0);
        single
    }

    pub fn wait_until(&self, holds: impl Fn(&NodeStatus) -> bool) {
        let timers = TimerService::system();
        let ticks = timers.every(ASK_PERIOD);
        let give_up = timers.after(PATIENCE);
        let operators = self.node.member.operator_address;
        while !ask_status(operators).is_some_and(|status| holds(&status)) {
            assert!(give_up.try_recv().is_err(), "{:?}", ask_status(operators));
            let _ = ticks.recv();
        }
        timers.stop();
    }

    /// What the upstream posts to the node beside it.
    pub fn announce(&self, announcement: &str) {
        let url = format!("http://{}/upstream", self.node.member.operator_address);
        let answer = attohttpc::post(url).text(announcement).send();
        let status = answer.expect("the node listens").status();
        assert!(status.is_success(), "{status}");
    }

    pub fn connect(&self) -> Caller {
        let stream = TcpStream::connect(self.node.caller_address).expect("the node listens");
        stream
            .set_read_timeout(Some(PATIENCE))
            .expect("a positive timeout");
        Caller {
            stream,
            unread: Vec::new(),
        }
    }

    /// Sends one request on a connection of its own.
    pub fn call(&self, request: &str) -> Reply {
        let mut caller = self.connect();
        caller.send(request);
        caller.read_reply()
    }
}

fn configuration() -> Configuration {
    let desk = Service {
        classes: vec![
            class("lookup", "GET", "/slots", KeyRule::None),
            class("booking", "POST", "/bookings", KeyRule::Optional),
        ],
        hosts: vec!["desk.example".to_owned()],
        ..Service::named(ServiceName::from("desk"))
    };
    Configuration {
        services: vec![desk],
    }
}

fn class(name: &str, method: &str, path: &str, key: KeyRule) -> Class {
    Class {
        name: ClassName::from(name),
        rules: vec![MatchRule {
            method: Some(method.to_owned()),
            path_prefix: Some(path.to_owned()),
            header: None,
        }],
        target: Target {
            latency_ms: 10_000,
            share: 0.99,
        },
        deadline_ms: 10_000,
        priority: 1,
        idempotent: method == "GET",
        key,
        hedge: false,
    }
}

/// A caller's connection.
pub struct Caller {
    stream: TcpStream,
    unread: Vec<u8>,
}

/// What a caller read.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl Reply {
    /// The value of a header; names are in small letters.
    pub fn header(&self, name: &str) -> Option<&str> {
        header_of(&self.head, name)
    }

    pub fn outcome(&self) -> Option<&str> {
        self.header("camphorturn-outcome")
    }

    pub fn reason(&self) -> Option<&str> {
        self.header("camphorturn-reason")
    }
}

impl Caller {
    pub fn send(&mut self, text: &str) {
        self.stream
            .write_all(text.as_bytes())
            .expect("the node reads");
    }

    /// Sends what the node may stop reading half-way.
    pub fn try_send(&mut self, text: &str) {
        let _ = self.stream.write_all(text.as_bytes());
    }

    pub fn end_sending(&mut self) {
        self.stream
            .shutdown(Shutdown::Write)
            .expect("it was open so far");
    }

    pub fn read_reply(&mut self) -> Reply {
        let head = self.read_head();
        let length = header_of(&head, "content-length").map_or(0, |text| {
            text.parse().expect("the node sends whole numbers")
        });
        let body = self.read_exactly(length);
        build_reply(&head, body)
    }

    /// Reads the reply to a HEAD request, which has no body whatever its length says.
    pub fn read_bodiless_reply(&mut self) -> Reply {
        let head = self.read_head();
        build_reply(&head, String::new())
    }

    /// Whether the node has closed the connection and sent nothing more.
    pub fn is_closed(&mut self) -> bool {
        let mut buf = [0; 64];
        self.unread.is_empty()
            && match self.stream.read(&mut buf) {
                Ok(count) => count == 0,
                Err(error) => error.kind() == ErrorKind::ConnectionReset,
            }
    }

    fn read_head(&mut self) -> String {
        loop {
            if let Some(end) = find_head_end(&self.unread) {
                let head: Vec<u8> = self.unread.drain(..end).collect();
                return String::from_utf8(head).expect("heads are text");
            }
            self.read_more();
        }
    }

    fn read_exactly(&mut self, length: usize) -> String {
        while self.unread.len() < length {
            self.read_more();
        }
        let body: Vec<u8> = self.unread.drain(..length).collect();
        String::from_utf8(body).expect("bodies of these tests are text")
    }

    fn read_more(&mut self) {
        let mut buf = [0; 4096];
        let count = self.stream.read(&mut buf).expect("a reply comes");
        assert!(
            count > 0,
            "closed after {:?}",
            String::from_utf8_lossy(&self.unread)
        );
        self.unread.extend_from_slice(&buf[..count]);
    }
}

fn build_reply(head: &str, body: String) -> Reply {
    let status = head.split(' ').nth(1).and_then(|text| text.parse().ok());
    Reply {
        status: status.expect("a status line"),
        head: head.to_lowercase(),
        body,
    }
}

/// The value of a header of a head in any case.
pub fn header_of<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let lines = head.lines().filter_map(|line| line.split_once(':'));
    let mut values = lines.filter(|(found, _)| found.eq_ignore_ascii_case(name));
    values.next().map(|(_, value)| value.trim())
}

fn find_head_end(bytes: &[u8]) -> Option<usize> {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")?;
    Some(end + 4)
}

/// One request as an upstream received it; the upstream waits until it is told what to do.
pub struct Received {
    /// Which of the upstream's connections it came on, counted from 0.
    pub connection: usize,
    pub head: String,
    pub body: String,
    tx: Sender<Order>,
    closed: Receiver<()>,
}

enum Order {
    Send(String),
    Close,
}

impl Received {
    /// Sends bytes; the connection stays open.
    pub fn send(&self, text: &str) {
        // The connection may have been closed by the node meanwhile.
        let _ = self.tx.send(Order::Send(text.to_owned()));
    }

    /// Answers 200 with a body.
    pub fn answer(&self, body: &str) {
        let length = body.len();
        self.send(&format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}"
        ));
    }

    pub fn close(&self) {
        let _ = self.tx.send(Order::Close);
    }

    /// Waits until the node has closed the connection.
    pub fn wait_until_closed(&self) {
        let closed = self.closed.recv_timeout(PATIENCE);
        assert!(closed.is_ok(), "the node keeps the connection");
    }
}

/// An upstream that hands each request to the test.
pub struct ManualUpstream {
    pub address: SocketAddr,
    rx: Receiver<Received>,
}

impl ManualUpstream {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("it is bound");
        let (tx, rx) = flume::unbounded();
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                let tx = tx.clone();
                let stream = stream.expect("a connection");
                thread::spawn(move || serve_connection(connection, stream, &tx));
            }
        });
        Self { address, rx }
    }

    /// The next request.
    pub fn receive(&self) -> Received {
        self.rx.recv_timeout(PATIENCE).expect("a request comes")
    }

    pub fn received_nothing(&self) -> bool {
        self.rx.is_empty()
    }
}

/// Reads requests on one thread and carries out the test's orders on another.
fn serve_connection(connection: usize, mut stream: TcpStream, tx: &Sender<Received>) {
    let (order_tx, order_rx) = flume::unbounded();
    let (closed_tx, closed_rx) = flume::bounded(1);
    let writer = stream.try_clone().expect("a handle is free");
    thread::spawn(move || carry_out_orders(writer, &order_rx));
    let mut bytes = Vec::new();
    let mut buf = [0; 4096];
    loop {
        match stream.read(&mut buf) {
            Ok(count) if count > 0 => bytes.extend_from_slice(&buf[..count]),
            _ => break,
        }
        while let Some((head, body)) = take_request(&mut bytes) {
            let received = Received {
                connection,
                head,
                body,
                tx: order_tx.clone(),
                closed: closed_rx.clone(),
            };
            if tx.send(received).is_err() {
                return;
            }
        }
    }
    let _ = closed_tx.send(());
}

fn carry_out_orders(mut stream: TcpStream, orders: &Receiver<Order>) {
    while let Ok(order) = orders.recv() {
        match order {
            Order::Send(text) => {
                let _ = stream.write_all(text.as_bytes());
            }
            Order::Close => {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }
}

fn take_request(bytes: &mut Vec<u8>) -> Option<(String, String)> {
    let end = find_head_end(bytes)?;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let length: usize = header_of(&head, "content-length").map_or(0, |text| {
        text.parse().expect("the node sends whole numbers")
    });
    if bytes.len() < end + length {
        return None;
    }
    let body = String::from_utf8_lossy(&bytes[end..end + length]).into_owned();
    bytes.drain(..end + length);
    Some((head, body))
}

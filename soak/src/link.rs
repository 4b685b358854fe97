//! A link between two processes: a TCP proxy on a loopback address that can delay, drop or limit what it forwards.

use std::{
    cell::Cell,
    future::pending,
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::Notify,
    task::spawn_local,
    time::{sleep, sleep_until},
};

/// Largest chunk that is forwarded at once.
const CHUNK_BYTES: usize = 16 * 1024;
/// Resolution of timers. A delay by limited bandwidth that is not longer is skipped.
const TIMER_RESOLUTION: Duration = Duration::from_millis(1);

/// What a link does to bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkCondition {
    /// Forwards them at once.
    #[default]
    Healthy,
    /// Forwards each chunk after a delay.
    Slow(Duration),
    /// Forwards requests and drops answers.
    AnswersLost,
    /// Forwards nothing in either direction; connections stay open.
    Silent,
}

#[derive(Default)]
struct LinkState {
    condition: Cell<LinkCondition>,
    changed: Notify,
    reset: Notify,
    /// Bandwidth each way, of all connections together; none if it is unlimited.
    bytes_per_second: Option<u32>,
    /// By direction: when the bytes accepted so far will have been transmitted at the limited bandwidth.
    busy_until: [Cell<Option<Instant>>; 2],
}

/// A link to one address. It stays open until the event loop ends.
pub struct Link {
    /// Address to connect to instead of the target.
    pub address: SocketAddr,
    state: Rc<LinkState>,
}

impl Link {
    /// Opens a link to `to` on a free port, with unlimited bandwidth.
    ///
    /// # Errors
    /// If no port is free.
    pub async fn open(to: SocketAddr) -> io::Result<Self> {
        Self::open_with_rate(([127, 0, 0, 1], 0).into(), to, None).await
    }

    /// Opens a link from `listen_address` to `to`. `bytes_per_second` limits the bandwidth each way, of all connections together.
    ///
    /// # Errors
    /// If the address is in use.
    pub async fn open_with_rate(
        listen_address: SocketAddr,
        to: SocketAddr,
        bytes_per_second: Option<u32>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(listen_address).await?;
        let address = listener.local_addr()?;
        let state = Rc::new(LinkState {
            bytes_per_second,
            ..LinkState::default()
        });
        spawn_local(accept(listener, to, Rc::clone(&state)));
        Ok(Self { address, state })
    }

    /// Sets what the link does to bytes from now on.
    pub fn set_condition(&self, condition: LinkCondition) {
        self.state.condition.set(condition);
        self.state.changed.notify_waiters();
    }

    /// Closes all connections, also in the middle of a request or an answer.
    pub fn reset(&self) {
        self.state.reset.notify_waiters();
    }
}

async fn accept(listener: TcpListener, to: SocketAddr, state: Rc<LinkState>) {
    loop {
        match listener.accept().await {
            Ok((client, _)) => drop(spawn_local(forward_connection(
                client,
                to,
                Rc::clone(&state),
            ))),
            // File descriptors can run out for a short time. If the listener ended, another program could get its port.
            Err(_) => sleep(TIMER_RESOLUTION).await,
        }
    }
}

async fn forward_connection(client: TcpStream, to: SocketAddr, state: Rc<LinkState>) {
    let Ok(server) = TcpStream::connect(to).await else {
        return;
    };
    // Without Nagle's algorithm, so that small chunks are forwarded as they arrive.
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let requests_forwarded = forward(client_read, server_write, &state, Direction::Request);
    let answers_forwarded = forward(server_read, client_write, &state, Direction::Answer);
    tokio::select! {
        () = requests_forwarded => {}
        () = answers_forwarded => {}
        () = state.reset.notified() => {}
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Request,
    Answer,
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    state: &LinkState,
    direction: Direction,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(read @ 1..) = from.read(&mut chunk).await {
        wait_until_forwardable(state, direction).await;
        wait_for_bandwidth(state, direction, read).await;
        if to.write_all(&chunk[..read]).await.is_err() {
            return;
        }
    }
}

/// Waits until the limited bandwidth has transmitted a chunk, after the chunks before it.
async fn wait_for_bandwidth(state: &LinkState, direction: Direction, bytes: usize) {
    let Some(bytes_per_second) = state.bytes_per_second else {
        return;
    };
    let busy_until = &state.busy_until[direction as usize];
    let now = Instant::now();
    let begin = busy_until.get().map_or(now, |until| until.max(now));
    let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
    let end = begin + Duration::from_secs(1) * bytes / bytes_per_second;
    busy_until.set(Some(end));
    if end > now + TIMER_RESOLUTION {
        sleep_until(end.into()).await;
    }
}

/// Waits until the link's condition lets a chunk through.
async fn wait_until_forwardable(state: &LinkState, direction: Direction) {
    loop {
        let changed = state.changed.notified();
        match state.condition.get() {
            LinkCondition::Slow(delay) => return sleep(delay).await,
            // Never returns: bytes after a dropped chunk must not be forwarded either.
            LinkCondition::AnswersLost if direction == Direction::Answer => pending().await,
            LinkCondition::Healthy | LinkCondition::AnswersLost => return,
            LinkCondition::Silent => changed.await,
        }
    }
}

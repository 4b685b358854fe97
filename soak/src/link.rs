//! A link between two programs: forwards bytes over loopback, and does to them what networks do.

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

/// Bytes forwarded at a time.
const CHUNK: usize = 16 * 1024;
/// Pieces that a thin link has passed within this time wait no longer: timers are no finer.
const TIMER_STEP: Duration = Duration::from_millis(1);

/// What a link does to bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkCondition {
    /// Forwards them.
    #[default]
    Healthy,
    /// Forwards each piece after a pause.
    Slow(Duration),
    /// Forwards questions; answers don't come.
    AnswersLost,
    /// Forwards nothing in either direction; connections stay open.
    Silent,
}

#[derive(Default)]
struct State {
    condition: Cell<LinkCondition>,
    changed: Notify,
    reset: Notify,
    /// Bytes a second each way; none if there is no bound.
    rate: Option<u32>,
    /// When questions and answers have been carried that were taken so far.
    carried: [Cell<Option<Instant>>; 2],
}

/// A link to one address.
pub struct Link {
    /// Where to connect in place of the address itself.
    pub address: SocketAddr,
    state: Rc<State>,
}

impl Link {
    /// Opens a link to `to` on a free port.
    ///
    /// # Errors
    /// If no port is free.
    pub async fn open(to: SocketAddr) -> io::Result<Self> {
        Self::open_at(([127, 0, 0, 1], 0).into(), to, None).await
    }

    /// Opens a link from `near` to `to`. A thin one carries `rate` bytes a second each way, all connections together.
    ///
    /// # Errors
    /// If the address is taken.
    pub async fn open_at(near: SocketAddr, to: SocketAddr, rate: Option<u32>) -> io::Result<Self> {
        let listener = TcpListener::bind(near).await?;
        let address = listener.local_addr()?;
        let state = Rc::new(State {
            rate,
            ..State::default()
        });
        spawn_local(accept(listener, to, Rc::clone(&state)));
        Ok(Self { address, state })
    }

    /// What is done to bytes from now on.
    pub fn set_condition(&self, condition: LinkCondition) {
        self.state.condition.set(condition);
        self.state.changed.notify_waiters();
    }

    /// Ends all connections in the middle of whatever they carry.
    pub fn reset(&self) {
        self.state.reset.notify_waiters();
    }
}

async fn accept(listener: TcpListener, to: SocketAddr, state: Rc<State>) {
    loop {
        match listener.accept().await {
            Ok((near, _)) => drop(spawn_local(carry(near, to, Rc::clone(&state)))),
            // Files run out for a moment. A listener that ended would leave its port to some other program.
            Err(_) => sleep(TIMER_STEP).await,
        }
    }
}

async fn carry(near: TcpStream, to: SocketAddr, state: Rc<State>) {
    let Ok(far) = TcpStream::connect(to).await else {
        return;
    };
    // Small pieces are forwarded as they come.
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let questions = forward(near_read, far_write, &state, Direction::Question);
    let answers = forward(far_read, near_write, &state, Direction::Answer);
    tokio::select! {
        () = questions => {}
        () = answers => {}
        () = state.reset.notified() => {}
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Question,
    Answer,
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    state: &State,
    direction: Direction,
) {
    let mut piece = vec![0; CHUNK];
    while let Ok(read @ 1..) = from.read(&mut piece).await {
        hold(state, direction).await;
        pass_thin(state, direction, read).await;
        if to.write_all(&piece[..read]).await.is_err() {
            return;
        }
    }
}

/// Returns once a thin link has carried a piece, after those before it.
async fn pass_thin(state: &State, direction: Direction, bytes: usize) {
    let Some(rate) = state.rate else {
        return;
    };
    let carried = &state.carried[direction as usize];
    let now = Instant::now();
    let begins = carried.get().map_or(now, |until| until.max(now));
    let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
    let ends = begins + Duration::from_secs(1) * bytes / rate;
    carried.set(Some(ends));
    if ends > now + TIMER_STEP {
        sleep_until(ends.into()).await;
    }
}

/// Returns once a piece may be forwarded.
async fn hold(state: &State, direction: Direction) {
    loop {
        let changed = state.changed.notified();
        match state.condition.get() {
            LinkCondition::Slow(pause) => return sleep(pause).await,
            // What is lost stays lost: its connection never gets further.
            LinkCondition::AnswersLost if direction == Direction::Answer => pending().await,
            LinkCondition::Healthy | LinkCondition::AnswersLost => return,
            LinkCondition::Silent => changed.await,
        }
    }
}

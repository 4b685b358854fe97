//! A link between two programs: forwards bytes over loopback, and does to them what networks do.

use std::{cell::Cell, future::pending, io, net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::Notify,
    task::spawn_local,
    time::sleep,
};

/// Bytes forwarded at a time.
const CHUNK: usize = 16 * 1024;

/// What a link does to bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkCondition {
    /// Forwards them.
    #[default]
    Well,
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
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Rc::new(State::default());
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
    while let Ok((near, _)) = listener.accept().await {
        spawn_local(carry(near, to, Rc::clone(&state)));
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
        if to.write_all(&piece[..read]).await.is_err() {
            return;
        }
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
            LinkCondition::Well | LinkCondition::AnswersLost => return,
            LinkCondition::Silent => changed.await,
        }
    }
}

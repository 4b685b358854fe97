//! How an upstream takes connections, and how it stops to when it crashes.

use crate::upstream::{State, read_clock, serving::serve_until_crash};
use std::{
    future::poll_fn,
    io,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    task::spawn_local,
    time::sleep,
};

/// Pause after a connection that could not be taken.
const ACCEPT_PAUSE: Duration = Duration::from_millis(1);
/// Connections that wait to be taken.
const BACKLOG: u32 = 1_024;

impl State {
    /// Ends all connections, and refuses new ones.
    pub fn crash(&self) {
        self.crashed.set(true);
        self.listener.take();
        self.crashes.notify_waiters();
    }

    /// Crashes, and is back at once as another run.
    pub fn restart(&self, stream: &TcpStream) {
        self.crash();
        let instance = format!("{}+", self.instance.borrow());
        *self.instance.borrow_mut() = instance;
        self.start_incarnation();
        self.crashed.set(false);
        let listener = stream.local_addr().and_then(listen);
        *self.listener.borrow_mut() = Some(listener.expect("the port is reserved"));
        if let Some(waker) = self.acceptor.take() {
            waker.wake();
        }
    }

    /// Runs under one identity are told apart by their start alone, so two of them never share a millisecond.
    pub fn start_incarnation(&self) {
        let started_ms = &self.started_ms;
        started_ms.set(read_clock().max(started_ms.get() + 1));
    }

    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<io::Result<(TcpStream, SocketAddr)>> {
        // A listener that goes while it is waited for wakes nobody.
        *self.acceptor.borrow_mut() = Some(cx.waker().clone());
        match &*self.listener.borrow() {
            Some(listener) => listener.poll_accept(cx),
            None => Poll::Pending,
        }
    }

    /// Whether a request with that target crashes it.
    pub fn is_crashed_by(&self, target: &str) -> bool {
        let mut prefixes = self.settings.crash_prefixes.iter();
        prefixes.any(|prefix| target.starts_with(prefix))
    }
}

/// A socket on a port of its own. It takes no connections, and lets a listening one use the port as well.
pub fn reserve_port() -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
    // NB: only after it is bound. With it the system may choose a port that another upstream shares.
    socket.set_reuseport(true)?;
    Ok(socket)
}

pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Takes connections until dropped.
pub async fn accept(state: Rc<State>) {
    loop {
        match poll_fn(|cx| state.poll_accept(cx)).await {
            Ok((stream, _)) => drop(spawn_local(serve_until_crash(stream, Rc::clone(&state)))),
            // Files run out for a moment. A listener that ended would leave its port to some other program.
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}

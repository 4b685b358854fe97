//! How an upstream listens and accepts connections, crashes and restarts.

use crate::upstream::{UpstreamState, read_clock, serving::serve_until_crash};
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

/// Delay before the next attempt after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(1);
/// Most connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1_024;

impl UpstreamState {
    /// Closes all connections and refuses new ones.
    pub fn crash(&self) {
        self.is_crashed.set(true);
        self.listener.take();
        self.crash_notify.notify_waiters();
    }

    /// Crashes and restarts at once as another incarnation: its instance id gets a `+` at the end. `stream` is a connection of the
    /// upstream, which shows its address.
    pub fn crash_and_restart(&self, stream: &TcpStream) {
        self.crash();
        let instance = format!("{}+", self.instance.borrow());
        *self.instance.borrow_mut() = instance;
        self.start_incarnation();
        self.is_crashed.set(false);
        let listener = stream.local_addr().and_then(bind_listener);
        *self.listener.borrow_mut() = Some(listener.expect("the port is reserved"));
        if let Some(waker) = self.accept_waker.take() {
            waker.wake();
        }
    }

    /// Sets the start time of a new incarnation. Incarnations with one instance id differ only in their start time, so it is
    /// always later than the one before, at least by a millisecond.
    pub fn start_incarnation(&self) {
        let started_ms = &self.started_ms;
        started_ms.set(read_clock().max(started_ms.get() + 1));
    }

    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<io::Result<(TcpStream, SocketAddr)>> {
        // Dropping a listener doesn't wake the task that polls it, so the waker is kept for the next listener.
        *self.accept_waker.borrow_mut() = Some(cx.waker().clone());
        match &*self.listener.borrow() {
            Some(listener) => listener.poll_accept(cx),
            None => Poll::Pending,
        }
    }

    /// Whether executing a request with this target crashes the upstream.
    pub fn is_crashed_by_request(&self, target: &str) -> bool {
        let mut prefixes = self.settings.crash_prefixes.iter();
        prefixes.any(|prefix| target.starts_with(prefix))
    }
}

/// Reserves a free port with a socket that accepts no connections but lets a listening socket use the same port.
pub fn reserve_port() -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
    // NB: only after `bind`. If it were set before, the system could choose a port that another upstream has reserved.
    socket.set_reuseport(true)?;
    Ok(socket)
}

/// Listens on an address whose port is reserved.
pub fn bind_listener(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Accepts and serves connections until the task is dropped.
pub async fn accept_connections(state: Rc<UpstreamState>) {
    loop {
        match poll_fn(|cx| state.poll_accept(cx)).await {
            Ok((stream, _)) => drop(spawn_local(serve_until_crash(stream, Rc::clone(&state)))),
            // File descriptors can run out for a short time. If the listener ended, another program could get its port.
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

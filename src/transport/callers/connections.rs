//! The connections of one or more servers, and their graceful shutdown.

use hyper_util::server::graceful::{GracefulConnection, GracefulShutdown};
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};
use tokio::{sync::Notify, task::spawn_local};

/// Connections that are shut down together.
pub struct CallerConnections {
    /// `None` once the shutdown has begun.
    running: RefCell<Option<GracefulShutdown>>,
    shutdown_begun: Notify,
    /// Number of open connections.
    open: Cell<usize>,
    connection_ended: Notify,
}

impl CallerConnections {
    /// No connections yet.
    #[must_use]
    pub fn new() -> Rc<Self> {
        Rc::new(Self {
            running: RefCell::new(Some(GracefulShutdown::new())),
            shutdown_begun: Notify::new(),
            open: Cell::new(0),
            connection_ended: Notify::new(),
        })
    }

    /// Number of open connections.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Closes the idle connections, and returns once each of the others has received the rest of its request and sent the complete
    /// answer. Servers accept no connections from then on.
    pub async fn shut_down(&self) {
        if let Some(running) = self.running.take() {
            self.shutdown_begun.notify_waiters();
            spawn_local(running.shutdown());
        }
        while self.open() > 0 {
            self.connection_ended.notified().await;
        }
    }

    /// Returns once the shutdown has begun.
    pub(super) async fn wait_for_shutdown(&self) {
        while self.running.borrow().is_some() {
            self.shutdown_begun.notified().await;
        }
    }

    /// Drives a connection to its end; closes it at once if the shutdown has begun.
    pub(super) async fn drive<C: GracefulConnection>(&self, connection: C) -> C::Output {
        let watcher = self
            .running
            .borrow()
            .as_ref()
            .map(GracefulShutdown::watcher);
        let Some(watcher) = watcher else {
            return Ok(());
        };
        let _open = OpenConnection::count(self);
        watcher.watch(connection).await
    }
}

/// Counts a connection as open until dropped.
struct OpenConnection<'a>(&'a CallerConnections);

impl<'a> OpenConnection<'a> {
    fn count(connections: &'a CallerConnections) -> Self {
        connections.open.set(connections.open() + 1);
        Self(connections)
    }
}

impl Drop for OpenConnection<'_> {
    fn drop(&mut self) {
        self.0.open.set(self.0.open() - 1);
        self.0.connection_ended.notify_waiters();
    }
}

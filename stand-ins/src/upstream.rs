//! An HTTP/1.1 server with a fixed number of slots and the failures of real ones on demand.
//!
//! Any method and path is a call, but for `GET /health`, which answers at once and is not counted.
//! Every answer names the call it belongs to (header `camphorturn-call`, and in its JSON body), so
//! that a mixed answer can be told; every run is recorded with a sequence number of the process.

mod behaviour;
mod body;
mod connection;
mod run_record;
mod service_time;

pub use self::{
    behaviour::{AnswerFault, Behaviour, ColdStart, HealthAnswer, Noise, Refusing},
    run_record::{Run, RunEnd},
    service_time::ServiceTime,
};

use self::{connection::accept_connections, run_record::RunRecords};
use rand::{SeedableRng, rngs::SmallRng};
use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread::{self, JoinHandle},
    time::Instant,
};
use tokio::{
    runtime::Builder,
    sync::{Semaphore, mpsc, watch},
    task::LocalSet,
};

/// Least factor on the time that work takes.
const LEAST_FACTOR: f64 = 0.001;
/// Most runs whose records are kept; older ones go.
const DEFAULT_KEPT_RUNS: usize = 200_000;

/// What an upstream is, fixed at its start.
#[derive(Clone, Debug)]
pub struct UpstreamSettings {
    /// Name, given in answers.
    pub name: String,
    /// Calls it runs at once; others wait in the order of their arrival.
    pub slots: usize,
    /// Seed of service times and of faults that hit a share of calls.
    pub seed: u64,
    /// Service times by start of the path; the first that fits counts.
    pub service_times: Vec<ServiceTime>,
    /// Most runs whose records are kept.
    pub kept_runs: usize,
}

impl UpstreamSettings {
    /// An upstream that answers at once.
    #[must_use]
    pub fn new(name: &str, slots: usize, seed: u64) -> Self {
        Self {
            name: name.to_owned(),
            slots,
            seed,
            service_times: Vec::new(),
            kept_runs: DEFAULT_KEPT_RUNS,
        }
    }

    /// Adds a service time for paths that start with `path_prefix`.
    #[must_use]
    pub fn with_service_time(mut self, path_prefix: &str, median_micros: u64, spread: f64) -> Self {
        self.service_times.push(ServiceTime {
            path_prefix: path_prefix.to_owned(),
            median_micros,
            spread,
        });
        self
    }
}

/// Load counted now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpstreamLoad {
    /// Calls in a slot.
    pub running: usize,
    /// Calls that wait for a slot.
    pub waiting: usize,
    /// Most calls that were ever in a slot or waiting.
    pub most: usize,
}

struct Inner {
    settings: UpstreamSettings,
    started: Instant,
    slots: Arc<Semaphore>,
    state: Mutex<Shared>,
}

struct Shared {
    behaviour: Behaviour,
    load: UpstreamLoad,
    runs: RunRecords,
    rng: SmallRng,
    warm_since: Instant,
}

impl Inner {
    /// Factor on the time that work takes now; at least a little above 0.
    fn slowness(&self) -> f64 {
        let shared = self.lock();
        let age = shared.warm_since.elapsed();
        let cold = shared
            .behaviour
            .cold_start
            .map_or(1.0, |cold| cold.factor_at(age));
        (shared.behaviour.slow_factor * cold).max(LEAST_FACTOR)
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

struct Job {
    inner: Arc<Inner>,
    listener: TcpListener,
    connections: watch::Receiver<ConnectionOrder>,
}

/// What the connections of an upstream are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionOrder {
    /// Serve; the number counts the orders to close idle connections.
    Serve(u64),
    /// End at once, whatever is in progress.
    Stop,
}

/// A thread that serves any number of upstreams.
pub struct UpstreamHost {
    jobs: Option<mpsc::UnboundedSender<Job>>,
    thread: Option<JoinHandle<()>>,
}

impl UpstreamHost {
    /// Starts the thread.
    ///
    /// # Errors
    /// The runtime can't be made.
    pub fn start() -> io::Result<Self> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let (tx, mut rx) = mpsc::unbounded_channel::<Job>();
        let thread = thread::spawn(move || {
            LocalSet::new().block_on(&runtime, async {
                while let Some(job) = rx.recv().await {
                    tokio::task::spawn_local(accept_connections(job));
                }
            });
        });
        Ok(Self {
            jobs: Some(tx),
            thread: Some(thread),
        })
    }

    /// Starts an upstream on a free loopback port.
    ///
    /// # Errors
    /// The port can't be bound, or the host has ended.
    pub fn add(&self, settings: UpstreamSettings) -> io::Result<Upstream> {
        self.add_at(settings, SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// Starts an upstream at a given address, such as that of one that was stopped.
    ///
    /// # Errors
    /// The address can't be bound, or the host has ended.
    pub fn add_at(&self, settings: UpstreamSettings, address: SocketAddr) -> io::Result<Upstream> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (orders, connections) = watch::channel(ConnectionOrder::Serve(0));
        let inner = Arc::new(Inner::new(settings));
        let job = Job {
            inner: Arc::clone(&inner),
            listener,
            connections,
        };
        let jobs = self.jobs.as_ref().ok_or(io::ErrorKind::BrokenPipe)?;
        jobs.send(job).map_err(|_| io::ErrorKind::BrokenPipe)?;
        Ok(Upstream {
            address,
            inner,
            orders,
        })
    }
}

impl Drop for UpstreamHost {
    fn drop(&mut self) {
        self.jobs = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Inner {
    fn new(settings: UpstreamSettings) -> Self {
        let now = Instant::now();
        Self {
            started: now,
            slots: Arc::new(Semaphore::new(settings.slots)),
            state: Mutex::new(Shared {
                behaviour: Behaviour::default(),
                load: UpstreamLoad::default(),
                runs: RunRecords::new(settings.kept_runs),
                rng: SmallRng::seed_from_u64(settings.seed),
                warm_since: now,
            }),
            settings,
        }
    }
}

/// Handle to one upstream. Dropping it stops the upstream and cuts its connections.
pub struct Upstream {
    address: SocketAddr,
    inner: Arc<Inner>,
    orders: watch::Sender<ConnectionOrder>,
}

impl Upstream {
    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// When it was started; times of its runs count from here.
    #[must_use]
    pub fn started(&self) -> Instant {
        self.inner.started
    }

    /// Its name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.inner.settings.name
    }

    /// Changes how it behaves: the speed of calls in progress too, all else from the next call on.
    pub fn change_behaviour(&self, change: impl FnOnce(&mut Behaviour)) {
        let mut shared = self.inner.lock();
        let was_cold = shared.behaviour.cold_start;
        change(&mut shared.behaviour);
        if shared.behaviour.cold_start != was_cold {
            shared.warm_since = Instant::now();
        }
    }

    /// How it behaves now.
    #[must_use]
    pub fn behaviour(&self) -> Behaviour {
        self.inner.lock().behaviour.clone()
    }

    /// Its load now.
    #[must_use]
    pub fn load(&self) -> UpstreamLoad {
        self.inner.lock().load
    }

    /// Records of the runs, oldest first.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.inner.lock().runs.to_vec()
    }

    /// Number of runs since the start, including those whose records are gone.
    #[must_use]
    pub fn run_count(&self) -> u64 {
        self.inner.lock().runs.count()
    }

    /// Closes connections that wait for a request, and others after their present answer, as a
    /// server with a short idle limit does.
    pub fn close_idle_connections(&self) {
        self.orders.send_modify(|order| {
            if let ConnectionOrder::Serve(number) = order {
                *number += 1;
            }
        });
    }

    /// Stops listening and cuts every connection. The records remain readable.
    pub fn stop(&self) {
        self.orders.send_replace(ConnectionOrder::Stop);
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.stop();
    }
}

//! The state that the parts of a daemon share.

use std::{collections, net, sync, sync::atomic};

use gl_config::daemon as settings;
use gl_intake::{budget, memory};
use gl_lease::membership;
use gl_meter::{export, metrics, totals};
use gl_model::{config, daemon, id, time, vm};
use gl_peer::mesh;
use gl_route::{call, router, service};
use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot};

/// The state of one daemon. Locks are held for single steps and never across I/O.
pub struct Node {
    /// The memory for the bodies of calls and of operators' requests.
    pub bodies: sync::Arc<budget::Budget>,
    /// The memory for the bodies of responses.
    pub answers: sync::Arc<budget::Budget>,
    /// The settings of this daemon.
    pub settings: settings::Settings,
    /// The identity and the addresses of this daemon.
    pub me: daemon::Row,
    /// The router of calls.
    pub router: Mutex<router::Router>,
    /// The counts of calls by outcome, of this daemon and its peers.
    pub totals: Mutex<totals::Totals>,
    /// The exported metrics.
    pub metrics: metrics::Metrics,
    /// The shared configuration in force.
    pub config: Mutex<config::Row>,
    /// The platform's list of VMs as last read.
    pub vm_list: Mutex<vm::List>,
    /// The VMs drained by operators, as last read.
    pub drained: Mutex<collections::BTreeSet<id::VmId>>,
    /// The known daemons.
    pub members: Mutex<membership::View>,
    /// The shards that this daemon owns.
    pub shards: Mutex<collections::BTreeSet<id::DomainId>>,
    /// Whether the daemon has become ready to take calls since its start. It is never reset.
    pub ready: atomic::AtomicBool,
    /// Whether a shutdown was requested.
    pub draining: atomic::AtomicBool,
    /// Whether new calls are refused. It is set during a shutdown, once the load balancer has had
    /// time to notice it.
    pub refuses_calls: atomic::AtomicBool,
    /// Notified when a shutdown is requested.
    pub stop_requested: Notify,
    /// Notified when a plan is confirmed at this daemon.
    pub plan_confirmed: Notify,
    /// The number of calls in progress.
    pub in_flight: atomic::AtomicUsize,
    /// The number of the next call. Calls are numbered from 0 in the order of their arrival.
    pub next_call: atomic::AtomicU64,
    mesh: sync::OnceLock<mesh::Mesh>,
    waiters: Mutex<collections::BTreeMap<id::CallId, oneshot::Sender<call::Decision>>>,
}

/// Returns the router's limits under a configuration.
pub const fn router_limits(shared: &config::Shared) -> service::Limits {
    service::Limits {
        queue_calls: shared.limits.queue_calls,
        retry_share: shared.limits.retry_share,
        eject_share: shared.limits.eject_share,
        headroom: shared.limits.headroom,
        has_admission: true,
    }
}

impl Node {
    /// Creates the state of a daemon that starts at `now`.
    ///
    /// # Errors
    ///
    /// Returns an error if the metrics cannot be set up.
    pub fn new(
        settings: settings::Settings,
        listen: net::SocketAddr,
        mesh: net::SocketAddr,
        now: time::Timestamp,
    ) -> Result<Self, export::Error> {
        let me = daemon::Row {
            id: id::DaemonId(format!("{}-{}", settings.daemon, now.0)),
            domain: settings.domain.clone(),
            listen,
            mesh,
            config: id::Version::default(),
            heartbeat: now,
        };
        let content = config::Shared::default();
        let router = router::Settings {
            limits: router_limits(&content),
            seed: now.0,
            ..router::Settings::default()
        };
        let number = id::Version::default();
        let txn = id::TxnId::from("");
        let memory = memory::Division::new(settings.limits.memory_mb << 20);
        let budget =
            |limit| sync::Arc::new(budget::Budget::new(budget::Settings::with_limit(limit)));
        Ok(Self {
            bodies: budget(memory.calls),
            answers: budget(memory.answers),
            settings,
            me,
            router: Mutex::new(router::Router::new(router)),
            totals: Mutex::default(),
            metrics: metrics::Metrics::new()?,
            config: Mutex::new(config::Row { number, txn, content }),
            vm_list: Mutex::default(),
            drained: Mutex::default(),
            members: Mutex::default(),
            shards: Mutex::default(),
            ready: atomic::AtomicBool::new(false),
            draining: atomic::AtomicBool::new(false),
            refuses_calls: atomic::AtomicBool::new(false),
            stop_requested: Notify::new(),
            plan_confirmed: Notify::new(),
            in_flight: atomic::AtomicUsize::new(0),
            next_call: atomic::AtomicU64::new(0),
            mesh: sync::OnceLock::new(),
            waiters: Mutex::default(),
        })
    }

    /// Returns this daemon's row with a heartbeat at `now`.
    pub fn row(&self, now: time::Timestamp) -> daemon::Row {
        daemon::Row { heartbeat: now, config: self.config.lock().number, ..self.me.clone() }
    }

    /// Sets the mesh; later calls have no effect.
    pub fn set_mesh(&self, mesh: mesh::Mesh) {
        drop(self.mesh.set(mesh));
    }

    /// Returns the mesh once it is set.
    pub fn mesh(&self) -> Option<&mesh::Mesh> {
        self.mesh.get()
    }

    /// Sends a frame to all peers.
    pub fn broadcast(&self, frame: &gl_peer::frame::Frame) {
        if let Some(mesh) = self.mesh.get() {
            mesh.broadcast(frame);
        }
    }

    /// Puts a configuration in force if it is newer; returns whether it was.
    pub fn update_config(&self, row: &config::Row) -> bool {
        let mut config = self.config.lock();
        if row.number <= config.number {
            return false;
        }
        *config = row.clone();
        drop(config);
        self.router.lock().set_limits(router_limits(&row.content));
        log::info!("config={} state=in-force", row.number);
        true
    }

    /// Returns whether a shutdown was requested.
    pub fn is_draining(&self) -> bool {
        self.draining.load(atomic::Ordering::Relaxed)
    }

    /// Returns whether this daemon may receive calls.
    pub fn is_ready(&self) -> bool {
        self.ready.load(atomic::Ordering::Relaxed) && !self.is_draining()
    }

    /// Returns a receiver for the decision on a queued call. The lock on the router that was taken
    /// to queue the call must still be held, so that the receiver exists before the queue is
    /// dispatched.
    pub fn register_waiter(&self, call: &id::CallId) -> oneshot::Receiver<call::Decision> {
        let (sender, receiver) = oneshot::channel();
        self.waiters.lock().insert(call.clone(), sender);
        receiver
    }

    /// Removes a queued call whose caller has disconnected.
    pub fn cancel_queued(&self, service: &id::JobId, call: &id::CallId) {
        self.waiters.lock().remove(call);
        self.router.lock().cancel(service, call);
    }

    /// Sends the router's decisions to queued calls that got a slot or are refused.
    pub fn dispatch_queue(&self, now: time::Timestamp) {
        let dequeued = self.router.lock().dispatch_queue(now);
        for dequeued in dequeued {
            let waiter = self.waiters.lock().remove(&dequeued.call);
            let undelivered = match waiter {
                Some(waiter) => waiter.send(dequeued.decision).err(),
                None => Some(dequeued.decision),
            };
            if let Some(call::Decision::Send(assignment)) = undelivered {
                self.router.lock().finish(
                    &assignment,
                    gl_route::outcome::AttemptOutcome::Cancelled,
                    now,
                );
            }
        }
    }
}

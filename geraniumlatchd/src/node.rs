//! What the parts of one daemon share.

use std::{collections, net, sync, sync::atomic};

use gl_config::daemon as settings;
use gl_lease::membership;
use gl_meter::{export, metrics, totals};
use gl_model::{config, daemon, id, time, vm};
use gl_peer::mesh;
use gl_route::{call, router, service};
use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot};

/// The state of one daemon. Locks are held for single steps and never across I/O.
pub struct Node {
    /// Its settings.
    pub settings: settings::Settings,
    /// Its identity and addresses.
    pub me: daemon::Row,
    /// Where calls go.
    pub router: Mutex<router::Router>,
    /// How calls ended, here and at the peers.
    pub board: Mutex<totals::Totals>,
    /// The exported metrics.
    pub metrics: metrics::Metrics,
    /// The shared configuration in force.
    pub config: Mutex<config::Row>,
    /// The platform's list of VMs as last read.
    pub list: Mutex<vm::List>,
    /// The VMs that operators keep from new work, as last read.
    pub drained: Mutex<collections::BTreeSet<id::VmId>>,
    /// The daemons that are known.
    pub members: Mutex<membership::View>,
    /// The shards that this daemon owns.
    pub shards: Mutex<collections::BTreeSet<id::DomainId>>,
    /// Whether calls may be sent here.
    pub ready: atomic::AtomicBool,
    /// Whether a stop was asked for.
    pub draining: atomic::AtomicBool,
    /// Whether new calls are refused, as the balancer has had time to notice the stop.
    pub closed: atomic::AtomicBool,
    /// Wakes what waits for a stop.
    pub stop: Notify,
    /// Wakes the control loop after a confirmed plan.
    pub stirred: Notify,
    /// Calls in progress.
    pub flight: atomic::AtomicUsize,
    /// Calls that came in.
    pub calls: atomic::AtomicU64,
    mesh: sync::OnceLock<mesh::Mesh>,
    waiters: Mutex<collections::BTreeMap<id::CallId, oneshot::Sender<call::Decision>>>,
}

/// The limits of the router under a configuration.
pub const fn limits(shared: &config::Shared) -> service::Limits {
    service::Limits {
        queue_calls: shared.limits.queue_calls,
        retry_share: shared.limits.retry_share,
        eject_share: shared.limits.eject_share,
        headroom: shared.limits.headroom,
        has_admission: true,
    }
}

impl Node {
    /// A daemon that has just started at `now`.
    ///
    /// # Errors
    ///
    /// If the metrics can't be set up.
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
            limits: limits(&content),
            seed: now.0,
            ..router::Settings::default()
        };
        let number = id::Version::default();
        let txn = id::TxnId::from("");
        Ok(Self {
            settings,
            me,
            router: Mutex::new(router::Router::new(router)),
            board: Mutex::default(),
            metrics: metrics::Metrics::new()?,
            config: Mutex::new(config::Row { number, txn, content }),
            list: Mutex::default(),
            drained: Mutex::default(),
            members: Mutex::default(),
            shards: Mutex::default(),
            ready: atomic::AtomicBool::new(false),
            draining: atomic::AtomicBool::new(false),
            closed: atomic::AtomicBool::new(false),
            stop: Notify::new(),
            stirred: Notify::new(),
            flight: atomic::AtomicUsize::new(0),
            calls: atomic::AtomicU64::new(0),
            mesh: sync::OnceLock::new(),
            waiters: Mutex::default(),
        })
    }

    /// This daemon's row at `now`.
    pub fn row(&self, now: time::Timestamp) -> daemon::Row {
        daemon::Row { heartbeat: now, config: self.config.lock().number, ..self.me.clone() }
    }

    /// Sets the mesh, once.
    pub fn set_mesh(&self, mesh: mesh::Mesh) {
        drop(self.mesh.set(mesh));
    }

    /// The mesh, once it is set.
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
    pub fn take_config(&self, row: &config::Row) -> bool {
        let mut config = self.config.lock();
        if row.number <= config.number {
            return false;
        }
        *config = row.clone();
        drop(config);
        self.router.lock().set_limits(limits(&row.content));
        log::info!("config={} state=in-force", row.number);
        true
    }

    /// Whether a stop was asked for.
    pub fn is_draining(&self) -> bool {
        self.draining.load(atomic::Ordering::Relaxed)
    }

    /// Whether calls may be sent here.
    pub fn is_ready(&self) -> bool {
        self.ready.load(atomic::Ordering::Relaxed) && !self.is_draining()
    }

    /// Waits for the verdict on a queued call. The receiver must be taken before the queue can
    /// be woken, which the router's lock in `admit` ensures.
    pub fn wait(&self, call: &id::CallId) -> oneshot::Receiver<call::Decision> {
        let (sender, receiver) = oneshot::channel();
        self.waiters.lock().insert(call.clone(), sender);
        receiver
    }

    /// Forgets a queued call whose caller went away.
    pub fn forget(&self, service: &id::JobId, call: &id::CallId) {
        self.waiters.lock().remove(call);
        self.router.lock().cancel(service, call);
    }

    /// Tells queued calls that got a slot, or were given up.
    pub fn wake(&self, now: time::Timestamp) {
        let woken = self.router.lock().dispatch_queue(now);
        for woken in woken {
            let waiter = self.waiters.lock().remove(&woken.call);
            let unheard = match waiter {
                Some(waiter) => waiter.send(woken.decision).err(),
                None => Some(woken.decision),
            };
            if let Some(call::Decision::Send(ticket)) = unheard {
                self.router.lock().finish(
                    &ticket,
                    gl_route::outcome::AttemptOutcome::Cancelled,
                    now,
                );
            }
        }
    }
}

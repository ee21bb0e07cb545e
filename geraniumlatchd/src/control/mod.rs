//! The control side of a daemon: shards, the mesh, and all that is polled.
//!
//! One loop holds the state. [`poll`] and [`owners`] start I/O whose results come back as
//! [`Event`]s, and each tick runs the owners' systems over what came in.

pub mod owners;
mod peers;
mod poll;
mod readiness;
pub mod sweep;

use std::{net, sync, sync::atomic, time};

use gl_model::{config, daemon, id, shard, vm};
use gl_peer::{frame, mesh};
use gl_platform::Table as _;
use gl_schedule::owner;
use tokio::sync::{mpsc, oneshot};

use crate::{clock, error, node, proxy};

/// The length of a tick.
const TICK: time::Duration = time::Duration::from_millis(25);
/// How long the platform and the peers are tried at the start.
const START_TIMEOUT: time::Duration = time::Duration::from_secs(6);

/// A shard's row as read.
pub struct ShardRow {
    /// The shard.
    pub shard: id::DomainId,
    /// The row, if there is one.
    pub row: Option<shard::Row>,
    /// Its version.
    pub version: id::Version,
}

/// What the control loop learns.
pub enum Event {
    /// The platform's list of VMs, with the operators' drains applied.
    VmList(vm::List),
    /// The configuration in the table.
    Config(Box<config::Row>),
    /// All daemons' rows.
    Members(Vec<daemon::Row>),
    /// All shards' rows.
    Shards(Vec<ShardRow>),
    /// A shard was claimed, and its rows were read.
    Claimed(Box<owners::Claimed>),
    /// A claim of a shard failed.
    ClaimFailed(id::DomainId),
    /// A commit of an owned shard took effect.
    Committed {
        /// The shard.
        shard: id::DomainId,
        /// The epoch in which it was made.
        epoch: id::Epoch,
        /// Its version.
        version: id::Version,
    },
    /// An owned shard has another owner by now.
    Lost {
        /// The shard.
        shard: id::DomainId,
        /// The epoch that ended.
        epoch: id::Epoch,
    },
    /// Something an owner takes in.
    Input {
        /// The shard.
        shard: id::DomainId,
        /// The epoch in which it was asked for; none if it is true in any.
        epoch: Option<id::Epoch>,
        /// The input.
        input: Box<owner::Input>,
    },
    /// A peer's frame.
    Peer(mesh::Received),
    /// Give all shards back and tell when it is done.
    Release(oneshot::Sender<()>),
}

/// The way into the control loop.
#[derive(Clone)]
pub struct Handle {
    events: mpsc::UnboundedSender<Event>,
}

impl Handle {
    /// Gives all shards back, or gives up after `limit`.
    pub async fn release(&self, limit: time::Duration) {
        let (done, released) = oneshot::channel();
        if self.events.send(Event::Release(done)).is_ok() {
            let _ = tokio::time::timeout(limit, released).await;
        }
    }
}

/// What I/O tasks need.
#[derive(Clone)]
pub struct Io {
    /// The daemon.
    pub node: sync::Arc<node::Node>,
    /// The platform.
    pub platform: gl_platform::Http,
    /// Where results go.
    pub events: mpsc::UnboundedSender<Event>,
}

/// Starts the mesh, the polling and the control loop.
///
/// # Errors
///
/// If the mesh's socket can't be used, or neither the platform nor a peer can be reached.
pub async fn start(
    node: &sync::Arc<node::Node>,
    socket: net::TcpListener,
) -> Result<Handle, error::Error> {
    let (events, inbox) = mpsc::unbounded_channel();
    let platform = proxy::server::platform_client(node).await;
    let io = Io { node: sync::Arc::clone(node), platform, events: events.clone() };
    let snapshot = peers::snapshot(node);
    let started = mesh::Mesh::start(&node.me, socket, snapshot);
    let (mesh, frames) =
        started.map_err(|e| error::Error::Setup { part: "the mesh", detail: e.to_string() })?;
    node.set_mesh(mesh);
    peers::update_peers(node, clock::now());
    let mut frames = frames;
    await_contact(&io, &mut frames).await?;
    peers::forward_frames(frames, events.clone());
    poll::start(&io);
    peers::start(node);
    ntex::rt::spawn(run(io, inbox)).detach();
    Ok(Handle { events })
}

/// Waits until the platform answers, or a peer greets.
async fn await_contact(
    io: &Io,
    frames: &mut mpsc::Receiver<mesh::Received>,
) -> Result<(), error::Error> {
    let until = tokio::time::Instant::now() + START_TIMEOUT;
    loop {
        let detail = match io.platform.read(gl_model::key::CONFIG).await {
            Ok(_) => return Ok(()),
            Err(error) => error.to_string(),
        };
        let received = tokio::time::timeout(time::Duration::from_millis(250), frames.recv());
        if let Ok(Some(received)) = received.await {
            let is_hello = matches!(received.frame, frame::Frame::Hello(_));
            let _ = io.events.send(Event::Peer(received));
            if is_hello {
                return Ok(());
            }
        }
        if tokio::time::Instant::now() >= until {
            return Err(error::Error::Unreachable { detail });
        }
    }
}

async fn run(io: Io, mut inbox: mpsc::UnboundedReceiver<Event>) {
    let mut owners = owners::Owners::new(io.clone());
    let mut readiness = readiness::Readiness::new(clock::now());
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        while let Ok(event) = inbox.try_recv() {
            readiness.record(&event);
            handle(&io.node, &mut owners, event);
        }
        let now = clock::now();
        owners.tick(now);
        io.node.dispatch_queue(now);
        if readiness.is_ready(&io.node, now) && !io.node.ready.swap(true, atomic::Ordering::Relaxed)
        {
            log::info!("daemon={} state=ready", io.node.me.id);
        }
    }
}

fn handle(node: &node::Node, owners: &mut owners::Owners, event: Event) {
    let now = clock::now();
    match event {
        Event::VmList(list) => {
            node.router.lock().update_vms(&list, now);
            owners.update_vms(&list);
            *node.vm_list.lock() = list;
        }
        Event::Config(row) => {
            if node.update_config(&row) {
                owners.update_config(&row.content);
                node.broadcast(&frame::Frame::Config(row));
            }
        }
        Event::Members(rows) => peers::record_members(node, &rows, now),
        Event::Shards(rows) => owners.update_rows(rows, now),
        Event::Claimed(claimed) => owners.claim_succeeded(*claimed, now),
        Event::ClaimFailed(shard) => owners.claim_failed(&shard),
        Event::Committed { shard, epoch, version } => {
            owners.push_input(&shard, Some(epoch), owner::Input::Committed(version));
        }
        Event::Lost { shard, epoch } => owners.remove_shard(&shard, epoch),
        Event::Input { shard, epoch, input } => owners.push_input(&shard, epoch, *input),
        Event::Peer(received) => peers::handle_frame(node, owners, received, now),
        Event::Release(done) => owners.release(done),
    }
}

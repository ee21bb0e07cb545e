//! The control loop of a daemon, which runs the shards, the mesh and the polling of the platform.
//!
//! A single task owns the state. [`poll`] and [`owners`] start I/O, whose results arrive as
//! [`Event`]s. At each tick, the owners' systems run over the events received since the previous
//! one.

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

/// The interval of the control loop.
const TICK: time::Duration = time::Duration::from_millis(25);
/// The time after which a start without a reply from the platform or a peer fails.
const START_TIMEOUT: time::Duration = time::Duration::from_secs(6);

/// A shard's row as read.
pub struct ShardRow {
    /// The shard.
    pub shard: id::DomainId,
    /// The row, or `None` if there is none or it cannot be parsed.
    pub row: Option<shard::Row>,
    /// The version of the row; zero if there is none.
    pub version: id::Version,
}

/// An event that the control loop handles.
pub enum Event {
    /// The platform's list of VMs, with the operators' drains applied.
    VmList(vm::List),
    /// The configuration in the table.
    Config(Box<config::Row>),
    /// The rows of all daemons.
    Members(Vec<daemon::Row>),
    /// The rows of all shards.
    Shards(Vec<ShardRow>),
    /// A shard was claimed, and its rows were read.
    Claimed(Box<owners::Claimed>),
    /// A claim of a shard failed.
    ClaimFailed(id::DomainId),
    /// A commit of an owned shard took effect.
    Committed {
        /// The shard.
        shard: id::DomainId,
        /// The epoch in which the commit was made.
        epoch: id::Epoch,
        /// The version of the commit.
        version: id::Version,
    },
    /// An owned shard has another owner, or was released.
    Lost {
        /// The shard.
        shard: id::DomainId,
        /// The epoch that ended.
        epoch: id::Epoch,
    },
    /// An input for the owner of a shard.
    Input {
        /// The shard.
        shard: id::DomainId,
        /// The epoch in which the input was requested; `None` if it is valid in any epoch.
        epoch: Option<id::Epoch>,
        /// The input.
        input: Box<owner::Input>,
    },
    /// A frame from a peer.
    Peer(mesh::Received),
    /// A request to release all shards and to notify the sender afterwards.
    Release(oneshot::Sender<()>),
}

/// A handle to the control loop.
#[derive(Clone)]
pub struct Handle {
    events: mpsc::UnboundedSender<Event>,
}

impl Handle {
    /// Releases all shards; returns at the latest after `limit`.
    pub async fn release(&self, limit: time::Duration) {
        let (done, released) = oneshot::channel();
        if self.events.send(Event::Release(done)).is_ok() {
            let _ = tokio::time::timeout(limit, released).await;
        }
    }
}

/// The handles that I/O tasks share.
#[derive(Clone)]
pub struct Io {
    /// The daemon.
    pub node: sync::Arc<node::Node>,
    /// The client of the platform.
    pub platform: gl_platform::Http,
    /// The channel for results.
    pub events: mpsc::UnboundedSender<Event>,
}

/// Starts the mesh, the polling and the control loop.
///
/// # Errors
///
/// Returns an error if the mesh's socket cannot be used, or neither the platform nor a peer can be
/// reached.
pub async fn start(
    node: &sync::Arc<node::Node>,
    socket: net::TcpListener,
) -> Result<Handle, error::Error> {
    let (events, inbox) = mpsc::unbounded_channel();
    let platform = proxy::server::platform_client(node).await?;
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

/// Waits until the platform replies or a peer sends its hello frame.
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
        Event::ClaimFailed(shard) => owners.end_claim(&shard),
        Event::Committed { shard, epoch, version } => {
            owners.push(&shard, Some(epoch), owner::Input::Committed(version));
        }
        Event::Lost { shard, epoch } => owners.remove_shard(&shard, epoch),
        Event::Input { shard, epoch, input } => owners.push(&shard, epoch, *input),
        Event::Peer(received) => peers::handle_frame(node, owners, received, now),
        Event::Release(done) => owners.release(done),
    }
}

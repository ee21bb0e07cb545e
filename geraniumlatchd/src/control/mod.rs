//! The control side of a daemon: shards, the mesh, and all that is polled.
//!
//! One loop holds the state. [`poll`] and [`owners`] start I/O whose results come back as
//! [`Event`]s, and each tick runs the owners' systems over what came in.

mod gossip;
pub mod owners;
mod poll;
mod ready;
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
const START_LIMIT: time::Duration = time::Duration::from_secs(6);

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
    List(vm::List),
    /// The configuration in the table.
    Config(Box<config::Row>),
    /// All daemons' rows.
    Members(Vec<daemon::Row>),
    /// All shards' rows.
    Shards(Vec<ShardRow>),
    /// A shard was claimed, and its rows were read.
    Claimed(Box<owners::Claimed>),
    /// A claim of a shard failed.
    Unclaimed(id::DomainId),
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
    let platform = proxy::server::platform(node).await;
    let io = Io { node: sync::Arc::clone(node), platform, events: events.clone() };
    let greeting = gossip::greeting(node);
    let started = mesh::Mesh::start(&node.me, socket, greeting);
    let (mesh, frames) =
        started.map_err(|e| error::Error::Setup { what: "the mesh", detail: e.to_string() })?;
    node.set_mesh(mesh);
    gossip::set_peers(node, clock::now());
    let mut frames = frames;
    reach(&io, &mut frames).await?;
    gossip::forward(frames, events.clone());
    poll::start(&io);
    gossip::start(node);
    ntex::rt::spawn(run(io, inbox)).detach();
    Ok(Handle { events })
}

/// Waits until the platform answers, or a peer greets.
async fn reach(io: &Io, frames: &mut mpsc::Receiver<mesh::Received>) -> Result<(), error::Error> {
    let until = tokio::time::Instant::now() + START_LIMIT;
    loop {
        let detail = match io.platform.read(gl_model::key::CONFIG).await {
            Ok(_) => return Ok(()),
            Err(error) => error.to_string(),
        };
        let pause = tokio::time::timeout(time::Duration::from_millis(250), frames.recv());
        if let Ok(Some(received)) = pause.await {
            let is_greeting = matches!(received.frame, frame::Frame::Hello(_));
            let _ = io.events.send(Event::Peer(received));
            if is_greeting {
                return Ok(());
            }
        }
        if tokio::time::Instant::now() >= until {
            return Err(error::Error::Alone { detail });
        }
    }
}

async fn run(io: Io, mut inbox: mpsc::UnboundedReceiver<Event>) {
    let mut owners = owners::Owners::new(io.clone());
    let mut ready = ready::Ready::new(clock::now());
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        while let Ok(event) = inbox.try_recv() {
            ready.note(&event);
            take(&io.node, &mut owners, event);
        }
        let now = clock::now();
        owners.tick(now);
        io.node.wake(now);
        if ready.is_reached(&io.node, now) && !io.node.ready.swap(true, atomic::Ordering::Relaxed) {
            log::info!("daemon={} state=ready", io.node.me.id);
        }
    }
}

fn take(node: &node::Node, owners: &mut owners::Owners, event: Event) {
    let now = clock::now();
    match event {
        Event::List(list) => {
            node.router.lock().update_vms(&list, now);
            owners.take_list(&list);
            *node.list.lock() = list;
        }
        Event::Config(row) => {
            if node.take_config(&row) {
                owners.take_config(&row.content);
                node.broadcast(&frame::Frame::Config(row));
            }
        }
        Event::Members(rows) => gossip::take_members(node, &rows, now),
        Event::Shards(rows) => owners.take_rows(rows, now),
        Event::Claimed(claimed) => owners.take_claimed(*claimed, now),
        Event::Unclaimed(shard) => owners.take_unclaimed(&shard),
        Event::Committed { shard, epoch, version } => {
            owners.input(&shard, Some(epoch), owner::Input::Committed(version));
        }
        Event::Lost { shard, epoch } => owners.drop_shard(&shard, epoch),
        Event::Input { shard, epoch, input } => owners.input(&shard, epoch, *input),
        Event::Peer(received) => gossip::take(node, owners, received, now),
        Event::Release(done) => owners.release(done),
    }
}

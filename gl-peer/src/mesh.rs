//! The connections to all peers.

use std::{collections, net, sync};

use gl_model::{daemon, id};
use parking_lot::Mutex;
use tokio::sync::mpsc;

use crate::{error, frame, receiver, sender};

/// The most frames that are queued for one peer. A slower peer gets a new connection, which begins
/// with a snapshot.
const QUEUE_FRAMES: usize = 256;
/// The most received frames that are queued for this daemon.
const INBOX_FRAMES: usize = 1_024;

/// A received frame and its sender.
#[derive(Clone, Debug, PartialEq)]
pub struct Received {
    /// The sender.
    pub from: id::DaemonId,
    /// The frame.
    pub frame: frame::Frame,
}

/// Returns the frames with which a new connection begins after the sender's `Hello`.
pub type Snapshot = sync::Arc<dyn Fn() -> Vec<frame::Frame> + Send + Sync>;

/// The bytes that the mesh sent and received, without the overhead of the WebSocket protocol.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Bytes sent.
    pub sent: sync::atomic::AtomicU64,
    /// Bytes received.
    pub received: sync::atomic::AtomicU64,
}

struct Connection {
    queue: mpsc::Sender<sync::Arc<Vec<u8>>>,
    task: tokio::task::JoinHandle<()>,
}

/// The mesh of one daemon.
pub struct Mesh {
    local: daemon::Row,
    snapshot: Snapshot,
    connections: Mutex<collections::BTreeMap<net::SocketAddr, Connection>>,
    traffic: sync::Arc<Traffic>,
}

impl Mesh {
    /// Starts to accept peers on `socket` and returns the mesh and the channel of received frames.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket cannot be used.
    pub fn start(
        local: &daemon::Row,
        socket: net::TcpListener,
        snapshot: Snapshot,
    ) -> Result<(Self, mpsc::Receiver<Received>), error::Error> {
        let (received, inbox) = mpsc::channel(INBOX_FRAMES);
        let traffic = sync::Arc::new(Traffic::default());
        receiver::start(local.mesh, socket, received, sync::Arc::clone(&traffic))?;
        let connections = Mutex::new(collections::BTreeMap::new());
        Ok((Self { local: local.clone(), snapshot, connections, traffic }, inbox))
    }

    /// Connects to the peers at `addresses` and closes the connections to all others.
    pub fn set_peers(&self, addresses: &[net::SocketAddr]) {
        let mut connections = self.connections.lock();
        connections.retain(|address, connection| {
            let is_kept = addresses.contains(address);
            if !is_kept {
                connection.task.abort();
            }
            is_kept
        });
        for address in addresses {
            let is_own = *address == self.local.mesh;
            if !is_own && !connections.contains_key(address) {
                connections.insert(*address, self.connect(*address));
            }
        }
    }

    fn connect(&self, address: net::SocketAddr) -> Connection {
        let (queue, frames) = mpsc::channel(QUEUE_FRAMES);
        let snapshot = sync::Arc::clone(&self.snapshot);
        let hello = frame::Frame::Hello(self.local.clone());
        let traffic = sync::Arc::clone(&self.traffic);
        let task = tokio::spawn(sender::run(address, hello, snapshot, frames, traffic));
        Connection { queue, task }
    }

    /// Sends a frame to all peers. A peer whose queue is full does not get the frame; it gets a
    /// new connection, which begins with a snapshot.
    pub fn broadcast(&self, frame: &frame::Frame) {
        let Ok(bytes) = frame::encode(frame) else {
            return;
        };
        let bytes = sync::Arc::new(bytes);
        let mut connections = self.connections.lock();
        let mut slow = Vec::new();
        for (address, connection) in connections.iter() {
            if connection.queue.try_send(sync::Arc::clone(&bytes)).is_err() {
                slow.push(*address);
            }
        }
        for address in slow {
            if let Some(connection) = connections.remove(&address) {
                connection.task.abort();
            }
            connections.insert(address, self.connect(address));
        }
    }

    /// Returns the bytes sent and received so far.
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }
}

impl Drop for Mesh {
    fn drop(&mut self) {
        for connection in self.connections.lock().values() {
            connection.task.abort();
        }
    }
}

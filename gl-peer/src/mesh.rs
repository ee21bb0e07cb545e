//! The connections to all peers.

use std::{collections, net, sync};

use gl_model::{daemon, id};
use parking_lot::Mutex;
use tokio::sync::mpsc;

use crate::{dial, error, frame, listen};

/// Frames that wait for one peer at most; a peer that is slower is dialled anew and gets all
/// that is known.
const QUEUE_FRAMES: usize = 256;
/// Frames that wait for the receiving daemon at most.
const INBOX_FRAMES: usize = 1_024;

/// A frame and who sent it.
#[derive(Clone, Debug, PartialEq)]
pub struct Received {
    /// The sender.
    pub from: id::DaemonId,
    /// What it said.
    pub frame: frame::Frame,
}

/// Makes all that a new connection begins with.
pub type Snapshot = sync::Arc<dyn Fn() -> Vec<frame::Frame> + Send + Sync>;

/// Bytes that the mesh sent and received, without the connections' own framing.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Bytes sent.
    pub sent: sync::atomic::AtomicU64,
    /// Bytes received.
    pub received: sync::atomic::AtomicU64,
}

struct Link {
    queue: mpsc::Sender<sync::Arc<Vec<u8>>>,
    task: tokio::task::JoinHandle<()>,
}

/// The mesh of one daemon.
pub struct Mesh {
    me: daemon::Row,
    greeting: Snapshot,
    links: Mutex<collections::BTreeMap<net::SocketAddr, Link>>,
    traffic: sync::Arc<Traffic>,
}

impl Mesh {
    /// Listens for peers on `socket` and returns the frames that they send.
    ///
    /// # Errors
    ///
    /// If the socket can't be used.
    pub fn start(
        me: &daemon::Row,
        socket: net::TcpListener,
        greeting: Snapshot,
    ) -> Result<(Self, mpsc::Receiver<Received>), error::Error> {
        let (sender, inbox) = mpsc::channel(INBOX_FRAMES);
        let traffic = sync::Arc::new(Traffic::default());
        listen::start(me.mesh, socket, sender, sync::Arc::clone(&traffic))?;
        let links = Mutex::new(collections::BTreeMap::new());
        Ok((Self { me: me.clone(), greeting, links, traffic }, inbox))
    }

    /// Dials the peers at `addresses` and hangs up on all others.
    pub fn set_peers(&self, addresses: &[net::SocketAddr]) {
        let mut links = self.links.lock();
        links.retain(|address, link| {
            let is_kept = addresses.contains(address);
            if !is_kept {
                link.task.abort();
            }
            is_kept
        });
        for address in addresses {
            let is_own = *address == self.me.mesh;
            if !is_own && !links.contains_key(address) {
                links.insert(*address, self.dial(*address));
            }
        }
    }

    fn dial(&self, address: net::SocketAddr) -> Link {
        let (queue, frames) = mpsc::channel(QUEUE_FRAMES);
        let greeting = sync::Arc::clone(&self.greeting);
        let hello = frame::Frame::Hello(self.me.clone());
        let traffic = sync::Arc::clone(&self.traffic);
        let task = tokio::spawn(dial::run(address, hello, greeting, frames, traffic));
        Link { queue, task }
    }

    /// Sends a frame to all peers. A peer whose queue is full misses it, and gets all that is
    /// known on its next connection.
    pub fn broadcast(&self, frame: &frame::Frame) {
        let Ok(bytes) = frame::encode(frame) else {
            return;
        };
        let bytes = sync::Arc::new(bytes);
        let mut links = self.links.lock();
        let mut slow = Vec::new();
        for (address, link) in links.iter() {
            if link.queue.try_send(sync::Arc::clone(&bytes)).is_err() {
                slow.push(*address);
            }
        }
        for address in slow {
            if let Some(link) = links.remove(&address) {
                link.task.abort();
            }
            links.insert(address, self.dial(address));
        }
    }

    /// The bytes sent and received so far.
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }
}

impl Drop for Mesh {
    fn drop(&mut self) {
        for link in self.links.lock().values() {
            link.task.abort();
        }
    }
}

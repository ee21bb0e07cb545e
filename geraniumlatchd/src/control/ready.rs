//! When a new daemon may take calls: once it knows the configuration and the routes that the
//! others use.

use std::collections;

use gl_model::{id, time};

use crate::{control, node};

/// How long a daemon without an answer of the platform asks its peers for the highest
/// configuration.
const PEERS_ASKED: time::Span = time::Span::seconds(2);
/// How long the routes of shards with another owner are waited for.
const ROUTES_AWAITED: time::Span = time::Span::seconds(8);

/// What is known so far.
pub struct Ready {
    since: time::Timestamp,
    read: bool,
    peer: bool,
    shards: Option<collections::BTreeSet<id::DomainId>>,
}

impl Ready {
    /// A daemon that started at `now`.
    pub const fn new(now: time::Timestamp) -> Self {
        Self { since: now, read: false, peer: false, shards: None }
    }

    /// Notes what an event tells.
    pub fn note(&mut self, event: &control::Event) {
        match event {
            control::Event::Config(_) => self.read = true,
            control::Event::Peer(received) => {
                self.peer |= matches!(received.frame, gl_peer::frame::Frame::Config(_));
            }
            control::Event::Shards(rows) => {
                let owned = rows
                    .iter()
                    .filter(|row| row.row.as_ref().is_some_and(|row| row.owner.is_some()));
                self.shards = Some(owned.map(|row| row.shard.clone()).collect());
            }
            _ => {}
        }
    }

    /// Whether calls may be taken.
    pub fn is_reached(&self, node: &node::Node, now: time::Timestamp) -> bool {
        let waited = now.since(self.since);
        let configured = self.read || self.peer && waited >= PEERS_ASKED;
        configured && (self.knows_routes(node) || waited >= ROUTES_AWAITED)
    }

    fn knows_routes(&self, node: &node::Node) -> bool {
        let router = node.router.lock();
        let known = |shards: &collections::BTreeSet<id::DomainId>| {
            shards.iter().all(|shard| router.has_routes(shard))
        };
        match &self.shards {
            Some(shards) => known(shards),
            None => self.peer,
        }
    }
}

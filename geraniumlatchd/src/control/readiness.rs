//! The readiness of a new daemon: it may take calls once it has the configuration in force and the
//! routes that the other daemons use.

use std::collections;

use gl_model::{id, time};

use crate::{control, node};

/// The time that a daemon without a reply from the platform waits for peers to send the newest
/// configuration.
const PEER_CONFIG_WAIT: time::Span = time::Span::seconds(2);
/// The time after which a daemon takes calls even without the routes of all owned shards.
const ROUTES_TIMEOUT: time::Span = time::Span::seconds(8);

/// The information received since the start.
pub struct Readiness {
    started: time::Timestamp,
    config_read: bool,
    peer_config: bool,
    owned_shards: Option<collections::BTreeSet<id::DomainId>>,
}

impl Readiness {
    /// Creates the state of a daemon that started at `now`.
    pub const fn new(now: time::Timestamp) -> Self {
        Self { started: now, config_read: false, peer_config: false, owned_shards: None }
    }

    /// Records the information in an event.
    pub fn record(&mut self, event: &control::Event) {
        match event {
            control::Event::Config(_) => self.config_read = true,
            control::Event::Peer(received) => {
                self.peer_config |= matches!(received.frame, gl_peer::frame::Frame::Config(_));
            }
            control::Event::Shards(rows) => {
                let owned = rows
                    .iter()
                    .filter(|row| row.row.as_ref().is_some_and(|row| row.owner.is_some()));
                self.owned_shards = Some(owned.map(|row| row.shard.clone()).collect());
            }
            _ => {}
        }
    }

    /// Returns whether this daemon may take calls.
    pub fn is_ready(&self, node: &node::Node, now: time::Timestamp) -> bool {
        let waited = now.since(self.started);
        let has_config = self.config_read || self.peer_config && waited >= PEER_CONFIG_WAIT;
        has_config && (self.has_routes(node) || waited >= ROUTES_TIMEOUT)
    }

    fn has_routes(&self, node: &node::Node) -> bool {
        let router = node.router.lock();
        let has_all = |shards: &collections::BTreeSet<id::DomainId>| {
            shards.iter().all(|shard| router.has_routes(shard))
        };
        match &self.owned_shards {
            Some(shards) => has_all(shards),
            None => self.peer_config,
        }
    }
}

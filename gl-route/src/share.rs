//! This daemon's share of a service's slots, which follows the demand that all daemons see.

use std::collections;

use gl_model::{id, time};

/// The time constant of the demand's average.
const WINDOW: time::Span = time::Span::millis(500);
/// How long a peer's demand is believed.
const PEER_AGE: time::Span = time::Span::seconds(3);
/// The smallest share, as a fraction of an even one, that a daemon keeps for its next calls.
const LEAST: f64 = 0.25;

/// The demand of one daemon for one service, as it tells its peers.
#[gl_derive::domain]
pub struct Demand {
    /// The service.
    pub service: id::JobId,
    /// Calls a second.
    pub rate: f64,
}

#[derive(Clone, Copy, Debug)]
struct Peer {
    rate: f64,
    heard: time::Timestamp,
}

/// The demand for one service at this daemon and its peers.
#[derive(Clone, Debug, Default)]
pub struct Share {
    rate: f64,
    last: time::Timestamp,
    peers: collections::BTreeMap<id::DaemonId, Peer>,
}

impl Share {
    /// Notes one call.
    pub fn note(&mut self, now: time::Timestamp) {
        let decay = self.decay(now);
        self.rate = self.rate * decay + 1.0 / WINDOW.as_seconds();
        self.last = now;
    }

    fn decay(&self, now: time::Timestamp) -> f64 {
        (-(now.since(self.last).as_seconds() / WINDOW.as_seconds())).exp()
    }

    /// This daemon's demand in calls a second.
    pub fn rate(&self, now: time::Timestamp) -> f64 {
        self.rate * self.decay(now)
    }

    /// Takes a peer's demand in.
    pub fn hear(&mut self, peer: &id::DaemonId, rate: f64, now: time::Timestamp) {
        self.peers.insert(peer.clone(), Peer { rate, heard: now });
    }

    /// The fraction of all slots that this daemon may fill, from 0 to 1.
    pub fn fraction(&self, now: time::Timestamp) -> f64 {
        let fresh = self.peers.values().filter(|peer| now.since(peer.heard) <= PEER_AGE);
        let (peers, others) = fresh.fold((0.0, 0.0), |(n, sum), p| (n + 1.0, sum + p.rate));
        let own = self.rate(now);
        let even = 1.0 / (peers + 1.0);
        if own + others <= 0.0 {
            return even;
        }
        (own / (own + others)).max(even * LEAST)
    }
}

//! The demand for a service at all daemons, and this daemon's share of the service's slots,
//! which follows from it.

use std::collections;

use gl_model::{id, time};

/// The time constant of the exponential decay of the measured call rate.
const TIME_CONSTANT: time::Span = time::Span::millis(500);
/// The age beyond which a peer's demand is ignored.
const PEER_MAX_AGE: time::Span = time::Span::seconds(3);
/// The smallest share of the slots, as a fraction of an equal share, so that a daemon without
/// demand can serve its next calls.
const MIN_SHARE: f64 = 0.25;

/// The demand of one daemon for one service, as it is sent to the peers.
#[gl_derive::domain]
pub struct Demand {
    /// The service.
    pub service: id::JobId,
    /// Calls per second.
    pub rate: f64,
}

#[derive(Clone, Copy, Debug)]
struct Peer {
    rate: f64,
    received: time::Timestamp,
}

/// Tracks the demand for one service at this daemon and its peers.
#[derive(Clone, Debug, Default)]
pub struct DemandTracker {
    rate: f64,
    last_call: time::Timestamp,
    peers: collections::BTreeMap<id::DaemonId, Peer>,
}

impl DemandTracker {
    /// Records one call at this daemon.
    pub fn record_call(&mut self, now: time::Timestamp) {
        let decay = self.decay(now);
        self.rate = self.rate * decay + 1.0 / TIME_CONSTANT.as_seconds();
        self.last_call = now;
    }

    fn decay(&self, now: time::Timestamp) -> f64 {
        (-(now.since(self.last_call).as_seconds() / TIME_CONSTANT.as_seconds())).exp()
    }

    /// Returns this daemon's demand in calls per second.
    pub fn rate(&self, now: time::Timestamp) -> f64 {
        self.rate * self.decay(now)
    }

    /// Records the demand that was received from a peer.
    pub fn record_peer(&mut self, peer: &id::DaemonId, rate: f64, now: time::Timestamp) {
        self.peers.insert(peer.clone(), Peer { rate, received: now });
    }

    /// Returns the share of all slots that this daemon may fill, from 0 to 1.
    pub fn slot_share(&self, now: time::Timestamp) -> f64 {
        let fresh = self.peers.values().filter(|peer| now.since(peer.received) <= PEER_MAX_AGE);
        let (peers, others) = fresh.fold((0.0, 0.0), |(n, sum), p| (n + 1.0, sum + p.rate));
        let own = self.rate(now);
        let equal = 1.0 / (peers + 1.0);
        if own + others <= 0.0 {
            return equal;
        }
        (own / (own + others)).max(equal * MIN_SHARE)
    }
}

//! Preference order of daemons for owning a shard, by rendezvous hashing (Thaler and
//! Ravishankar, 1998): the daemon with the highest hash of shard and daemon comes first. When a
//! daemon dies, each of its shards goes to the next daemon in that shard's own order, so its
//! shards spread over the remaining daemons.

use std::hash::{self, Hash as _};

use gl_model::id;

fn weight(shard: &id::DomainId, daemon: &id::DaemonId) -> u64 {
    let mut hasher = siphasher::sip::SipHasher13::new();
    shard.hash(&mut hasher);
    daemon.hash(&mut hasher);
    hash::Hasher::finish(&hasher)
}

/// Returns `daemons` in the order in which they are preferred as owners of `shard`.
pub fn order<'a>(shard: &id::DomainId, daemons: &[&'a id::DaemonId]) -> Vec<&'a id::DaemonId> {
    let mut ranked: Vec<_> = daemons.iter().map(|d| (weight(shard, d), *d)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, daemon)| daemon).collect()
}

/// Returns the rank of `daemon` in the order of `shard`; the preferred owner has rank zero.
pub fn rank(shard: &id::DomainId, daemons: &[&id::DaemonId], daemon: &id::DaemonId) -> usize {
    let own = (weight(shard, daemon), daemon);
    daemons.iter().filter(|d| (weight(shard, d), **d) > own).count()
}

//! Which daemon should own a shard: the one with the highest hash of both (rendezvous hashing,
//! Thaler and Ravishankar 1998). When a daemon dies, each of its shards goes to the next in
//! that shard's own order, so they spread over the others.

use std::hash::{self, Hash as _};

use gl_model::id;

fn weight(shard: &id::DomainId, daemon: &id::DaemonId) -> u64 {
    let mut hasher = siphasher::sip::SipHasher13::new();
    shard.hash(&mut hasher);
    daemon.hash(&mut hasher);
    hash::Hasher::finish(&hasher)
}

/// The daemons in the order in which they should own `shard`.
pub fn order<'a>(shard: &id::DomainId, daemons: &[&'a id::DaemonId]) -> Vec<&'a id::DaemonId> {
    let mut ranked: Vec<_> = daemons.iter().map(|d| (weight(shard, d), *d)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, daemon)| daemon).collect()
}

/// The place of `me` in the order of `shard`, zero for the first choice.
pub fn rank(shard: &id::DomainId, daemons: &[&id::DaemonId], me: &id::DaemonId) -> usize {
    let mine = (weight(shard, me), me);
    daemons.iter().filter(|d| (weight(shard, d), **d) > mine).count()
}

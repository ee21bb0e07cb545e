//! Compares how the shards of a dead daemon spread over the others with rendezvous hashing and
//! with fixed pairs, as "Load-Balanced Failover in MemSQL 7.1" does.
//!
//! The tests guard against a failover that puts most of the shards on one peer, and against
//! shards that move although their owner is alive.

use gl_lease::rendezvous;
use gl_model::id;

struct Load {
    /// The greatest number of shards that one daemon takes over.
    peak: usize,
    /// The mean number of shards that a daemon owns.
    mean: f64,
}

fn daemons(count: usize) -> Vec<id::DaemonId> {
    (0..count).map(|n| id::DaemonId(format!("entry-{n}"))).collect()
}

fn shards(count: usize) -> Vec<id::DomainId> {
    (0..count).map(|n| id::DomainId(format!("domain-{n}"))).collect()
}

/// Returns the greatest load over all cases in which one daemon dies.
fn failover_load(shards: &[id::DomainId], daemons: &[id::DaemonId]) -> Load {
    let all: Vec<&id::DaemonId> = daemons.iter().collect();
    let mut peak = 0;
    for dead in daemons {
        let mut load = std::collections::BTreeMap::new();
        for shard in shards {
            let order = rendezvous::order(shard, &all);
            if order[0] == dead {
                *load.entry(order[1]).or_insert(0) += 1;
            }
        }
        peak = peak.max(load.values().copied().max().unwrap_or(0));
    }
    Load { peak, mean: shards.len() as f64 / daemons.len() as f64 }
}

#[test]
fn rendezvous_failover_loads_a_peer_less_than_fixed_pairs() {
    for (domains, racks, count) in [(3, 3, 9), (14, 43, 28)] {
        let load = failover_load(&shards(domains * racks), &daemons(count));
        // With fixed pairs, a daemon takes over all shards of its partner.
        let pair_load = load.mean;
        println!(
            "{} shards, {count} daemons: {} more on one peer at most, {pair_load:.1} with pairs",
            domains * racks,
            load.peak
        );
        if domains * racks > 100 {
            assert!((load.peak as f64) < pair_load / 2.0);
        }
    }
}

#[test]
fn shard_moves_only_when_its_owner_is_removed() {
    let daemons = daemons(9);
    let all: Vec<&id::DaemonId> = daemons.iter().collect();
    let fewer: Vec<&id::DaemonId> = daemons[..8].iter().collect();
    for shard in shards(100) {
        let (before, after) = (rendezvous::order(&shard, &all), rendezvous::order(&shard, &fewer));
        assert!(before[0] == &daemons[8] || before[0] == after[0]);
        assert_eq!(rendezvous::rank(&shard, &all, before[0]), 0);
        assert_eq!(rendezvous::rank(&shard, &all, before[8]), 8);
    }
}

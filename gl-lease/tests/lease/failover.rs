//! How a dead daemon's shards fall on the others: spread by rendezvous against fixed pairs, as
//! "Load-Balanced Failover in MemSQL 7.1" compares them.

use gl_lease::rendezvous;
use gl_model::id;

struct Extra {
    /// The most shards that one daemon takes over.
    most: usize,
    /// The shards that one daemon owns on average.
    mean: f64,
}

fn daemons(count: usize) -> Vec<id::DaemonId> {
    (0..count).map(|n| id::DaemonId(format!("entry-{n}"))).collect()
}

fn shards(count: usize) -> Vec<id::DomainId> {
    (0..count).map(|n| id::DomainId(format!("domain-{n}"))).collect()
}

/// The worst case over all daemons that may die.
fn spread(shards: &[id::DomainId], daemons: &[id::DaemonId]) -> Extra {
    let all: Vec<&id::DaemonId> = daemons.iter().collect();
    let mut most = 0;
    for dead in daemons {
        let mut extra = std::collections::BTreeMap::new();
        for shard in shards {
            let order = rendezvous::order(shard, &all);
            if order[0] == dead {
                *extra.entry(order[1]).or_insert(0) += 1;
            }
        }
        most = most.max(extra.values().copied().max().unwrap_or(0));
    }
    Extra { most, mean: shards.len() as f64 / daemons.len() as f64 }
}

#[test]
fn spread_failover_puts_less_on_one_peer_than_pairs_do() {
    for (domains, racks, count) in [(3, 3, 9), (14, 43, 28)] {
        let extra = spread(&shards(domains * racks), &daemons(count));
        // With pairs one daemon takes over all of its partner's shards.
        let paired = extra.mean;
        println!(
            "{} shards, {count} daemons: {} more on one peer at most, {paired:.1} with pairs",
            domains * racks,
            extra.most
        );
        if domains * racks > 100 {
            assert!((extra.most as f64) < paired / 2.0);
        }
    }
}

#[test]
fn a_shard_moves_only_when_its_owner_goes() {
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

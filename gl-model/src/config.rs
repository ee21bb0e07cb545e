//! The shared configuration that the platform's service keeps for all daemons.

use std::collections;

use crate::{id, size};

/// The row `config/current`.
#[gl_derive::domain]
pub struct Row {
    /// Grows by one with each accepted change.
    pub number: id::Version,
    /// The transaction that accepted it, by which a lost answer is settled.
    pub txn: id::TxnId,
    /// The content.
    pub content: Shared,
}

/// What all daemons agree on.
#[gl_derive::settings]
#[derive(Default)]
pub struct Shared {
    /// How the measures are weighed against each other.
    pub weights: Weights,
    /// Leases and their times.
    pub leases: Leases,
    /// Limits on calls.
    pub limits: Limits,
    /// Limits on evictions and failures.
    pub repair: Repair,
    /// What each team may hold at once; a team that isn't named has no limit.
    pub quotas: collections::BTreeMap<id::TeamId, size::Size>,
}

/// How the measures are weighed against each other.
#[gl_derive::settings]
#[derive(Copy)]
pub struct Weights {
    /// The weight of the booking services' tail latency.
    pub tail: f64,
    /// The weight of batch throughput.
    pub throughput: f64,
    /// The weight of one eviction.
    pub evictions: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self { tail: 1.0, throughput: 0.2, evictions: 0.2 }
    }
}

/// Leases and their times.
#[gl_derive::settings]
#[derive(Copy)]
pub struct Leases {
    /// How long a shard's ownership lasts without renewal, in milliseconds.
    pub shard_ms: u64,
    /// How long a worker runs its tasks without renewal, in milliseconds.
    pub worker_ms: u64,
    /// How far ahead worker leases may reach while the table service is down, in milliseconds.
    pub horizon_ms: u64,
    /// The greatest difference between two VMs' clocks, in milliseconds.
    pub margin_ms: u64,
}

impl Default for Leases {
    fn default() -> Self {
        Self { shard_ms: 6_000, worker_ms: 12_000, horizon_ms: 600_000, margin_ms: 500 }
    }
}

/// Limits on calls.
#[gl_derive::settings]
#[derive(Copy)]
pub struct Limits {
    /// The largest request body, in bytes.
    pub body_bytes: usize,
    /// The largest answer that is passed on, in bytes.
    pub answer_bytes: usize,
    /// Calls that wait in one daemon for one service.
    pub queue_calls: usize,
    /// Retries as a share of calls, from 0 to 1.
    pub retry_share: f64,
    /// Calls that daemons send at once as a multiple of a service's slots, from 1 to 8.
    pub headroom: f64,
    /// The largest share of a service's backend servers that may be ejected, from 0 to 1.
    pub eject_share: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 1 << 20,
            answer_bytes: 8 << 20,
            queue_calls: 512,
            retry_share: 0.1,
            headroom: 1.5,
            eject_share: 0.3,
        }
    }
}

/// Limits on evictions and failures.
#[gl_derive::settings]
#[derive(Copy)]
pub struct Repair {
    /// Failed starts in a row after which a task is given up.
    pub attempts: u32,
    /// The wait after a task's first failure, in milliseconds; it doubles with each further one.
    pub backoff_ms: u64,
    /// The longest wait after a failure, in milliseconds.
    pub backoff_max_ms: u64,
    /// How long a task may take to start before it is taken from its worker, in milliseconds.
    pub start_ms: u64,
    /// How long a worker that fails what it starts gets no new tasks, in milliseconds.
    pub quarantine_ms: u64,
}

impl Default for Repair {
    fn default() -> Self {
        Self {
            attempts: 6,
            backoff_ms: 500,
            backoff_max_ms: 60_000,
            start_ms: 60_000,
            quarantine_ms: 60_000,
        }
    }
}

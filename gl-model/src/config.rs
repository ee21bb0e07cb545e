//! The shared configuration of all daemons, stored in the platform's table service.

use std::collections;

use crate::{id, size};

/// The row `config/current`.
#[gl_derive::domain]
pub struct Row {
    /// The number of the configuration; increases by one with each accepted change.
    pub number: id::Version,
    /// The transaction that stored it. A daemon whose commit reply was lost compares it to learn
    /// whether its change took effect.
    pub txn: id::TxnId,
    /// The content.
    pub content: Shared,
}

/// The settings that are the same for all daemons.
#[gl_derive::settings]
#[derive(Default)]
pub struct Shared {
    /// The weights of the scheduling objectives.
    pub weights: Weights,
    /// Lease durations and the clock margin.
    pub leases: Leases,
    /// Limits on calls.
    pub limits: Limits,
    /// Limits on evictions and failures.
    pub repair: Repair,
    /// The capacity that each team may reserve at once; a team without an entry has no limit.
    pub quotas: collections::BTreeMap<id::TeamId, size::Size>,
}

/// The weights of the scheduling objectives.
#[gl_derive::settings]
#[derive(Copy)]
pub struct Weights {
    /// The weight of the services' tail latency.
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

/// Lease durations and the clock margin.
#[gl_derive::settings]
#[derive(Copy)]
pub struct Leases {
    /// The duration of a shard's lease, in milliseconds.
    pub shard_ms: u64,
    /// The duration of a worker's lease, in milliseconds; its tasks stop when the lease expires.
    pub worker_ms: u64,
    /// The furthest that worker leases may extend into the future while the table service is
    /// unavailable, in milliseconds.
    pub horizon_ms: u64,
    /// The greatest difference between the clocks of two VMs, in milliseconds.
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
    /// The largest response body that is forwarded, in bytes.
    pub answer_bytes: usize,
    /// The most calls that one daemon queues for one service.
    pub queue_calls: usize,
    /// The retry budget as a share of calls, from 0 to 1.
    pub retry_share: f64,
    /// The most calls that all daemons have in flight to a service, as a multiple of its slots,
    /// from 1 to 8.
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
    /// Consecutive failed starts after which a task is given up.
    pub attempts: u32,
    /// The back-off after a task's first failure, in milliseconds; it doubles with each further
    /// failure.
    pub backoff_ms: u64,
    /// The longest back-off after a failure, in milliseconds.
    pub backoff_max_ms: u64,
    /// The start time-out of a task, after which it is withdrawn from its worker, in milliseconds.
    pub start_ms: u64,
    /// The time for which a worker that fails its tasks gets no new ones, in milliseconds.
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

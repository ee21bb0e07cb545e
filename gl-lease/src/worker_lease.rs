//! The leases that a shard's owner has granted to workers.

use gl_model::{id, table, time};

/// Settings of worker leases.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// The duration of a lease.
    pub duration: time::Span,
    /// The greatest difference between the clocks of two VMs.
    pub clock_margin: time::Span,
}

impl Default for Options {
    fn default() -> Self {
        Self::from(&gl_model::config::Leases::default())
    }
}

impl From<&gl_model::config::Leases> for Options {
    fn from(leases: &gl_model::config::Leases) -> Self {
        Self {
            duration: time::Span::millis(leases.worker_ms),
            clock_margin: time::Span::millis(leases.margin_ms),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    expiry: time::Timestamp,
    last_reply: time::Timestamp,
}

/// All worker leases of one epoch.
#[derive(Clone, Debug)]
pub struct Leases {
    inherited_horizon: time::Timestamp,
    leases: table::Table<id::VmId, Lease>,
}

impl Leases {
    /// Creates the leases of a new epoch. Earlier owners may have granted leases up to
    /// `inherited_horizon`, the horizon that the shard's row recorded.
    pub fn new(inherited_horizon: time::Timestamp) -> Self {
        Self { inherited_horizon, leases: table::Table::default() }
    }

    /// Returns the latest time at which any lease of `vm` can expire.
    pub fn expiry(&self, vm: &id::VmId) -> time::Timestamp {
        self.leases.get(vm).map_or(self.inherited_horizon, |lease| lease.expiry)
    }

    /// Records that `vm` replied at `now`.
    pub fn record_reply(&mut self, vm: &id::VmId, now: time::Timestamp) {
        let inherited = self.inherited_horizon;
        let lease = self.leases.or_insert_with(vm, || Lease { expiry: inherited, last_reply: now });
        lease.last_reply = now;
    }

    /// Records that a worker confirmed its lease under this epoch. Leases that earlier owners
    /// granted to it are replaced by one that expires at `expiry`.
    pub fn confirm(&mut self, vm: &id::VmId, expiry: time::Timestamp, now: time::Timestamp) {
        self.leases.put(vm.clone(), Lease { expiry, last_reply: now });
    }

    /// Extends the lease of `vm` and returns the expiry that the next message to it may carry.
    ///
    /// A worker that replied within the duration of a lease gets a full lease, limited by the
    /// stored `horizon`. Any other worker gets no extension, so that its lease expires while it
    /// is probed.
    pub fn extend(
        &mut self,
        vm: &id::VmId,
        now: time::Timestamp,
        horizon: time::Timestamp,
        options: &Options,
    ) -> time::Timestamp {
        let inherited = self.inherited_horizon;
        let lease = self.leases.or_insert_with(vm, || Lease { expiry: inherited, last_reply: now });
        if now.since(lease.last_reply) > options.duration {
            return lease.expiry.min(horizon);
        }
        let expiry = (now + options.duration).min(horizon);
        lease.expiry = lease.expiry.max(expiry);
        expiry
    }

    /// Returns whether all leases of `vm` have expired, the clock margin included.
    pub fn is_expired(&self, vm: &id::VmId, now: time::Timestamp, options: &Options) -> bool {
        self.expiry(vm) + options.clock_margin < now
    }
}

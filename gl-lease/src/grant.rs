//! The leases that a shard's owner has granted to workers.

use gl_model::{id, table, time};

/// The times of worker leases.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// How long a lease lasts.
    pub lease: time::Span,
    /// The greatest difference between two VMs' clocks.
    pub margin: time::Span,
}

impl Default for Options {
    fn default() -> Self {
        Self::from(&gl_model::config::Leases::default())
    }
}

impl From<&gl_model::config::Leases> for Options {
    fn from(leases: &gl_model::config::Leases) -> Self {
        Self {
            lease: time::Span::millis(leases.worker_ms),
            margin: time::Span::millis(leases.margin_ms),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Grant {
    until: time::Timestamp,
    heard: time::Timestamp,
}

/// All grants of one epoch.
#[derive(Clone, Debug)]
pub struct Grants {
    inherited: time::Timestamp,
    rows: table::Table<id::VmId, Grant>,
}

impl Grants {
    /// The grants of an epoch that begins at `now`. Earlier owners may have granted leases up
    /// to the recorded horizon `inherited`.
    pub fn new(inherited: time::Timestamp) -> Self {
        Self { inherited, rows: table::Table::default() }
    }

    /// How far any lease of `vm` may reach.
    pub fn until(&self, vm: &id::VmId) -> time::Timestamp {
        self.rows.get(vm).map_or(self.inherited, |grant| grant.until)
    }

    /// Notes that `vm` answered at `now`.
    pub fn hear(&mut self, vm: &id::VmId, now: time::Timestamp) {
        let inherited = self.inherited;
        let grant = self.rows.or_insert_with(vm, || Grant { until: inherited, heard: now });
        grant.heard = now;
    }

    /// Notes that a worker confirmed its lease under this epoch: what earlier owners granted
    /// is replaced by `until`.
    pub fn confirm(&mut self, vm: &id::VmId, until: time::Timestamp, now: time::Timestamp) {
        self.rows.put(vm.clone(), Grant { until, heard: now });
    }

    /// The end of the lease that the next message to `vm` may carry.
    ///
    /// A worker that answered lately gets a full lease, cut at the `horizon` that the table
    /// records. One that didn't gets no extension, so that its lease lapses while it is probed.
    pub fn extend(
        &mut self,
        vm: &id::VmId,
        now: time::Timestamp,
        horizon: time::Timestamp,
        options: &Options,
    ) -> time::Timestamp {
        let inherited = self.inherited;
        let grant = self.rows.or_insert_with(vm, || Grant { until: inherited, heard: now });
        if now.since(grant.heard) > options.lease {
            return grant.until.min(horizon);
        }
        let until = (now + options.lease).min(horizon);
        grant.until = grant.until.max(until);
        until
    }

    /// Whether no lease of `vm` can still be in force.
    pub fn is_lapsed(&self, vm: &id::VmId, now: time::Timestamp, options: &Options) -> bool {
        self.until(vm) + options.margin < now
    }
}

//! The VMs that get no new calls, from the platform's list of VMs, which lags and may flap.

use std::collections;

use gl_model::{id, time, vm};

/// The time for which a VM must be listed as live again before it gets new calls; this hysteresis
/// keeps a flapping VM out.
pub const HOLD_DOWN: time::Span = time::Span::seconds(5);

/// The VMs that get no new calls.
#[derive(Clone, Debug, Default)]
pub struct DrainingVms {
    version: u64,
    vms: collections::BTreeMap<id::VmId, Entry>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    live_since: Option<time::Timestamp>,
}

impl DrainingVms {
    /// Applies a list of VMs, unless it is older than the last one. A VM that is listed as
    /// leaving or gone is added at once; one that is live again is removed after [`HOLD_DOWN`].
    pub fn update(&mut self, list: &vm::List, now: time::Timestamp) {
        if list.version < self.version {
            return;
        }
        self.version = list.version;
        for vm in &list.vms {
            match vm.liveness {
                vm::Liveness::Live => {
                    if let Some(entry) = self.vms.get_mut(&vm.id) {
                        entry.live_since.get_or_insert(now);
                    }
                }
                vm::Liveness::Leaving | vm::Liveness::Gone => {
                    self.vms.insert(vm.id.clone(), Entry { live_since: None });
                }
            }
        }
        self.vms.retain(|_, entry| entry.live_since.is_none_or(|at| now.since(at) < HOLD_DOWN));
    }

    /// Returns whether a VM gets no new calls.
    pub fn contains(&self, vm: &id::VmId) -> bool {
        self.vms.contains_key(vm)
    }
}

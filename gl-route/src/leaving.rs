//! Which VMs are leaving, as the platform's list says, with its lateness and flapping.

use std::collections;

use gl_model::{id, time, vm};

/// How long a VM must be listed as live again before it counts as live.
pub const HOLD: time::Span = time::Span::seconds(5);

/// The VMs that take no new calls.
#[derive(Clone, Debug, Default)]
pub struct Leaving {
    version: u64,
    vms: collections::BTreeMap<id::VmId, Entry>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    live_since: Option<time::Timestamp>,
}

impl Leaving {
    /// Takes a list in; one that is older than the last is ignored. A VM that is listed as
    /// leaving counts at once; one that is live again counts as live after [`HOLD`].
    pub fn take(&mut self, list: &vm::List, now: time::Timestamp) {
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
        self.vms.retain(|_, entry| entry.live_since.is_none_or(|at| now.since(at) < HOLD));
    }

    /// Whether a VM takes no new calls.
    pub fn contains(&self, vm: &id::VmId) -> bool {
        self.vms.contains_key(vm)
    }
}

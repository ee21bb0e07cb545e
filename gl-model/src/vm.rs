//! VMs, and the ledger of what each one has promised.

use std::net;

use crate::{id, size};

/// Whether a VM takes new work, as the platform's list says.
#[gl_derive::tag]
pub enum Liveness {
    /// The VM is up.
    Live,
    /// The VM is up and will go away; it takes no new work.
    Leaving,
    /// The list no longer names the VM. The list lags, so this proves nothing about its tasks.
    Gone,
}

/// A VM as the platform's list describes it.
#[gl_derive::domain]
pub struct Vm {
    /// Its identity.
    pub id: id::VmId,
    /// Its failure domain.
    pub domain: id::DomainId,
    /// Its rack.
    pub rack: id::RackId,
    /// Where its agent takes commands.
    pub agent: net::SocketAddr,
    /// What it has.
    pub capacity: size::Size,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// What the list says of it.
    pub liveness: Liveness,
}

/// The platform's list of VMs.
#[gl_derive::domain]
#[derive(Default)]
pub struct List {
    /// Grows with each change, so that a late answer can be told from a newer one.
    pub version: u64,
    /// All VMs that run tasks.
    pub vms: Vec<Vm>,
}

/// Room that a VM has promised to one start of a task.
#[gl_derive::domain]
pub struct Reservation {
    /// The task.
    pub task: id::TaskId,
    /// The start that the promise is for.
    pub incarnation: id::Incarnation,
    /// The room.
    pub size: size::Size,
}

/// The stored row of a VM: its capacity and all that is promised on it.
///
/// Every change to the promises replaces this one row under a version check, so the sum that
/// [`Ledger::reserve()`] checks is the sum that the transaction commits.
#[gl_derive::domain]
pub struct Ledger {
    /// The VM.
    pub vm: id::VmId,
    /// What the VM has.
    pub capacity: size::Size,
    /// What is promised, at most one promise a task.
    #[serde(rename = "promises")]
    pub reservations: Vec<Reservation>,
}

/// The error returned by [`Ledger::reserve()`].
#[derive(Clone, Debug, PartialEq)]
pub enum Error {
    /// The VM hasn't that much left.
    Full {
        /// What is left.
        free: size::Size,
    },
    /// The task already holds a promise on this VM.
    AlreadyReserved,
}

impl Ledger {
    /// An empty ledger of `vm`.
    pub fn new(vm: &Vm) -> Self {
        Self { vm: vm.id.clone(), capacity: vm.capacity, reservations: Vec::new() }
    }

    /// The sum of all promises.
    pub fn reserved(&self) -> size::Size {
        self.reservations.iter().fold(size::Size::default(), |sum, p| sum.plus(&p.size))
    }

    /// What is not promised yet.
    pub fn free(&self) -> size::Size {
        self.capacity.minus(&self.reserved())
    }

    /// Promises room to one start of a task.
    ///
    /// # Errors
    ///
    /// If the promise would pass the capacity in any dimension, or the task holds one already.
    pub fn reserve(&mut self, reservation: Reservation) -> Result<(), Error> {
        if self.reservations.iter().any(|p| p.task == reservation.task) {
            return Err(Error::AlreadyReserved);
        }
        let free = self.free();
        if !reservation.size.fits_in(&free) {
            return Err(Error::Full { free });
        }
        self.reservations.push(reservation);
        Ok(())
    }

    /// Gives the promise of `task` back; returns whether there was one.
    pub fn release(&mut self, task: &id::TaskId) -> bool {
        let before = self.reservations.len();
        self.reservations.retain(|p| p.task != *task);
        before != self.reservations.len()
    }
}

//! VMs, and the ledger of the capacity reserved on each.

use std::net;

use crate::{id, size};

/// The state of a VM in the platform's list.
#[gl_derive::tag]
pub enum Liveness {
    /// The VM is up and accepts new work.
    Live,
    /// The VM is up but will be removed; it gets no new work.
    Leaving,
    /// The list no longer contains the VM. The list lags, so its tasks may still be running.
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
    /// The address at which its agent accepts messages.
    pub agent: net::SocketAddr,
    /// Its total capacity.
    pub capacity: size::Size,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// The number of connections that it accepts.
    pub connections: u32,
    /// Its state in the list.
    pub liveness: Liveness,
}

/// The platform's list of VMs.
#[gl_derive::domain]
#[derive(Default)]
pub struct List {
    /// Increases with each change, so that a delayed reply is recognised as older.
    pub version: u64,
    /// All VMs that run tasks.
    pub vms: Vec<Vm>,
}

/// Capacity of a VM that is reserved for one start of a task.
#[gl_derive::domain]
pub struct Reservation {
    /// The task.
    pub task: id::TaskId,
    /// The start for which it is reserved.
    pub incarnation: id::Incarnation,
    /// The reserved capacity.
    pub size: size::Size,
}

/// The stored row of a VM: its capacity and all reservations on it.
///
/// Every change to the reservations replaces this one row under a version check, so the sum that
/// [`Ledger::reserve()`] checks is the sum that the transaction commits.
#[gl_derive::domain]
pub struct Ledger {
    /// The VM.
    pub vm: id::VmId,
    /// The total capacity of the VM.
    pub capacity: size::Size,
    /// The reservations, at most one per task.
    #[serde(rename = "promises")]
    pub reservations: Vec<Reservation>,
}

/// The error returned by [`Ledger::reserve()`].
#[derive(Clone, Debug, PartialEq)]
pub enum Error {
    /// The VM has too little free capacity.
    Full {
        /// The free capacity.
        free: size::Size,
    },
    /// The task already holds a reservation on this VM.
    AlreadyReserved,
}

impl Ledger {
    /// Returns an empty ledger for `vm`.
    pub fn new(vm: &Vm) -> Self {
        Self { vm: vm.id.clone(), capacity: vm.capacity, reservations: Vec::new() }
    }

    /// Returns the sum of all reservations.
    pub fn reserved(&self) -> size::Size {
        self.reservations.iter().fold(size::Size::default(), |sum, r| sum.plus(&r.size))
    }

    /// Returns the capacity that is not reserved.
    pub fn free(&self) -> size::Size {
        self.capacity.minus(&self.reserved())
    }

    /// Reserves capacity for one start of a task.
    ///
    /// # Errors
    ///
    /// Returns an error if the reservations would exceed the capacity in any dimension, or the task
    /// already holds a reservation.
    pub fn reserve(&mut self, reservation: Reservation) -> Result<(), Error> {
        if self.reservations.iter().any(|r| r.task == reservation.task) {
            return Err(Error::AlreadyReserved);
        }
        let free = self.free();
        if !reservation.size.fits_in(&free) {
            return Err(Error::Full { free });
        }
        self.reservations.push(reservation);
        Ok(())
    }

    /// Releases the reservation of `task` and returns whether there was one.
    pub fn release(&mut self, task: &id::TaskId) -> bool {
        let before = self.reservations.len();
        self.reservations.retain(|r| r.task != *task);
        before != self.reservations.len()
    }
}

//! Memory that requests in progress take until they are done.

use std::{cell, rc};

use crate::budget;

/// The memory of the requests of one thread that have a common purpose. Unlike bodies that are arriving,
/// they are not given up: what does not fit is refused.
#[derive(Debug)]
pub struct Ledger {
    settings: budget::Settings,
    used: cell::Cell<usize>,
}

impl Ledger {
    /// Creates a ledger without entries.
    pub const fn new(settings: budget::Settings) -> Self {
        Self { settings, used: cell::Cell::new(0) }
    }

    /// Returns the memory in use, in bytes.
    pub const fn used(&self) -> usize {
        self.used.get()
    }

    /// Takes memory until the returned charge is dropped; `None` if it does not fit. What is alone may
    /// exceed the limit.
    pub fn take(self: &rc::Rc<Self>, bytes: usize) -> Option<Charge> {
        let used = self.used.get();
        if used > 0 && !self.settings.fits(bytes, used + bytes) {
            return None;
        }
        self.used.set(used + bytes);
        Some(Charge { ledger: rc::Rc::clone(self), bytes })
    }
}

/// Memory that a request takes.
#[derive(Debug)]
pub struct Charge {
    ledger: rc::Rc<Ledger>,
    bytes: usize,
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.ledger.used.set(self.ledger.used.get() - self.bytes);
    }
}

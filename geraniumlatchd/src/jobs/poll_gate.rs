//! Limits the polls that may be many at a time: the first polls of a new owner, those of workers
//! that did not reply. Workers reply to all of them at once.
//!
//! A process with little processor time cannot open thousands of connections at once; the polls
//! would miss their time-outs and be repeated. Waiting polls are sent in the order of the times at
//! which the workers' leases end. Orders to workers, and polls for an immediate reply, do not pass the gate.

use std::{cell, collections, rc};

use gl_jobs::owner;
use gl_model::time;
use tokio::sync::oneshot;

/// The smallest limit. As polls of silent workers end with their time-out of 0.9 s only, it lets 140 of
/// them pass each second, which the smallest VM (0.12 cores) can send.
const FLOOR: usize = 128;
/// The time from sending a poll to its reply above which fewer polls are sent. No poll is more urgent than
/// the others here, so it may be long: half of the time-out.
const TARGET: time::Span = time::Span::millis(400);

/// The gate, with the polls that wait for it.
pub struct PollGate {
    window: cell::RefCell<owner::OrderWindow>,
    in_flight: cell::Cell<usize>,
    /// The waiting polls by the time at which they are due, and by arrival.
    waiting: cell::RefCell<collections::BTreeMap<(time::Timestamp, u64), oneshot::Sender<Permit>>>,
    last_arrival: cell::Cell<u64>,
    is_closed: cell::Cell<bool>,
}

/// The error returned if the ownership has ended, so that no poll may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closed;

/// The permission to send one poll, until it is dropped.
pub struct Permit {
    gate: rc::Rc<PollGate>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.gate.in_flight.set(self.gate.in_flight.get().saturating_sub(1));
        PollGate::admit_waiting(&self.gate);
    }
}

impl PollGate {
    /// Creates a gate.
    pub fn new(settings: owner::WindowSettings) -> rc::Rc<Self> {
        let floor = FLOOR.clamp(settings.floor, settings.initial.max(settings.floor));
        let settings = owner::WindowSettings { floor, target: TARGET, ..settings };
        rc::Rc::new(Self {
            window: cell::RefCell::new(owner::OrderWindow::new(settings)),
            in_flight: cell::Cell::new(0),
            waiting: cell::RefCell::default(),
            last_arrival: cell::Cell::new(0),
            is_closed: cell::Cell::new(false),
        })
    }

    /// Returns the number of polls that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.borrow().len()
    }

    /// Returns the number of polls that have passed and not ended.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Waits until a poll that is due at `due` may be sent.
    ///
    /// # Errors
    ///
    /// If the gate is closed.
    pub async fn enter(self: &rc::Rc<Self>, due: time::Timestamp) -> Result<Permit, Closed> {
        if self.is_closed.get() {
            return Err(Closed);
        }
        let arrival = self.last_arrival.get() + 1;
        self.last_arrival.set(arrival);
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert((due, arrival), sender);
        Self::admit_waiting(self);
        receiver.await.map_err(|_| Closed)
    }

    /// Lets no further poll pass, and ends the wait of all.
    pub fn close(&self) {
        self.is_closed.set(true);
        let waiting = self.waiting.take();
        drop(waiting);
    }

    fn admit_waiting(gate: &rc::Rc<Self>) {
        while let Some(sender) = gate.next_admitted() {
            gate.in_flight.set(gate.in_flight.get() + 1);
            // A poll that has been given up returns its permit, which admits the next one.
            let _ = sender.send(Permit { gate: rc::Rc::clone(gate) });
        }
    }

    fn next_admitted(&self) -> Option<oneshot::Sender<Permit>> {
        let mut waiting = self.waiting.borrow_mut();
        let next = waiting.first_entry()?;
        self.window.borrow_mut().admits(self.in_flight.get()).then(|| next.remove())
    }
}

impl Permit {
    /// Records the result of the poll, which took `took`.
    pub fn record(&self, took: time::Span, is_ok: bool, now: time::Timestamp) {
        let outcome =
            if is_ok { owner::OrderOutcome::Answered } else { owner::OrderOutcome::Failed };
        self.gate.window.borrow_mut().record(took, outcome, now);
    }
}

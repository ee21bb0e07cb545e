//! Guards against a new owner that polls thousands of workers at once, misses the time-outs of all of
//! them, and polls them again.

#![allow(clippy::unwrap_used, reason = "tests")]

use std::{cell, rc};

use geraniumlatchd::jobs::poll_gate;
use gl_jobs::owner;
use gl_model::time;

const WORKERS: u64 = 3_000;
/// The polls that the process can handle in a millisecond.
const RATE: u64 = 2;
const TIMEOUT: time::Span = time::Span::millis(900);

fn at(millis: u64) -> time::Timestamp {
    time::Timestamp(time::Span::millis(millis).0)
}

/// A process that handles polls one after the other, in virtual time.
struct Process {
    gate: rc::Rc<poll_gate::PollGate>,
    passed: rc::Rc<cell::RefCell<Vec<(u64, poll_gate::Permit)>>>,
}

impl Process {
    fn new() -> Self {
        let gate = poll_gate::PollGate::new(owner::WindowSettings::default());
        Self { gate, passed: rc::Rc::default() }
    }

    fn poll(&self, worker: u64, due: time::Timestamp) {
        let (gate, passed) = (rc::Rc::clone(&self.gate), rc::Rc::clone(&self.passed));
        ntex::rt::spawn(async move {
            if let Ok(permit) = gate.enter(due).await {
                passed.borrow_mut().push((worker, permit));
            }
        });
    }
}

/// Runs all tasks that can continue; the runtime runs some dozens of them between two yields.
async fn run_tasks() {
    for _ in 0..64 {
        tokio::task::yield_now().await;
    }
}

#[ntex::test]
async fn first_polls_of_a_new_owner_are_answered_in_time() {
    let process = Process::new();
    for worker in 0..WORKERS {
        process.poll(worker, at(0));
    }
    let (mut sent, mut late, mut answered) = (std::collections::VecDeque::new(), 0, 0);
    for now in 0..4_000 {
        run_tasks().await;
        for (_, permit) in process.passed.take() {
            sent.push_back((now, permit));
        }
        for _ in 0..RATE {
            let Some((since, permit)) = sent.pop_front() else { break };
            let took = at(now).since(at(since));
            late += usize::from(took > TIMEOUT);
            answered += 1;
            permit.record(took, took <= TIMEOUT, at(now));
        }
    }
    assert_eq!((answered, late), (WORKERS, 0));
}

#[ntex::test]
async fn workers_whose_lease_ends_first_are_polled_first() {
    let process = Process::new();
    for worker in 0..1_000 {
        process.poll(worker, at(9_000 - worker));
    }
    run_tasks().await;
    let first = process.passed.take();
    assert_eq!(first.len(), 512);
    drop(first);
    run_tasks().await;
    let next: Vec<u64> = process.passed.take().iter().map(|(worker, _)| *worker).collect();
    assert_eq!(next.first(), Some(&999));
}

/// Guards against tasks of an ended ownership that wait for ever and keep its state in memory.
#[ntex::test]
async fn closed_gate_ends_all_waits() {
    let process = Process::new();
    for worker in 0..1_000 {
        process.poll(worker, at(0));
    }
    run_tasks().await;
    process.gate.close();
    drop(process.passed.take());
    run_tasks().await;
    assert_eq!((process.passed.borrow().len(), process.gate.waiting()), (0, 0));
    assert_eq!(process.gate.enter(at(0)).await.err(), Some(poll_gate::Closed));
}

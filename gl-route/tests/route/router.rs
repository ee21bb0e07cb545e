//! Tests of the router's rules for admission, queueing, retries and ejection.
//!
//! They guard against calls that are sent after their deadline, to draining VMs or to backend
//! servers that were already tried, and against retries and ejections beyond their limits.

use assert_matches::assert_matches;
use gl_model::{call as model, id, time, vm};
use gl_route::{
    call::{Assignment, Call, Decision, Refusal, RefusalReason},
    outcome::AttemptOutcome,
    router::{Router, Settings},
    service::{Limits, RetryCost},
};

use super::simulation;

const NOW: time::Timestamp = time::Timestamp(1_000_000_000);

fn router(workers: usize, limits: Limits) -> Router {
    let mut router = Router::new(Settings { limits, ..Settings::default() });
    router.update_routes(&simulation::route_set(1, 0..workers), NOW);
    router
}

fn call(number: u32) -> Call {
    Call {
        id: id::CallId(number.to_string()),
        service: id::JobId::from("booking"),
        deadline: NOW + time::Span::seconds(1),
        repeat: model::Repeat::Safe,
    }
}

fn sent(decision: Decision) -> Assignment {
    assert_matches!(decision, Decision::Send(assignment) => assignment)
}

#[test]
fn call_to_unknown_service_is_refused_with_a_retry_time() {
    let mut router = Router::new(Settings::default());
    let decision = router.admit(&call(1), NOW);
    assert_matches!(decision, Decision::Refuse(Refusal { reason: RefusalReason::NoService, retry_after }) => {
        assert!(retry_after > time::Span::ZERO);
    });
}

#[test]
fn call_without_a_free_slot_waits_and_is_sent_when_one_is_freed() {
    let limits = Limits { headroom: 1.0, ..Limits::default() };
    let mut router = router(1, limits);
    let first = sent(router.admit(&call(0), NOW));
    for number in 1..simulation::SLOTS as u32 {
        sent(router.admit(&call(number), NOW));
    }
    assert_eq!(router.admit(&call(100), NOW), Decision::Wait);
    assert!(router.dispatch_queue(NOW).is_empty());
    let completed = AttemptOutcome::Completed {
        latency: time::Span::millis(5),
        load: Some(7),
        is_server_error: false,
    };
    router.finish(&first, completed, NOW);
    let dequeued = router.dispatch_queue(NOW);
    assert_eq!(dequeued.len(), 1);
    assert_matches!(&dequeued[0].decision, Decision::Send(_));
}

#[test]
fn queued_call_is_refused_once_its_deadline_is_too_close() {
    let limits = Limits { headroom: 1.0, ..Limits::default() };
    let mut router = router(1, limits);
    for number in 0..simulation::SLOTS as u32 {
        sent(router.admit(&call(number), NOW));
    }
    assert_eq!(router.admit(&call(100), NOW), Decision::Wait);
    let dequeued = router.dispatch_queue(NOW + time::Span::seconds(1));
    assert_matches!(
        &dequeued[0].decision,
        Decision::Refuse(Refusal { reason: RefusalReason::DeadlinePassed, .. })
    );
    assert!(router.dispatch_queue(NOW + time::Span::seconds(2)).is_empty());
}

#[test]
fn call_is_refused_at_once_when_the_queue_is_full() {
    let limits = Limits { headroom: 1.0, queue_calls: 0, ..Limits::default() };
    let mut router = router(1, limits);
    for number in 0..simulation::SLOTS as u32 {
        sent(router.admit(&call(number), NOW));
    }
    let decision = router.admit(&call(100), NOW);
    assert_matches!(decision, Decision::Refuse(Refusal { reason: RefusalReason::QueueFull, .. }));
}

#[test]
fn leaving_vm_gets_no_new_call() {
    let mut router = router(2, Limits::default());
    let mut listed = vm(0);
    listed.liveness = vm::Liveness::Leaving;
    router.update_vms(&vm::List { version: 1, vms: vec![listed, vm(1)] }, NOW);
    for number in 0..10 {
        assert_eq!(sent(router.admit(&call(number), NOW)).task, id::TaskId::from("booking.1"));
    }
}

fn vm(number: usize) -> vm::Vm {
    vm::Vm {
        id: id::VmId(format!("vm-{number}")),
        domain: id::DomainId::from("one"),
        rack: id::RackId::from("r0"),
        agent: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
        capacity: gl_model::size::Size::default(),
        slots: 8,
        connections: 64,
        liveness: vm::Liveness::Live,
    }
}

#[test]
fn stale_routes_are_ignored() {
    let mut router = router(2, Limits::default());
    assert!(router.update_routes(&simulation::route_set(3, 0..1), NOW));
    assert!(!router.update_routes(&simulation::route_set(2, 0..2), NOW));
    assert!(!router.update_routes(&simulation::route_set(3, 0..2), NOW));
    let (_, service) = router.services().next().unwrap();
    assert_eq!(service.backends().len(), 1);
}

#[test]
fn retry_avoids_backend_servers_that_were_tried() {
    let mut router = router(3, Limits::default());
    let mut tried = Vec::new();
    let first = sent(router.admit(&call(1), NOW));
    tried.push(first.task);
    for _ in 0..2 {
        let next = sent(router.retry(&call(1), &tried, RetryCost::Free, NOW));
        assert!(!tried.contains(&next.task));
        tried.push(next.task);
    }
}

#[test]
fn retry_budget_limits_retries_that_add_load() {
    let mut router = router(8, Limits { retry_share: 0.1, ..Limits::default() });
    let mut retried = 0;
    for number in 0..200 {
        let assignment = sent(router.admit(&call(number), NOW));
        router.finish(&assignment, AttemptOutcome::Interrupted, NOW);
        let decision = router.retry(&call(number), &[], RetryCost::Budgeted, NOW);
        if let Decision::Send(assignment) = decision {
            retried += 1;
            router.finish(&assignment, AttemptOutcome::Refused { load: None }, NOW);
        }
    }
    assert!(
        (10..=21).contains(&retried),
        "{retried} retries of 200 calls with a budget of a tenth"
    );
}

#[test]
fn backend_server_with_consecutive_failures_is_ejected() {
    let mut router = router(8, Limits::default());
    let mut failed: Option<id::TaskId> = None;
    for number in 0..200 {
        let assignment = sent(router.admit(&call(number), NOW));
        let target = failed.get_or_insert(assignment.task.clone());
        let outcome = if assignment.task == *target {
            AttemptOutcome::Interrupted
        } else {
            AttemptOutcome::Completed {
                latency: time::Span::millis(5),
                load: Some(0),
                is_server_error: false,
            }
        };
        router.finish(&assignment, outcome, NOW);
    }
    let (_, service) = router.services().next().unwrap();
    let ejected: Vec<_> = service.backends().iter().filter(|b| b.ejected_until > NOW).collect();
    assert_eq!(ejected.iter().map(|b| Some(b.task.clone())).collect::<Vec<_>>(), [failed]);
}

#[test]
fn ejections_stay_within_the_allowed_share() {
    let mut router = router(10, Limits { eject_share: 0.3, ..Limits::default() });
    for number in 0..500 {
        if let Decision::Send(assignment) = router.admit(&call(number), NOW) {
            router.finish(&assignment, AttemptOutcome::Interrupted, NOW);
        }
    }
    let (_, service) = router.services().next().unwrap();
    assert_eq!(service.backends().iter().filter(|b| b.ejected_until > NOW).count(), 3);
}

/// Limits that reach only services added later would leave an overloaded service as it is until the
/// daemon restarts.
#[test]
fn new_limits_apply_to_services_that_exist() {
    let limits = Limits { headroom: 1.0, ..Limits::default() };
    let mut router = router(1, limits);
    for number in 0..simulation::SLOTS as u32 {
        sent(router.admit(&call(number), NOW));
    }
    router.set_limits(Limits { queue_calls: 0, ..limits });
    assert_matches!(router.admit(&call(100), NOW), Decision::Refuse(_));
    router.set_limits(limits);
    assert_eq!(router.admit(&call(101), NOW), Decision::Wait);
}

use assert_matches::assert_matches;
use gl_model::{call as model, id, time, vm};
use gl_route::{
    call::{Call, Reason, Refusal, Ticket, Verdict},
    ending::Ending,
    router::{Router, Settings},
    service::{Cost, Limits},
};

use super::fake;

const NOW: time::Timestamp = time::Timestamp(1_000_000_000);

fn router(workers: usize, limits: Limits) -> Router {
    let mut router = Router::new(Settings { limits, ..Settings::default() });
    router.take_routes(&fake::set(1, 0..workers), NOW);
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

fn sent(verdict: Verdict) -> Ticket {
    assert_matches!(verdict, Verdict::Send(ticket) => ticket)
}

#[test]
fn an_unknown_service_is_refused_with_a_time_to_come_back() {
    let mut router = Router::new(Settings::default());
    let verdict = router.admit(&call(1), NOW);
    assert_matches!(verdict, Verdict::Refuse(Refusal { reason: Reason::NoService, after }) => {
        assert!(after > time::Span::ZERO);
    });
}

#[test]
fn a_call_beyond_the_slots_waits_and_is_woken_by_a_free_one() {
    let limits = Limits { headroom: 1.0, ..Limits::default() };
    let mut router = router(1, limits);
    let first = sent(router.admit(&call(0), NOW));
    for number in 1..fake::SLOTS as u32 {
        sent(router.admit(&call(number), NOW));
    }
    assert_eq!(router.admit(&call(100), NOW), Verdict::Wait);
    assert!(router.wake(NOW).is_empty());
    let whole = Ending::Whole { latency: time::Span::millis(5), load: Some(7), failed: false };
    router.finish(&first, whole, NOW);
    let woken = router.wake(NOW);
    assert_eq!(woken.len(), 1);
    assert_matches!(&woken[0].verdict, Verdict::Send(_));
}

#[test]
fn a_waiting_call_is_given_up_before_its_deadline_and_never_sent_after() {
    let limits = Limits { headroom: 1.0, ..Limits::default() };
    let mut router = router(1, limits);
    for number in 0..fake::SLOTS as u32 {
        sent(router.admit(&call(number), NOW));
    }
    assert_eq!(router.admit(&call(100), NOW), Verdict::Wait);
    let woken = router.wake(NOW + time::Span::seconds(1));
    assert_matches!(&woken[0].verdict, Verdict::Refuse(Refusal { reason: Reason::Late, .. }));
    assert!(router.wake(NOW + time::Span::seconds(2)).is_empty());
}

#[test]
fn a_full_queue_refuses_at_once() {
    let limits = Limits { headroom: 1.0, queue: 0, ..Limits::default() };
    let mut router = router(1, limits);
    for number in 0..fake::SLOTS as u32 {
        sent(router.admit(&call(number), NOW));
    }
    let verdict = router.admit(&call(100), NOW);
    assert_matches!(verdict, Verdict::Refuse(Refusal { reason: Reason::QueueFull, .. }));
}

#[test]
fn a_leaving_vm_gets_no_further_call() {
    let mut router = router(2, Limits::default());
    let mut listed = vm(0);
    listed.liveness = vm::Liveness::Leaving;
    router.take_list(&vm::List { version: 1, vms: vec![listed, vm(1)] }, NOW);
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
    assert!(router.take_routes(&fake::set(3, 0..1), NOW));
    assert!(!router.take_routes(&fake::set(2, 0..2), NOW));
    assert!(!router.take_routes(&fake::set(3, 0..2), NOW));
    let (_, service) = router.services().next().unwrap();
    assert_eq!(service.backends().len(), 1);
}

#[test]
fn a_retry_avoids_the_backend_servers_that_were_tried() {
    let mut router = router(3, Limits::default());
    let mut tried = Vec::new();
    let first = sent(router.admit(&call(1), NOW));
    tried.push(first.task);
    for _ in 0..2 {
        let next = sent(router.retry(&call(1), &tried, Cost::Free, NOW));
        assert!(!tried.contains(&next.task));
        tried.push(next.task);
    }
}

#[test]
fn the_retry_budget_bounds_retries_that_add_load() {
    let mut router = router(8, Limits { retries: 0.1, ..Limits::default() });
    let mut retried = 0;
    for number in 0..200 {
        let ticket = sent(router.admit(&call(number), NOW));
        router.finish(&ticket, Ending::Broken, NOW);
        let again = router.retry(&call(number), &[], Cost::Load, NOW);
        if let Verdict::Send(ticket) = again {
            retried += 1;
            router.finish(&ticket, Ending::Refused { load: None }, NOW);
        }
    }
    assert!((10..=21).contains(&retried), "{retried} retries of 200 calls at a tenth");
}

#[test]
fn a_backend_server_that_fails_in_a_row_is_ejected_then_probed() {
    let mut router = router(8, Limits::default());
    let mut failed: Option<id::TaskId> = None;
    for number in 0..200 {
        let ticket = sent(router.admit(&call(number), NOW));
        let target = failed.get_or_insert(ticket.task.clone());
        let ending = if ticket.task == *target {
            Ending::Broken
        } else {
            Ending::Whole { latency: time::Span::millis(5), load: Some(0), failed: false }
        };
        router.finish(&ticket, ending, NOW);
    }
    let (_, service) = router.services().next().unwrap();
    let ejected: Vec<_> = service.backends().iter().filter(|b| b.ejected > NOW).collect();
    assert_eq!(ejected.iter().map(|b| Some(b.task.clone())).collect::<Vec<_>>(), [failed]);
}

#[test]
fn never_more_than_the_allowed_share_is_ejected() {
    let mut router = router(10, Limits { ejected: 0.3, ..Limits::default() });
    for number in 0..500 {
        if let Verdict::Send(ticket) = router.admit(&call(number), NOW) {
            router.finish(&ticket, Ending::Broken, NOW);
        }
    }
    let (_, service) = router.services().next().unwrap();
    assert_eq!(service.backends().iter().filter(|b| b.ejected > NOW).count(), 3);
}

//! Measures the time of one choice of a backend server, with its admission and the release of
//! its slot.
#![allow(missing_docs, reason = "the macro's own items")]

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use gl_model::{call, id, route, time};
use gl_route::{call as routing, outcome, router};

const NOW: time::Timestamp = time::Timestamp(1_000_000_000);

fn router(workers: u16) -> router::Router {
    let entry = |number: u16| route::Entry {
        service: id::JobId::from("booking"),
        task: id::TaskId(format!("booking.{number}")),
        incarnation: id::Incarnation(1),
        vm: id::VmId(format!("vm-{number}")),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], number)),
        slots: 8,
    };
    let mut router = router::Router::new(router::Settings::default());
    router.set_rank(0, 9, NOW);
    let set = route::Set {
        shard: id::DomainId::from("one"),
        epoch: id::Epoch(1),
        version: 1,
        entries: (0..workers).map(entry).collect(),
        objectives: Vec::new(),
    };
    router.update_routes(&set, NOW);
    router
}

fn choice(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("choice");
    for workers in [65, 4_800] {
        let mut router = router(workers);
        let call = routing::Call {
            id: id::CallId::from("c"),
            service: id::JobId::from("booking"),
            deadline: NOW + time::Span::seconds(1),
            repeat: call::Repeat::Safe,
        };
        let outcome = outcome::AttemptOutcome::Completed {
            latency: time::Span::millis(20),
            load: Some(3),
            is_server_error: false,
        };
        group.bench_function(BenchmarkId::from_parameter(workers), |bencher| {
            bencher.iter(|| {
                if let routing::Decision::Send(assignment) = router.admit(&call, NOW) {
                    router.finish(&assignment, outcome, NOW);
                }
            });
        });
    }
    group.finish();
}

criterion_group!(benches, choice);
criterion_main!(benches);

use gl_model::{id, size, time, vm};
use gl_route::draining::{DrainingVms, HOLD_DOWN};

fn list(version: u64, liveness: vm::Liveness) -> vm::List {
    let vm = vm::Vm {
        id: id::VmId::from("vm-0"),
        domain: id::DomainId::from("one"),
        rack: id::RackId::from("r0"),
        agent: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
        capacity: size::Size::default(),
        slots: 8,
        connections: 64,
        liveness,
    };
    vm::List { version, vms: vec![vm] }
}

const NOW: time::Timestamp = time::Timestamp(1_000_000_000);

fn is_leaving(leaving: &DrainingVms) -> bool {
    leaving.contains(&id::VmId::from("vm-0"))
}

#[test]
fn a_leaving_vm_counts_at_once() {
    let mut leaving = DrainingVms::default();
    leaving.update(&list(1, vm::Liveness::Live), NOW);
    assert!(!is_leaving(&leaving));
    leaving.update(&list(2, vm::Liveness::Leaving), NOW);
    assert!(is_leaving(&leaving));
}

#[test]
fn a_late_or_doubled_list_changes_nothing() {
    let mut leaving = DrainingVms::default();
    leaving.update(&list(2, vm::Liveness::Leaving), NOW);
    for _ in 0..3 {
        leaving.update(&list(1, vm::Liveness::Live), NOW + HOLD_DOWN + HOLD_DOWN);
        leaving.update(&list(2, vm::Liveness::Leaving), NOW + HOLD_DOWN + HOLD_DOWN);
    }
    assert!(is_leaving(&leaving));
}

#[test]
fn a_flapping_vm_stays_out_until_it_was_live_for_a_while() {
    let mut leaving = DrainingVms::default();
    let mut now = NOW;
    for version in 1..10 {
        let flap = version % 2 == 1;
        let liveness = if flap { vm::Liveness::Leaving } else { vm::Liveness::Live };
        now = now + time::Span::seconds(1);
        leaving.update(&list(version, liveness), now);
        assert!(is_leaving(&leaving), "at version {version}");
    }
    leaving.update(&list(10, vm::Liveness::Live), now);
    leaving.update(&list(10, vm::Liveness::Live), now + HOLD_DOWN);
    assert!(!is_leaving(&leaving));
}

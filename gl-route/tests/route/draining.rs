//! Tests of the set of draining VMs, with lists that are late or repeated and VMs that flap.
//!
//! They guard against new calls to a VM that is about to stop.

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

fn is_draining(draining: &DrainingVms) -> bool {
    draining.contains(&id::VmId::from("vm-0"))
}

#[test]
fn leaving_vm_is_draining_at_once() {
    let mut draining = DrainingVms::default();
    draining.update(&list(1, vm::Liveness::Live), NOW);
    assert!(!is_draining(&draining));
    draining.update(&list(2, vm::Liveness::Leaving), NOW);
    assert!(is_draining(&draining));
}

#[test]
fn late_or_repeated_list_changes_nothing() {
    let mut draining = DrainingVms::default();
    draining.update(&list(2, vm::Liveness::Leaving), NOW);
    for _ in 0..3 {
        draining.update(&list(1, vm::Liveness::Live), NOW + HOLD_DOWN + HOLD_DOWN);
        draining.update(&list(2, vm::Liveness::Leaving), NOW + HOLD_DOWN + HOLD_DOWN);
    }
    assert!(is_draining(&draining));
}

#[test]
fn flapping_vm_is_draining_until_it_has_been_live_for_the_hold_down() {
    let mut draining = DrainingVms::default();
    let mut now = NOW;
    for version in 1..10 {
        let is_leaving = version % 2 == 1;
        let liveness = if is_leaving { vm::Liveness::Leaving } else { vm::Liveness::Live };
        now = now + time::Span::seconds(1);
        draining.update(&list(version, liveness), now);
        assert!(is_draining(&draining), "at version {version}");
    }
    draining.update(&list(10, vm::Liveness::Live), now);
    draining.update(&list(10, vm::Liveness::Live), now + HOLD_DOWN);
    assert!(!is_draining(&draining));
}

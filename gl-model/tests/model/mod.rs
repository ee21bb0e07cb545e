use gl_model::{
    id, size,
    task::{After, Row, State, Step},
    time,
};
use proptest::prelude::*;

const NOW: time::Timestamp = time::Timestamp(1_000);

fn steps() -> Vec<Step> {
    vec![
        Step::Start { vm: id::VmId::from("vm-0") },
        Step::Run,
        Step::Evict,
        Step::Drain(After::Restart),
        Step::Drain(After::Cancel),
        Step::Stop { checkpoint: Some("7".to_owned()), after: NOW },
        Step::Finish,
        Step::Retry { after: NOW },
        Step::Fail { reason: "why".to_owned() },
        Step::Cancel,
    ]
}

fn task() -> Row {
    Row::new(&id::JobId::from("night"), 3, NOW)
}

fn after(row: &Row, steps: &[usize]) -> Row {
    let all = self::steps();
    steps.iter().fold(row.clone(), |row, at| row.step(&all[*at]).unwrap())
}

#[test]
fn evicted_work_is_parked_with_its_checkpoint_and_starts_as_the_next_incarnation() {
    let parked = after(&task(), &[0, 1, 2, 5]);
    assert_eq!(parked.state, State::Parked { after: NOW });
    let again = after(&parked, &[0]);
    assert_eq!((again.incarnation, again.evictions), (id::Incarnation(2), 1));
    assert_eq!(again.checkpoint.as_deref(), Some("7"));
}

#[test]
fn a_cancelled_task_stays_cancelled() {
    let draining = after(&task(), &[0, 1, 4]);
    let ended = after(&draining, &[5]);
    assert_eq!(ended.state, State::Cancelled);
    for step in steps() {
        assert!(ended.step(&step).is_err(), "{step:?}");
    }
}

proptest! {
    /// Whatever steps are tried: a task holds a VM exactly while it may run there, only a start
    /// moves the incarnation, and an ended task takes no further step.
    #[test]
    fn every_order_of_steps_keeps_the_lifecycle(order in prop::collection::vec(0_usize..10, 0..40)) {
        let mut row = task();
        for at in order {
            let step = &steps()[at];
            let Ok(next) = row.step(step) else { continue };
            prop_assert!(!row.is_ended());
            let started = matches!(step, Step::Start { .. });
            prop_assert_eq!(next.incarnation != row.incarnation, started);
            prop_assert!(!(started && row.vm().is_some()));
            prop_assert_eq!(next.waits_until().is_some(), next.vm().is_none() && !next.is_ended());
            row = next;
        }
    }
}

#[test]
fn sizes_fit_only_in_every_dimension() {
    let room = size::Size { cores: 4_000, memory: 8_000, accelerators: 1 };
    let more = |cores, memory, accelerators| size::Size { cores, memory, accelerators };
    assert!(room.fits_in(&room));
    for size in [more(4_001, 1, 0), more(1, 8_001, 0), more(1, 1, 2)] {
        assert!(!size.fits_in(&room), "{size}");
    }
    assert_eq!(room.minus(&more(9_000, 1_000, 0)), more(0, 7_000, 1));
}

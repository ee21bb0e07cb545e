//! The measurements that tell why start orders are late. Guards against a log in which a full window,
//! long placement passes and late orders look the same.

use geraniumlatchd::jobs::pass_meter;
use gl_model::time;

const fn at(millis: u64) -> time::Timestamp {
    time::Timestamp(time::Span::millis(millis).0)
}

fn report(
    record: impl FnOnce(&mut pass_meter::PassMeter),
    held: u64,
) -> Option<pass_meter::Report> {
    let mut meter = pass_meter::PassMeter::default();
    assert_eq!(meter.report(0, at(1_000)), None);
    record(&mut meter);
    assert_eq!(meter.report(held, at(1_999)), None);
    meter.report(held, at(2_000))
}

#[test]
fn starts_in_time_are_not_reported() {
    let record = |meter: &mut pass_meter::PassMeter| {
        (0..50).for_each(|_| meter.pass(time::Span::millis(3)));
        (0..500).for_each(|_| meter.order(time::Span::millis(4)));
    };
    assert_eq!(report(record, 0), None);
}

#[test]
fn passes_that_a_full_window_ended_are_reported() {
    let held = report(|meter| meter.pass(time::Span::millis(1)), 1);
    let expected = pass_meter::Report {
        passes: 1,
        held: 1,
        total: time::Span::millis(1),
        longest: time::Span::millis(1),
        ..pass_meter::Report::default()
    };
    assert_eq!(held, Some(expected));
}

#[test]
fn long_passes_are_reported() {
    let record = |meter: &mut pass_meter::PassMeter| {
        [100, 160].into_iter().for_each(|millis| meter.pass(time::Span::millis(millis)));
    };
    let long = report(record, 0).unwrap();
    assert_eq!((long.total, long.longest), (time::Span::millis(260), time::Span::millis(160)));
}

#[test]
fn late_orders_are_reported() {
    let record = |meter: &mut pass_meter::PassMeter| {
        [4, 70].into_iter().for_each(|millis| meter.order(time::Span::millis(millis)));
    };
    let late = report(record, 0).unwrap();
    assert_eq!((late.orders, late.order_delay), (2, time::Span::millis(70)));
}

#[test]
fn each_report_covers_one_interval() {
    let mut meter = pass_meter::PassMeter::default();
    assert_eq!(meter.report(0, at(1_000)), None);
    assert_eq!(meter.report(5, at(2_000)).map(|report| report.held), Some(5));
    assert_eq!(meter.report(5, at(3_000)), None);
}

use gl_meter::{
    burn::{self, Alert, Objective},
    burn_text,
    counts::Class,
    totals::Totals,
};
use gl_model::{id, time};

const NOW: time::Timestamp = time::Timestamp(7 * 3_600 * 1_000_000);

fn minute(ago: u64) -> time::Timestamp {
    NOW - time::Span::seconds(ago * 60)
}

fn objective() -> Objective {
    Objective { service: id::JobId::from("booking"), share: 0.99 }
}

fn count(totals: &mut Totals, daemon: &str, class: Class, calls: u32, at: time::Timestamp) {
    let (daemon, vm) = (id::DaemonId::from(daemon), id::VmId::from("vm-7"));
    for _ in 0..calls {
        totals.add(&daemon, &objective().service, class, Some(&vm), at);
    }
}

#[test]
fn window_counts_the_calls_within_it() {
    let mut totals = Totals::default();
    count(&mut totals, "d1", Class::Good, 990, minute(2));
    count(&mut totals, "d1", Class::Late, 10, minute(2));
    count(&mut totals, "d1", Class::Unknown, 100, minute(20));
    let service = burn::service(&totals, &objective(), NOW);
    let five = &service.windows[0];
    assert_eq!((five.minutes, five.calls, five.bad), (5, 1_000, 10));
    assert!((five.rate - 1.0).abs() < 1e-9, "{}", five.rate);
    assert_eq!((service.late, service.unknown, service.windows[1].bad), (10, 100, 110));
    assert_eq!(service.worst_vms[0].calls, 110);
}

#[test]
fn alert_is_raised_only_if_both_windows_exceed_the_rate() {
    let mut totals = Totals::default();
    count(&mut totals, "d1", Class::Good, 10_000, minute(50));
    count(&mut totals, "d1", Class::NotRun, 100, minute(1));
    assert_eq!(burn::service(&totals, &objective(), NOW).alert, Alert::Quiet);
    count(&mut totals, "d1", Class::NotRun, 3_000, minute(30));
    assert_eq!(burn::service(&totals, &objective(), NOW).alert, Alert::Page);
    let later = NOW + time::Span::seconds(3_600);
    assert_ne!(burn::service(&totals, &objective(), later).alert, Alert::Page);
}

#[test]
fn buckets_received_repeatedly_or_late_are_counted_once() {
    let (mut first, mut second) = (Totals::default(), Totals::default());
    count(&mut first, "d1", Class::Good, 5, NOW);
    let from = id::DaemonId::from("d1");
    let early = first.take_changed();
    count(&mut first, "d1", Class::Good, 2, NOW);
    let late = first.take_changed();
    for buckets in [&late, &early, &late, &early] {
        second.merge(&from, buckets, NOW);
    }
    let sum = second.sum(&objective().service, time::Span::seconds(60), NOW);
    assert_eq!(sum.total(), 7);
    // A replacement daemon receives the counts of d1 from its peer d2.
    let mut replacement = Totals::default();
    replacement.merge(&id::DaemonId::from("d2"), &second.all(), NOW);
    assert_eq!(replacement.sum(&objective().service, time::Span::seconds(60), NOW).total(), 7);
}

#[test]
fn expired_buckets_are_removed() {
    let mut totals = Totals::default();
    count(&mut totals, "d1", Class::Good, 5, minute(400));
    totals.expire(NOW);
    assert!(totals.all().is_empty());
}

#[test]
fn text_report_lists_missing_daemons_and_contains_a_chart() {
    let mut totals = Totals::default();
    count(&mut totals, "d1", Class::Good, 5, NOW);
    let report = burn::Report {
        at: NOW,
        services: vec![burn::service(&totals, &objective(), NOW)],
        missing: vec![id::DaemonId::from("d9")],
    };
    let text = burn_text::render(&report);
    assert!(text.contains("booking  objective 99.000%  budget left 100.0%"), "{text}");
    assert!(text.contains("·█") && text.contains("missing: d9"), "{text}");
}

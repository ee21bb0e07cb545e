use gl_meter::{
    burn::{self, Alert, Objective},
    counts::Class,
    text,
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

fn count(board: &mut Totals, daemon: &str, end: Class, calls: u32, at: time::Timestamp) {
    let (daemon, vm) = (id::DaemonId::from(daemon), id::VmId::from("vm-7"));
    for _ in 0..calls {
        board.add(&daemon, &objective().service, end, Some(&vm), at);
    }
}

#[test]
fn a_window_counts_what_lies_in_it() {
    let mut board = Totals::default();
    count(&mut board, "d1", Class::Good, 990, minute(2));
    count(&mut board, "d1", Class::Late, 10, minute(2));
    count(&mut board, "d1", Class::Unknown, 100, minute(20));
    let service = burn::service(&board, &objective(), NOW);
    let five = &service.windows[0];
    assert_eq!((five.minutes, five.calls, five.bad), (5, 1_000, 10));
    assert!((five.rate - 1.0).abs() < 1e-9, "{}", five.rate);
    assert_eq!((service.late, service.unknown, service.windows[1].bad), (10, 100, 110));
    assert_eq!(service.worst_vms[0].calls, 110);
}

#[test]
fn an_alert_needs_both_of_its_windows() {
    let mut board = Totals::default();
    count(&mut board, "d1", Class::Good, 10_000, minute(50));
    count(&mut board, "d1", Class::NotRun, 100, minute(1));
    assert_eq!(burn::service(&board, &objective(), NOW).alert, Alert::Quiet);
    count(&mut board, "d1", Class::NotRun, 3_000, minute(30));
    assert_eq!(burn::service(&board, &objective(), NOW).alert, Alert::Page);
    let later = NOW + time::Span::seconds(3_600);
    assert_ne!(burn::service(&board, &objective(), later).alert, Alert::Page);
}

#[test]
fn peers_keep_each_others_counts_and_count_none_twice() {
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
    let mut replaced = Totals::default();
    replaced.merge(&id::DaemonId::from("d2"), &second.all(), NOW);
    assert_eq!(replaced.sum(&objective().service, time::Span::seconds(60), NOW).total(), 7);
}

#[test]
fn old_counts_are_dropped() {
    let mut board = Totals::default();
    count(&mut board, "d1", Class::Good, 5, minute(400));
    board.expire(NOW);
    assert!(board.all().is_empty());
}

#[test]
fn the_report_as_text_names_the_missing_and_draws_a_chart() {
    let mut board = Totals::default();
    count(&mut board, "d1", Class::Good, 5, NOW);
    let report = burn::Report {
        at: NOW,
        services: vec![burn::service(&board, &objective(), NOW)],
        missing: vec![id::DaemonId::from("d9")],
    };
    let text = text::render(&report);
    assert!(text.contains("booking  objective 99.000%  budget left 100.0%"), "{text}");
    assert!(text.contains("·█") && text.contains("missing: d9"), "{text}");
}

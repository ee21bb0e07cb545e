//! The learned models: interference between kinds of tasks, and sizes of tasks. Guards against
//! estimates that ignore reports, or that follow a single one too far.

use gl_model::{id, size};
use gl_schedule::{
    estimate::Estimates,
    interference::{Band, Count, Model},
};

fn count(kind: gl_schedule::interference::Kind, tasks: u32) -> Count {
    Count { kind, tasks }
}

#[test]
fn pair_without_reports_counts_as_interfering() {
    let mut model = Model::default();
    let booking = model.kind(&id::KindId::from("booking"));
    let (quiet, unseen) = (model.kind(&id::KindId::from("q")), model.kind(&id::KindId::from("u")));
    assert_eq!(
        model.pair_slowdown(booking, quiet, Band(0)),
        model.pair_slowdown(booking, unseen, Band(0))
    );
    for _ in 0..20 {
        model.observe(booking, Band(0), &[count(quiet, 3)], 1.0);
    }
    let (learned, prior) = (
        model.pair_slowdown(booking, quiet, Band(0)),
        model.pair_slowdown(booking, unseen, Band(0)),
    );
    assert!(learned < 0.01 && prior > 0.1, "{learned} against {prior}");
}

#[test]
fn load_band_without_reports_follows_the_nearest_band() {
    let mut model = Model::default();
    let booking = model.kind(&id::KindId::from("booking"));
    let noisy = model.kind(&id::KindId::from("noisy"));
    for _ in 0..50 {
        model.observe(booking, Band(1), &[count(noisy, 2)], 1.2);
    }
    let (low, high) = (
        model.pair_slowdown(booking, noisy, Band(1)),
        model.pair_slowdown(booking, noisy, Band(3)),
    );
    assert!((low - 0.1).abs() < 0.01 && high > low * 2.0, "{low} and {high}");
}

#[test]
fn model_separates_an_interfering_kind_from_a_harmless_one() {
    let mut model = Model::default();
    let booking = model.kind(&id::KindId::from("booking"));
    let noisy = model.kind(&id::KindId::from("noisy"));
    let quiet = model.kind(&id::KindId::from("quiet"));
    for round in 0..200_u32 {
        let (n, q) = (round % 4, (round / 4) % 5);
        let ratio = 1.0 + 0.2 * f64::from(n) + 0.01 * f64::from(q);
        model.observe(booking, Band(2), &[count(noisy, n), count(quiet, q)], ratio);
    }
    let (interfering, harmless) = (
        model.pair_slowdown(booking, noisy, Band(2)),
        model.pair_slowdown(booking, quiet, Band(2)),
    );
    assert!((interfering - 0.2).abs() < 0.02, "noisy {interfering}");
    assert!(harmless < 0.03, "quiet {harmless}");
    let other = model.pair_slowdown(booking, noisy, Band(0));
    assert!(other < 0.1, "another load band has its own coefficient: {other}");
}

#[test]
fn estimate_follows_usage_up_and_down_within_its_range() {
    let kind = id::KindId::from("report");
    let declared = size::Size { cores: 4_000, memory: 8_000, accelerators: 1 };
    for (factor, least, most) in [(0.25, 0.25, 0.45), (1.0, 1.0, 1.15), (4.0, 3.4, 4.0)] {
        let mut estimates = Estimates::default();
        let used = size::Size {
            cores: (4_000.0 * factor) as u64,
            memory: (8_000.0 * factor) as u64,
            accelerators: 1,
        };
        for _ in 0..64 {
            estimates.observe(&kind, &declared, &used);
        }
        let estimate = estimates.size(&kind, &declared);
        let share = estimate.cores as f64 / 4_000.0;
        assert!((least..=most).contains(&share), "{factor}: {share}");
        assert_eq!(estimate.accelerators, 1);
    }
}

#[test]
fn single_measurement_changes_an_estimate_little() {
    let kind = id::KindId::from("report");
    let declared = size::Size { cores: 4_000, memory: 8_000, accelerators: 0 };
    let mut estimates = Estimates::default();
    estimates.observe(&kind, &declared, &size::Size { cores: 16_000, ..declared });
    assert!(estimates.size(&kind, &declared).cores < 6_000);
}

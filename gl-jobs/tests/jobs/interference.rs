//! The interference model. It must find the best-effort images that interfere with a long-running
//! image, without attributing their interference to unrelated images.

use gl_jobs::owner::{CpuUse, InterferenceModel};
use gl_jobs::{job, worker};
use gl_model::time;

use crate::cell::{self, Cell};

/// The number of windows that a worker reports in about a minute.
const WINDOWS: usize = 60;

#[test]
fn contributing_image_is_distinguished_from_an_unrelated_one() {
    let mut model = InterferenceModel::default();
    let (desk, contributing, unrelated) =
        (model.intern("desk"), model.intern("g"), model.intern("b"));
    let together =
        [CpuUse { image: contributing, share: 0.1 }, CpuUse { image: unrelated, share: 0.1 }];
    let alone = [CpuUse { image: unrelated, share: 0.2 }];
    for n in 0..WINDOWS {
        let tail_ratio = if n % 3 == 0 { 4.0 } else { 0.4 };
        model.observe(desk, tail_ratio, &together);
        model.observe(desk, 0.4, &alone);
    }
    assert!(
        model.probability(desk, contributing) > 0.25,
        "{}",
        model.probability(desk, contributing)
    );
    assert!(model.probability(desk, unrelated) < 0.05, "{}", model.probability(desk, unrelated));
}

#[test]
fn interference_is_learned_for_each_long_running_image_separately() {
    let mut model = InterferenceModel::default();
    let (first, second, best_effort) = (model.intern("1"), model.intern("2"), model.intern("f"));
    let uses = [CpuUse { image: best_effort, share: 0.1 }];
    for _ in 0..WINDOWS {
        model.observe(first, 3.0, &uses);
        model.observe(second, 0.4, &uses);
    }
    assert!(model.probability(first, best_effort) > 0.8);
    assert!(model.probability(second, best_effort) < 0.05);
}

#[test]
fn unknown_pair_has_a_low_probability_above_zero() {
    let mut model = InterferenceModel::default();
    let (desk, best_effort) = (model.intern("desk"), model.intern("f"));
    let probability = model.probability(desk, best_effort);
    assert!(probability > 0.0 && probability < 0.1, "{probability}");
    assert_eq!(model.find("f"), Some(best_effort));
    assert_eq!(model.find("other"), None);
}

fn best_effort_job(image: &str) -> job::Job {
    let phase =
        job::Phase { best_effort: true, image: Some(image.to_owned()), ..cell::phase(1, 8_000) };
    cell::job(vec![phase])
}

/// Guards against contributing images that cannot be placed and block unrelated images that could
/// start, as seen under heavy load.
#[test]
fn image_that_cannot_be_placed_does_not_block_others() {
    let mut cell = Cell::new(1);
    let tail_target = Some(time::Span::millis(50));
    let desk = Some("desk".to_owned());
    let long_running =
        job::Phase { long_running: true, image: desk, tail_target, ..cell::phase(1, 30_000) };
    let long_running = cell::starts(&cell.submit(1, cell::job(vec![long_running]))).remove(0);
    cell.start_replied(&long_running, worker::OrderReply::Done);
    let contributing = cell::starts(&cell.submit(2, best_effort_job("contributing"))).remove(0);
    cell.start_replied(&contributing, worker::OrderReply::Done);
    for _ in 0..WINDOWS {
        cell.now += 600;
        let runs = [
            cell::running(&long_running, 100.0, 200.0),
            cell::running(&contributing, 30.0, 8_000.0),
        ];
        cell.poll(0, &runs);
        cell.tick();
    }
    cell.report_end(0, &contributing, worker::Outcome::Done);
    cell.poll(0, &[cell::running(&long_running, 100.0, 20.0)]);
    assert!(
        cell::starts(&cell.submit(3, best_effort_job("contributing"))).is_empty(),
        "it would interfere"
    );
    assert_eq!(cell::starts(&cell.submit(4, best_effort_job("unrelated"))).len(), 1);
}

/// Guards against a new owner that tries all pairs of images again after its predecessor was
/// killed.
#[test]
fn restored_model_predicts_the_same_interference() {
    let mut model = InterferenceModel::default();
    let (desk, contributing, unrelated) =
        (model.intern("desk"), model.intern("g"), model.intern("i"));
    for n in 0..WINDOWS {
        let tail_ratio = if n % 2 == 0 { 4.0 } else { 0.4 };
        model.observe(desk, tail_ratio, &[CpuUse { image: contributing, share: 0.1 }]);
        model.observe(desk, 0.4, &[CpuUse { image: unrelated, share: 0.1 }]);
    }
    let mut later = InterferenceModel::default();
    later.intern("another");
    later.restore(&model.snapshot());
    for best_effort in ["g", "i"] {
        let of = |model: &InterferenceModel| {
            let find = |name| model.find(name).expect("the image was added");
            model.probability(find("desk"), find(best_effort))
        };
        assert!((of(&model) - of(&later)).abs() < 1e-9, "{best_effort}");
    }
}

/// Guards against clients whose jobs name ever new images: the model grows with the square of their
/// number.
#[test]
fn images_beyond_the_limit_share_one_estimate() {
    let mut model = InterferenceModel::default();
    let images: std::collections::BTreeSet<_> =
        (0..2_000).map(|n| model.intern(&format!("image-{n}"))).collect();
    assert!(images.len() <= 512, "{} images", images.len());
    assert_eq!(model.intern("image-1999"), model.intern("another"));
    assert_ne!(model.intern("image-0"), model.intern("image-1"));
}

//! Learning which images harm which.

use gl_jobs::owner::{CpuUse, InterferenceModel};
use gl_jobs::{job, worker};
use gl_model::time;

use crate::cell::{self, Cell};

/// Windows of a minute or so at one worker.
const WINDOWS: usize = 60;

#[test]
fn the_guilty_image_is_told_from_its_bystander() {
    let mut model = InterferenceModel::default();
    let (desk, guilty, bystander) = (model.intern("desk"), model.intern("g"), model.intern("b"));
    let together = [CpuUse { image: guilty, share: 0.1 }, CpuUse { image: bystander, share: 0.1 }];
    let alone = [CpuUse { image: bystander, share: 0.2 }];
    for n in 0..WINDOWS {
        let tail_ratio = if n % 3 == 0 { 4.0 } else { 0.4 };
        model.observe(desk, tail_ratio, &together);
        model.observe(desk, 0.4, &alone);
    }
    assert!(model.probability(desk, guilty) > 0.25, "{}", model.probability(desk, guilty));
    assert!(model.probability(desk, bystander) < 0.05, "{}", model.probability(desk, bystander));
}

#[test]
fn harm_is_learnt_for_each_lasting_image_by_itself() {
    let mut model = InterferenceModel::default();
    let (first, second, fill) = (model.intern("1"), model.intern("2"), model.intern("f"));
    let uses = [CpuUse { image: fill, share: 0.1 }];
    for _ in 0..WINDOWS {
        model.observe(first, 3.0, &uses);
        model.observe(second, 0.4, &uses);
    }
    assert!(model.probability(first, fill) > 0.8);
    assert!(model.probability(second, fill) < 0.05);
}

#[test]
fn an_unknown_pair_is_tried_and_not_taken_for_guilty() {
    let mut model = InterferenceModel::default();
    let (desk, fill) = (model.intern("desk"), model.intern("f"));
    let probability = model.probability(desk, fill);
    assert!(probability > 0.0 && probability < 0.1, "{probability}");
    assert_eq!(model.find("f"), Some(fill));
    assert_eq!(model.find("other"), None);
}

fn fill(image: &str) -> job::Job {
    let phase =
        job::Phase { best_effort: true, image: Some(image.to_owned()), ..cell::phase(1, 8_000) };
    cell::job(vec![phase])
}

/// The pattern of the heavy days: some images harm everywhere and wait, others could start.
#[test]
fn an_image_that_finds_no_place_does_not_keep_others_waiting() {
    let mut cell = Cell::new(1);
    let tail_target = Some(time::Span::millis(50));
    let desk = Some("desk".to_owned());
    let lasting =
        job::Phase { long_running: true, image: desk, tail_target, ..cell::phase(1, 30_000) };
    let lasting = cell::starts(&cell.submit(1, cell::job(vec![lasting]))).remove(0);
    cell.answer(&lasting, worker::OrderReply::Done);
    let guilty = cell::starts(&cell.submit(2, fill("guilty"))).remove(0);
    cell.answer(&guilty, worker::OrderReply::Done);
    for _ in 0..WINDOWS {
        cell.now += 600;
        let runs = [cell::running(&lasting, 100.0, 200.0), cell::running(&guilty, 30.0, 8_000.0)];
        cell.poll(0, &runs);
        cell.tick();
    }
    cell.end(0, &guilty, worker::Outcome::Done);
    cell.poll(0, &[cell::running(&lasting, 100.0, 20.0)]);
    assert!(cell::starts(&cell.submit(3, fill("guilty"))).is_empty(), "it would harm");
    assert_eq!(cell::starts(&cell.submit(4, fill("innocent"))).len(), 1);
}

/// The pattern: an owner is killed, and the next one must not try all pairs again.
#[test]
fn a_later_owner_knows_which_images_harm() {
    let mut model = InterferenceModel::default();
    let (desk, guilty, innocent) = (model.intern("desk"), model.intern("g"), model.intern("i"));
    for n in 0..WINDOWS {
        let tail_ratio = if n % 2 == 0 { 4.0 } else { 0.4 };
        model.observe(desk, tail_ratio, &[CpuUse { image: guilty, share: 0.1 }]);
        model.observe(desk, 0.4, &[CpuUse { image: innocent, share: 0.1 }]);
    }
    let mut later = InterferenceModel::default();
    later.intern("another");
    later.restore(&model.snapshot());
    for fill in ["g", "i"] {
        let of = |model: &InterferenceModel| {
            let known = |name| model.find(name).expect("the image is known");
            model.probability(known("desk"), known(fill))
        };
        assert!((of(&model) - of(&later)).abs() < 1e-9, "{fill}");
    }
}

//! A model of how much best-effort images raise the tail latency of long-running ones.
//!
//! The interference model learns from windows over the target only, and averages over the load of the
//! long-running task. This model learns from each change of the measured tail ratio between two
//! windows, so a pair is known before it has done harm, and it predicts from the ratio at present.
//! The logarithm of the tail ratio is taken to be the sum of a level of the worker, which moves with the
//! load of the long-running task, and one effect for each best-effort image in proportion to the
//! share of the processors that the image uses. Differences between windows remove the level. Each
//! effect has a variance (a Kalman filter with a diagonal covariance), which shrinks with evidence and grows
//! with time.

use gl_model::time;

use crate::owner::{Owner, Worker, interference, workers};
use crate::worker;

/// The prior effect of a pair, and its standard deviation: the change of the logarithm of the tail ratio
/// if a best-effort image used all processors. A ratio of 0.3 reaches 1.0 at a fifth of the processors
/// with an effect of 6.
const PRIOR_EFFECT: f64 = 1.5;
const PRIOR_DEVIATION: f64 = 4.0;
/// The variance of the difference of two measurements of the logarithm of a tail ratio.
const NOISE: f64 = 0.08;
/// The variance that an effect gains with each window in which its image is present.
const DRIFT: f64 = 0.02;
/// The number of standard deviations by which a prediction exceeds the expected value.
const CAUTION: f64 = 0.5;
/// The time between two windows above which their difference shows the load rather than the
/// best-effort tasks.
const MAX_GAP: time::Span = time::Span::millis(2_500);
/// The lowest tail ratio that is told apart from others; below it the logarithm is mostly noise.
const MIN_RATIO: f64 = 0.02;

/// The estimated effect of a best-effort image on a long-running one.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Effect {
    mean: f64,
    variance: f64,
}

const PRIOR: Effect = Effect { mean: PRIOR_EFFECT, variance: PRIOR_DEVIATION * PRIOR_DEVIATION };

/// The effects of all pairs of images.
#[derive(Clone, Debug, Default)]
pub struct PressureModel {
    /// Indexed by the long-running image, then by the best-effort image.
    effects: Vec<Vec<Effect>>,
}

/// The last window of a worker that the model has seen.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Window {
    /// The time of the window's end.
    pub at: time::Timestamp,
    /// The highest tail ratio of each long-running image.
    pub levels: Vec<Level>,
    /// The processor use of each best-effort image.
    pub uses: Vec<interference::CpuUse>,
}

/// The tail ratio of a long-running image on a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Level {
    /// The image.
    pub image: interference::ImageId,
    /// The tail ratio.
    pub ratio: f64,
}

impl Window {
    fn share(&self, image: interference::ImageId) -> f64 {
        self.uses.iter().find(|used| used.image == image).map_or(0.0, |used| used.share)
    }
}

impl PressureModel {
    fn effect(&self, long_running: interference::ImageId, image: interference::ImageId) -> Effect {
        let row = self.effects.get(long_running.index());
        row.and_then(|row| row.get(image.index())).copied().unwrap_or(PRIOR)
    }

    fn effect_mut(
        &mut self,
        long_running: interference::ImageId,
        image: interference::ImageId,
    ) -> &mut Effect {
        let (n, m) = (long_running.index(), image.index());
        if self.effects.len() <= n {
            self.effects.resize(n + 1, Vec::new());
        }
        let row = &mut self.effects[n];
        if row.len() <= m {
            row.resize(m + 1, PRIOR);
        }
        &mut row[m]
    }

    /// Learns from the change between two windows of a worker.
    pub fn observe(&mut self, before: &Window, after: &Window) {
        let images = before.uses.iter().chain(&after.uses).map(|used| used.image);
        let mut changes: Vec<interference::CpuUse> = Vec::new();
        for image in images {
            if changes.iter().all(|change| change.image != image) {
                let share = after.share(image) - before.share(image);
                changes.push(interference::CpuUse { image, share });
            }
        }
        for level in &after.levels {
            let earlier = before.levels.iter().find(|earlier| earlier.image == level.image);
            if let Some(earlier) = earlier {
                let rise = level.ratio.max(MIN_RATIO).ln() - earlier.ratio.max(MIN_RATIO).ln();
                self.learn(level.image, rise, &changes);
            }
        }
    }

    fn learn(
        &mut self,
        long_running: interference::ImageId,
        rise: f64,
        changes: &[interference::CpuUse],
    ) {
        let (mut expected, mut variance) = (0.0, NOISE);
        for change in changes {
            let effect = self.effect(long_running, change.image);
            expected += effect.mean * change.share;
            variance += effect.variance * change.share * change.share;
        }
        for change in changes {
            let effect = self.effect_mut(long_running, change.image);
            let gain = effect.variance * change.share / variance;
            effect.mean = (effect.mean + gain * (rise - expected)).max(0.0);
            effect.variance *= 1.0 - gain * change.share;
            effect.variance = (effect.variance + DRIFT).min(PRIOR.variance);
        }
    }

    /// Returns the tail ratio of a long-running image that is exceeded with little probability once
    /// the best-effort images use more processors by these shares.
    pub fn predict(&self, level: &Level, added: &[interference::CpuUse]) -> f64 {
        let (mut rise, mut variance) = (0.0, 0.0);
        for change in added {
            let effect = self.effect(level.image, change.image);
            rise += effect.mean * change.share;
            variance += effect.variance * change.share * change.share;
        }
        level.ratio * (rise + CAUTION * variance.sqrt()).exp()
    }
}

/// Records the window of a worker that has just replied to a poll, and learns from it. Windows of one
/// worker do not overlap.
pub(in crate::owner) fn observe(
    owner: &mut Owner,
    id: &worker::WorkerId,
    levels: Vec<Level>,
    uses: &[interference::CpuUse],
    now: time::Timestamp,
) {
    let interval = owner.settings.load_window;
    let Some(worker) = owner.workers.get_mut(id) else {
        return;
    };
    let gap = now.since(worker.window.at);
    if gap < interval {
        return;
    }
    let window = Window { at: now, levels, uses: uses.to_vec() };
    let before = std::mem::replace(&mut worker.window, window.clone());
    if gap <= MAX_GAP {
        owner.pressure.observe(&before, &window);
    }
}

/// Returns the highest tail ratio that a worker's long-running images are predicted to have once one more
/// task of a best-effort image has started there.
pub(in crate::owner) fn predicted_ratio(
    owner: &Owner,
    w: &Worker,
    image: interference::ImageId,
    cores: u64,
) -> f64 {
    let total = (w.registration.size.cores as f64).max(1.0);
    let share = |image, cores: u64| cores as f64 * owner.interference.cpu_use(image) / total;
    // Tasks that started after the window are not in its measurements yet.
    let unseen = |entry: &workers::ImageCores| {
        let expected = share(entry.image, entry.cores);
        let share = (expected - w.window.share(entry.image)).max(0.0);
        interference::CpuUse { image: entry.image, share }
    };
    let mut added: Vec<_> = w.best_effort_images.iter().map(unseen).collect();
    added.push(interference::CpuUse { image, share: share(image, cores) });
    let levels = w.window.levels.iter();
    levels.map(|level| owner.pressure.predict(level, &added)).fold(0.0, f64::max)
}

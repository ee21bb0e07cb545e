//! A model of the interference of best-effort images with long-running ones, learned from the
//! reports of workers.
//!
//! Interference shows only while the long-running task is busy, and several best-effort images may
//! share its worker. Therefore the model is a noisy-OR model: each pair of images has a probability
//! that the long-running image exceeds its latency target in one measurement window in which the
//! best-effort image uses enough of the worker. The probabilities are fitted by online expectation
//! maximisation: the responsibility for a window with interference is divided among the images
//! present, and the leak, in proportion to their current probabilities. As the combinations of
//! images change, this separates the images that contribute from unrelated ones. The latest windows
//! with interference are kept and divided anew with each measurement, because their first
//! responsibilities were computed from less accurate probabilities.

use std::collections;

use crate::record;

/// The most images that are told apart, as the model has an entry for each pair of them.
const MAX_IMAGES: usize = 512;
/// The name that stands for all further images. No phase has an image with an empty name.
const OTHER_IMAGES: &str = "";

/// The index of an image, in the order in which images were first used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ImageId(usize);

impl ImageId {
    /// Returns the index.
    pub(in crate::owner) const fn index(self) -> usize {
        self.0
    }
}

/// The tail ratio at or above which a window counts as one with interference.
const INTERFERENCE_RATIO: f64 = 1.0;
/// The share of a worker's processors at or above which a best-effort image has its full effect.
const FULL_SHARE: f64 = 0.1;
/// The leak probability: that a window counts as one with interference although no image
/// contributes.
const LEAK_PROBABILITY: f64 = 0.015;
/// The prior of a new pair: the number of windows that it counts for, and the responsibility in
/// them. The resulting probability is low enough that the pair is tried, and high enough that it is
/// tried with care.
const PRIOR: Pair = Pair { windows: 4.0, settled: 0.2, recent: 0.0 };
/// The decay factor per window, which gives the model a memory of some minutes.
const DECAY: f64 = 0.995;
/// The weight of a new measurement of an image's processor use.
const CPU_USE_WEIGHT: f64 = 0.1;

/// The number of windows with interference kept for each long-running image. It is large enough
/// that the responsibilities in a discarded window have settled.
const KEPT_WINDOWS: usize = 64;

/// The maximum number of pairs that are stored for later owners; they take some tens of kilobytes.
const SNAPSHOT_PAIRS: usize = 500;

/// The observations of a long-running image that shared a worker with a best-effort image.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Pair {
    windows: f64,
    /// The responsibility for windows with interference that are no longer kept.
    settled: f64,
    /// The responsibility for windows that are kept.
    recent: f64,
}

impl Pair {
    const fn probability(self) -> f64 {
        (self.settled + self.recent) / self.windows
    }
}

/// A window in which a long-running image exceeded its target.
type InterferenceWindow = Vec<Contribution>;

/// A best-effort image that was present in a window with interference.
#[derive(Clone, Copy, Debug)]
struct Contribution {
    image: ImageId,
    /// The share of its full effect that it could have in the window.
    weight: f64,
    /// The accumulated decay of the window for this image.
    decay: f64,
}

/// The observations of a long-running image.
#[derive(Clone, Debug, Default)]
struct ImageModel {
    /// The pairs, indexed by the best-effort image.
    pairs: Vec<Pair>,
    kept_windows: collections::VecDeque<InterferenceWindow>,
}

impl ImageModel {
    /// Counts a window in which an image was present.
    fn count(&mut self, cpu_use: &CpuUse) {
        let Some(pair) = self.pairs.get_mut(cpu_use.image.0) else {
            return;
        };
        pair.windows = pair.windows * DECAY + cpu_use.weight();
        pair.settled *= DECAY;
        for contribution in
            self.kept_windows.iter_mut().flatten().filter(|c| c.image == cpu_use.image)
        {
            contribution.decay *= DECAY;
        }
    }

    /// Keeps a window with interference. If there are too many, the oldest is discarded and its
    /// current responsibilities become final.
    fn keep_window(&mut self, cpu_uses: &[CpuUse]) {
        let contribution = |cpu_use: &CpuUse| Contribution {
            image: cpu_use.image,
            weight: cpu_use.weight(),
            decay: 1.0,
        };
        self.kept_windows.push_back(cpu_uses.iter().map(contribution).collect());
        if self.kept_windows.len() <= KEPT_WINDOWS {
            return;
        }
        let mut responsibilities = vec![0.0; self.pairs.len()];
        if let Some(oldest) = self.kept_windows.pop_front() {
            self.assign(&oldest, &mut responsibilities);
        }
        for (pair, responsibility) in self.pairs.iter_mut().zip(responsibilities) {
            pair.settled += responsibility;
        }
    }

    /// Divides the kept windows among the images by the current probabilities.
    fn reassign_all(&mut self) {
        let mut responsibilities = vec![0.0; self.pairs.len()];
        for window in &self.kept_windows {
            self.assign(window, &mut responsibilities);
        }
        for (pair, responsibility) in self.pairs.iter_mut().zip(responsibilities) {
            pair.recent = responsibility;
        }
    }

    /// Adds the responsibility of each image in a window to `responsibilities`, which is indexed by
    /// image.
    fn assign(&self, window: &[Contribution], responsibilities: &mut [f64]) {
        let likelihood = |c: &Contribution| self.probability(c.image) * c.weight;
        let total = LEAK_PROBABILITY + window.iter().map(likelihood).sum::<f64>();
        for contribution in window {
            responsibilities[contribution.image.0] +=
                likelihood(contribution) / total * contribution.decay;
        }
    }

    fn probability(&self, image: ImageId) -> f64 {
        self.pairs.get(image.0).copied().unwrap_or(PRIOR).probability()
    }
}

/// The interference model: the images, and the observations of each pair.
#[derive(Clone, Debug, Default)]
pub struct InterferenceModel {
    images: collections::HashMap<String, ImageId>,
    /// The observations of each image as a long-running one, indexed by image.
    long_running: Vec<ImageModel>,
    /// The share of its declared processors that each image uses when it is not throttled.
    cpu_uses: Vec<f64>,
}

/// The processor use of a best-effort image on a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CpuUse {
    /// The image.
    pub image: ImageId,
    /// The share of the worker's processors that its tasks use.
    pub share: f64,
}

impl CpuUse {
    /// Returns the share of its full effect that the image can have.
    fn weight(&self) -> f64 {
        (self.share / FULL_SHARE).clamp(0.0, 1.0)
    }
}

impl InterferenceModel {
    /// Returns the identifier of an image, and adds the image if it is unknown. If there are too many, all
    /// further ones share an identifier.
    pub fn intern(&mut self, name: &str) -> ImageId {
        if let Some(image) = self.images.get(name) {
            return *image;
        }
        let name = if self.images.len() < MAX_IMAGES - 1 { name } else { OTHER_IMAGES };
        if let Some(image) = self.images.get(name) {
            return *image;
        }
        let image = ImageId(self.images.len());
        self.images.insert(name.to_owned(), image);
        self.cpu_uses.push(1.0);
        for long_running in &mut self.long_running {
            long_running.pairs.push(PRIOR);
        }
        let pairs = vec![PRIOR; self.images.len()];
        self.long_running.push(ImageModel { pairs, ..ImageModel::default() });
        image
    }

    /// Returns the identifier of an image, or `None` if the image is unknown.
    pub fn find(&self, name: &str) -> Option<ImageId> {
        self.images.get(name).copied()
    }

    /// Returns the probability that a best-effort image interferes with a long-running one.
    pub fn probability(&self, long_running: ImageId, best_effort: ImageId) -> f64 {
        self.long_running
            .get(long_running.0)
            .map_or(PRIOR.probability(), |model| model.probability(best_effort))
    }

    /// Returns the number of recent windows in which a pair of images was observed.
    pub fn windows(&self, long_running: ImageId, best_effort: ImageId) -> f64 {
        let model = self.long_running.get(long_running.0);
        let pair = model.and_then(|model| model.pairs.get(best_effort.0));
        pair.map_or(0.0, |pair| (pair.windows - PRIOR.windows).max(0.0))
    }

    /// Returns an upper bound of the probability that any of these best-effort images interferes
    /// with a long-running one.
    pub fn combined_probability(
        &self,
        long_running: ImageId,
        cpu_uses: impl Iterator<Item = CpuUse>,
    ) -> f64 {
        cpu_uses
            .map(|cpu_use| self.probability(long_running, cpu_use.image) * cpu_use.weight())
            .sum()
    }

    /// Updates the model with one window: the highest tail ratio of a long-running image on a
    /// worker, and the best-effort images that shared the worker.
    pub fn observe(&mut self, long_running: ImageId, tail_ratio: f64, cpu_uses: &[CpuUse]) {
        let Some(model) = self.long_running.get_mut(long_running.0) else {
            return;
        };
        for cpu_use in cpu_uses {
            model.count(cpu_use);
        }
        if tail_ratio >= INTERFERENCE_RATIO {
            model.keep_window(cpu_uses);
        }
        model.reassign_all();
    }

    /// Returns the pairs with the most windows, to be stored for later owners.
    pub fn snapshot(&self) -> record::ModelSnapshot {
        let mut names = vec![""; self.long_running.len()];
        for (name, image) in &self.images {
            names[image.0] = name;
        }
        let of_image = |(model, long_running): (&ImageModel, &&str)| {
            let observed = model.pairs.iter().zip(&names).filter(|(pair, _)| **pair != PRIOR);
            let pair = |(pair, best_effort): (&Pair, &&str)| record::ImagePair {
                long_running: (*long_running).to_owned(),
                best_effort: (*best_effort).to_owned(),
                windows: pair.windows,
                responsibility: pair.settled + pair.recent,
            };
            observed.map(pair).collect::<Vec<_>>()
        };
        let mut pairs: Vec<_> = self.long_running.iter().zip(&names).flat_map(of_image).collect();
        pairs.sort_by(|a, b| b.windows.total_cmp(&a.windows));
        pairs.truncate(SNAPSHOT_PAIRS);
        record::ModelSnapshot { pairs }
    }

    /// Restores the pairs that an earlier owner has stored.
    pub fn restore(&mut self, model: &record::ModelSnapshot) {
        for pair in &model.pairs {
            let (long_running, best_effort) =
                (self.intern(&pair.long_running), self.intern(&pair.best_effort));
            let restored =
                Pair { windows: pair.windows, settled: pair.responsibility, recent: 0.0 };
            self.long_running[long_running.0].pairs[best_effort.0] = restored;
        }
    }

    /// Returns the share of its declared processors that an image uses.
    pub fn cpu_use(&self, image: ImageId) -> f64 {
        self.cpu_uses.get(image.0).copied().unwrap_or(1.0)
    }

    /// Updates the share of its declared processors that an image uses, from the share that one of
    /// its tasks has used without being throttled.
    pub fn observe_cpu_use(&mut self, image: ImageId, share: f64) {
        if let Some(cpu_use) = self.cpu_uses.get_mut(image.0) {
            *cpu_use += (share.clamp(0.0, 1.0) - *cpu_use) * CPU_USE_WEIGHT;
        }
    }
}

//! Which tasks that fill in harm which lasting tasks, learnt for each pair of images from what
//! workers report.
//!
//! A lasting task shows harm only while it is busy, and several fill images may stand beside it.
//! So each pair has a probability: that the lasting image's tail is over its target in one window
//! of measurement beside enough of the fill image. Windows with harm are shared out over the
//! images present by these probabilities, which tells the guilty from the bystanders as mixes
//! change (expectation maximisation of a noisy-or model). The latest windows with harm are kept
//! and shared out anew with each measurement: their first shares come from what was not known yet.

use std::collections;

use crate::record;

/// An image, by the order in which images were first seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ImageId(usize);

/// A tail over this multiple of its target counts as harm.
const INTERFERENCE_RATIO: f64 = 1.0;
/// The share of a worker's processors from which on a fill image shows its full harm.
const FULL_SHARE: f64 = 0.1;
/// The probability of such a tail beside nothing that harms.
const LEAK_PROBABILITY: f64 = 0.015;
/// Windows that a new pair is taken to have been seen for, and the part of them with harm: tried
/// with care, not avoided.
const PRIOR: Pair = Pair { windows: 4.0, settled: 0.2, recent: 0.0 };
/// What remains of the past with each window, so that some minutes count.
const DECAY: f64 = 0.995;
/// How much a new measurement of an image's use of its processors counts.
const CPU_USE_WEIGHT: f64 = 0.1;

/// The windows with harm that are kept for each lasting image; enough of them that the shares of
/// those that are dropped don't change any more.
const KEPT_WINDOWS: usize = 64;

/// The pairs that are kept for a later owner at most; some tens of kilobytes.
const SNAPSHOT_PAIRS: usize = 500;

/// What was seen of a lasting image beside a fill image.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Pair {
    windows: f64,
    /// The image's part of the windows with harm, without those that are kept.
    settled: f64,
    /// Its part of those that are kept.
    recent: f64,
}

impl Pair {
    const fn probability(self) -> f64 {
        (self.settled + self.recent) / self.windows
    }
}

/// A window in which a lasting image was harmed.
type InterferenceWindow = Vec<Contribution>;

/// A fill image that was present in a window with harm.
#[derive(Clone, Copy, Debug)]
struct Contribution {
    image: ImageId,
    /// How much of its harm it could show.
    weight: f64,
    /// What remains of the window for this image, as time passes.
    decay: f64,
}

/// What is known of a lasting image.
#[derive(Clone, Debug, Default)]
struct ImageModel {
    /// By fill image.
    pairs: Vec<Pair>,
    kept_windows: collections::VecDeque<InterferenceWindow>,
}

impl ImageModel {
    /// Counts one more window for an image that was present.
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

    /// Keeps a window with harm. The oldest beyond the limit keeps the shares that it has.
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

    /// Shares the kept windows out by what is known now.
    fn reassign_all(&mut self) {
        let mut responsibilities = vec![0.0; self.pairs.len()];
        for window in &self.kept_windows {
            self.assign(window, &mut responsibilities);
        }
        for (pair, responsibility) in self.pairs.iter_mut().zip(responsibilities) {
            pair.recent = responsibility;
        }
    }

    /// Adds each image's part in a window with harm to `parts`, which goes by image.
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

/// Images, and what is known of each pair.
#[derive(Clone, Debug, Default)]
pub struct InterferenceModel {
    images: collections::HashMap<String, ImageId>,
    long_running: Vec<ImageModel>,
    /// The share of its declared processors that an image uses when nothing holds it back.
    cpu_uses: Vec<f64>,
}

/// A fill image's use of a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CpuUse {
    /// The image.
    pub image: ImageId,
    /// The share of the worker's processors that its tasks use.
    pub share: f64,
}

impl CpuUse {
    /// How much of its harm the image can show.
    fn weight(&self) -> f64 {
        (self.share / FULL_SHARE).clamp(0.0, 1.0)
    }
}

impl InterferenceModel {
    /// The image with this name.
    pub fn intern(&mut self, name: &str) -> ImageId {
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

    /// The image with this name, if it was seen before.
    pub fn find(&self, name: &str) -> Option<ImageId> {
        self.images.get(name).copied()
    }

    /// The probability that a fill image harms a lasting one.
    pub fn probability(&self, long_running: ImageId, best_effort: ImageId) -> f64 {
        self.long_running
            .get(long_running.0)
            .map_or(PRIOR.probability(), |model| model.probability(best_effort))
    }

    /// The probability that one of these fill images harms a lasting one; an upper bound.
    pub fn combined_probability(
        &self,
        long_running: ImageId,
        cpu_uses: impl Iterator<Item = CpuUse>,
    ) -> f64 {
        cpu_uses
            .map(|cpu_use| self.probability(long_running, cpu_use.image) * cpu_use.weight())
            .sum()
    }

    /// Learns from one window in which the highest tail of a lasting image on a worker, as a
    /// multiple of its target, was seen beside fill tasks.
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

    /// What a later owner needs to know: the pairs that were seen most.
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

    /// Takes over what an earlier owner has learnt.
    pub fn restore(&mut self, model: &record::ModelSnapshot) {
        for pair in &model.pairs {
            let (long_running, best_effort) =
                (self.intern(&pair.long_running), self.intern(&pair.best_effort));
            let restored =
                Pair { windows: pair.windows, settled: pair.responsibility, recent: 0.0 };
            self.long_running[long_running.0].pairs[best_effort.0] = restored;
        }
    }

    /// The share of its declared processors that an image uses.
    pub fn cpu_use(&self, image: ImageId) -> f64 {
        self.cpu_uses.get(image.0).copied().unwrap_or(1.0)
    }

    /// Learns how much a task of an image uses when nothing holds it back.
    pub fn observe_cpu_use(&mut self, image: ImageId, share: f64) {
        if let Some(known) = self.cpu_uses.get_mut(image.0) {
            *known += (share.clamp(0.0, 1.0) - *known) * CPU_USE_WEIGHT;
        }
    }
}

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
const HARMED: f64 = 1.0;
/// The share of a worker's processors from which on a fill image shows its full harm.
const FULL_SHARE: f64 = 0.1;
/// The probability of such a tail beside nothing that harms.
const LEAK: f64 = 0.015;
/// Windows that a new pair is taken to have been seen for, and the part of them with harm: tried
/// with care, not avoided.
const PRIOR: Pair = Pair { windows: 4.0, settled: 0.2, recent: 0.0 };
/// What remains of the past with each window, so that some minutes count.
const FADE: f64 = 0.995;
/// How much a new measurement of an image's use of its processors counts.
const USE_WEIGHT: f64 = 0.1;

/// The windows with harm that are kept for each lasting image; enough of them that the shares of
/// those that are dropped don't change any more.
const RECALL: usize = 64;

/// The pairs that are kept for a later owner at most; some tens of kilobytes.
const LEARNT: usize = 500;

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
type Harmed = Vec<Suspect>;

/// A fill image that was present in a window with harm.
#[derive(Clone, Copy, Debug)]
struct Suspect {
    fill: ImageId,
    /// How much of its harm it could show.
    weight: f64,
    /// What remains of the window for this image, as time passes.
    faded: f64,
}

/// What is known of a lasting image.
#[derive(Clone, Debug, Default)]
struct Lasting {
    /// By fill image.
    pairs: Vec<Pair>,
    harmed: collections::VecDeque<Harmed>,
}

impl Lasting {
    /// Counts one more window for an image that was present.
    fn count(&mut self, fill: &CpuUse) {
        let Some(pair) = self.pairs.get_mut(fill.image.0) else {
            return;
        };
        pair.windows = pair.windows * FADE + fill.weight();
        pair.settled *= FADE;
        for suspect in self.harmed.iter_mut().flatten().filter(|s| s.fill == fill.image) {
            suspect.faded *= FADE;
        }
    }

    /// Keeps a window with harm. The oldest beyond the limit keeps the shares that it has.
    fn keep(&mut self, fills: &[CpuUse]) {
        let suspect =
            |fill: &CpuUse| Suspect { fill: fill.image, weight: fill.weight(), faded: 1.0 };
        self.harmed.push_back(fills.iter().map(suspect).collect());
        if self.harmed.len() <= RECALL {
            return;
        }
        let mut parts = vec![0.0; self.pairs.len()];
        if let Some(oldest) = self.harmed.pop_front() {
            self.share(&oldest, &mut parts);
        }
        for (pair, part) in self.pairs.iter_mut().zip(parts) {
            pair.settled += part;
        }
    }

    /// Shares the kept windows out by what is known now.
    fn share_all(&mut self) {
        let mut parts = vec![0.0; self.pairs.len()];
        for window in &self.harmed {
            self.share(window, &mut parts);
        }
        for (pair, part) in self.pairs.iter_mut().zip(parts) {
            pair.recent = part;
        }
    }

    /// Adds each image's part in a window with harm to `parts`, which goes by image.
    fn share(&self, window: &[Suspect], parts: &mut [f64]) {
        let blame = |s: &Suspect| self.probability(s.fill) * s.weight;
        let total = LEAK + window.iter().map(blame).sum::<f64>();
        for suspect in window {
            parts[suspect.fill.0] += blame(suspect) / total * suspect.faded;
        }
    }

    fn probability(&self, fill: ImageId) -> f64 {
        self.pairs.get(fill.0).copied().unwrap_or(PRIOR).probability()
    }
}

/// Images, and what is known of each pair.
#[derive(Clone, Debug, Default)]
pub struct InterferenceModel {
    images: collections::HashMap<String, ImageId>,
    lasting: Vec<Lasting>,
    /// The share of its declared processors that an image uses when nothing holds it back.
    uses: Vec<f64>,
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
        self.uses.push(1.0);
        for lasting in &mut self.lasting {
            lasting.pairs.push(PRIOR);
        }
        let pairs = vec![PRIOR; self.images.len()];
        self.lasting.push(Lasting { pairs, ..Lasting::default() });
        image
    }

    /// The image with this name, if it was seen before.
    pub fn find(&self, name: &str) -> Option<ImageId> {
        self.images.get(name).copied()
    }

    /// The probability that a fill image harms a lasting one.
    pub fn probability(&self, lasting: ImageId, fill: ImageId) -> f64 {
        self.lasting.get(lasting.0).map_or(PRIOR.probability(), |known| known.probability(fill))
    }

    /// The probability that one of these fill images harms a lasting one; an upper bound.
    pub fn combined_probability(
        &self,
        lasting: ImageId,
        fills: impl Iterator<Item = CpuUse>,
    ) -> f64 {
        fills.map(|fill| self.probability(lasting, fill.image) * fill.weight()).sum()
    }

    /// Learns from one window in which the highest tail of a lasting image on a worker, as a
    /// multiple of its target, was seen beside fill tasks.
    pub fn observe(&mut self, lasting: ImageId, tail_ratio: f64, fills: &[CpuUse]) {
        let Some(known) = self.lasting.get_mut(lasting.0) else {
            return;
        };
        for fill in fills {
            known.count(fill);
        }
        if tail_ratio >= HARMED {
            known.keep(fills);
        }
        known.share_all();
    }

    /// What a later owner needs to know: the pairs that were seen most.
    pub fn snapshot(&self) -> record::ModelSnapshot {
        let mut names = vec![""; self.lasting.len()];
        for (name, image) in &self.images {
            names[image.0] = name;
        }
        let of_image = |(known, lasting): (&Lasting, &&str)| {
            let seen = known.pairs.iter().zip(&names).filter(|(pair, _)| **pair != PRIOR);
            let pair = |(pair, fill): (&Pair, &&str)| record::ImagePair {
                long_running: (*lasting).to_owned(),
                best_effort: (*fill).to_owned(),
                windows: pair.windows,
                responsibility: pair.settled + pair.recent,
            };
            seen.map(pair).collect::<Vec<_>>()
        };
        let mut pairs: Vec<_> = self.lasting.iter().zip(&names).flat_map(of_image).collect();
        pairs.sort_by(|a, b| b.windows.total_cmp(&a.windows));
        pairs.truncate(LEARNT);
        record::ModelSnapshot { pairs }
    }

    /// Takes over what an earlier owner has learnt.
    pub fn restore(&mut self, model: &record::ModelSnapshot) {
        for pair in &model.pairs {
            let (lasting, fill) = (self.intern(&pair.long_running), self.intern(&pair.best_effort));
            let known = Pair { windows: pair.windows, settled: pair.responsibility, recent: 0.0 };
            self.lasting[lasting.0].pairs[fill.0] = known;
        }
    }

    /// The share of its declared processors that an image uses.
    pub fn cpu_use(&self, image: ImageId) -> f64 {
        self.uses.get(image.0).copied().unwrap_or(1.0)
    }

    /// Learns how much a task of an image uses when nothing holds it back.
    pub fn observe_cpu_use(&mut self, image: ImageId, share: f64) {
        if let Some(known) = self.uses.get_mut(image.0) {
            *known += (share.clamp(0.0, 1.0) - *known) * USE_WEIGHT;
        }
    }
}

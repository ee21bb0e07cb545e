//! How much tasks of one kind slow down a service beside them, learned from lagging reports.
//!
//! The model is additive: the slowdown of a service on a VM, minus one, is the sum over its
//! neighbours of one figure per pair of kinds and load band. Each report moves the figures of
//! the pairs that it saw by a normalised least-mean-squares step, whose rate falls with the
//! number of reports; a pair that was never seen keeps the prior.

use gl_model::{id, table};

/// The slowdown that one neighbour of an unknown kind is expected to cause.
const PRIOR: f64 = 0.02;
/// What is added to the prior of a pair that was never seen, so that a wave of tasks of a new
/// kind is let in beside services only as reports come.
const UNSURE: f64 = 0.10;
/// Reports that the prior counts for.
const PRIOR_REPORTS: f64 = 2.0;
/// The largest step of a figure towards a new report, as a share.
const FASTEST: f64 = 0.5;
/// The smallest step, which lets the figures follow a change.
const SLOWEST: f64 = 0.05;
/// The largest figure of one pair.
const MOST: f64 = 4.0;
/// The number of load bands.
pub const BANDS: u8 = 4;
const BAND_CELLS: usize = BANDS as usize;

/// The number by which the model knows a kind.
#[gl_derive::unit]
pub struct Kind(pub u16);

/// A service's load, in quarters of its slots.
#[gl_derive::unit]
pub struct Band(pub u8);

/// The load at which a service is expected to run before it was measured.
pub const DEFAULT_BAND: Band = Band(2);

impl Band {
    /// The band of a load between 0 and 1.
    pub fn of(load: f64) -> Self {
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped")]
        let band = (load.clamp(0.0, 0.999) * f64::from(BANDS)) as u8;
        Self(band)
    }
}

/// How many tasks of one kind run on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Count {
    /// The kind.
    pub kind: Kind,
    /// The number of its tasks.
    pub tasks: u32,
}

#[derive(Clone, Copy, Debug)]
struct Cell {
    harm: f64,
    reports: f64,
}

const UNKNOWN: Cell = Cell { harm: PRIOR, reports: 0.0 };

/// What was learned about all pairs of kinds.
#[derive(Clone, Debug, Default)]
pub struct Model {
    kinds: table::Table<id::KindId, Kind>,
    cells: Vec<Cell>,
    width: usize,
}

impl Model {
    /// The number of `kind`, given on first use.
    pub fn kind(&mut self, kind: &id::KindId) -> Kind {
        if let Some(known) = self.kinds.get(kind) {
            return *known;
        }
        let number = Kind(u16::try_from(self.kinds.len()).unwrap_or(u16::MAX));
        self.kinds.put(kind.clone(), number);
        self.widen(usize::from(number.0) + 1);
        number
    }

    fn widen(&mut self, needed: usize) {
        if needed <= self.width {
            return;
        }
        let width = needed.next_power_of_two().max(8);
        let mut cells = vec![UNKNOWN; width * width * BAND_CELLS];
        for victim in 0..self.width {
            for source in 0..self.width {
                for band in 0..BAND_CELLS {
                    let old = (victim * self.width + source) * BAND_CELLS + band;
                    cells[(victim * width + source) * BAND_CELLS + band] = self.cells[old];
                }
            }
        }
        self.cells = cells;
        self.width = width;
    }

    fn at(&self, victim: Kind, source: Kind, band: Band) -> usize {
        let pair = usize::from(victim.0) * self.width + usize::from(source.0);
        pair * BAND_CELLS + usize::from(band.0.min(BANDS - 1))
    }

    /// The slowdown that one task of kind `source` is expected to cause to a task of `victim`:
    /// what was reported, drawn towards a prior while the reports are few.
    pub fn pair_slowdown(&self, victim: Kind, source: Kind, band: Band) -> f64 {
        let cell = self.cells.get(self.at(victim, source, band)).copied().unwrap_or(UNKNOWN);
        let weight = cell.reports / (cell.reports + PRIOR_REPORTS);
        if weight > 0.9 {
            return cell.harm;
        }
        weight * cell.harm + (1.0 - weight) * self.prior(victim, source, band)
    }

    /// What the other load bands let expect: harm grows with load. A pair that was seen in none
    /// counts as harmful until it is seen.
    fn prior(&self, victim: Kind, source: Kind, band: Band) -> f64 {
        let middle = |band: u8| f64::from(band) + 0.5;
        let mut nearest: Option<u8> = None;
        for other in 0..BANDS {
            let cell = self.cells.get(self.at(victim, source, Band(other)));
            let is_known = cell.is_some_and(|cell| cell.reports >= PRIOR_REPORTS);
            if is_known && nearest.is_none_or(|n| other.abs_diff(band.0) < n.abs_diff(band.0)) {
                nearest = Some(other);
            }
        }
        match nearest {
            Some(other) => {
                let known = self.cells[self.at(victim, source, Band(other))].harm;
                known * middle(band.0) / middle(other)
            }
            None => PRIOR + UNSURE,
        }
    }

    /// What was reported so far, without the prior.
    fn reported(&self, victim: Kind, source: Kind, band: Band) -> f64 {
        self.cells.get(self.at(victim, source, band)).map_or(PRIOR, |cell| cell.harm)
    }

    /// The slowdown that all `neighbours` together are expected to cause to a task of `victim`.
    pub fn slowdown(&self, victim: Kind, band: Band, neighbours: &[Count]) -> f64 {
        neighbours
            .iter()
            .map(|n| self.pair_slowdown(victim, n.kind, band) * f64::from(n.tasks))
            .sum()
    }

    /// Takes a report into account: `victim` ran at `ratio` times its latency alone while
    /// `neighbours` ran beside it.
    pub fn observe(&mut self, victim: Kind, band: Band, neighbours: &[Count], ratio: f64) {
        let power: f64 = neighbours.iter().map(|n| f64::from(n.tasks).powi(2)).sum();
        if power == 0.0 {
            return;
        }
        let seen: f64 = neighbours
            .iter()
            .map(|n| self.reported(victim, n.kind, band) * f64::from(n.tasks))
            .sum();
        let error = (ratio - 1.0).max(0.0) - seen;
        for n in neighbours {
            let at = self.at(victim, n.kind, band);
            let Some(cell) = self.cells.get_mut(at) else {
                continue;
            };
            let rate = (1.0 / (1.0 + cell.reports / 4.0)).clamp(SLOWEST, FASTEST);
            let step = rate * error * f64::from(n.tasks) / power;
            cell.harm = (cell.harm + step).clamp(0.0, MOST);
            cell.reports += 1.0;
        }
    }
}

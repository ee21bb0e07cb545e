//! A model of the slowdown that batch tasks cause to co-located services, learned from lagging
//! reports.
//!
//! The model is additive: the latency of a service relative to its latency when it runs alone,
//! minus one, is the sum over its co-located batch tasks of one coefficient per pair of kinds and
//! load band. Each report updates the coefficients of the pairs in it by a step of the normalised
//! least-mean-squares (NLMS) algorithm. The learning rate falls with the number of reports. A pair
//! without reports has only its prior.

use gl_model::{id, table};

/// The slowdown that one co-located task of an unknown kind is expected to cause.
const PRIOR_SLOWDOWN: f64 = 0.02;
/// The amount added to the prior of a pair without reports, so that many tasks of a new kind are
/// co-located with services only step by step as reports arrive.
const UNSEEN_PENALTY: f64 = 0.10;
/// The weight of the prior, in reports.
const PRIOR_REPORTS: f64 = 2.0;
/// The largest learning rate, for the first reports.
const MAX_RATE: f64 = 0.5;
/// The smallest learning rate, which lets the coefficients follow a change.
const MIN_RATE: f64 = 0.05;
/// The largest coefficient of one pair.
const MAX_SLOWDOWN: f64 = 4.0;
/// The number of load bands.
pub const BANDS: u8 = 4;
const BAND_COUNT: usize = BANDS as usize;

/// The index of a kind in the model.
#[gl_derive::unit]
pub struct Kind(pub u16);

/// The load of a service, in quarters of its slots.
#[gl_derive::unit]
pub struct Band(pub u8);

/// The load band assumed for a service without measurements.
pub const DEFAULT_BAND: Band = Band(2);

impl Band {
    /// Returns the band of a load between 0 and 1.
    pub fn of(load: f64) -> Self {
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped")]
        let band = (load.clamp(0.0, 0.999) * f64::from(BANDS)) as u8;
        Self(band)
    }
}

/// The number of tasks of one kind on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Count {
    /// The kind.
    pub kind: Kind,
    /// The number of its tasks.
    pub tasks: u32,
}

#[derive(Clone, Copy, Debug)]
struct Coefficient {
    slowdown: f64,
    reports: f64,
}

const UNKNOWN: Coefficient = Coefficient { slowdown: PRIOR_SLOWDOWN, reports: 0.0 };

/// The learned coefficients of all pairs of kinds.
#[derive(Clone, Debug, Default)]
pub struct Model {
    kinds: table::Table<id::KindId, Kind>,
    coefficients: Vec<Coefficient>,
    width: usize,
}

impl Model {
    /// Returns the index of `kind`; assigns one on first use.
    pub fn kind(&mut self, kind: &id::KindId) -> Kind {
        if let Some(known) = self.kinds.get(kind) {
            return *known;
        }
        let number = Kind(u16::try_from(self.kinds.len()).unwrap_or(u16::MAX));
        self.kinds.put(kind.clone(), number);
        self.grow(usize::from(number.0) + 1);
        number
    }

    fn grow(&mut self, needed: usize) {
        if needed <= self.width {
            return;
        }
        let width = needed.next_power_of_two().max(8);
        let mut coefficients = vec![UNKNOWN; width * width * BAND_COUNT];
        for service in 0..self.width {
            for batch in 0..self.width {
                for band in 0..BAND_COUNT {
                    let old = (service * self.width + batch) * BAND_COUNT + band;
                    coefficients[(service * width + batch) * BAND_COUNT + band] =
                        self.coefficients[old];
                }
            }
        }
        self.coefficients = coefficients;
        self.width = width;
    }

    fn index(&self, service: Kind, batch: Kind, band: Band) -> usize {
        let pair = usize::from(service.0) * self.width + usize::from(batch.0);
        pair * BAND_COUNT + usize::from(band.0.min(BANDS - 1))
    }

    /// Returns the slowdown that one task of kind `batch` is expected to cause to a task of kind
    /// `service`. While there are few reports, the learned coefficient is shrunk towards a prior.
    pub fn pair_slowdown(&self, service: Kind, batch: Kind, band: Band) -> f64 {
        let entry =
            self.coefficients.get(self.index(service, batch, band)).copied().unwrap_or(UNKNOWN);
        let weight = entry.reports / (entry.reports + PRIOR_REPORTS);
        if weight > 0.9 {
            return entry.slowdown;
        }
        weight * entry.slowdown + (1.0 - weight) * self.prior(service, batch, band)
    }

    /// Returns the prior of a pair: the coefficient of the nearest load band with enough reports,
    /// scaled by load, as interference grows with load. A pair without enough reports in any band
    /// counts as interfering until there are some.
    fn prior(&self, service: Kind, batch: Kind, band: Band) -> f64 {
        let middle = |band: u8| f64::from(band) + 0.5;
        let mut nearest: Option<u8> = None;
        for other in 0..BANDS {
            let entry = self.coefficients.get(self.index(service, batch, Band(other)));
            let is_known = entry.is_some_and(|entry| entry.reports >= PRIOR_REPORTS);
            if is_known && nearest.is_none_or(|n| other.abs_diff(band.0) < n.abs_diff(band.0)) {
                nearest = Some(other);
            }
        }
        match nearest {
            Some(other) => {
                let known = self.coefficients[self.index(service, batch, Band(other))].slowdown;
                known * middle(band.0) / middle(other)
            }
            None => PRIOR_SLOWDOWN + UNSEEN_PENALTY,
        }
    }

    /// Returns the learned coefficient without the prior.
    fn coefficient(&self, service: Kind, batch: Kind, band: Band) -> f64 {
        self.coefficients
            .get(self.index(service, batch, band))
            .map_or(PRIOR_SLOWDOWN, |entry| entry.slowdown)
    }

    /// Returns the slowdown that all `neighbours` together are expected to cause to a task of kind
    /// `service`.
    pub fn slowdown(&self, service: Kind, band: Band, neighbours: &[Count]) -> f64 {
        neighbours
            .iter()
            .map(|n| self.pair_slowdown(service, n.kind, band) * f64::from(n.tasks))
            .sum()
    }

    /// Updates the model by a report: the latency of `service` was `ratio` times its latency when
    /// it runs alone, while `neighbours` were co-located with it.
    pub fn observe(&mut self, service: Kind, band: Band, neighbours: &[Count], ratio: f64) {
        let power: f64 = neighbours.iter().map(|n| f64::from(n.tasks).powi(2)).sum();
        if power == 0.0 {
            return;
        }
        let predicted: f64 = neighbours
            .iter()
            .map(|n| self.coefficient(service, n.kind, band) * f64::from(n.tasks))
            .sum();
        let error = (ratio - 1.0).max(0.0) - predicted;
        for n in neighbours {
            let at = self.index(service, n.kind, band);
            let Some(entry) = self.coefficients.get_mut(at) else {
                continue;
            };
            let rate = (1.0 / (1.0 + entry.reports / 4.0)).clamp(MIN_RATE, MAX_RATE);
            let step = rate * error * f64::from(n.tasks) / power;
            entry.slowdown = (entry.slowdown + step).clamp(0.0, MAX_SLOWDOWN);
            entry.reports += 1.0;
        }
    }
}

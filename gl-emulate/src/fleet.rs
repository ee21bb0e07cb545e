//! Descriptions of fleets of workers.

use gl_model::{size, time};

/// The description of a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Spec {
    /// The capacity.
    pub size: size::Size,
    /// The rack.
    pub rack: String,
    /// The failure domain.
    pub domain: String,
    /// The rate of the worker's clock relative to true time.
    pub clock_rate: f64,
    /// The time for which a worker that starts during the simulation is cold.
    pub cold_time: time::Span,
}

/// The number of workers on one rack.
const WORKERS_PER_RACK: usize = 8;
/// The number of failure domains, to which racks belong in turn.
const DOMAINS: usize = 3;
const MEMORY_MB: u64 = 250_000;

/// Returns workers of one size, on racks of eight. `cores` is in thousandths of a core.
pub fn uniform(count: usize, cores: u64) -> Vec<Spec> {
    (0..count).map(|n| spec(n, cores)).collect()
}

/// Returns workers of which every third has 50 % more cores.
pub fn mixed(count: usize) -> Vec<Spec> {
    (0..count).map(|n| spec(n, if n % 3 == 2 { 96_000 } else { 64_000 })).collect()
}

fn spec(n: usize, cores: u64) -> Spec {
    // The clocks drift apart, within the drift that owners allow for.
    let clock_rate = 1.0 - 0.004 * (n % 5) as f64;
    let size = size::Size { cores, memory: MEMORY_MB, accelerators: 0 };
    let rack = n / WORKERS_PER_RACK;
    Spec {
        size,
        rack: format!("r{rack}"),
        domain: format!("d{}", rack % DOMAINS),
        clock_rate,
        cold_time: time::Span::ZERO,
    }
}

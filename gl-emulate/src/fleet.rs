//! Fleets of workers.

use gl_model::size;

/// What a worker is.
#[derive(Clone, Debug, PartialEq)]
pub struct Spec {
    /// What it has.
    pub size: size::Size,
    /// Its rack.
    pub rack: String,
    /// How fast its clock runs against true time.
    pub clock_rate: f64,
}

/// Workers on one rack.
const WORKERS_PER_RACK: usize = 8;
/// The memory of a worker, in megabytes.
const MEMORY_MB: u64 = 250_000;

/// Workers of one size, in thousandths of a core, on racks of eight.
pub fn uniform(count: usize, cores: u64) -> Vec<Spec> {
    (0..count).map(|n| spec(n, cores)).collect()
}

/// Workers of which each third one is half as large again.
pub fn mixed(count: usize) -> Vec<Spec> {
    (0..count).map(|n| spec(n, if n % 3 == 2 { 96_000 } else { 64_000 })).collect()
}

fn spec(n: usize, cores: u64) -> Spec {
    // Clocks that differ, within the drift that owners reckon with.
    let clock_rate = 1.0 - 0.004 * (n % 5) as f64;
    let size = size::Size { cores, memory: MEMORY_MB, accelerators: 0 };
    Spec { size, rack: format!("r{}", n / WORKERS_PER_RACK), clock_rate }
}

//! Ways to choose a VM for a task.

use gl_model::{config, size};

/// A VM that has room for the task.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// What the task is promised.
    pub size: &'a size::Size,
    /// What the VM has left.
    pub free: &'a size::Size,
    /// What the VM has.
    pub capacity: &'a size::Size,
    /// The slowdown expected for the services on the VM before the task comes.
    pub slowdown: f64,
    /// The slowdown that the task would add, to others or to itself if it is a service.
    pub added: f64,
    /// Tasks of the same service on the VM.
    pub peers: u32,
    /// Tasks of the same service in the VM's rack.
    pub rack_peers: u32,
    /// Tasks of the same service in the VM's failure domain.
    pub domain_peers: u32,
    /// Whether the task is a service's.
    pub is_service: bool,
}

/// A way to choose a VM: the candidate with the lowest score wins, the first one on a tie.
pub trait Placer: Send {
    /// The score of a candidate; none refuses it.
    fn score(&self, candidate: &Candidate<'_>) -> Option<f64>;
}

/// The first VM that has room. A baseline.
#[derive(Clone, Copy, Debug, Default)]
pub struct FirstFit;

impl Placer for FirstFit {
    fn score(&self, c: &Candidate<'_>) -> Option<f64> {
        Some(if c.is_service { f64::from(c.peers) } else { 0.0 })
    }
}

/// The VM with the smallest share promised. A baseline that knows nothing of interference.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastLoaded;

impl Placer for LeastLoaded {
    fn score(&self, c: &Candidate<'_>) -> Option<f64> {
        let load = c.capacity.minus(c.free).share_of(c.capacity);
        let spread = if c.is_service { f64::from(c.peers) } else { 0.0 };
        Some(load + spread)
    }
}

/// The slowdown above which a VM takes no more batch tasks.
pub const SLOWDOWN_LIMIT: f64 = 0.35;
/// How much one more task of the same service in a rack counts.
const RACK_SHARE: f64 = 0.05;
/// How much one more task of the same service in a failure domain counts.
const DOMAIN_SHARE: f64 = 0.01;
/// How much the promised share counts against harm, which fills gaps evenly.
const LOAD_SHARE: f64 = 0.02;

/// The VM where the task does the least expected harm, by the deployment's weights.
///
/// Harm counts by the growth of its square, as the tail of a service is set by its slowest VM.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastInterference {
    /// The deployment's weights.
    pub weights: config::Weights,
}

impl Placer for LeastInterference {
    fn score(&self, c: &Candidate<'_>) -> Option<f64> {
        let after = c.slowdown + c.added;
        if !c.is_service && c.added > 0.0 && after > SLOWDOWN_LIMIT {
            return None;
        }
        let tail = self.weights.tail * (after * after - c.slowdown * c.slowdown);
        let eviction = self.weights.evictions * (after / SLOWDOWN_LIMIT).powi(4) * RACK_SHARE;
        let load = c.capacity.minus(c.free).plus(c.size).share_of(c.capacity) * LOAD_SHARE;
        let spread = f64::from(c.peers)
            + f64::from(c.rack_peers) * RACK_SHARE
            + f64::from(c.domain_peers) * DOMAIN_SHARE;
        Some(tail + eviction + load + if c.is_service { spread } else { 0.0 })
    }
}

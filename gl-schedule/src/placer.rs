//! Strategies that choose a VM for a task.

use gl_model::{config, size};

/// A VM with enough free capacity for the task.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The capacity to reserve for the task.
    pub size: &'a size::Size,
    /// The free capacity of the VM.
    pub free: &'a size::Size,
    /// The total capacity of the VM.
    pub capacity: &'a size::Size,
    /// The expected slowdown of the services on the VM without the task.
    pub slowdown: f64,
    /// The slowdown that the task would cause to the services on the VM or, if it belongs to a
    /// service, the slowdown that it would have there itself.
    pub added: f64,
    /// The number of tasks of the same service on the VM.
    pub peers: u32,
    /// The number of tasks of the same service in the VM's rack.
    pub rack_peers: u32,
    /// The number of tasks of the same service in the VM's failure domain.
    pub domain_peers: u32,
    /// Whether the task belongs to a service.
    pub is_service: bool,
}

/// A strategy that chooses a VM: the candidate with the lowest score, the first one on a tie.
pub trait Placer: Send {
    /// Returns the score of a candidate; none if the task must not run there.
    fn score(&self, candidate: &Candidate<'_>) -> Option<f64>;
}

/// Chooses the first VM with enough free capacity. A baseline.
#[derive(Clone, Copy, Debug, Default)]
pub struct FirstFit;

impl Placer for FirstFit {
    fn score(&self, c: &Candidate<'_>) -> Option<f64> {
        Some(if c.is_service { f64::from(c.peers) } else { 0.0 })
    }
}

/// Chooses the VM with the smallest reserved share. A baseline that ignores interference.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastLoaded;

impl Placer for LeastLoaded {
    fn score(&self, c: &Candidate<'_>) -> Option<f64> {
        let load = c.capacity.minus(c.free).share_of(c.capacity);
        let spread = if c.is_service { f64::from(c.peers) } else { 0.0 };
        Some(load + spread)
    }
}

/// The expected slowdown of services above which a VM gets no more batch tasks.
pub const SLOWDOWN_LIMIT: f64 = 0.35;
/// The cost of another task of the same service in the rack; one on the same VM costs 1.
const RACK_WEIGHT: f64 = 0.05;
/// The cost of another task of the same service in the failure domain.
const DOMAIN_WEIGHT: f64 = 0.01;
/// The cost of a fully reserved VM. It is small against interference, and it spreads tasks evenly
/// where interference does not differ.
const LOAD_WEIGHT: f64 = 0.02;

/// Chooses the VM where the task adds the least expected interference, by the given weights.
///
/// Interference is counted by the growth of the squared slowdown, as the tail latency of a service
/// is set by its slowest VM.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastInterference {
    /// The weights of the deployment.
    pub weights: config::Weights,
}

impl Placer for LeastInterference {
    fn score(&self, c: &Candidate<'_>) -> Option<f64> {
        let after = c.slowdown + c.added;
        if !c.is_service && c.added > 0.0 && after > SLOWDOWN_LIMIT {
            return None;
        }
        let tail = self.weights.tail * (after * after - c.slowdown * c.slowdown);
        let eviction = self.weights.evictions * (after / SLOWDOWN_LIMIT).powi(4) * RACK_WEIGHT;
        let load = c.capacity.minus(c.free).plus(c.size).share_of(c.capacity) * LOAD_WEIGHT;
        let spread = f64::from(c.peers)
            + f64::from(c.rack_peers) * RACK_WEIGHT
            + f64::from(c.domain_peers) * DOMAIN_WEIGHT;
        Some(tail + eviction + load + if c.is_service { spread } else { 0.0 })
    }
}

//! Files of the shared configuration.

use gl_model::config;

use crate::{error::Error, parse};

/// Reads and validates a file of the shared configuration.
///
/// # Errors
///
/// Returns the first error found, with its place and remedy.
pub fn load(file: &str) -> Result<config::Shared, Error> {
    parse(file, &parse::read(file)?)
}

/// Parses and validates the text of a file of the shared configuration.
///
/// # Errors
///
/// Returns the first error found, with its place and remedy.
pub fn parse(file: &str, text: &str) -> Result<config::Shared, Error> {
    let shared: config::Shared = parse::yaml(file, text)?;
    match check(&shared) {
        Ok(()) => Ok(shared),
        Err(fault) => {
            let place = parse::place_of(text, fault.field);
            let detail = format!("`{}` is out of range", fault.field);
            Err(parse::text_error(file, text, detail, place, format!("give {}", fault.range)))
        }
    }
}

/// The error of a value that is out of its range.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{field}` is out of range; give {range}")]
pub struct Fault {
    /// The name of the field.
    pub field: &'static str,
    /// The allowed values.
    pub range: &'static str,
}

/// Checks that every value lies in its range.
///
/// # Errors
///
/// Returns an error for the first value that is out of its range.
pub fn check(shared: &config::Shared) -> Result<(), Fault> {
    let leases = &shared.leases;
    let limits = &shared.limits;
    let repair = &shared.repair;
    let weights = &shared.weights;
    let rules = [
        (within(weights.tail, 0.0, 100.0), "weights.tail", "a number from 0 to 100"),
        (within(weights.throughput, 0.0, 100.0), "weights.throughput", "a number from 0 to 100"),
        (within(weights.evictions, 0.0, 100.0), "weights.evictions", "a number from 0 to 100"),
        ((1_000..=60_000).contains(&leases.shard_ms), "leases.shard-ms", "1000 to 60000"),
        ((1_000..=300_000).contains(&leases.worker_ms), "leases.worker-ms", "1000 to 300000"),
        (
            (leases.worker_ms..=86_400_000).contains(&leases.horizon_ms),
            "leases.horizon-ms",
            "`worker-ms` to 86400000",
        ),
        ((10..=10_000).contains(&leases.margin_ms), "leases.margin-ms", "10 to 10000"),
        ((1..=64 << 20).contains(&limits.body_bytes), "limits.body-bytes", "1 to 67108864"),
        ((1..=64 << 20).contains(&limits.answer_bytes), "limits.answer-bytes", "1 to 67108864"),
        ((1..=100_000).contains(&limits.queue_calls), "limits.queue-calls", "1 to 100000"),
        (within(limits.retry_share, 0.0, 1.0), "limits.retry-share", "a share from 0 to 1"),
        (within(limits.headroom, 1.0, 8.0), "limits.headroom", "a number from 1 to 8"),
        (within(limits.eject_share, 0.0, 1.0), "limits.eject-share", "a share from 0 to 1"),
        ((1..=100).contains(&repair.attempts), "repair.attempts", "1 to 100"),
        ((1..=60_000).contains(&repair.backoff_ms), "repair.backoff-ms", "1 to 60000"),
        (
            (repair.backoff_ms..=3_600_000).contains(&repair.backoff_max_ms),
            "repair.backoff-max-ms",
            "`backoff-ms` to 3600000",
        ),
        ((1_000..=3_600_000).contains(&repair.start_ms), "repair.start-ms", "1000 to 3600000"),
        (repair.quarantine_ms <= 3_600_000, "repair.quarantine-ms", "up to 3600000"),
    ];
    let violated = rules.into_iter().find(|(holds, _, _)| !holds);
    violated.map_or(Ok(()), |(_, field, range)| Err(Fault { field, range }))
}

fn within(value: f64, min: f64, max: f64) -> bool {
    value.is_finite() && (min..=max).contains(&value)
}

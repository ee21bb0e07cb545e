//! Checks of intents that do not depend on the stored state.

use std::collections;

use gl_model::{id, intent, size};

use super::Error;

const MAX_NAME_LENGTH: usize = 63;
const MAX_TASKS: u32 = 100_000;
const MAX_DEADLINE_MS: u64 = 600_000;
const MAX_RUN_S: u64 = 30 * 24 * 3_600;
const MAX_LEAD_MIN: u64 = 7 * 24 * 60;

/// Checks that every name and number in a file of intents is valid.
///
/// # Errors
///
/// Returns the first error found, with its remedy.
pub fn check(file: &intent::File) -> Result<(), Error> {
    if file.intents.is_empty() {
        return Err(Error::Empty);
    }
    let mut names = collections::BTreeSet::new();
    for intent in &file.intents {
        check_name(intent.name().as_str())?;
        if !names.insert(intent.name()) {
            return Err(Error::DuplicateName { name: intent.name().clone() });
        }
        match intent {
            intent::Intent::Service(service) => check_service(service)?,
            intent::Intent::Batch(batch) => check_batch(batch)?,
            intent::Intent::Season(season) => check_season(season)?,
        }
    }
    Ok(())
}

fn check_name(name: &str) -> Result<(), Error> {
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    if name.is_empty() || name.len() > MAX_NAME_LENGTH || !name.chars().all(is_allowed) {
        return Err(Error::InvalidName { name: name.to_owned() });
    }
    Ok(())
}

struct Field<'a> {
    name: &'a id::JobId,
    field: &'static str,
}

fn check_range(
    field: &Field<'_>,
    value: u64,
    allowed: std::ops::RangeInclusive<u64>,
    range: &'static str,
) -> Result<(), Error> {
    if allowed.contains(&value) {
        return Ok(());
    }
    let Field { name, field } = *field;
    Err(Error::OutOfRange { name: name.clone(), field, value: value.to_string(), range })
}

fn check_size(name: &id::JobId, size: &size::Size) -> Result<(), Error> {
    let field = |field| Field { name, field };
    check_range(&field("size.cores-milli"), size.cores, 1..=u64::from(u32::MAX), "of 1 or more")?;
    check_range(&field("size.memory-mb"), size.memory, 1..=u64::from(u32::MAX), "of 1 or more")
}

fn check_service(service: &intent::Service) -> Result<(), Error> {
    let name = &service.name;
    let field = |field| Field { name, field };
    check_name(service.team.as_str())?;
    check_name(service.kind.as_str())?;
    check_size(name, &service.size)?;
    let tasks = 1..=u64::from(MAX_TASKS);
    check_range(&field("replicas"), service.replicas.into(), tasks, "from 1 to 100000")?;
    let deadline = 1..=MAX_DEADLINE_MS;
    check_range(&field("deadline-ms"), service.deadline_ms, deadline, "from 1 to 600000")?;
    if !(0.0..1.0).contains(&service.objective) {
        return Err(Error::OutOfRange {
            name: name.clone(),
            field: "objective",
            value: service.objective.to_string(),
            range: "from 0 to below 1, such as 0.999",
        });
    }
    Ok(())
}

fn check_batch(batch: &intent::Batch) -> Result<(), Error> {
    let name = &batch.name;
    let field = |field| Field { name, field };
    check_name(batch.team.as_str())?;
    check_name(batch.kind.as_str())?;
    check_size(name, &batch.size)?;
    check_range(&field("tasks"), batch.tasks.into(), 1..=u64::from(MAX_TASKS), "from 1 to 100000")?;
    check_range(&field("run-s"), batch.run_s, 1..=MAX_RUN_S, "from 1 to 2592000")
}

fn check_season(season: &intent::Season) -> Result<(), Error> {
    let name = &season.name;
    let field = |field| Field { name, field };
    check_name(season.service.as_str())?;
    let tasks = 1..=u64::from(MAX_TASKS);
    check_range(&field("replicas"), season.replicas.into(), tasks, "from 1 to 100000")?;
    check_range(&field("lead-min"), season.lead_min, 0..=MAX_LEAD_MIN, "from 0 to 10080")?;
    let dates = season.dates.len() as u64;
    check_range(&field("dates"), dates, 1..=100, "with 1 to 100 entries")?;
    for dates in &season.dates {
        let after = dates.from_unix_s.saturating_add(1)..=u64::MAX / 1_000_000;
        check_range(&field("dates.to-unix-s"), dates.to_unix_s, after, "after `from-unix-s`")?;
    }
    Ok(())
}

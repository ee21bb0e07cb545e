//! The jobs that intents request.

use gl_model::{intent, job, time};

use super::Error;

/// A job that an intent requests.
pub struct Requested {
    /// The specification of its tasks.
    pub spec: job::Spec,
    /// The number of its tasks.
    pub tasks: u32,
    /// Evictions granted to mitigate interference with it while it runs.
    pub mitigation_evictions: u32,
}

/// Returns the job that an intent requests; `known` are all intents that are confirmed or in the
/// file.
///
/// # Errors
///
/// Returns an error if a season refers to a service that is not known.
pub fn requested(intent: &intent::Intent, known: &[&intent::Intent]) -> Result<Requested, Error> {
    match intent {
        intent::Intent::Service(service) => Ok(from_service(service)),
        intent::Intent::Batch(batch) => Ok(from_batch(batch)),
        intent::Intent::Season(season) => from_season(season, known),
    }
}

fn from_service(service: &intent::Service) -> Requested {
    let work = job::Work::Service(job::Service {
        serves: service.name.clone(),
        deadline: time::Span::millis(service.deadline_ms),
        objective: service.objective,
        windows: Vec::new(),
    });
    let spec = job::Spec {
        name: service.name.clone(),
        team: service.team.clone(),
        kind: service.kind.clone(),
        size: service.size,
        work,
    };
    Requested { spec, tasks: service.replicas, mitigation_evictions: service.relief }
}

fn from_batch(batch: &intent::Batch) -> Requested {
    let due = batch.due_unix_s.map(|s| time::Timestamp::default() + time::Span::seconds(s));
    let work = job::Work::Batch(job::Batch {
        run: time::Span::seconds(batch.run_s),
        evictions: batch.evictions,
        due,
    });
    let spec = job::Spec {
        name: batch.name.clone(),
        team: batch.team.clone(),
        kind: batch.kind.clone(),
        size: batch.size,
        work,
    };
    Requested { spec, tasks: batch.tasks, mitigation_evictions: 0 }
}

fn from_season(season: &intent::Season, known: &[&intent::Intent]) -> Result<Requested, Error> {
    let base = known.iter().find_map(|intent| match intent {
        intent::Intent::Service(service) if service.name == season.service => Some(service),
        _ => None,
    });
    let Some(base) = base else {
        let (name, service) = (season.name.clone(), season.service.clone());
        return Err(Error::UnknownService { name, service });
    };
    let lead = time::Span::seconds(season.lead_min * 60);
    let epoch = time::Timestamp::default();
    let windows = season.dates.iter().map(|dates| job::Window {
        from: epoch + time::Span::seconds(dates.from_unix_s) - lead,
        to: epoch + time::Span::seconds(dates.to_unix_s),
    });
    let work = job::Work::Service(job::Service {
        serves: base.name.clone(),
        deadline: time::Span::millis(base.deadline_ms),
        objective: base.objective,
        windows: windows.collect(),
    });
    let spec = job::Spec {
        name: season.name.clone(),
        team: base.team.clone(),
        kind: base.kind.clone(),
        size: base.size,
        work,
    };
    Ok(Requested { spec, tasks: season.replicas, mitigation_evictions: base.relief })
}

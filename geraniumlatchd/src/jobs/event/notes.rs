//! The lines by which the notes of the owner are logged.

use gl_jobs::owner;
use gl_model::time;

use super::{Conclusion, Entry, Event, Text, Waits, as_cores, rounded};

impl<'a> From<&'a owner::Note> for Event<'a> {
    fn from(note: &'a owner::Note) -> Self {
        use owner::Note;
        match note {
            Note::Ordered { task, attempt, worker, waited, estimate, cores } => Self::RunOrdered {
                task: Text(*task),
                attempt: *attempt,
                worker: worker.as_str(),
                waited_ms: waited.as_millis(),
                estimate_ms: estimate.as_millis(),
                cores: as_cores(*cores),
            },
            Note::OrderedAgain { task, attempt, worker } => {
                Self::OrderedAgain { task: Text(*task), attempt: *attempt, worker: worker.as_str() }
            }
            Note::OrderExpired { task, attempt, worker, bound } => Self::OrderExpired {
                task: Text(*task),
                attempt: *attempt,
                worker: worker.as_str(),
                bound_ms: bound.as_millis(),
            },
            Note::Overtaken { task, attempt, worker } => {
                Self::RunOvertaken { task: Text(*task), attempt: *attempt, worker: worker.as_str() }
            }
            Note::Ended { task, attempt, worker, cause, conclusion } => Self::RunEnded {
                task: Text(*task),
                attempt: *attempt,
                worker: worker.as_str(),
                cause: *cause,
                conclusion: conclusion.as_ref().map(Conclusion::from),
            },
            Note::Outlived {
                task,
                attempt,
                worker,
                outcome,
                cause,
                basis,
                gone,
                lease_over,
                other_attempt,
            } => Self::Outlived {
                task: Text(*task),
                attempt: *attempt,
                worker: worker.as_str(),
                running: outcome.is_none(),
                outcome: *outcome,
                cause: *cause,
                basis: *basis,
                gone_ms: gone.as_millis(),
                lease_over_ms: lease_over.map(time::Span::as_millis),
                other_attempt: *other_attempt,
            },
            Note::OutlivedOmitted { runs, forgotten } => {
                Self::OutlivedOmitted { runs: *runs, forgotten: *forgotten }
            }
            Note::Stopping { task, attempt, worker, reason } => Self::RunStopping {
                task: Text(*task),
                attempt: *attempt,
                worker: worker.as_str(),
                reason: *reason,
            },
            Note::SecondRun {
                task,
                attempt,
                token,
                worker,
                other_attempt,
                other_token,
                other_worker,
                other_age,
            } => Self::SecondRun {
                task: Text(*task),
                attempt: *attempt,
                token: *token,
                worker: worker.as_str(),
                other_attempt: *other_attempt,
                other_token: *other_token,
                other_worker: other_worker.as_str(),
                other_age_ms: other_age.as_millis(),
            },
            Note::SecondRunsOmitted { runs } => Self::SecondRunsOmitted { runs: *runs },
            Note::Decided { job, state, age, objective, work, rank, waits } => Self::Decided {
                job: Text(*job),
                state: *state,
                age_ms: age.as_millis(),
                objective_ms: objective.as_millis(),
                work: rounded(*work, 10.0),
                rank: rank.map(|rank| rounded(rank, 100.0)),
                waits: waits.into(),
            },
            Note::ShortTasksWait(shortage) => Self::ShortTasksWait {
                service: &shortage.service,
                tasks: shortage.tasks,
                late: shortage.late,
                longest_ms: shortage.longest.as_millis(),
                cores: as_cores(shortage.largest.cores),
                memory_mb: shortage.largest.memory,
                room_cores: as_cores(shortage.room.cores),
                room_memory_mb: shortage.room.memory,
                free_workers: shortage.free_workers,
                overtaking: shortage.overtaking,
                long_running: shortage.long_running,
            },
            Note::Throttled { worker, percent, tail_ratio } => Self::Throttled {
                worker: worker.as_str(),
                cpu_limit: *percent,
                tail_ratio: *tail_ratio,
            },
            Note::Impact { service, impact, span } => Self::Interference {
                service,
                span_ms: span.as_millis(),
                starts: impact.starts,
                windows: impact.windows,
                stopped: impact.stopped,
                limits: impact.limits,
                windows_per_1000: impact.per_thousand(impact.windows),
                stopped_per_1000: impact.per_thousand(impact.stopped),
                limits_per_1000: impact.per_thousand(impact.limits),
            },
            Note::Suspected { worker, reason, .. } => {
                Self::Suspected { worker: worker.as_str(), reason }
            }
            Note::Replaced { worker, runs, incarnation, silent, successor } => Self::Replaced {
                worker: worker.as_str(),
                runs_lost: *runs,
                basis: successor.basis(),
                entry: successor.entry.as_ref().map(Entry::from),
                incarnation: incarnation.0,
                next_incarnation: successor.incarnation.0,
                age_ms: successor.age.as_millis(),
                silent_ms: silent.map(time::Span::as_millis),
            },
            Note::LifetimeBegan(start) => Self::LifetimeBegan(start.into()),
            Note::EndsMissed(missed) => Self::EndsMissed {
                worker: missed.worker.as_str(),
                incarnation: missed.incarnation.0,
                missed: missed.count,
                next_end: missed.next_end,
            },
            Note::LifetimesOmitted { reports } => Self::LifetimesOmitted { reports: *reports },
            Note::LeasesExpired { worker, domain, runs, silent, bound, reading, lease, margin } => {
                Self::LeasesExpired {
                    worker: worker.as_str(),
                    domain,
                    runs: *runs,
                    silent_ms: silent.map(time::Span::as_millis),
                    bound: *bound,
                    reading_ms: reading.as_millis(),
                    lease_ms: lease.as_millis(),
                    margin_ms: margin.as_millis(),
                }
            }
            Note::Recovering { missing, workers, left } => Self::Recovering {
                missing: *missing,
                workers: workers.iter().cloned().map(Text).collect(),
                left_ms: left.as_millis(),
            },
            Note::Recovered { missing, took } => {
                Self::Recovered { missing: *missing, took_ms: took.as_millis() }
            }
            Note::Emptied { domain, workers, runs } => {
                Self::Emptied { domain, workers: *workers, runs: *runs }
            }
            Note::Restored { domain, workers, runs } => {
                Self::Restored { domain, workers: *workers, runs: *runs }
            }
            Note::Implicated { task, attempt, worker, crashes } => Self::Implicated {
                task: Text(*task),
                attempt: *attempt,
                worker: worker.as_str(),
                crashes: *crashes,
            },
            Note::Unstorable { job, page } => Self::Unstorable { job: Text(*job), page: *page },
            Note::GivenUp { task, crashes } => {
                Self::GivenUp { task: Text(*task), crashes: *crashes }
            }
        }
    }
}

impl From<&owner::Waits> for Waits {
    fn from(waits: &owner::Waits) -> Self {
        Self {
            room_ms: waits.room.as_millis(),
            late_room_ms: waits.late_room.as_millis(),
            orders_ms: waits.orders.as_millis(),
            rack_ms: waits.rack.as_millis(),
            other_ms: waits.other.as_millis(),
        }
    }
}

impl From<&owner::Conclusion> for Conclusion {
    fn from(conclusion: &owner::Conclusion) -> Self {
        let owner::Conclusion { evidence, stage, seen } = *conclusion;
        Self {
            basis: evidence.basis,
            age_ms: evidence.age.as_millis(),
            after_ms: evidence.after.map(time::Span::as_millis),
            bound_ms: evidence.bound.map(time::Span::as_millis),
            stage,
            seen_ms: seen.map(time::Span::as_millis),
        }
    }
}

impl<'a> From<&'a owner::Entry> for Entry<'a> {
    fn from(entry: &'a owner::Entry) -> Self {
        Self { next_worker: entry.worker.as_str(), next_service: &entry.service }
    }
}

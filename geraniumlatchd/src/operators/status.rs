//! What runs where.

use std::collections;

use gl_model::{daemon, id, job, key, shard, size, task, vm};
use gl_platform::Table as _;
use ntex::web;

use super::{Desk, Fault, access};
use crate::{clock, control, settle};

/// A job's tasks by state.
#[gl_derive::domain]
pub struct Job {
    /// The job.
    pub name: id::JobId,
    /// Whether it answers calls.
    pub serving: bool,
    /// Whether it was cancelled.
    pub cancelled: bool,
    /// Tasks that it asks for.
    pub wanted: u32,
    /// Tasks that wait.
    pub waiting: u32,
    /// Tasks that run or are about to.
    pub running: u32,
    /// Tasks that make room.
    pub moving: u32,
    /// Tasks that finished.
    pub done: u32,
    /// Tasks that were given up.
    pub failed: u32,
    /// Evictions so far.
    pub evictions: u32,
    /// Why tasks were given up.
    pub reasons: Vec<String>,
}

/// A worker.
#[gl_derive::domain]
pub struct Worker {
    /// The VM.
    pub vm: id::VmId,
    /// Its failure domain.
    pub domain: id::DomainId,
    /// What the list says.
    pub liveness: vm::Liveness,
    /// What it has.
    pub capacity: size::Size,
    /// What is promised on it.
    pub promised: size::Size,
    /// How many tasks hold a promise.
    pub tasks: usize,
}

/// A shard.
#[gl_derive::domain]
pub struct Shard {
    /// The shard.
    pub shard: id::DomainId,
    /// Its row.
    pub row: Option<shard::Row>,
}

/// The state of everything.
#[gl_derive::domain]
pub struct Status {
    /// The jobs.
    pub jobs: Vec<Job>,
    /// The workers.
    pub workers: Vec<Worker>,
    /// The daemons that are alive.
    pub daemons: Vec<daemon::Row>,
    /// The shards.
    pub shards: Vec<Shard>,
}

/// The state of everything, as stored.
pub async fn status(request: web::HttpRequest, desk: web::types::State<Desk>) -> web::HttpResponse {
    if let Some(refusal) = access::refusal(&desk, &request) {
        return refusal;
    }
    match read(&desk).await {
        Ok(status) => web::HttpResponse::Ok().json(&status),
        Err(error) => Fault::platform(&error),
    }
}

async fn read(desk: &Desk) -> Result<Status, gl_platform::Error> {
    let now = clock::now();
    let list = desk.node.list.lock().clone();
    let domains: collections::BTreeSet<id::DomainId> =
        list.vms.iter().map(|vm| vm.domain.clone()).collect();
    let mut status = Status {
        jobs: Vec::new(),
        workers: Vec::new(),
        daemons: Vec::new(),
        shards: Vec::new(),
    };
    for shard in domains {
        let rows = control::owners::read_rows(desk.platform.as_ref(), &shard).await;
        let lost = || gl_platform::Error::Lost {
            what: "scan",
            detail: shard.to_string(),
        };
        let rows = rows.ok_or_else(lost)?;
        add_jobs(&mut status.jobs, &rows);
        add_workers(&mut status.workers, &list, &shard, &rows);
        let row = desk.platform.read(&key::shard(&shard)).await?;
        status.shards.push(Shard {
            row: row.as_ref().and_then(settle::value),
            shard,
        });
    }
    let mut daemons: Vec<daemon::Row> = desk
        .node
        .members
        .lock()
        .alive(now)
        .into_iter()
        .cloned()
        .collect();
    daemons.retain(|row| row.id != desk.node.me.id);
    daemons.push(desk.node.row(now));
    daemons.sort_by(|a, b| a.id.cmp(&b.id));
    status.daemons = daemons;
    Ok(status)
}

fn count(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}

fn entry<'a>(jobs: &'a mut Vec<Job>, row: &job::Row) -> Option<&'a mut Job> {
    let name = &row.spec.name;
    if !jobs.iter().any(|job| job.name == *name) {
        jobs.push(Job {
            name: name.clone(),
            serving: row.spec.is_service(),
            cancelled: row.cancelled,
            wanted: 0,
            waiting: 0,
            running: 0,
            moving: 0,
            done: 0,
            failed: 0,
            evictions: 0,
            reasons: Vec::new(),
        });
    }
    jobs.iter_mut().find(|job| job.name == *name)
}

fn add_jobs(jobs: &mut Vec<Job>, rows: &gl_schedule::owner::Rows) {
    for stored in &rows.jobs {
        let Some(job) = entry(jobs, &stored.row) else {
            continue;
        };
        job.wanted += count(stored.row.slots.len());
        job.cancelled |= stored.row.cancelled;
        if let Some(ended) = stored.row.ended {
            job.done += ended.done;
            job.failed += ended.failed;
        }
    }
    for stored in &rows.tasks {
        if let Some(job) = jobs.iter_mut().find(|job| job.name == stored.row.job) {
            add_task(job, &stored.row);
        }
    }
}

fn add_task(job: &mut Job, row: &task::Row) {
    job.evictions += row.evictions;
    match &row.state {
        task::State::Pending { .. } | task::State::Parked { .. } => job.waiting += 1,
        task::State::Starting { .. } | task::State::Running { .. } => job.running += 1,
        task::State::Evicting { .. } | task::State::Draining { .. } => job.moving += 1,
        task::State::Done => job.done += 1,
        task::State::Failed { reason } => {
            job.failed += 1;
            job.reasons.push(format!("{}: {reason}", row.id));
        }
        task::State::Cancelled => {}
    }
}

fn add_workers(
    workers: &mut Vec<Worker>,
    list: &vm::List,
    shard: &id::DomainId,
    rows: &gl_schedule::owner::Rows,
) {
    for vm in list.vms.iter().filter(|vm| vm.domain == *shard) {
        let ledger = rows.ledgers.iter().find(|ledger| ledger.row.vm == vm.id);
        workers.push(Worker {
            vm: vm.id.clone(),
            domain: vm.domain.clone(),
            liveness: vm.liveness,
            capacity: vm.capacity,
            promised: ledger
                .map(|ledger| ledger.row.promised())
                .unwrap_or_default(),
            tasks: ledger.map_or(0, |ledger| ledger.row.promises.len()),
        });
    }
}

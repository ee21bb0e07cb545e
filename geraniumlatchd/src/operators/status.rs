//! The status of jobs, workers, daemons and shards.

use std::collections;

use gl_model::{daemon, id, job, key, status, task, vm};
use gl_platform::Table as _;
use ntex::web;

use super::{Context, Fault, access};
use crate::{clock, control, transaction};

/// Returns the stored status of jobs, workers and shards, and the daemons that are alive.
pub async fn status(
    request: web::HttpRequest,
    context: web::types::State<Context>,
) -> web::HttpResponse {
    if let Some(refusal) = access::refusal(&context, &request) {
        return refusal;
    }
    match read_status(&context).await {
        Ok(status) => web::HttpResponse::Ok().json(&status),
        Err(error) => Fault::platform_error(&error),
    }
}

async fn read_status(context: &Context) -> Result<status::Status, gl_platform::Error> {
    let now = clock::now();
    let list = context.node.vm_list.lock().clone();
    let domains: collections::BTreeSet<id::DomainId> =
        list.vms.iter().map(|vm| vm.domain.clone()).collect();
    let mut status = status::Status {
        jobs: Vec::new(),
        workers: Vec::new(),
        daemons: Vec::new(),
        shards: Vec::new(),
    };
    for shard in domains {
        let rows = control::owners::read_rows(context.platform.as_ref(), &shard).await;
        let lost = || gl_platform::Error::Lost { operation: "scan", detail: shard.to_string() };
        let rows = rows.ok_or_else(lost)?;
        add_jobs(&mut status.jobs, &rows);
        add_workers(&mut status.workers, &list, &shard, &rows);
        let row = context.platform.read(&key::shard(&shard)).await?;
        status
            .shards
            .push(status::Shard { row: row.as_ref().and_then(transaction::parse_value), shard });
    }
    let mut daemons: Vec<daemon::Row> =
        context.node.members.lock().alive(now).into_iter().cloned().collect();
    daemons.retain(|row| row.id != context.node.me.id);
    daemons.push(context.node.row(now));
    daemons.sort_by(|a, b| a.id.cmp(&b.id));
    status.daemons = daemons;
    Ok(status)
}

fn to_u32(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}

fn job_entry<'a>(jobs: &'a mut Vec<status::Job>, row: &job::Row) -> Option<&'a mut status::Job> {
    let name = &row.spec.name;
    if !jobs.iter().any(|job| job.name == *name) {
        jobs.push(status::Job {
            name: name.clone(),
            is_service: row.spec.is_service(),
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

fn add_jobs(jobs: &mut Vec<status::Job>, rows: &gl_schedule::owner::Rows) {
    for stored in &rows.jobs {
        let Some(job) = job_entry(jobs, &stored.row) else {
            continue;
        };
        job.wanted += to_u32(stored.row.slots.len());
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

fn add_task(job: &mut status::Job, row: &task::Row) {
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
    workers: &mut Vec<status::Worker>,
    list: &vm::List,
    shard: &id::DomainId,
    rows: &gl_schedule::owner::Rows,
) {
    for vm in list.vms.iter().filter(|vm| vm.domain == *shard) {
        let ledger = rows.ledgers.iter().find(|ledger| ledger.row.vm == vm.id);
        workers.push(status::Worker {
            vm: vm.id.clone(),
            domain: vm.domain.clone(),
            liveness: vm.liveness,
            capacity: vm.capacity,
            reserved: ledger.map(|ledger| ledger.row.reserved()).unwrap_or_default(),
            tasks: ledger.map_or(0, |ledger| ledger.row.reservations.len()),
        });
    }
}

//! Plans: made, shown, confirmed.

use gl_model::{id, intent, key, plan, time, txn};
use gl_peer::frame;
use gl_platform::Table as _;
use gl_schedule::plan as planning;
use ntex::{util, web};

use super::{Desk, Fault, Kind, access};
use crate::{clock, control, settle};

/// How long a change may take.
const LIMIT: time::Span = time::Span::seconds(10);

/// The answer to a confirm that came too late.
#[gl_derive::domain]
pub struct Stale {
    /// What happened and what to do.
    pub fault: Fault,
    /// A plan for the same intents made from the present state.
    pub fresh: plan::Plan,
}

type Answer = Result<web::HttpResponse, web::HttpResponse>;

/// Whichever of both answers it is.
fn either(answer: Answer) -> web::HttpResponse {
    answer.unwrap_or_else(|refusal| refusal)
}

fn allowed(desk: &Desk, request: &web::HttpRequest) -> Result<(), web::HttpResponse> {
    access::refusal(desk, request).map_or(Ok(()), Err)
}

fn parsed<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, web::HttpResponse> {
    serde_json::from_slice(body)
        .map_err(|e| Fault::answer(Kind::Bad, &format!("{e}; correct the request")))
}

/// Reads all that a plan is made from. The head is read first, so that a plan made from a mix of
/// states is found stale.
async fn snapshot(desk: &Desk) -> Result<planning::Snapshot, gl_platform::Error> {
    let table = desk.platform.as_ref();
    let head = table.read(key::HEAD).await?;
    let intents = table.scan(key::INTENTS).await?;
    let list = desk.node.list.lock().clone();
    let mut domains: Vec<id::DomainId> = list.vms.iter().map(|vm| vm.domain.clone()).collect();
    domains.sort_unstable();
    domains.dedup();
    let mut shards = Vec::new();
    for id in domains {
        let rows = control::owners::read_rows(table, &id).await;
        let lost = || gl_platform::Error::Lost { operation: "scan", detail: id.to_string() };
        let rows = rows.ok_or_else(lost)?;
        shards.push(planning::Shard { id, rows });
    }
    Ok(planning::Snapshot {
        list,
        shards,
        head: head.map(|row| row.version).unwrap_or_default(),
        intents: intents.iter().filter_map(settle::value).collect(),
        config: desk.node.config.lock().content.clone(),
    })
}

fn new_id(desk: &Desk, now: time::Timestamp) -> id::PlanId {
    const MICROS_PER_SECOND: u64 = 1_000_000;
    let name = &desk.node.settings.daemon;
    id::PlanId(format!("{name}-{}-{:06}", now.0 / MICROS_PER_SECOND, now.0 % MICROS_PER_SECOND))
}

async fn make(desk: &Desk, file: &intent::File) -> Result<plan::Plan, web::HttpResponse> {
    let now = clock::now();
    let snapshot = snapshot(desk).await.map_err(|e| Fault::platform(&e))?;
    planning::make(snapshot, file, new_id(desk, now), now)
        .map_err(|error| Fault::answer(Kind::Bad, &error.to_string()))
}

async fn store(desk: &Desk, plan: &plan::Plan) -> Result<(), web::HttpResponse> {
    let key = key::plan(&plan.id);
    let txn = txn::Txn {
        id: id::TxnId(format!("plan/{}", plan.id)),
        checks: vec![txn::Check { key: key.clone(), version: id::Version::default() }],
        writes: vec![txn::Write { key, value: serde_json::to_string(plan).ok() }],
    };
    let marker = Marker { key: key::plan(&plan.id), plan: plan.id.clone(), state: plan.state };
    carry_out(desk, &txn, &marker).await.map(|_| ())
}

/// The row of a plan, which tells whether it was stored or confirmed.
struct Marker {
    key: String,
    plan: id::PlanId,
    state: plan::State,
}

impl settle::Marker for Marker {
    fn key(&self) -> &str {
        &self.key
    }

    fn is_mine(&self, row: &txn::Row) -> bool {
        settle::value::<plan::Plan>(row)
            .is_some_and(|plan| plan.id == self.plan && plan.state == self.state)
    }
}

/// Whether a transaction took effect; false means that the state had changed.
async fn carry_out(
    desk: &Desk,
    txn: &txn::Txn,
    marker: &Marker,
) -> Result<bool, web::HttpResponse> {
    let limit = clock::now() + LIMIT;
    match settle::transact(desk.platform.as_ref(), txn, marker, Some(limit)).await {
        settle::Fate::Committed(_) => Ok(true),
        settle::Fate::Conflict => Ok(false),
        settle::Fate::Refused(error) => Err(Fault::platform(&error)),
        settle::Fate::Open(error) => Err(Fault::open(&error)),
    }
}

/// Makes and stores a plan for intents.
pub async fn submit(
    request: web::HttpRequest,
    body: util::Bytes,
    desk: web::types::State<Desk>,
) -> web::HttpResponse {
    let answer = async {
        allowed(&desk, &request)?;
        let file: intent::File = parsed(&body)?;
        let plan = make(&desk, &file).await?;
        store(&desk, &plan).await?;
        Ok(web::HttpResponse::Ok().json(&plan))
    };
    either(answer.await)
}

/// All stored plans.
pub async fn list(request: web::HttpRequest, desk: web::types::State<Desk>) -> web::HttpResponse {
    let answer = async {
        allowed(&desk, &request)?;
        let rows = desk.platform.scan(key::PLANS).await.map_err(|e| Fault::platform(&e))?;
        let plans: Vec<plan::Plan> = rows.iter().filter_map(settle::value).collect();
        Ok(web::HttpResponse::Ok().json(&plans))
    };
    either(answer.await)
}

struct Stored {
    plan: plan::Plan,
    version: id::Version,
}

async fn read(desk: &Desk, id: &id::PlanId) -> Result<Stored, web::HttpResponse> {
    let row = desk.platform.read(&key::plan(id)).await.map_err(|e| Fault::platform(&e))?;
    let missing = || {
        let message = format!("no plan is called `{id}`; `geraniumlatch plans` lists all");
        Fault::answer(Kind::Missing, &message)
    };
    let row = row.ok_or_else(missing)?;
    let plan = settle::value(&row).ok_or_else(missing)?;
    Ok(Stored { plan, version: row.version })
}

/// One stored plan.
pub async fn show(
    request: web::HttpRequest,
    id: web::types::Path<String>,
    desk: web::types::State<Desk>,
) -> web::HttpResponse {
    let answer = async {
        allowed(&desk, &request)?;
        let stored = read(&desk, &id::PlanId(id.into_inner())).await?;
        Ok(web::HttpResponse::Ok().json(&stored.plan))
    };
    either(answer.await)
}

/// Puts a plan in force if the state that it was made from still stands. If not, nothing
/// changes, and a fresh plan for the same intents is made and returned.
pub async fn confirm(
    request: web::HttpRequest,
    id: web::types::Path<String>,
    desk: web::types::State<Desk>,
) -> web::HttpResponse {
    let answer = async {
        allowed(&desk, &request)?;
        let stored = read(&desk, &id::PlanId(id.into_inner())).await?;
        if stored.plan.state == plan::State::Confirmed {
            return Ok(web::HttpResponse::Ok().json(&stored.plan));
        }
        let txn = planning::confirm(&stored.plan, stored.version);
        let state = plan::State::Confirmed;
        let plan = stored.plan.id.clone();
        let marker = Marker { key: key::plan(&plan), plan, state };
        if carry_out(&desk, &txn, &marker).await? {
            desk.node.broadcast(&frame::Frame::JobsChanged);
            desk.node.stirred.notify_one();
            let confirmed = plan::Plan { state, ..stored.plan };
            return Ok(web::HttpResponse::Ok().json(&confirmed));
        }
        stale(&desk, stored.plan).await
    };
    either(answer.await)
}

async fn stale(desk: &Desk, old: plan::Plan) -> Answer {
    let fresh = if old.cancels.is_empty() {
        make(desk, &intent::File { intents: old.intents }).await?
    } else {
        make_cancel(desk, &old.cancels).await?
    };
    store(desk, &fresh).await?;
    let message = format!(
        "the state has changed since plan `{}` was made; look at plan `{}` and confirm that one",
        old.id, fresh.id
    );
    let fault = Fault { kind: Kind::Stale, message };
    Ok(web::HttpResponse::Conflict().json(&Stale { fault, fresh }))
}

async fn make_cancel(desk: &Desk, names: &[id::JobId]) -> Result<plan::Plan, web::HttpResponse> {
    let now = clock::now();
    let snapshot = snapshot(desk).await.map_err(|e| Fault::platform(&e))?;
    let mut parts = Vec::new();
    for shard in &snapshot.shards {
        for job in &shard.rows.jobs {
            parts.push(plan::Part {
                shard: shard.id.clone(),
                row: job.row.clone(),
                version: job.version,
            });
        }
    }
    let is_there = |name: &&id::JobId| !parts.iter().any(|part| part.row.spec.name == **name);
    if let Some(name) = names.iter().find(is_there) {
        let message = format!("no job is called `{name}`; `geraniumlatch status` lists all");
        return Err(Fault::answer(Kind::Missing, &message));
    }
    Ok(planning::cancel(new_id(desk, now), now, snapshot.head, names, &parts))
}

/// Makes and stores a plan that cancels jobs.
pub async fn cancel(
    request: web::HttpRequest,
    body: util::Bytes,
    desk: web::types::State<Desk>,
) -> web::HttpResponse {
    let answer = async {
        allowed(&desk, &request)?;
        let names: Vec<id::JobId> = parsed(&body)?;
        let plan = make_cancel(&desk, &names).await?;
        store(&desk, &plan).await?;
        Ok(web::HttpResponse::Ok().json(&plan))
    };
    either(answer.await)
}

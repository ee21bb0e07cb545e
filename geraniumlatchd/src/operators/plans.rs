//! Creation, listing and confirmation of plans.

use gl_model::{id, intent, key, plan, time, txn};
use gl_peer::frame;
use gl_platform::Table as _;
use gl_schedule::plan as planning;
use ntex::web;

use super::{Context, Fault, Kind, access};
use crate::{clock, control, transaction};

/// The time limit of a change.
const TIMEOUT: time::Span = time::Span::seconds(10);

/// The response to the confirmation of a stale plan.
#[gl_derive::domain]
pub struct Stale {
    /// The error and its remedy.
    pub fault: Fault,
    /// A new plan for the same intents, made from the present state.
    pub fresh: plan::Plan,
}

type Response = Result<web::HttpResponse, web::HttpResponse>;

/// Returns the response in either variant of the result.
fn into_response(response: Response) -> web::HttpResponse {
    response.unwrap_or_else(|refusal| refusal)
}

fn authorize(context: &Context, request: &web::HttpRequest) -> Result<(), web::HttpResponse> {
    access::refusal(context, request).map_or(Ok(()), Err)
}

fn parse_body<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, web::HttpResponse> {
    serde_json::from_slice(body)
        .map_err(|e| Fault::response(Kind::Invalid, &format!("{e}; correct the request")))
}

/// Reads the state from which a plan is made. The head is read first, so that a plan made from a
/// mix of states is recognised as stale when it is confirmed.
async fn snapshot(context: &Context) -> Result<planning::Snapshot, gl_platform::Error> {
    let table = context.platform.as_ref();
    let head = table.read(key::HEAD).await?;
    let intents = table.scan(key::INTENTS).await?;
    let list = context.node.vm_list.lock().clone();
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
        intents: intents.iter().filter_map(transaction::parse_value).collect(),
        config: context.node.config.lock().content.clone(),
    })
}

fn new_id(context: &Context, now: time::Timestamp) -> id::PlanId {
    const MICROS_PER_SECOND: u64 = 1_000_000;
    let name = &context.node.settings.daemon;
    id::PlanId(format!("{name}-{}-{:06}", now.0 / MICROS_PER_SECOND, now.0 % MICROS_PER_SECOND))
}

async fn make_plan(
    context: &Context,
    file: &intent::File,
) -> Result<plan::Plan, web::HttpResponse> {
    let now = clock::now();
    let snapshot = snapshot(context).await.map_err(|e| Fault::platform_error(&e))?;
    planning::make(snapshot, file, new_id(context, now), now)
        .map_err(|error| Fault::response(Kind::Invalid, &error.to_string()))
}

async fn store_plan(context: &Context, plan: &plan::Plan) -> Result<(), web::HttpResponse> {
    let key = key::plan(&plan.id);
    let txn = txn::Txn {
        id: id::TxnId(format!("plan/{}", plan.id)),
        checks: vec![txn::Check { key: key.clone(), version: id::Version::default() }],
        writes: vec![txn::Write { key, value: serde_json::to_string(plan).ok() }],
    };
    let marker = Marker { key: key::plan(&plan.id), plan: plan.id.clone(), state: plan.state };
    commit(context, &txn, &marker).await.map(|_| ())
}

/// The row of a plan, which shows whether the plan was stored or confirmed.
struct Marker {
    key: String,
    plan: id::PlanId,
    state: plan::State,
}

impl transaction::Marker for Marker {
    fn key(&self) -> &str {
        &self.key
    }

    fn confirms(&self, row: &txn::Row) -> bool {
        transaction::parse_value::<plan::Plan>(row)
            .is_some_and(|plan| plan.id == self.plan && plan.state == self.state)
    }
}

/// Executes a transaction. Returns whether it took effect; if not, the state has changed.
async fn commit(
    context: &Context,
    txn: &txn::Txn,
    marker: &Marker,
) -> Result<bool, web::HttpResponse> {
    let limit = clock::now() + TIMEOUT;
    match transaction::execute(context.platform.as_ref(), txn, marker, Some(limit)).await {
        transaction::Status::Committed(_) => Ok(true),
        transaction::Status::Conflict => Ok(false),
        transaction::Status::Failed(error) => Err(Fault::platform_error(&error)),
        transaction::Status::Unknown(error) => Err(Fault::outcome_unknown(&error)),
    }
}

/// Makes and stores a plan for intents.
pub async fn submit(
    request: web::HttpRequest,
    payload: web::types::Payload,
    context: web::types::State<Context>,
) -> web::HttpResponse {
    let response = async {
        let body = access::read_body(&context, &request, payload).await?;
        let file: intent::File = parse_body(&body)?;
        let plan = make_plan(&context, &file).await?;
        store_plan(&context, &plan).await?;
        Ok(web::HttpResponse::Ok().json(&plan))
    };
    into_response(response.await)
}

/// Returns all stored plans.
pub async fn list(
    request: web::HttpRequest,
    context: web::types::State<Context>,
) -> web::HttpResponse {
    let response = async {
        authorize(&context, &request)?;
        let rows =
            context.platform.scan(key::PLANS).await.map_err(|e| Fault::platform_error(&e))?;
        let plans: Vec<plan::Plan> = rows.iter().filter_map(transaction::parse_value).collect();
        Ok(web::HttpResponse::Ok().json(&plans))
    };
    into_response(response.await)
}

struct StoredPlan {
    plan: plan::Plan,
    version: id::Version,
}

async fn read_plan(context: &Context, id: &id::PlanId) -> Result<StoredPlan, web::HttpResponse> {
    let row = context.platform.read(&key::plan(id)).await.map_err(|e| Fault::platform_error(&e))?;
    let missing = || {
        let message = format!("no plan is called `{id}`; `geraniumlatch plans` lists all");
        Fault::response(Kind::NotFound, &message)
    };
    let row = row.ok_or_else(missing)?;
    let plan = transaction::parse_value(&row).ok_or_else(missing)?;
    Ok(StoredPlan { plan, version: row.version })
}

/// Returns a stored plan.
pub async fn show(
    request: web::HttpRequest,
    id: web::types::Path<String>,
    context: web::types::State<Context>,
) -> web::HttpResponse {
    let response = async {
        authorize(&context, &request)?;
        let stored = read_plan(&context, &id::PlanId(id.into_inner())).await?;
        Ok(web::HttpResponse::Ok().json(&stored.plan))
    };
    into_response(response.await)
}

/// Puts a plan in force if the state from which it was made is unchanged. Otherwise nothing
/// changes, and a new plan for the same intents is made and returned.
pub async fn confirm(
    request: web::HttpRequest,
    id: web::types::Path<String>,
    context: web::types::State<Context>,
) -> web::HttpResponse {
    let response = async {
        authorize(&context, &request)?;
        let stored = read_plan(&context, &id::PlanId(id.into_inner())).await?;
        if stored.plan.state == plan::State::Confirmed {
            return Ok(web::HttpResponse::Ok().json(&stored.plan));
        }
        let txn = planning::confirm(&stored.plan, stored.version);
        let state = plan::State::Confirmed;
        let plan = stored.plan.id.clone();
        let marker = Marker { key: key::plan(&plan), plan, state };
        if commit(&context, &txn, &marker).await? {
            context.node.broadcast(&frame::Frame::JobsChanged);
            context.node.plan_confirmed.notify_one();
            let confirmed = plan::Plan { state, ..stored.plan };
            return Ok(web::HttpResponse::Ok().json(&confirmed));
        }
        stale_response(&context, stored.plan).await
    };
    into_response(response.await)
}

async fn stale_response(context: &Context, old: plan::Plan) -> Response {
    let fresh = if old.cancels.is_empty() {
        make_plan(context, &intent::File { intents: old.intents }).await?
    } else {
        make_cancel_plan(context, &old.cancels).await?
    };
    store_plan(context, &fresh).await?;
    let message = format!(
        "the state has changed since plan `{}` was made; review plan `{}` and confirm it instead",
        old.id, fresh.id
    );
    let fault = Fault { kind: Kind::Stale, message };
    Ok(web::HttpResponse::Conflict().json(&Stale { fault, fresh }))
}

async fn make_cancel_plan(
    context: &Context,
    names: &[id::JobId],
) -> Result<plan::Plan, web::HttpResponse> {
    let now = clock::now();
    let snapshot = snapshot(context).await.map_err(|e| Fault::platform_error(&e))?;
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
    let is_missing = |name: &&id::JobId| !parts.iter().any(|part| part.row.spec.name == **name);
    if let Some(name) = names.iter().find(is_missing) {
        let message = format!("no job is called `{name}`; `geraniumlatch status` lists all");
        return Err(Fault::response(Kind::NotFound, &message));
    }
    Ok(planning::cancel(new_id(context, now), now, snapshot.head, names, &parts))
}

/// Makes and stores a plan that cancels jobs.
pub async fn cancel(
    request: web::HttpRequest,
    payload: web::types::Payload,
    context: web::types::State<Context>,
) -> web::HttpResponse {
    let response = async {
        let body = access::read_body(&context, &request, payload).await?;
        let names: Vec<id::JobId> = parse_body(&body)?;
        let plan = make_cancel_plan(&context, &names).await?;
        store_plan(&context, &plan).await?;
        Ok(web::HttpResponse::Ok().json(&plan))
    };
    into_response(response.await)
}

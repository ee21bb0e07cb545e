//! The shared configuration: accepted once in the table, then in force at all daemons.

use gl_model::{config, id, key, time, txn};
use gl_peer::frame;
use gl_platform::Table as _;
use ntex::web;

use super::{Context, Fault, Kind, access};
use crate::{clock, transaction};

/// The time limit for accepting a configuration.
const TIMEOUT: time::Span = time::Span::seconds(10);

/// A request to replace the configuration.
#[gl_derive::domain]
pub struct Change {
    /// The number of the configuration to replace.
    pub basis: id::Version,
    /// The new content.
    pub content: config::Shared,
}

/// Returns the configuration in force at this daemon.
pub async fn show(
    request: web::HttpRequest,
    context: web::types::State<Context>,
) -> web::HttpResponse {
    if let Some(refusal) = access::refusal(&context, &request) {
        return refusal;
    }
    let config = context.node.config.lock().clone();
    web::HttpResponse::Ok().json(&config)
}

/// Returns all accepted configurations, oldest first.
pub async fn history(
    request: web::HttpRequest,
    context: web::types::State<Context>,
) -> web::HttpResponse {
    if let Some(refusal) = access::refusal(&context, &request) {
        return refusal;
    }
    match context.platform.scan(key::HISTORY).await {
        Err(error) => Fault::platform_error(&error),
        Ok(rows) => {
            let rows: Vec<config::Row> = rows.iter().filter_map(transaction::parse_value).collect();
            web::HttpResponse::Ok().json(&rows)
        }
    }
}

/// Accepts a configuration under optimistic concurrency control: it is stored with the next number
/// if the stored configuration still has the number that the request names as its basis.
pub async fn apply(
    request: web::HttpRequest,
    payload: web::types::Payload,
    context: web::types::State<Context>,
) -> web::HttpResponse {
    let body = match access::read_body(&context, &request, payload).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    let change: Change = match serde_json::from_slice(&body) {
        Ok(change) => change,
        Err(error) => return Fault::response(Kind::Invalid, &format!("{error}; correct the file")),
    };
    if let Err(fault) = gl_config::shared::check(&change.content) {
        return Fault::response(Kind::Invalid, &fault.to_string());
    }
    accept(&context, change).await
}

/// The row of the configuration, which shows whether a change was stored.
struct Marker(id::TxnId);

impl transaction::Marker for Marker {
    fn key(&self) -> &str {
        key::CONFIG
    }

    fn confirms(&self, row: &txn::Row) -> bool {
        transaction::parse_value::<config::Row>(row).is_some_and(|row| row.txn == self.0)
    }
}

async fn accept(context: &Context, change: Change) -> web::HttpResponse {
    let stored = match context.platform.read(key::CONFIG).await {
        Ok(row) => row,
        Err(error) => return Fault::platform_error(&error),
    };
    let version = stored.as_ref().map(|row| row.version).unwrap_or_default();
    let current: Option<config::Row> = stored.as_ref().and_then(transaction::parse_value);
    let number = current.map(|row| row.number).unwrap_or_default();
    if number != change.basis {
        return stale_response(number);
    }
    let now = clock::now();
    let id = id::TxnId(format!("config/{}/{}", context.node.me.id, now.0));
    let row = config::Row { number: number.next(), txn: id.clone(), content: change.content };
    let value = serde_json::to_string(&row).ok();
    let txn = txn::Txn {
        id: id.clone(),
        checks: vec![txn::Check { key: key::CONFIG.to_owned(), version }],
        writes: vec![
            txn::Write { key: key::CONFIG.to_owned(), value: value.clone() },
            txn::Write { key: key::history(row.number), value },
        ],
    };
    let marker = Marker(id);
    let status =
        transaction::execute(context.platform.as_ref(), &txn, &marker, Some(now + TIMEOUT));
    match status.await {
        transaction::Status::Committed(_) => {
            context.node.update_config(&row);
            context.node.broadcast(&frame::Frame::Config(Box::new(row.clone())));
            web::HttpResponse::Ok().json(&row)
        }
        transaction::Status::Conflict => stale_response(number.next()),
        transaction::Status::Failed(error) => Fault::platform_error(&error),
        transaction::Status::Unknown(error) => Fault::outcome_unknown(&error),
    }
}

fn stale_response(number: id::Version) -> web::HttpResponse {
    let message = format!(
        "the configuration is now at number {number}; read it, repeat your change and apply it \
         again"
    );
    Fault::response(Kind::Stale, &message)
}

//! Claims on idempotency keys: an unrepeatable call with a key is sent only after its claim is
//! stored, so that a caller's retry at another daemon finds the claim. Claims are stored by group
//! commit.

use std::{rc, time};

use gl_model::{call, id, key, time as model, txn};
use gl_platform::Table;
use tokio::sync::{mpsc, oneshot};

use crate::{clock, transaction};

/// The time for which claims are collected for one transaction.
const BATCH_WINDOW: time::Duration = time::Duration::from_millis(2);
/// The maximum number of claims in one transaction.
const MAX_BATCH: usize = 85;
/// The length of a time bucket of claims, which is the minimum time for which a key is remembered.
/// A key is forgotten after at most twice this time.
const BUCKET_SPAN: model::Span = model::Span::seconds(12 * 3_600);
/// The time for which the release of a claim, or its response, is retried until stored.
const REWRITE_TIMEOUT: model::Span = model::Span::seconds(600);
/// The time after a lost reply within which a transaction may still take effect.
const LATE_COMMIT_WINDOW: model::Span = model::Span::seconds(5);

/// The result of an attempt to claim a key.
#[derive(Clone, Debug, PartialEq)]
pub enum Acquisition {
    /// This call holds the key.
    Acquired {
        /// The version of the claim's row.
        version: id::Version,
    },
    /// Another call holds the key; contains its response if it is stored.
    Taken(Option<call::Response>),
    /// No claim could be stored in time, so the call must not be sent.
    Unconfirmed,
}

struct PendingClaim {
    /// The key of the row that the claim writes.
    key: String,
    /// The keys of the same name in the neighbouring buckets. Calls that began before the border of
    /// a bucket use the previous one, and daemons whose clocks are ahead use the next one.
    neighbours: [String; 2],
    call: id::CallId,
    limit: model::Timestamp,
    reply: oneshot::Sender<Acquisition>,
}

/// The claims on keys of one server thread.
#[derive(Clone)]
pub struct Claims {
    sender: mpsc::UnboundedSender<PendingClaim>,
    table: rc::Rc<dyn Table>,
}

/// Returns the time bucket of a claim made at `now`.
pub const fn bucket(now: model::Timestamp) -> u64 {
    now.0 / BUCKET_SPAN.0
}

fn to_json(claim: &call::Claim) -> Option<String> {
    serde_json::to_string(claim).ok()
}

impl Claims {
    /// Starts to store claims in `table`.
    pub fn start(table: rc::Rc<dyn Table>) -> Self {
        let (sender, queue) = mpsc::unbounded_channel();
        ntex::rt::spawn(batch_claims(rc::Rc::clone(&table), queue)).detach();
        Self { sender, table }
    }

    /// Claims a key for a call; gives up at `limit`.
    pub async fn claim(
        &self,
        service: &id::JobId,
        name: &str,
        call: &id::CallId,
        limit: model::Timestamp,
    ) -> Acquisition {
        let now = clock::now();
        let (reply, claimed) = oneshot::channel();
        let pending = PendingClaim {
            key: key::claim(bucket(now), service, name),
            neighbours: [
                key::claim(bucket(now) - 1, service, name),
                key::claim(bucket(now) + 1, service, name),
            ],
            call: call.clone(),
            limit,
            reply,
        };
        if self.sender.send(pending).is_err() {
            return Acquisition::Unconfirmed;
        }
        claimed.await.unwrap_or(Acquisition::Unconfirmed)
    }

    /// Releases the claim of a call that did not run, so that its caller may try again.
    pub fn release(&self, service: &id::JobId, name: &str, call: &id::CallId) {
        self.rewrite(service, name, call, None);
    }

    /// Stores a call's response with its claim.
    pub fn store_response(
        &self,
        service: &id::JobId,
        name: &str,
        call: &id::CallId,
        response: call::Response,
    ) {
        self.rewrite(service, name, call, Some(response));
    }

    fn rewrite(
        &self,
        service: &id::JobId,
        name: &str,
        call: &id::CallId,
        response: Option<call::Response>,
    ) {
        let table = rc::Rc::clone(&self.table);
        let now = bucket(clock::now());
        let keys = [now, now - 1].map(|bucket| key::claim(bucket, service, name));
        let call = call.clone();
        ntex::rt::spawn(async move {
            rewrite(table.as_ref(), &keys, &call, response.as_ref()).await;
        })
        .detach();
    }
}

/// A row that holds the claim of a call.
struct ClaimRow<'a> {
    key: &'a str,
    version: id::Version,
    claim: call::Claim,
}

/// Returns the row that holds the claim of `call`: the row of the present bucket or, if the call was
/// claimed before the border, that of the previous one.
async fn find_claim<'a>(
    table: &dyn Table,
    keys: &'a [String],
    call: &id::CallId,
) -> Result<Option<ClaimRow<'a>>, gl_platform::Error> {
    for key in keys {
        let Some(row) = table.read(key).await? else {
            continue;
        };
        let claim: Option<call::Claim> = transaction::parse_value(&row);
        if let Some(claim) = claim.filter(|claim| claim.call == *call) {
            return Ok(Some(ClaimRow { key, version: row.version, claim }));
        }
    }
    Ok(None)
}

/// Replaces or deletes the row of a claim if this call still holds it. `keys` are those under which
/// the claim may be stored.
async fn rewrite(
    table: &dyn Table,
    keys: &[String],
    call: &id::CallId,
    response: Option<&call::Response>,
) {
    let limit = clock::now() + REWRITE_TIMEOUT;
    let late_until = clock::now() + LATE_COMMIT_WINDOW;
    let kind = if response.is_some() { "answer" } else { "release" };
    while clock::now() < limit {
        let found = match find_claim(table, keys, call).await {
            Ok(Some(found)) => found,
            // A claim whose reply was lost may still take effect.
            Ok(None) if response.is_none() && clock::now() < late_until => {
                ntex::time::sleep(time::Duration::from_millis(500)).await;
                continue;
            }
            Ok(None) => return,
            Err(_) => {
                ntex::time::sleep(time::Duration::from_millis(100)).await;
                continue;
            }
        };
        if found.claim.response.is_some() {
            return;
        }
        let row = response
            .map(|response| call::Claim { call: call.clone(), response: Some(response.clone()) });
        let txn = txn::Txn {
            id: id::TxnId(format!("claim/{call}/{kind}/{}", found.version)),
            checks: vec![txn::Check { key: found.key.to_owned(), version: found.version }],
            writes: vec![txn::Write {
                key: found.key.to_owned(),
                value: row.as_ref().and_then(to_json),
            }],
        };
        if table.transact(&txn).await.is_ok() {
            return;
        }
        ntex::time::sleep(time::Duration::from_millis(100)).await;
    }
}

async fn batch_claims(table: rc::Rc<dyn Table>, mut queue: mpsc::UnboundedReceiver<PendingClaim>) {
    while let Some(first) = queue.recv().await {
        // The timers of `ntex` are too coarse for a wait of a few milliseconds.
        tokio::time::sleep(BATCH_WINDOW).await;
        let mut batch = Vec::new();
        let mut next = Some(first);
        while let Some(pending) = next {
            // Two claims on one key must not share a transaction, which would grant the key to
            // both.
            if batch.len() == MAX_BATCH
                || batch.iter().any(|other: &PendingClaim| other.key == pending.key)
            {
                let closed_batch = std::mem::take(&mut batch);
                ntex::rt::spawn(store_batch(rc::Rc::clone(&table), closed_batch)).detach();
            }
            batch.push(pending);
            next = queue.try_recv().ok();
        }
        ntex::rt::spawn(store_batch(rc::Rc::clone(&table), batch)).detach();
    }
}

/// Stores a batch of claims. Claims on keys that are taken are removed from it, and the others are
/// tried again.
async fn store_batch(table: rc::Rc<dyn Table>, mut batch: Vec<PendingClaim>) {
    let mut round = 0_u32;
    while !batch.is_empty() {
        round += 1;
        batch = store_batch_once(table.as_ref(), batch, round).await;
    }
}

async fn store_batch_once(
    table: &dyn Table,
    batch: Vec<PendingClaim>,
    round: u32,
) -> Vec<PendingClaim> {
    let Some(first) = batch.first() else {
        return batch;
    };
    let absent = id::Version::default();
    let check = |key: &String| txn::Check { key: key.clone(), version: absent };
    let row = |pending: &PendingClaim| call::Claim { call: pending.call.clone(), response: None };
    let txn = txn::Txn {
        id: id::TxnId(format!("claim/{}/{round}", first.call)),
        checks: batch
            .iter()
            .flat_map(|pending| std::iter::once(&pending.key).chain(&pending.neighbours))
            .map(check)
            .collect(),
        writes: batch
            .iter()
            .map(|pending| txn::Write { key: pending.key.clone(), value: to_json(&row(pending)) })
            .collect(),
    };
    let limit = batch.iter().map(|pending| pending.limit).min();
    let marker = Marker { key: first.key.clone(), call: first.call.clone() };
    match transaction::execute(table, &txn, &marker, limit).await {
        transaction::Status::Committed(version) => {
            for pending in batch {
                let _ = pending.reply.send(Acquisition::Acquired { version });
            }
            Vec::new()
        }
        transaction::Status::Conflict => resolve_conflict(table, batch).await,
        transaction::Status::Failed(_) | transaction::Status::Unknown(_) => {
            for pending in batch {
                let _ = pending.reply.send(Acquisition::Unconfirmed);
            }
            Vec::new()
        }
    }
}

/// The row of the first claim of a batch, which shows whether the batch was stored.
struct Marker {
    key: String,
    call: id::CallId,
}

impl transaction::Marker for Marker {
    fn key(&self) -> &str {
        &self.key
    }

    fn confirms(&self, row: &txn::Row) -> bool {
        transaction::parse_value::<call::Claim>(row).is_some_and(|claim| claim.call == self.call)
    }
}

/// Returns the row of the claim's key, or of the same name in a neighbouring bucket.
async fn read_first(
    table: &dyn Table,
    pending: &PendingClaim,
) -> Result<Option<txn::Row>, gl_platform::Error> {
    for key in std::iter::once(&pending.key).chain(&pending.neighbours) {
        if let Some(row) = table.read(key).await? {
            return Ok(Some(row));
        }
    }
    Ok(None)
}

/// Replies to the calls whose keys are taken and returns the other claims.
async fn resolve_conflict(table: &dyn Table, batch: Vec<PendingClaim>) -> Vec<PendingClaim> {
    let mut unclaimed = Vec::new();
    for pending in batch {
        match read_first(table, &pending).await {
            Err(_) => {
                let _ = pending.reply.send(Acquisition::Unconfirmed);
            }
            Ok(None) => unclaimed.push(pending),
            Ok(Some(row)) => {
                let claim: Option<call::Claim> = transaction::parse_value(&row);
                let response = claim.and_then(|claim| claim.response);
                let _ = pending.reply.send(Acquisition::Taken(response));
            }
        }
    }
    unclaimed
}

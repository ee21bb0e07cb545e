//! Claims on idempotency keys: a keyed unrepeatable call is sent only after its claim is stored,
//! so that a caller's retry at another daemon finds it. Claims are stored in groups.

use std::{rc, time};

use gl_model::{call, id, key, time as model, txn};
use gl_platform::Table;
use tokio::sync::{mpsc, oneshot};

use crate::{clock, settle};

/// How long claims are gathered for one transaction.
const GATHER: time::Duration = time::Duration::from_millis(2);
/// Claims that one transaction holds at most.
const GROUP: usize = 128;
/// How long a key is remembered at least; it is forgotten after at most twice that.
const BUCKET: model::Span = model::Span::seconds(12 * 3_600);
/// How long a claim that was given back, or its answer, is tried to be stored.
const KEEP_TRYING: model::Span = model::Span::seconds(600);
/// How long a transaction may take effect after its answer was lost.
const STRAGGLER: model::Span = model::Span::seconds(5);

/// What became of an attempt to claim a key.
#[derive(Clone, Debug, PartialEq)]
pub enum Claimed {
    /// The key is this call's.
    Own {
        /// The version of the claim's row.
        version: id::Version,
    },
    /// Another call has the key; its answer, if it is stored.
    Other(Option<call::Response>),
    /// No claim could be stored in time, so the call may not be sent.
    Unproved,
}

struct Wish {
    key: String,
    previous: String,
    call: id::CallId,
    limit: model::Timestamp,
    answer: oneshot::Sender<Claimed>,
}

/// Claims keys for the calls of one thread.
#[derive(Clone)]
pub struct Claims {
    wishes: mpsc::UnboundedSender<Wish>,
    table: rc::Rc<dyn Table>,
}

/// The bucket of time in which a claim is made now.
pub const fn bucket(now: model::Timestamp) -> u64 {
    now.0 / BUCKET.0
}

fn value(claim: &call::Claim) -> Option<String> {
    serde_json::to_string(claim).ok()
}

impl Claims {
    /// Starts storing claims in `table`.
    pub fn start(table: rc::Rc<dyn Table>) -> Self {
        let (wishes, queue) = mpsc::unbounded_channel();
        ntex::rt::spawn(run(rc::Rc::clone(&table), queue)).detach();
        Self { wishes, table }
    }

    /// Claims a key for a call until `limit`.
    pub async fn claim(
        &self,
        service: &id::JobId,
        name: &str,
        call: &id::CallId,
        limit: model::Timestamp,
    ) -> Claimed {
        let now = clock::now();
        let (answer, claimed) = oneshot::channel();
        let wish = Wish {
            key: key::claim(bucket(now), service, name),
            previous: key::claim(bucket(now) - 1, service, name),
            call: call.clone(),
            limit,
            answer,
        };
        if self.wishes.send(wish).is_err() {
            return Claimed::Unproved;
        }
        claimed.await.unwrap_or(Claimed::Unproved)
    }

    /// Gives back the claim of a call that did not run, so that its caller may try again.
    pub fn release(&self, service: &id::JobId, name: &str, call: &id::CallId) {
        self.rewrite(service, name, call, None);
    }

    /// Stores a call's answer with its claim.
    pub fn answer(
        &self,
        service: &id::JobId,
        name: &str,
        call: &id::CallId,
        answer: call::Response,
    ) {
        self.rewrite(service, name, call, Some(answer));
    }

    fn rewrite(
        &self,
        service: &id::JobId,
        name: &str,
        call: &id::CallId,
        answer: Option<call::Response>,
    ) {
        let table = rc::Rc::clone(&self.table);
        let key = key::claim(bucket(clock::now()), service, name);
        let call = call.clone();
        ntex::rt::spawn(async move {
            rewrite(table.as_ref(), &key, &call, answer.as_ref()).await;
        })
        .detach();
    }
}

/// Replaces or deletes the row of a claim that is still this call's.
async fn rewrite(table: &dyn Table, key: &str, call: &id::CallId, answer: Option<&call::Response>) {
    let limit = clock::now() + KEEP_TRYING;
    let straggler = clock::now() + STRAGGLER;
    let kind = if answer.is_some() { "answer" } else { "release" };
    while clock::now() < limit {
        let read = match table.read(key).await {
            Ok(Some(row)) => row,
            // A claim whose answer was lost may still come into force.
            Ok(None) if answer.is_none() && clock::now() < straggler => {
                ntex::time::sleep(time::Duration::from_millis(500)).await;
                continue;
            }
            Ok(None) => return,
            Err(_) => {
                ntex::time::sleep(time::Duration::from_millis(100)).await;
                continue;
            }
        };
        let claim: Option<call::Claim> = settle::value(&read);
        if claim.is_none_or(|claim| claim.call != *call || claim.response.is_some()) {
            return;
        }
        let row =
            answer.map(|answer| call::Claim { call: call.clone(), response: Some(answer.clone()) });
        let txn = txn::Txn {
            id: id::TxnId(format!("claim/{call}/{kind}/{}", read.version)),
            checks: vec![txn::Check { key: key.to_owned(), version: read.version }],
            writes: vec![txn::Write { key: key.to_owned(), value: row.as_ref().and_then(value) }],
        };
        if table.transact(&txn).await.is_ok() {
            return;
        }
        ntex::time::sleep(time::Duration::from_millis(100)).await;
    }
}

async fn run(table: rc::Rc<dyn Table>, mut queue: mpsc::UnboundedReceiver<Wish>) {
    while let Some(first) = queue.recv().await {
        // The timers of `ntex` are too coarse for a wait of a few milliseconds.
        tokio::time::sleep(GATHER).await;
        let mut group = Vec::new();
        let mut next = Some(first);
        while let Some(wish) = next {
            // Two calls with one key never share a transaction, which would claim it for both.
            if group.len() == GROUP || group.iter().any(|w: &Wish| w.key == wish.key) {
                let full = std::mem::take(&mut group);
                ntex::rt::spawn(store(rc::Rc::clone(&table), full)).detach();
            }
            group.push(wish);
            next = queue.try_recv().ok();
        }
        ntex::rt::spawn(store(rc::Rc::clone(&table), group)).detach();
    }
}

/// Stores a group of claims; those that conflict are told what stands there, and the rest is
/// tried again without them.
async fn store(table: rc::Rc<dyn Table>, mut group: Vec<Wish>) {
    let mut round = 0_u32;
    while !group.is_empty() {
        round += 1;
        group = store_once(table.as_ref(), group, round).await;
    }
}

async fn store_once(table: &dyn Table, group: Vec<Wish>, round: u32) -> Vec<Wish> {
    let Some(first) = group.first() else {
        return group;
    };
    let absent = id::Version::default();
    let check = |key: &String| txn::Check { key: key.clone(), version: absent };
    let row = |wish: &Wish| call::Claim { call: wish.call.clone(), response: None };
    let txn = txn::Txn {
        id: id::TxnId(format!("claim/{}/{round}", first.call)),
        checks: group.iter().flat_map(|w| [check(&w.key), check(&w.previous)]).collect(),
        writes: group
            .iter()
            .map(|w| txn::Write { key: w.key.clone(), value: value(&row(w)) })
            .collect(),
    };
    let limit = group.iter().map(|wish| wish.limit).min();
    let marker = Marker { key: first.key.clone(), call: first.call.clone() };
    match settle::transact(table, &txn, &marker, limit).await {
        settle::Fate::Committed(version) => {
            for wish in group {
                let _ = wish.answer.send(Claimed::Own { version });
            }
            Vec::new()
        }
        settle::Fate::Conflict => sort_out(table, group).await,
        settle::Fate::Refused(_) | settle::Fate::Open(_) => {
            for wish in group {
                let _ = wish.answer.send(Claimed::Unproved);
            }
            Vec::new()
        }
    }
}

struct Marker {
    key: String,
    call: id::CallId,
}

impl settle::Marker for Marker {
    fn key(&self) -> &str {
        &self.key
    }

    fn is_mine(&self, row: &txn::Row) -> bool {
        settle::value::<call::Claim>(row).is_some_and(|claim| claim.call == self.call)
    }
}

/// Tells the calls whose keys are taken, and returns the others.
async fn sort_out(table: &dyn Table, group: Vec<Wish>) -> Vec<Wish> {
    let mut open = Vec::new();
    for wish in group {
        let current = table.read(&wish.key).await;
        let previous = table.read(&wish.previous).await;
        let (Ok(current), Ok(previous)) = (current, previous) else {
            let _ = wish.answer.send(Claimed::Unproved);
            continue;
        };
        match current.or(previous).as_ref().map(settle::value::<call::Claim>) {
            None => open.push(wish),
            Some(claim) => {
                let answer = claim.and_then(|claim| claim.response);
                let _ = wish.answer.send(Claimed::Other(answer));
            }
        }
    }
    open
}

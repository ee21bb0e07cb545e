//! Claims on idempotency keys, tested against a table with lost replies and outages. A key must be
//! granted to one call at most, whichever replies are lost, and a transaction whose reply was lost
//! must be resolved by reading its row.

#![allow(clippy::unwrap_used, reason = "tests")]

use std::{cell, rc};

use assert_matches::assert_matches;
use geraniumlatchd::{
    clock,
    proxy::claims::{self, Acquisition, Claims},
    transaction,
};
use gl_model::{call, id, key, time, txn};
use gl_platform::{Error, Table};
use gl_standin::store;

/// A fault that is injected into a transaction.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Reply {
    LostAfterCommit,
    LostBeforeCommit,
    Refused,
}

#[derive(Default)]
struct FakeTable {
    store: cell::RefCell<store::Store>,
    /// The faults of the next transactions, the last one first; later transactions succeed.
    next: cell::RefCell<Vec<Reply>>,
    is_down: cell::Cell<bool>,
}

const LOST: Error = Error::Lost { operation: "transact", detail: String::new() };
const REFUSED: Error = Error::Refused { operation: "transact", status: 503 };

#[async_trait::async_trait(?Send)]
impl Table for FakeTable {
    async fn transact(&self, txn: &txn::Txn) -> Result<txn::Outcome, Error> {
        if self.is_down.get() {
            return Err(REFUSED);
        }
        // The real service may have forgotten the reply to an old transaction. Each transaction
        // therefore gets a new name here, so that no repetition is recognised.
        let renamed = id::TxnId(format!("{}/{}", txn.id, self.store.borrow().writes));
        let txn = txn::Txn { id: renamed, ..txn.clone() };
        let reply = self.next.borrow_mut().pop();
        match reply {
            None => Ok(self.store.borrow_mut().transact(&txn)),
            Some(Reply::LostAfterCommit) => {
                self.store.borrow_mut().transact(&txn);
                Err(LOST)
            }
            Some(Reply::LostBeforeCommit) => Err(LOST),
            Some(Reply::Refused) => Err(REFUSED),
        }
    }

    async fn read(&self, key: &str) -> Result<Option<txn::Row>, Error> {
        if self.is_down.get() { Err(REFUSED) } else { Ok(self.store.borrow_mut().read(key)) }
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<txn::Row>, Error> {
        self.page(prefix, "", usize::MAX).await
    }

    async fn page(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<txn::Row>, Error> {
        Ok(self.store.borrow_mut().scan(prefix, after, limit))
    }
}

struct Harness {
    table: rc::Rc<FakeTable>,
    claims: Claims,
    service: id::JobId,
}

impl Harness {
    fn new() -> Self {
        let table = rc::Rc::new(FakeTable::default());
        let claims = Claims::start(rc::Rc::clone(&table) as rc::Rc<dyn Table>);
        Self { table, claims, service: id::JobId::from("booking") }
    }

    async fn claim(&self, key: &str, call: &str) -> Acquisition {
        let limit = clock::now() + time::Span::millis(700);
        self.claims.claim(&self.service, key, &id::CallId::from(call), limit).await
    }
}

#[ntex::test]
async fn key_is_granted_to_one_call_whichever_replies_are_lost() {
    for lost in [
        vec![],
        vec![Reply::LostAfterCommit],
        vec![Reply::LostBeforeCommit],
        vec![Reply::Refused, Reply::LostAfterCommit, Reply::LostBeforeCommit],
    ] {
        let harness = Harness::new();
        *harness.table.next.borrow_mut() = lost.clone();
        assert_matches!(harness.claim("k", "c1").await, Acquisition::Acquired { .. }, "{lost:?}");
        assert_eq!(harness.claim("k", "c2").await, Acquisition::Taken(None), "{lost:?}");
    }
}

#[ntex::test]
async fn concurrent_calls_with_one_key_get_one_claim() {
    let harness = Harness::new();
    let claim = |call: &'static str| {
        let (claims, service) = (harness.claims.clone(), harness.service.clone());
        let limit = clock::now() + time::Span::seconds(1);
        ntex::rt::spawn(
            async move { claims.claim(&service, "k", &id::CallId::from(call), limit).await },
        )
    };
    let (first, second) = (claim("c1"), claim("c2"));
    let both = [first.await.unwrap(), second.await.unwrap()];
    let owned =
        both.iter().filter(|claimed| matches!(claimed, Acquisition::Acquired { .. })).count();
    let others = both.iter().filter(|claimed| **claimed == Acquisition::Taken(None)).count();
    assert_eq!((owned, others), (1, 1), "{both:?}");
}

#[ntex::test]
async fn claim_is_unconfirmed_during_an_outage_of_the_table() {
    let harness = Harness::new();
    harness.table.is_down.set(true);
    assert_eq!(harness.claim("k", "c1").await, Acquisition::Unconfirmed);
    harness.table.is_down.set(false);
    assert_matches!(harness.claim("k", "c1").await, Acquisition::Acquired { .. });
}

#[ntex::test]
async fn released_key_can_be_claimed_again_and_completed_one_returns_its_response() {
    let harness = Harness::new();
    harness.claim("k", "c1").await;
    harness.claims.release(&harness.service, "k", &id::CallId::from("c1"));
    ntex::time::sleep(std::time::Duration::from_millis(200)).await;
    assert_matches!(harness.claim("k", "c2").await, Acquisition::Acquired { .. });
    let response = call::Response { status: 200, content_type: None, body: "seat 7".to_owned() };
    harness.claims.store_response(&harness.service, "k", &id::CallId::from("c2"), response.clone());
    ntex::time::sleep(std::time::Duration::from_millis(200)).await;
    assert_eq!(harness.claim("k", "c3").await, Acquisition::Taken(Some(response)));
}

#[ntex::test]
async fn claim_of_another_call_is_not_released() {
    let harness = Harness::new();
    harness.claim("k", "c1").await;
    harness.claims.release(&harness.service, "k", &id::CallId::from("c9"));
    ntex::time::sleep(std::time::Duration::from_millis(200)).await;
    assert_eq!(harness.claim("k", "c2").await, Acquisition::Taken(None));
}

/// Writes a claim into the bucket that is `offset` buckets from the present one.
fn store_claim(harness: &Harness, name: &str, call: &str, offset: i64) -> String {
    let bucket = claims::bucket(clock::now()).checked_add_signed(offset).unwrap();
    let key = key::claim(bucket, &harness.service, name);
    let claim = call::Claim { call: id::CallId::from(call), response: None };
    harness.table.store.borrow_mut().transact(&txn::Txn {
        id: id::TxnId(format!("earlier/{call}")),
        checks: Vec::new(),
        writes: vec![txn::Write { key: key.clone(), value: serde_json::to_string(&claim).ok() }],
    });
    key
}

/// A call that began before the border of two time buckets and ended after it.
#[ntex::test]
async fn claim_made_before_the_border_of_its_bucket_is_released() {
    let harness = Harness::new();
    let key = store_claim(&harness, "k", "c1", -1);
    harness.claims.release(&harness.service, "k", &id::CallId::from("c1"));
    ntex::time::sleep(std::time::Duration::from_millis(200)).await;
    assert!(harness.table.read(&key).await.unwrap().is_none_or(|row| row.value.is_empty()));
    assert_matches!(harness.claim("k", "c2").await, Acquisition::Acquired { .. });

    let key = store_claim(&harness, "j", "c3", -1);
    let response = call::Response { status: 200, content_type: None, body: "seat 7".to_owned() };
    harness.claims.store_response(&harness.service, "j", &id::CallId::from("c3"), response.clone());
    ntex::time::sleep(std::time::Duration::from_millis(200)).await;
    assert_eq!(harness.claim("j", "c4").await, Acquisition::Taken(Some(response)), "{key}");
}

/// The clock of another daemon is ahead and already counts in the next bucket.
#[ntex::test]
async fn key_claimed_by_a_daemon_whose_clock_is_past_the_border_is_taken() {
    let harness = Harness::new();
    store_claim(&harness, "k", "c1", 1);
    assert_eq!(harness.claim("k", "c2").await, Acquisition::Taken(None));
}

struct Marker;

impl transaction::Marker for Marker {
    fn key(&self) -> &str {
        "row"
    }

    fn confirms(&self, row: &txn::Row) -> bool {
        row.value == "\"mine\""
    }
}

fn write(version: u64) -> txn::Txn {
    let key = "row".to_owned();
    txn::Txn {
        id: id::TxnId::from("t"),
        checks: vec![txn::Check { key: key.clone(), version: id::Version(version) }],
        writes: vec![txn::Write { key, value: Some("\"mine\"".to_owned()) }],
    }
}

#[ntex::test]
async fn transaction_with_a_lost_reply_is_resolved_by_reading_its_row() {
    let table = FakeTable::default();
    *table.next.borrow_mut() = vec![Reply::LostAfterCommit];
    let limit = Some(clock::now() + time::Span::seconds(2));
    let status = transaction::execute(&table, &write(0), &Marker, limit).await;
    assert_eq!(status, transaction::Status::Committed(id::Version(1)));
    let status = transaction::execute(&table, &write(0), &Marker, limit).await;
    assert_eq!(status, transaction::Status::Conflict);
}

#[ntex::test]
async fn outage_ends_as_failed_and_lost_reply_as_unknown() {
    let table = FakeTable::default();
    table.is_down.set(true);
    let status = transaction::execute(&table, &write(0), &Marker, Some(clock::now())).await;
    assert_eq!(status, transaction::Status::Failed(REFUSED));
    table.is_down.set(false);
    *table.next.borrow_mut() = vec![Reply::LostBeforeCommit];
    let status = transaction::execute(&table, &write(0), &Marker, Some(clock::now())).await;
    assert_eq!(status, transaction::Status::Unknown(LOST));
}

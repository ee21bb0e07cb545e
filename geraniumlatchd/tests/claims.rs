//! Claims on idempotency keys against a fake table that loses answers and has outages.

#![allow(clippy::unwrap_used, reason = "tests")]

use std::{cell, rc};

use assert_matches::assert_matches;
use geraniumlatchd::{
    clock,
    proxy::claims::{Claimed, Claims},
    settle,
};
use gl_model::{call, id, time, txn};
use gl_platform::{Error, Table};
use gl_standin::store;

/// How the fake answers its next transactions; after the last one it answers well.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Answer {
    LostAfterEffect,
    LostBeforeEffect,
    Refused,
}

#[derive(Default)]
struct Fake {
    store: cell::RefCell<store::Store>,
    next: cell::RefCell<Vec<Answer>>,
    down: cell::Cell<bool>,
}

const LOST: Error = Error::Lost { operation: "transact", detail: String::new() };
const REFUSED: Error = Error::Refused { operation: "transact", status: 503 };

#[async_trait::async_trait(?Send)]
impl Table for Fake {
    async fn transact(&self, txn: &txn::Txn) -> Result<txn::Outcome, Error> {
        if self.down.get() {
            return Err(REFUSED);
        }
        // The real service may have forgotten an old transaction's answer, so it gets a new name.
        let renamed = id::TxnId(format!("{}/{}", txn.id, self.store.borrow().writes));
        let txn = txn::Txn { id: renamed, ..txn.clone() };
        let answer = self.next.borrow_mut().pop();
        match answer {
            None => Ok(self.store.borrow_mut().transact(&txn)),
            Some(Answer::LostAfterEffect) => {
                self.store.borrow_mut().transact(&txn);
                Err(LOST)
            }
            Some(Answer::LostBeforeEffect) => Err(LOST),
            Some(Answer::Refused) => Err(REFUSED),
        }
    }

    async fn read(&self, key: &str) -> Result<Option<txn::Row>, Error> {
        if self.down.get() { Err(REFUSED) } else { Ok(self.store.borrow_mut().read(key)) }
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<txn::Row>, Error> {
        self.page(prefix, "", usize::MAX).await
    }

    async fn page(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<txn::Row>, Error> {
        Ok(self.store.borrow_mut().scan(prefix, after, limit))
    }
}

struct Bench {
    table: rc::Rc<Fake>,
    claims: Claims,
    service: id::JobId,
}

impl Bench {
    fn new() -> Self {
        let table = rc::Rc::new(Fake::default());
        let claims = Claims::start(rc::Rc::clone(&table) as rc::Rc<dyn Table>);
        Self { table, claims, service: id::JobId::from("booking") }
    }

    async fn claim(&self, key: &str, call: &str) -> Claimed {
        let limit = clock::now() + time::Span::millis(700);
        self.claims.claim(&self.service, key, &id::CallId::from(call), limit).await
    }
}

#[ntex::test]
async fn a_key_is_claimed_once_whatever_answers_are_lost() {
    for lost in [
        vec![],
        vec![Answer::LostAfterEffect],
        vec![Answer::LostBeforeEffect],
        vec![Answer::Refused, Answer::LostAfterEffect, Answer::LostBeforeEffect],
    ] {
        let bench = Bench::new();
        *bench.table.next.borrow_mut() = lost.clone();
        assert_matches!(bench.claim("k", "c1").await, Claimed::Own { .. }, "{lost:?}");
        assert_eq!(bench.claim("k", "c2").await, Claimed::Other(None), "{lost:?}");
    }
}

#[ntex::test]
async fn of_two_calls_at_once_with_one_key_one_gets_it() {
    let bench = Bench::new();
    let claim = |call: &'static str| {
        let (claims, service) = (bench.claims.clone(), bench.service.clone());
        let limit = clock::now() + time::Span::seconds(1);
        ntex::rt::spawn(
            async move { claims.claim(&service, "k", &id::CallId::from(call), limit).await },
        )
    };
    let (first, second) = (claim("c1"), claim("c2"));
    let both = [first.await.unwrap(), second.await.unwrap()];
    let owned = both.iter().filter(|claimed| matches!(claimed, Claimed::Own { .. })).count();
    let others = both.iter().filter(|claimed| **claimed == Claimed::Other(None)).count();
    assert_eq!((owned, others), (1, 1), "{both:?}");
}

#[ntex::test]
async fn without_the_table_no_claim_is_proved() {
    let bench = Bench::new();
    bench.table.down.set(true);
    assert_eq!(bench.claim("k", "c1").await, Claimed::Unproved);
    bench.table.down.set(false);
    assert_matches!(bench.claim("k", "c1").await, Claimed::Own { .. });
}

#[ntex::test]
async fn a_released_key_can_be_claimed_again_and_an_answered_one_gives_its_answer() {
    let bench = Bench::new();
    bench.claim("k", "c1").await;
    bench.claims.release(&bench.service, "k", &id::CallId::from("c1"));
    ntex::time::sleep(std::time::Duration::from_millis(200)).await;
    assert_matches!(bench.claim("k", "c2").await, Claimed::Own { .. });
    let answer = call::Response { status: 200, content_type: None, body: "seat 7".to_owned() };
    bench.claims.answer(&bench.service, "k", &id::CallId::from("c2"), answer.clone());
    ntex::time::sleep(std::time::Duration::from_millis(200)).await;
    assert_eq!(bench.claim("k", "c3").await, Claimed::Other(Some(answer)));
}

#[ntex::test]
async fn another_calls_claim_is_never_released() {
    let bench = Bench::new();
    bench.claim("k", "c1").await;
    bench.claims.release(&bench.service, "k", &id::CallId::from("c9"));
    ntex::time::sleep(std::time::Duration::from_millis(200)).await;
    assert_eq!(bench.claim("k", "c2").await, Claimed::Other(None));
}

struct Marker;

impl settle::Marker for Marker {
    fn key(&self) -> &str {
        "row"
    }

    fn is_mine(&self, row: &txn::Row) -> bool {
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
async fn a_transactions_fate_is_settled_through_lost_answers() {
    let table = Fake::default();
    *table.next.borrow_mut() = vec![Answer::LostAfterEffect];
    let limit = Some(clock::now() + time::Span::seconds(2));
    let fate = settle::transact(&table, &write(0), &Marker, limit).await;
    assert_eq!(fate, settle::Fate::Committed(id::Version(1)));
    let fate = settle::transact(&table, &write(0), &Marker, limit).await;
    assert_eq!(fate, settle::Fate::Conflict);
}

#[ntex::test]
async fn an_outage_ends_as_refused_and_a_lost_answer_as_open() {
    let table = Fake::default();
    table.down.set(true);
    let fate = settle::transact(&table, &write(0), &Marker, Some(clock::now())).await;
    assert_eq!(fate, settle::Fate::Refused(REFUSED));
    table.down.set(false);
    *table.next.borrow_mut() = vec![Answer::LostBeforeEffect];
    let fate = settle::transact(&table, &write(0), &Marker, Some(clock::now())).await;
    assert_eq!(fate, settle::Fate::Open(LOST));
}

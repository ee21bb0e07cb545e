//! Tests of claims, renewals and releases of shard leases.
//!
//! They guard against two owners of a shard at once, and against a horizon that excludes leases
//! that workers still hold.

use assert_matches::assert_matches;
use gl_lease::shard_lease::{self, Error, Options, TxnState};
use gl_model::{id, time};

const NOW: time::Timestamp = time::Timestamp(1_000_000_000);

fn daemon(name: &str) -> id::DaemonId {
    id::DaemonId::from(name)
}

fn txn(name: &str) -> id::TxnId {
    id::TxnId::from(name)
}

fn owned() -> gl_model::shard::Row {
    shard_lease::claim(None, &daemon("d1"), &txn("t1"), NOW, &Options::default()).unwrap()
}

#[test]
fn shard_is_claimed_only_after_its_lease_and_the_clock_margin() {
    let options = Options::default();
    let row = owned();
    let early = row.expiry + options.clock_margin - time::Span::micros(1);
    let result = shard_lease::claim(Some(&row), &daemon("d2"), &txn("t2"), early, &options);
    assert_matches!(result, Err(Error::Owned { .. }));
    let late = row.expiry + options.clock_margin;
    let claimed =
        shard_lease::claim(Some(&row), &daemon("d2"), &txn("t2"), late, &options).unwrap();
    assert_eq!((claimed.epoch, claimed.owner), (row.epoch.next(), Some(daemon("d2"))));
}

#[test]
fn claim_and_renewal_never_move_the_horizon_back() {
    let options = Options::default();
    let short = Options { horizon: time::Span::seconds(1), ..options };
    let row = owned();
    let late = row.expiry + options.clock_margin;
    let claimed = shard_lease::claim(Some(&row), &daemon("d2"), &txn("t2"), late, &short).unwrap();
    assert_eq!(claimed.horizon, row.horizon);
    let renewed = shard_lease::renew(&claimed, &daemon("d2"), &txn("t3"), late, &short).unwrap();
    assert_eq!(renewed.horizon, row.horizon);
}

#[test]
fn renewal_of_a_shard_of_another_daemon_fails() {
    let renewed = shard_lease::renew(&owned(), &daemon("d2"), &txn("t2"), NOW, &Options::default());
    assert_matches!(renewed, Err(Error::Superseded { .. }));
}

#[test]
fn released_shard_is_free_at_once_with_its_horizon_at_the_last_expiry() {
    let last_expiry = NOW + time::Span::seconds(3);
    let row = shard_lease::release(&owned(), &txn("t2"), last_expiry);
    assert_eq!(row.horizon, last_expiry);
    let claimed =
        shard_lease::claim(Some(&row), &daemon("d2"), &txn("t3"), NOW, &Options::default());
    assert_eq!(claimed.map(|row| row.epoch), Ok(id::Epoch(2)));
}

#[test]
fn row_shows_the_state_of_a_transaction_whose_reply_was_lost() {
    let (row, before) = (owned(), id::Version(4));
    let read = |version| Some((&row, id::Version(version)));
    assert_eq!(shard_lease::txn_state(read(5), before, &txn("t1")), TxnState::Committed);
    assert_eq!(shard_lease::txn_state(read(4), before, &txn("t9")), TxnState::Pending);
    assert_eq!(shard_lease::txn_state(read(5), before, &txn("t9")), TxnState::Conflict);
    assert_eq!(shard_lease::txn_state(None, id::Version(0), &txn("t9")), TxnState::Pending);
}

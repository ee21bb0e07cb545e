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
fn a_shard_is_claimed_again_only_after_its_lease_and_the_margin() {
    let options = Options::default();
    let row = owned();
    let early = row.expiry + options.clock_margin - time::Span::micros(1);
    let refused = shard_lease::claim(Some(&row), &daemon("d2"), &txn("t2"), early, &options);
    assert_matches!(refused, Err(Error::Owned { .. }));
    let late = row.expiry + options.clock_margin;
    let taken = shard_lease::claim(Some(&row), &daemon("d2"), &txn("t2"), late, &options).unwrap();
    assert_eq!((taken.epoch, taken.owner), (row.epoch.next(), Some(daemon("d2"))));
}

#[test]
fn the_horizon_never_moves_back_on_a_claim_or_a_renewal() {
    let long = Options::default();
    let short = Options { horizon: time::Span::seconds(1), ..long };
    let row = owned();
    let late = row.expiry + long.clock_margin;
    let taken = shard_lease::claim(Some(&row), &daemon("d2"), &txn("t2"), late, &short).unwrap();
    assert_eq!(taken.horizon, row.horizon);
    let renewed = shard_lease::renew(&taken, &daemon("d2"), &txn("t3"), late, &short).unwrap();
    assert_eq!(renewed.horizon, row.horizon);
}

#[test]
fn renewing_another_daemons_shard_fails() {
    let renewed = shard_lease::renew(&owned(), &daemon("d2"), &txn("t2"), NOW, &Options::default());
    assert_matches!(renewed, Err(Error::Superseded { .. }));
}

#[test]
fn a_released_shard_is_free_at_once_and_its_horizon_is_cut_to_the_last_lease() {
    let reach = NOW + time::Span::seconds(3);
    let row = shard_lease::release(&owned(), &txn("t2"), reach);
    assert_eq!(row.horizon, reach);
    let taken = shard_lease::claim(Some(&row), &daemon("d2"), &txn("t3"), NOW, &Options::default());
    assert_eq!(taken.map(|row| row.epoch), Ok(id::Epoch(2)));
}

#[test]
fn a_lost_answer_is_settled_by_reading() {
    let (row, before) = (owned(), id::Version(4));
    let read = |version| Some((&row, id::Version(version)));
    assert_eq!(shard_lease::txn_state(read(5), before, &txn("t1")), TxnState::Committed);
    assert_eq!(shard_lease::txn_state(read(4), before, &txn("t9")), TxnState::Pending);
    assert_eq!(shard_lease::txn_state(read(5), before, &txn("t9")), TxnState::Conflict);
    assert_eq!(shard_lease::txn_state(None, id::Version(0), &txn("t9")), TxnState::Pending);
}

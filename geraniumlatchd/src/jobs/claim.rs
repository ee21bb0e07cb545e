//! Who owns the cell: watching the owner, claiming, renewing.

use std::rc;

use gl_jobs::{election, record};
use gl_model::time;
use gl_peer::rpc;
use gl_platform::cell as platform;

use super::{event, node, reign, rows};
use crate::clock;

/// How long a renewal is valid. Long enough for a slow store's answers, short enough that jobs
/// don't wait long for a new owner.
pub const LEASE: time::Span = time::Span::millis(2_000);
/// How long the owner's row must stay unchanged before another daemon claims the cell: the lease
/// and a margin for the drift of clocks and late timers.
const TAKEOVER: time::Span = time::Span::millis(2_300);
/// How often a daemon reads the owner's row while the owner doesn't answer it.
const WATCH: std::time::Duration = std::time::Duration::from_millis(300);
/// How often it does while the owner answers: the row may have passed to another daemon.
const CALM_WATCH: time::Span = time::Span::millis(2_000);
/// An owner that confirmed itself so recently is taken to be alive: two heartbeats.
const CONFIRMED: time::Span = time::Span::millis(700);
/// How often the owner renews: four times a lease.
const RENEW: std::time::Duration = std::time::Duration::from_millis(500);
/// The pause after a failed renewal.
const RENEW_RETRY: std::time::Duration = std::time::Duration::from_millis(150);
/// How often a follower tells the owner that it lives, and how long it waits for the answer.
const HEARTBEAT: std::time::Duration = std::time::Duration::from_millis(300);
/// How long a follower waits for the answer to its heartbeat: several round trips.
const HEARTBEAT_LIMIT: std::time::Duration = std::time::Duration::from_millis(300);
/// Failed calls of the store in a row from which on it counts as down; one may be a lost answer.
const STORE_FAILURES: u32 = 2;
/// Without an answer of the store for so long, it counts as down.
const STORE_SILENCE: time::Span = time::Span::millis(1_500);

/// The cell's rows as they were read.
#[derive(Clone, Debug, Default, PartialEq)]
struct CellRows {
    owner: Option<Stored<record::Owner>>,
    lease: Option<Stored<record::Lease>>,
}

#[derive(Clone, Debug, PartialEq)]
struct Stored<T> {
    value: T,
    version: u64,
}

/// What a daemon remembers between two looks at the cell's rows.
#[derive(Debug, Default)]
struct Watch {
    sight: election::LeaseWatch,
    /// When the rows were last read.
    read: time::Timestamp,
    /// Since when the cell could have been claimed.
    claimable: Option<time::Timestamp>,
    /// A claim whose answer was lost.
    open_claim: Option<OpenClaim>,
}

/// Watches and claims for as long as the process runs.
pub async fn run(node: rc::Rc<node::Node>) {
    let mut watch = Watch::default();
    loop {
        if node.reign().is_some() {
            watch = Watch::default();
        } else if watch.is_due(&node, clock::steady()) {
            watch.step(&node).await;
        }
        // Both ends lead to the next step.
        let _ = ntex::time::timeout(WATCH, node.owner_wake.notified()).await;
    }
}

/// The owner that the daemon follows, if it has confirmed itself of late.
pub fn has_live_owner(node: &node::Node, now: time::Timestamp) -> bool {
    match node.role() {
        node::Role::Follower(following) => {
            !following.is_gone.get() && now.since(following.confirmed.get()) < CONFIRMED
        }
        _ => false,
    }
}

/// Whether the process that claimed the cell with `token` is known to own it no more.
fn is_gone(node: &node::Node, token: u64) -> bool {
    match node.role() {
        node::Role::Follower(following) => following.token == token && following.is_gone.get(),
        _ => false,
    }
}

/// A claim that may have been carried out, or will be while the owner's row stays as it was.
#[derive(Clone, Copy, Debug, PartialEq)]
struct OpenClaim {
    claim: u64,
    /// The version of the owner's row that the claim was made against.
    against: u64,
    sent: time::Timestamp,
}

impl Watch {
    fn is_due(&self, node: &node::Node, now: time::Timestamp) -> bool {
        !has_live_owner(node, now) || now.since(self.read) >= CALM_WATCH
    }

    async fn step(&mut self, node: &rc::Rc<node::Node>) {
        let sent = clock::steady();
        let read = node.platform.store.range(&rows::all_claims()).await;
        let now = clock::steady();
        node.note_store(&read, now);
        let Ok(read) = read else {
            self.sight.reset();
            return;
        };
        self.read = now;
        let cell = cell_rows(&read.rows);
        if let Some(owner) = &cell.owner {
            self.settle_claim(node, owner);
            follow(node, owner);
        }
        let cause = self.judge(node, &cell, sent, now);
        self.claimable = cause.and(self.claimable.or(Some(now)));
        let is_fit = now >= node.unfit_until.get();
        let may_claim = is_fit && !node.draining.get() && node.reign().is_none();
        let cause = cause.filter(|_| self.has_deferred(node, now));
        if let Some(cause) = cause.filter(|_| may_claim) {
            self.claim(node, &cell, cause).await;
        }
    }

    /// Whether larger machines have had the time to claim the cell.
    fn has_deferred(&self, node: &node::Node, now: time::Timestamp) -> bool {
        self.claimable.is_some_and(|since| now.since(since) >= node.settings.deference)
    }

    /// Why the cell can be claimed, if it can.
    fn judge(
        &mut self,
        node: &node::Node,
        cell: &CellRows,
        sent: time::Timestamp,
        now: time::Timestamp,
    ) -> Option<&'static str> {
        let seen = cell.lease.as_ref().map(|lease| election::Observation {
            version: lease.version,
            released: lease.value.released,
            terminated: cell.owner.as_ref().is_some_and(|owner| is_gone(node, owner.version)),
        });
        self.sight.claim_reason(seen, TAKEOVER, sent, now)
    }

    async fn claim(&mut self, node: &rc::Rc<node::Node>, cell: &CellRows, cause: &'static str) {
        let claim = clock::now().0;
        let settings = &node.settings;
        let owner = record::Owner { daemon: settings.daemon.clone(), mesh: settings.mesh, claim };
        let txn = match claim_of(cell, &owner, settings.owner.horizon) {
            Ok(txn) => txn,
            Err(error) => return failed(cause, error.to_string()),
        };
        node.has_open_claim.set(true);
        let sent = clock::steady();
        let result = node.platform.store.transact(&txn).await;
        node.note_store(&result, clock::steady());
        let is_lost = matches!(result, Err(platform::StoreError::Lost { .. }));
        match result {
            Ok(platform::Outcome::Committed(version)) => reign::begin(node, version, sent, cause),
            Ok(platform::Outcome::Conflict(_)) => {
                failed(cause, "another daemon was first".to_owned());
            }
            Err(error) => failed(cause, error.to_string()),
        }
        let against = cell.owner.as_ref().map_or(0, |owner| owner.version);
        self.open_claim = is_lost.then_some(OpenClaim { claim, against, sent });
        node.has_open_claim.set(is_lost);
    }

    /// Settles a claim whose answer was lost, once the owner's row has changed.
    fn settle_claim(&mut self, node: &rc::Rc<node::Node>, owner: &Stored<record::Owner>) {
        let Some(open) = self.open_claim.filter(|open| open.against != owner.version) else {
            return;
        };
        self.open_claim = None;
        let is_own = owner.value.claim == open.claim && owner.value.daemon == node.settings.daemon;
        if is_own {
            reign::begin(node, owner.version, open.sent, "its claim's lost answer");
        }
        node.has_open_claim.set(false);
    }
}

fn failed(cause: &'static str, detail: String) {
    event::emit(&event::Event::ClaimFailed { cause, detail });
}

fn cell_rows(read: &[platform::Row]) -> CellRows {
    fn find<T: serde::de::DeserializeOwned>(
        read: &[platform::Row],
        name: &'static str,
    ) -> Option<Stored<T>> {
        let row = read.iter().find(|row| row.name == name)?;
        match record::decode(name, row.value.as_deref()?) {
            Ok(value) => Some(Stored { value, version: row.version }),
            Err(error) => {
                let detail = error.to_string();
                event::emit(&event::Event::Unreadable { row: name, detail });
                None
            }
        }
    }
    CellRows { owner: find(read, rows::OWNER), lease: find(read, rows::LEASE) }
}

/// The transaction that makes `owner` the cell's owner, provided that nothing has changed.
fn claim_of(
    cell: &CellRows,
    owner: &record::Owner,
    horizon: time::Span,
) -> Result<platform::Transaction, record::Error> {
    let version_of = |version: Option<u64>| version.unwrap_or_default();
    let check = |name, version| platform::Check { key: rows::claims(name), version };
    let write = |name, value| platform::Write { key: rows::claims(name), value };
    let lease = record::Lease { renewals: 0, released: false, horizon };
    Ok(platform::Transaction {
        checks: vec![
            check(rows::OWNER, version_of(cell.owner.as_ref().map(|row| row.version))),
            check(rows::LEASE, version_of(cell.lease.as_ref().map(|row| row.version))),
        ],
        writes: vec![
            write(rows::OWNER, record::encode("owner", owner)?),
            write(rows::LEASE, record::encode("lease", &lease)?),
        ],
        removals: Vec::new(),
    })
}

/// Connects to the owner, unless that is done already.
fn follow(node: &rc::Rc<node::Node>, owner: &Stored<record::Owner>) {
    let is_known = match node.role() {
        node::Role::Follower(following) => following.token == owner.version,
        node::Role::Owner(reign) => !reign.is_over(),
        node::Role::Alone => false,
    };
    if is_known {
        return;
    }
    let token = owner.version;
    event::emit(&event::Event::Following { owner: &owner.value.daemon, token });
    let link = rpc::Client::new(owner.value.mesh);
    let confirmed = std::cell::Cell::new(time::Timestamp::default());
    let is_gone = std::cell::Cell::new(false);
    let following = rc::Rc::new(node::Following { token, link, confirmed, is_gone });
    node.set_role(node::Role::Follower(rc::Rc::clone(&following)));
    ntex::rt::spawn(heartbeats(rc::Rc::clone(node), rc::Rc::downgrade(&following)));
}

/// Tells the owner that this daemon lives, as long as it follows that owner.
async fn heartbeats(node: rc::Rc<node::Node>, following: rc::Weak<node::Following>) {
    loop {
        let Some(following) = following.upgrade() else {
            return;
        };
        let store_up = is_store_up(&node, clock::steady());
        let daemon = node.settings.daemon.clone();
        let token = following.token;
        let question = super::link::Question::Heartbeat { daemon, store_up, token };
        let answer = following.link.request(question, HEARTBEAT_LIMIT).await;
        note_answer(&node, &following, answer.as_ref());
        drop(following);
        ntex::time::sleep(HEARTBEAT).await;
    }
}

/// A daemon that denies to own the cell under the token, or an address where nobody listens,
/// proves that the owner's process is gone or has given the cell up. Silence proves nothing.
fn note_answer(
    node: &node::Node,
    following: &node::Following,
    answer: Option<&super::link::Answer>,
) {
    let is_gone = match answer {
        Some(super::link::Answer::NotOwner) => true,
        Some(_) => false,
        None => following.link.is_refused(),
    };
    if answer.is_some() && !is_gone {
        following.confirmed.set(clock::steady());
        return;
    }
    following.is_gone.set(is_gone);
    node.owner_wake.notify_one();
}

/// Whether the store has answered this daemon of late.
pub fn is_store_up(node: &node::Node, now: time::Timestamp) -> bool {
    let view = node.store_view();
    view.failures < STORE_FAILURES && now.since(view.answered) < STORE_SILENCE
}

/// Renews the lease on the cell until the reign is over.
pub async fn renew(node: rc::Rc<node::Node>, reign: rc::Rc<reign::Reign>) {
    let mut beat = 0;
    while !reign.is_over() {
        beat += 1;
        let sent = clock::steady();
        let result = write_lease(&node, reign.token(), beat, false).await;
        node.note_store(&result, clock::steady());
        let pause = match result {
            Ok(platform::Outcome::Committed(_)) => {
                reign.renewed(sent);
                RENEW
            }
            Ok(platform::Outcome::Conflict(_)) => {
                reign.step_down("another daemon claimed the cell");
                return;
            }
            Err(_) => RENEW_RETRY,
        };
        ntex::time::sleep(pause).await;
    }
}

/// Writes the owner's sign of life, if this daemon still owns the cell.
pub async fn write_lease(
    node: &node::Node,
    token: u64,
    renewals: u64,
    released: bool,
) -> Result<platform::Outcome, platform::StoreError> {
    let horizon = node.settings.owner.horizon;
    let row = record::encode("lease", &record::Lease { renewals, released, horizon });
    let value = row.map_err(|e| platform::StoreError::Refused {
        what: "renew the lease",
        detail: e.to_string(),
    })?;
    let txn = platform::Transaction {
        checks: vec![platform::Check { key: rows::claims(rows::OWNER), version: token }],
        writes: vec![platform::Write { key: rows::claims(rows::LEASE), value }],
        removals: Vec::new(),
    };
    node.platform.store.transact(&txn).await
}

//! Who owns a cell: what a daemon may say of itself, and when another may take over.

use gl_model::time;

/// What a daemon says when it is asked whether it owns the cell under a fencing token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnershipStatus {
    /// It does.
    Owner,
    /// It doesn't, and gives no orders under that token, now or later.
    NotOwner,
    /// It may have claimed the cell and not know it yet.
    Unsettled,
}

/// A daemon's standing under the token `asked`. `reign` is the token under which it gives orders,
/// and `has_open_claim` says that a claim of its own has no known outcome yet: to deny ownership
/// then would let another daemon take over from one that begins to give orders.
pub const fn ownership_status(
    held_token: Option<u64>,
    has_open_claim: bool,
    queried_token: u64,
) -> OwnershipStatus {
    match held_token {
        Some(token) if token == queried_token => OwnershipStatus::Owner,
        _ if has_open_claim => OwnershipStatus::Unsettled,
        _ => OwnershipStatus::NotOwner,
    }
}

/// The owner's sign of life as it was read from the store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// The version of the row that the owner renews.
    pub version: u64,
    /// Whether the owner has given the cell up.
    pub released: bool,
    /// Whether the owner's process is known to be gone.
    pub terminated: bool,
}

/// Watches the owner's sign of life.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LeaseWatch {
    last_change: Option<LastChange>,
}

/// A version that was seen, and since when it has been the same.
#[derive(Clone, Copy, Debug, PartialEq)]
struct LastChange {
    version: u64,
    since: time::Timestamp,
}

impl LeaseWatch {
    /// Why the cell can be claimed, if it can, after a read sent at `sent` and answered at `now`.
    pub fn claim_reason(
        &mut self,
        observation: Option<Observation>,
        takeover: time::Span,
        sent: time::Timestamp,
        now: time::Timestamp,
    ) -> Option<&'static str> {
        let Some(observation) = observation else {
            return Some("nobody owns it");
        };
        if observation.released {
            return Some("its owner released it");
        }
        if observation.terminated {
            return Some("its owner's process is gone");
        }
        let last_change =
            self.last_change.filter(|last_change| last_change.version == observation.version);
        let since = last_change.map_or(now, |last_change| last_change.since);
        self.last_change = Some(LastChange { version: observation.version, since });
        (sent.since(since) >= takeover).then_some("its owner's lease expired")
    }

    /// A read failed. The owner can't renew either while the store is away, so its silence up to
    /// now means nothing.
    pub const fn reset(&mut self) {
        self.last_change = None;
    }
}

/// How long a new owner may take to read what is stored. On a small machine's slow link some
/// thousand rows take two seconds.
const LOAD_TIMEOUT: time::Span = time::Span::seconds(6);
/// How long a daemon that could not do it leaves the cell to others.
pub const CLAIM_BACKOFF: time::Span = time::Span::seconds(20);

/// Whether an owner that claimed the cell at `begun` and has not read it yet should leave it to
/// another daemon: while it renews its lease, nobody else can try.
pub fn is_load_overdue(begun: time::Timestamp, now: time::Timestamp) -> bool {
    now.since(begun) > LOAD_TIMEOUT
}

/// The processor time per second from which on a daemon claims a cell without delay. The owner of
/// a cell of 490 workers used up to 0.2 on a calm day.
const SUFFICIENT_CORES: f64 = 0.2;
/// How long a smaller daemon waits before it claims, so that a larger one comes first: some
/// intervals at which daemons look whether the cell has an owner.
const CLAIM_DELAY: time::Span = time::Span::millis(1_000);

/// How long a daemon on a machine with so much processor time waits before it claims a cell that
/// has no owner.
pub fn claim_delay(cores: Option<f64>) -> time::Span {
    if cores.is_some_and(|cores| cores < SUFFICIENT_CORES) { CLAIM_DELAY } else { time::Span::ZERO }
}

//! Who owns a cell: what a daemon may say of itself, and when another may take over.

use gl_model::time;

/// What a daemon says when it is asked whether it owns the cell under a fencing token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
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
pub const fn standing(reign: Option<u64>, has_open_claim: bool, asked: u64) -> Standing {
    match reign {
        Some(token) if token == asked => Standing::Owner,
        _ if has_open_claim => Standing::Unsettled,
        _ => Standing::NotOwner,
    }
}

/// The owner's sign of life as it was read from the store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Seen {
    /// The version of the row that the owner renews.
    pub version: u64,
    /// Whether the owner has given the cell up.
    pub released: bool,
    /// Whether the owner's process is known to be gone.
    pub gone: bool,
}

/// Watches the owner's sign of life.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Watch {
    sight: Option<Sight>,
}

/// A version that was seen, and since when it has been the same.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Sight {
    version: u64,
    since: time::Timestamp,
}

impl Watch {
    /// Why the cell can be claimed, if it can, after a read sent at `sent` and answered at `now`.
    pub fn judge(
        &mut self,
        seen: Option<Seen>,
        takeover: time::Span,
        sent: time::Timestamp,
        now: time::Timestamp,
    ) -> Option<&'static str> {
        let Some(seen) = seen else {
            return Some("nobody owns it");
        };
        if seen.released {
            return Some("its owner released it");
        }
        if seen.gone {
            return Some("its owner's process is gone");
        }
        let sight = self.sight.filter(|sight| sight.version == seen.version);
        let since = sight.map_or(now, |sight| sight.since);
        self.sight = Some(Sight { version: seen.version, since });
        (sent.since(since) >= takeover).then_some("its owner's lease expired")
    }

    /// A read failed. The owner can't renew either while the store is away, so its silence up to
    /// now means nothing.
    pub const fn forget(&mut self) {
        self.sight = None;
    }
}

/// How long a new owner may take to read what is stored. On a small machine's slow link some
/// thousand rows take two seconds.
const LOAD_LIMIT: time::Span = time::Span::seconds(6);
/// How long a daemon that could not do it leaves the cell to others.
pub const UNFIT: time::Span = time::Span::seconds(20);

/// Whether an owner that claimed the cell at `begun` and has not read it yet should leave it to
/// another daemon: while it renews its lease, nobody else can try.
pub fn is_unfit(begun: time::Timestamp, now: time::Timestamp) -> bool {
    now.since(begun) > LOAD_LIMIT
}

/// The processor time per second from which on a daemon claims a cell without delay. The owner of
/// a cell of 490 workers used up to 0.2 on a calm day.
const ENOUGH_CORES: f64 = 0.2;
/// How long a smaller daemon waits before it claims, so that a larger one comes first: some
/// intervals at which daemons look whether the cell has an owner.
const DEFERENCE: time::Span = time::Span::millis(1_000);

/// How long a daemon on a machine with so much processor time waits before it claims a cell that
/// has no owner.
pub fn deference(cores: Option<f64>) -> time::Span {
    if cores.is_some_and(|cores| cores < ENOUGH_CORES) { DEFERENCE } else { time::Span::ZERO }
}

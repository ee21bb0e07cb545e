//! Ownership of a cell: the status that a daemon may report, and the conditions for a takeover.

use gl_model::time;

use crate::{claimants, followers};

/// The reply of a daemon that is asked whether it owns the cell under a fencing token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnershipStatus {
    /// The daemon owns the cell.
    Owner,
    /// The daemon does not own the cell, and sends no orders under that token, now or later.
    NotOwner,
    /// The daemon may have claimed the cell, and the outcome of the claim is not known yet.
    Unsettled,
    /// Another daemon was asked, whose address this one has now. That one may be alive elsewhere.
    OtherDaemon,
}

/// Returns the ownership status of a daemon under the token `queried_token`.
///
/// `held_token` is the token under which the daemon sends orders. `has_open_claim` says that a
/// claim of its own has no known outcome yet. To deny ownership in that case would let another
/// daemon take the cell over from one that is about to send orders. `is_addressee` says that the question
/// is for this daemon, and not for an earlier one at its address.
pub const fn ownership_status(
    held_token: Option<u64>,
    has_open_claim: bool,
    queried_token: u64,
    is_addressee: bool,
) -> OwnershipStatus {
    match held_token {
        Some(token) if token == queried_token => OwnershipStatus::Owner,
        _ if !is_addressee => OwnershipStatus::OtherDaemon,
        _ if has_open_claim => OwnershipStatus::Unsettled,
        _ => OwnershipStatus::NotOwner,
    }
}

/// What a new owner has to do to the row of the last commit so that earlier owners cannot commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fence {
    /// The row already has this owner's token.
    Held,
    /// The row has to be written with this owner's token.
    Write,
    /// A later owner has committed, and its row must not be changed.
    Superseded,
}

/// Returns what the owner that holds `token` has to do, given the token of the last commit.
pub const fn fence(last_token: Option<u64>, token: u64) -> Fence {
    match last_token {
        Some(last) if last == token => Fence::Held,
        Some(last) if last > token => Fence::Superseded,
        _ => Fence::Write,
    }
}

/// The owner's lease as it was read from the store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// The version of the lease row, which each renewal changes.
    pub version: u64,
    /// Whether the owner has released the cell.
    pub released: bool,
    /// Whether the owner's process is known to have terminated or to have given the cell up.
    pub terminated: bool,
    /// The time at which the owner last confirmed a heartbeat, if its address has refused a connection
    /// since the lease was read. A network that rejects connections refuses them as well, so the owner
    /// may be alive.
    pub refused: Option<time::Timestamp>,
    /// What this daemon is to the owner.
    pub standing: claimants::Standing,
    /// The last time at which this daemon reported to an owner that it could not reach the store.
    pub outage_reported: time::Timestamp,
}

/// Watches the owner's lease for renewals.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LeaseWatch {
    last_change: Option<LastChange>,
    /// The same, also while the store is unavailable.
    last_renewal: Option<LastChange>,
}

/// A version of the lease row, and the time at which it was first read.
#[derive(Clone, Copy, Debug, PartialEq)]
struct LastChange {
    version: u64,
    since: time::Timestamp,
}

impl LeaseWatch {
    /// Returns the reason why the cell can be claimed, or `None` if it cannot. The lease was read
    /// by a request sent at `sent` and answered at `now`; it has expired if it has been unchanged
    /// for `takeover`.
    pub fn claim_reason(
        &mut self,
        observation: Option<Observation>,
        takeover: time::Span,
        sent: time::Timestamp,
        now: time::Timestamp,
    ) -> Option<&'static str> {
        let Some(observation) = observation else {
            return Some("the cell has no owner");
        };
        let last_change = self.last_change.filter(|change| change.version == observation.version);
        let since = last_change.map_or(now, |change| change.since);
        self.last_change = Some(LastChange { version: observation.version, since });
        let last_renewal = self.last_renewal.filter(|last| last.version == observation.version);
        self.last_renewal = last_renewal.or(self.last_change);
        let renewal_read = self.last_renewal.map_or(now, |renewal| renewal.since);
        if observation.released {
            return Some("the owner released the cell");
        }
        if observation.terminated {
            return Some("the owner's process has terminated");
        }
        let is_outsider = observation.standing == claimants::Standing::Outsider;
        let is_ignored = is_outsider && sent.since(renewal_read) < claimants::OUTSIDER_TIMEOUT;
        let has_reported = now.since(observation.outage_reported) < followers::REPORT_TIMEOUT;
        if is_ignored || has_reported {
            return None;
        }
        let unchanged = sent.since(since);
        let is_refused = |confirmed: time::Timestamp| {
            now.since(confirmed) < HEARTBEAT_VALIDITY || unchanged >= MISSED_RENEWAL
        };
        if observation.refused.is_some_and(is_refused) {
            return Some("the owner's address refuses connections");
        }
        (unchanged >= takeover).then_some("the owner's lease has expired")
    }

    /// Returns the time since which the lease is known to be unchanged, if it was read. A lease that
    /// was read only once counts as unchanged since then.
    pub fn unchanged_since(&self) -> Option<time::Timestamp> {
        self.last_change.map(|change| change.since)
    }

    /// Returns the time at which the newest renewal was first read.
    pub fn renewal_read(&self) -> Option<time::Timestamp> {
        self.last_renewal.map(|renewal| renewal.since)
    }

    /// Restarts the observation after a failed read. While the store is unavailable, the owner
    /// cannot renew its lease either, so the absence of renewals proves nothing.
    pub const fn reset(&mut self) {
        self.last_change = None;
    }
}

/// The end of an ownership.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ended {
    /// The time since which the owner is known to have terminated or released the cell.
    pub at: time::Timestamp,
    /// The longest time for which leases of workers last from then on, if the owner has stored it.
    pub outstanding: Option<time::Span>,
}

/// What earlier owners of the cell may still do after a claim.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Predecessors {
    /// The longest time for which leases of workers may last that they have extended, if it is known.
    pub outstanding: Option<time::Span>,
    /// See [`starts_left()`].
    pub starts: time::Span,
}

/// What a daemon that claims the cell knows about its last owner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LastOwner {
    /// The end of the ownership, if it is known.
    pub ended: Option<Ended>,
    /// The time at which its newest renewal was first read.
    pub renewal_read: time::Timestamp,
    /// The longest time for which owners before it could order starts after that renewal.
    pub earlier_starts: time::Span,
    /// The time since which its address has refused the connections of this daemon, if this daemon has
    /// followed it.
    pub refused_since: Option<time::Timestamp>,
    /// The time since which the owner has not renewed its lease, if this daemon has followed it.
    pub unrenewed_since: Option<time::Timestamp>,
    /// The last time at which this daemon reported to the owner that it could not reach the store. The
    /// owner may extend leases from then on as if it had renewed its own, and the report may reach it
    /// late.
    pub outage_reported: time::Timestamp,
    /// What this daemon is to the owner.
    pub standing: claimants::Standing,
}

/// What the end of the leases follows from that earlier owners have extended.
#[gl_derive::tag]
pub enum Bound {
    /// The end of the last owner.
    Ended,
    /// Its lease, which this daemon has not seen renewed while it followed it.
    Unrenewed,
    /// Its address, which refuses the connections of this daemon.
    Refused,
}

impl Bound {
    /// Returns the bound's name.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ended => "ended",
            Self::Unrenewed => "unrenewed",
            Self::Refused => "refused",
        }
    }
}

/// A bound on the time for which leases of workers may last.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outstanding {
    /// The longest time for which they may last.
    pub left: time::Span,
    /// What it follows from.
    pub bound: Bound,
}

/// Returns the longest time for which leases of workers may last at `now`, or `None` if that is not
/// known. An owner extends none after its end, nor further than the horizon after its last renewal.
pub fn outstanding(
    last: &LastOwner,
    horizon: time::Span,
    clock_drift: f64,
    now: time::Timestamp,
) -> Option<time::Span> {
    shortest_bound(last, horizon, clock_drift, now).map(|outstanding| outstanding.left)
}

/// Returns the same as [`outstanding()`], with what it follows from.
pub fn shortest_bound(
    last: &LastOwner,
    horizon: time::Span,
    clock_drift: f64,
    now: time::Timestamp,
) -> Option<Outstanding> {
    let after = |at, span| left(at, span, clock_drift, now);
    let ended = last.ended.and_then(|ended| Some(after(ended.at, ended.outstanding?)));
    // Without a report of this daemon, the owner has extended no leases since.
    let is_asked = last.standing == claimants::Standing::Claimant;
    let unrenewed =
        last.unrenewed_since.filter(|at| last.outage_reported + HEARTBEAT_VALIDITY < *at);
    let unrenewed = unrenewed.filter(|_| is_asked).map(|at| after(at, horizon));
    let unreported = last.refused_since.filter(|_| is_asked);
    let unreported = unreported.map(|at| after(at.max(last.renewal_read), horizon));
    let bounds =
        [(ended, Bound::Ended), (unrenewed, Bound::Unrenewed), (unreported, Bound::Refused)];
    let known = bounds.into_iter().filter_map(|(left, bound)| left.map(|left| (left, bound)));
    known.map(|(left, bound)| Outstanding { left, bound }).min_by_key(|known| known.left)
}

/// Returns the longest time for which earlier owners may order starts at `now` on workers that have
/// not seen a later owner's fencing token. An owner orders none after its end, nor later than `lease`
/// after its last renewal, but for an outage, while the reports of all daemons are current.
pub fn starts_left(
    last: &LastOwner,
    lease: time::Span,
    clock_drift: f64,
    now: time::Timestamp,
) -> time::Span {
    let after = |at, span| left(at, span, clock_drift, now);
    let earlier = after(last.renewal_read, last.earlier_starts);
    if last.ended.is_some() {
        return earlier;
    }
    let in_outage = after(last.outage_reported, followers::REPORT_VALIDITY);
    after(last.renewal_read, lease).max(in_outage).max(earlier)
}

/// Returns the rest at `now` of a time span that began at `at`, by a clock that may be slow.
fn left(at: time::Timestamp, span: time::Span, drift: f64, now: time::Timestamp) -> time::Span {
    (at + span + span.scaled(drift)).since(now)
}

/// The time within which a new owner has to read the stored rows. Over the slow link of a small
/// machine, a few thousand rows take two seconds.
const LOAD_TIMEOUT: time::Span = time::Span::seconds(6);
/// The time for which a daemon that could not load the cell in time makes no further claim.
pub const CLAIM_BACKOFF: time::Span = time::Span::seconds(20);

/// Returns whether an owner that claimed the cell at `claimed_at` and has not loaded it yet should
/// release it. While it renews its lease, no other daemon can try.
pub fn is_load_overdue(claimed_at: time::Timestamp, now: time::Timestamp) -> bool {
    now.since(claimed_at) > LOAD_TIMEOUT
}

/// The processor time per second, in cores, at or above which a daemon claims a cell without delay.
/// The owner of a cell of 490 workers used up to 0.2 under light load.
const SUFFICIENT_CORES: f64 = 0.2;
/// The delay before a smaller daemon claims, so that a larger one can claim first. It is several
/// times the interval at which daemons check whether the cell has an owner.
const CLAIM_DELAY: time::Span = time::Span::millis(1_000);

/// The resources of a daemon's process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    /// The processor time per second, in cores, if it is limited.
    pub cores: Option<f64>,
    /// The number of workers that it can poll at the same time, if it is limited.
    pub polls: Option<usize>,
}

/// Returns the delay before a daemon with these resources claims a cell of this many workers that has
/// no owner.
pub fn claim_delay(resources: Resources, workers: usize) -> time::Span {
    let is_slow = resources.cores.is_some_and(|cores| cores < SUFFICIENT_CORES);
    let lacks_connections = resources.polls.is_some_and(|polls| polls < workers);
    if is_slow || lacks_connections { CLAIM_DELAY } else { time::Span::ZERO }
}

/// The age up to which a follower's heartbeat counts as current; covers two heartbeats.
pub const HEARTBEAT_VALIDITY: time::Span = time::Span::millis(1_200);
/// The time without a renewal after which an owner that reaches the store has missed one.
const MISSED_RENEWAL: time::Span = time::Span::millis(1_200);

/// Time without a successful call after which the store counts as down.
pub const STORE_DOWN_TIMEOUT: time::Span = time::Span::millis(1_500);
/// The longest time that a heartbeat takes; later ones are not confirmed.
const HEARTBEAT_TRANSIT: time::Span = time::Span::millis(300);
/// The longest time between two calls of an owner to the store: the interval of its renewals.
const CALL_INTERVAL: time::Span = time::Span::millis(500);

/// Returns whether a heartbeat received at `reported`, by which the store is up, shows that its sender
/// has reached the store since the owner was cut off from it. The owner's last call succeeded at
/// `last_success`. Daemons notice an outage at different times, so the first heartbeats show nothing.
pub fn has_reached_store_since(last_success: time::Timestamp, reported: time::Timestamp) -> bool {
    reported - HEARTBEAT_TRANSIT - STORE_DOWN_TIMEOUT > last_success + CALL_INTERVAL
}

/// What an owner that cannot renew its lease knows about the reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outage {
    /// Whether the owner itself cannot reach the store.
    pub owner_cut_off: bool,
    /// A time after which all daemons that may claim the cell have reported that they cannot reach the store
    /// either, if these reports count.
    pub cut_off_after: Option<time::Timestamp>,
    /// Whether the process may have been suspended since it last read the store.
    pub is_stale: bool,
}

/// Returns a time before which no other daemon can have claimed the cell, if the outage shows one.
pub fn no_claim_before(outage: Outage) -> Option<time::Timestamp> {
    outage.cut_off_after.filter(|_| outage.owner_cut_off && !outage.is_stale)
}

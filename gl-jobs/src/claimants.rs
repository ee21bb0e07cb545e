//! The daemons that may claim a cell while its owner cannot reach the store.
//!
//! The owner stores their names, and goes on without the store only while each of them reports that it
//! cannot reach the store either. A daemon that is not among them is not asked, so it claims the cell
//! only once the owner cannot go on any more.

use std::collections;

use gl_model::time;

use crate::followers;

/// The longest time after its last renewal for which an owner goes on without the store. If all claimants
/// are gone, a new daemon has to wait for as long.
pub const OUTAGE_LIMIT: time::Span = time::Span::seconds(12);
/// The time after which a daemon that is not asked may claim the cell, from the time at which it first read
/// the last renewal. Longer than the limit by the drift of clocks.
pub const OUTSIDER_TIMEOUT: time::Span = time::Span::seconds(13);

/// The names of daemons.
pub type Names = collections::BTreeSet<String>;

/// The claimants, as the owner has stored them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Claimants {
    /// The names that are stored, unless one of the unsettled writes has taken effect.
    stored: Names,
    /// The names in writes of which it is not known whether they have taken effect.
    unsettled: Names,
    /// The time from which on daemons are kept that this owner has not heard.
    since: time::Timestamp,
}

impl Claimants {
    /// Returns the claimants of a new owner, which has stored those of the last one.
    pub const fn inherit(stored: Names, now: time::Timestamp) -> Self {
        Self { stored, unsettled: Names::new(), since: now }
    }

    /// Returns a time after which all claimants have reported that they cannot reach the store, so that no
    /// daemon can claim the cell, if these reports count at `now`. `renewed` is the time of the owner's last
    /// renewal.
    pub fn cut_off_after(
        &self,
        followers: &followers::Followers,
        renewed: time::Timestamp,
        now: time::Timestamp,
    ) -> Option<time::Timestamp> {
        if self.stored.is_empty() || now.since(renewed) >= OUTAGE_LIMIT {
            return None;
        }
        let mut asked = self.named().chain(followers.names());
        asked.try_fold(now, |oldest, name| Some(oldest.min(followers.cut_off_after(name, now)?)))
    }

    /// Returns the names that are stored, or may be.
    fn named(&self) -> impl Iterator<Item = &String> {
        self.stored.iter().chain(&self.unsettled)
    }

    /// Returns the number of daemons that are stored as claimants, or may be.
    pub fn count(&self) -> usize {
        self.named().collect::<collections::BTreeSet<_>>().len()
    }

    /// Returns the names to store, if they differ from those that are stored.
    pub fn to_store(
        &self,
        followers: &followers::Followers,
        now: time::Timestamp,
    ) -> Option<Names> {
        let mut names: Names = followers.names().cloned().collect();
        if now.since(self.since) < followers::RETENTION {
            names.extend(self.stored.iter().cloned());
        }
        let is_stored = self.unsettled.is_empty() && names == self.stored;
        (!is_stored).then_some(names)
    }

    /// Records that a write of these names is sent, which takes effect now, later or never.
    pub fn write_sent(&mut self, names: &Names) {
        self.unsettled.extend(names.iter().cloned());
    }

    /// Records that these names are stored, and that no earlier write takes effect any more.
    pub fn settled(&mut self, names: Names) {
        self.stored = names;
        self.unsettled.clear();
    }
}

/// What a daemon is to the owner of the cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// The owner does not go on without the store while this daemon reaches it.
    Claimant,
    /// The owner may go on without the store, whatever this daemon reports.
    Outsider,
    /// The owner has stored no claimants, as it runs an earlier version of the program.
    Unknown,
}

/// Returns what a daemon is to the owner that has stored these names.
pub fn standing(stored: Option<&Names>, daemon: &str) -> Standing {
    match stored {
        None => Standing::Unknown,
        // Without claimants, an owner does not go on.
        Some(names) if names.is_empty() || names.contains(daemon) => Standing::Claimant,
        Some(_) => Standing::Outsider,
    }
}

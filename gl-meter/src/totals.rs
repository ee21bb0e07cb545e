//! The counts of all daemons, as far as this one has heard them.
//!
//! A daemon's counts of one minute only grow, so of two versions of a bucket the one with more
//! calls is the newer. Every daemon keeps its peers' buckets, so the counts of one that is
//! replaced are not lost.

use std::collections;

use gl_model::{id, table, time};

use crate::counts;

/// A bucket's place.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    service: id::JobId,
    minute: u64,
    daemon: id::DaemonId,
}

/// The counts of all daemons.
#[derive(Clone, Debug, Default)]
pub struct Totals {
    buckets: table::Table<Key, counts::Counts>,
    changed: collections::BTreeSet<Key>,
    heard: collections::BTreeMap<id::DaemonId, time::Timestamp>,
}

impl Totals {
    /// Counts one call at this daemon.
    pub fn add(
        &mut self,
        daemon: &id::DaemonId,
        service: &id::JobId,
        class: counts::Class,
        vm: Option<&id::VmId>,
        now: time::Timestamp,
    ) {
        let minute = counts::minute(now);
        let key = Key { service: service.clone(), minute, daemon: daemon.clone() };
        self.buckets.or_insert_with(&key, counts::Counts::default).add(class, vm);
        self.changed.insert(key);
    }

    /// Takes a peer's buckets in.
    pub fn merge(&mut self, from: &id::DaemonId, buckets: &[counts::Bucket], now: time::Timestamp) {
        self.heard.insert(from.clone(), now);
        for bucket in buckets {
            let key = Key {
                service: bucket.service.clone(),
                minute: bucket.minute,
                daemon: bucket.daemon.clone(),
            };
            let known = self.buckets.or_insert_with(&key, counts::Counts::default);
            if bucket.counts.total() > known.total() {
                *known = bucket.counts.clone();
            }
        }
    }

    fn bucket(key: &Key, tally: &counts::Counts) -> counts::Bucket {
        counts::Bucket {
            daemon: key.daemon.clone(),
            service: key.service.clone(),
            minute: key.minute,
            counts: tally.clone(),
        }
    }

    /// This daemon's buckets that changed since the last call.
    pub fn take_changed(&mut self) -> Vec<counts::Bucket> {
        let changed = std::mem::take(&mut self.changed);
        let bucket = |key: &Key| Some(Self::bucket(key, self.buckets.get(key)?));
        changed.iter().filter_map(bucket).collect()
    }

    /// All buckets, for a peer that has just started.
    pub fn all(&self) -> Vec<counts::Bucket> {
        self.buckets.iter().map(|(key, tally)| Self::bucket(key, tally)).collect()
    }

    /// Drops buckets that no window reaches any more.
    pub fn expire(&mut self, now: time::Timestamp) {
        let oldest = counts::minute(now - counts::RETENTION);
        self.buckets.retain(|key, _| key.minute >= oldest);
        self.heard.retain(|_, heard| now.since(*heard) <= counts::RETENTION);
    }

    /// The services that had calls.
    pub fn services(&self) -> Vec<id::JobId> {
        let names: collections::BTreeSet<&id::JobId> =
            self.buckets.iter().map(|(key, _)| &key.service).collect();
        names.into_iter().cloned().collect()
    }

    /// The counts of one service over the last `window`, of all daemons.
    pub fn sum(
        &self,
        service: &id::JobId,
        window: time::Span,
        now: time::Timestamp,
    ) -> counts::Counts {
        let first = counts::minute(now - window) + 1;
        let mut sum = counts::Counts::default();
        let within = |key: &&Key| key.service == *service && key.minute >= first;
        for (_, tally) in self.buckets.iter().filter(|(key, _)| within(key)) {
            sum.merge(tally);
        }
        sum
    }

    /// The counts of one service in each of the last `minutes`, oldest first.
    pub fn by_minute(
        &self,
        service: &id::JobId,
        minutes: u64,
        now: time::Timestamp,
    ) -> Vec<counts::Counts> {
        let last = counts::minute(now);
        let mut series = Vec::new();
        for minute in (last + 1).saturating_sub(minutes)..=last {
            let mut sum = counts::Counts::default();
            let at = |key: &&Key| key.service == *service && key.minute == minute;
            for (_, tally) in self.buckets.iter().filter(|(key, _)| at(key)) {
                sum.merge(tally);
            }
            series.push(sum);
        }
        series
    }

    /// When a daemon last told its counts.
    pub fn last_update(&self, daemon: &id::DaemonId) -> Option<time::Timestamp> {
        self.heard.get(daemon).copied()
    }
}

//! The counts of all daemons, as far as this daemon has received them.
//!
//! A daemon's counts of one minute only increase, so of two versions of a bucket the one with more
//! calls is the newer one. Every daemon keeps the buckets of its peers, so the counts of a daemon
//! that is replaced are not lost.

use std::collections;

use gl_model::{id, table, time};

use crate::counts;

/// The key of a bucket.
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
    updated: collections::BTreeMap<id::DaemonId, time::Timestamp>,
}

impl Totals {
    /// Counts one call at `daemon`, which is this daemon.
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

    /// Merges the buckets that the peer `from` sent.
    pub fn merge(&mut self, from: &id::DaemonId, buckets: &[counts::Bucket], now: time::Timestamp) {
        self.updated.insert(from.clone(), now);
        for bucket in buckets {
            let key = Key {
                service: bucket.service.clone(),
                minute: bucket.minute,
                daemon: bucket.daemon.clone(),
            };
            let current = self.buckets.or_insert_with(&key, counts::Counts::default);
            if bucket.counts.total() > current.total() {
                *current = bucket.counts.clone();
            }
        }
    }

    fn bucket(key: &Key, counts: &counts::Counts) -> counts::Bucket {
        counts::Bucket {
            daemon: key.daemon.clone(),
            service: key.service.clone(),
            minute: key.minute,
            counts: counts.clone(),
        }
    }

    /// Returns the buckets of this daemon that changed since the last call of this method.
    pub fn take_changed(&mut self) -> Vec<counts::Bucket> {
        let changed = std::mem::take(&mut self.changed);
        let bucket = |key: &Key| Some(Self::bucket(key, self.buckets.get(key)?));
        changed.iter().filter_map(bucket).collect()
    }

    /// Returns all buckets, for a peer to which a connection was just opened.
    pub fn all(&self) -> Vec<counts::Bucket> {
        self.buckets.iter().map(|(key, counts)| Self::bucket(key, counts)).collect()
    }

    /// Removes the buckets that are older than the longest window.
    pub fn expire(&mut self, now: time::Timestamp) {
        let oldest = counts::minute(now - counts::RETENTION);
        self.buckets.retain(|key, _| key.minute >= oldest);
        self.updated.retain(|_, updated| now.since(*updated) <= counts::RETENTION);
    }

    /// Returns the services that had calls.
    pub fn services(&self) -> Vec<id::JobId> {
        let names: collections::BTreeSet<&id::JobId> =
            self.buckets.iter().map(|(key, _)| &key.service).collect();
        names.into_iter().cloned().collect()
    }

    /// Returns the sum of all daemons' counts of one service over the last `window`.
    pub fn sum(
        &self,
        service: &id::JobId,
        window: time::Span,
        now: time::Timestamp,
    ) -> counts::Counts {
        let first = counts::minute(now - window) + 1;
        let mut sum = counts::Counts::default();
        let within = |key: &&Key| key.service == *service && key.minute >= first;
        for (_, counts) in self.buckets.iter().filter(|(key, _)| within(key)) {
            sum.merge(counts);
        }
        sum
    }

    /// Returns the sums of all daemons' counts of one service for each of the last `minutes`,
    /// oldest first.
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
            for (_, counts) in self.buckets.iter().filter(|(key, _)| at(key)) {
                sum.merge(counts);
            }
            series.push(sum);
        }
        series
    }

    /// Returns the time at which the last counts of a daemon were received.
    pub fn last_update(&self, daemon: &id::DaemonId) -> Option<time::Timestamp> {
        self.updated.get(daemon).copied()
    }
}

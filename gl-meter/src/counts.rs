//! Counts of calls by class, service and minute.

use std::collections;

use gl_model::{id, time};

/// The length of a bucket: one minute.
pub const BUCKET_LENGTH: time::Span = time::Span::seconds(60);
/// The time for which buckets are kept: the longest window of a burn report.
pub const RETENTION: time::Span = time::Span::seconds(6 * 3_600);

/// The class in which a call counts for or against the objective of its service.
#[gl_derive::tag]
pub enum Class {
    /// Completed within the deadline.
    Good,
    /// Completed after the deadline.
    Late,
    /// Not run.
    NotRun,
    /// Ended without a complete response although it may have run.
    Unknown,
}

/// The counts of one service in one minute at one daemon.
#[gl_derive::domain]
#[derive(Default)]
pub struct Counts {
    /// Calls completed within the deadline.
    pub good: u64,
    /// Calls completed after the deadline.
    pub late: u64,
    /// Calls that were not run.
    pub not_run: u64,
    /// Calls with an unknown outcome.
    pub unknown: u64,
    /// Calls that were not good, by the VM of the backend server that handled them last.
    #[serde(rename = "culprits")]
    pub bad_calls: collections::BTreeMap<id::VmId, u64>,
}

impl Counts {
    /// Counts one call.
    pub fn add(&mut self, class: Class, vm: Option<&id::VmId>) {
        match class {
            Class::Good => self.good += 1,
            Class::Late => self.late += 1,
            Class::NotRun => self.not_run += 1,
            Class::Unknown => self.unknown += 1,
        }
        if let (false, Some(vm)) = (class == Class::Good, vm) {
            *self.bad_calls.entry(vm.clone()).or_default() += 1;
        }
    }

    /// Returns the number of all calls.
    pub const fn total(&self) -> u64 {
        self.good + self.bad()
    }

    /// Returns the number of calls that count against the objective.
    pub const fn bad(&self) -> u64 {
        self.late + self.not_run + self.unknown
    }

    /// Adds the counts of `other`.
    pub fn merge(&mut self, other: &Self) {
        self.good += other.good;
        self.late += other.late;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        for (vm, calls) in &other.bad_calls {
            *self.bad_calls.entry(vm.clone()).or_default() += calls;
        }
    }
}

/// One bucket, as daemons exchange it.
#[gl_derive::domain]
pub struct Bucket {
    /// The daemon that counted the calls.
    pub daemon: id::DaemonId,
    /// The service.
    pub service: id::JobId,
    /// The minute, counted from the Unix epoch.
    pub minute: u64,
    /// The counts.
    #[serde(rename = "tally")]
    pub counts: Counts,
}

/// Returns the minute in which `now` lies, counted from the Unix epoch.
pub const fn minute(now: time::Timestamp) -> u64 {
    now.0 / BUCKET_LENGTH.0
}

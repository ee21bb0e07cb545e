//! Counts of how calls ended, by service and minute.

use std::collections;

use gl_model::{id, time};

/// The length of a bucket.
pub const BUCKET_LENGTH: time::Span = time::Span::seconds(60);
/// How long buckets are kept: the longest window of a burn report.
pub const RETENTION: time::Span = time::Span::seconds(6 * 3_600);

/// How a call counts against its service's objective.
#[gl_derive::tag]
pub enum Class {
    /// Whole within the deadline.
    Good,
    /// Whole, but too late.
    Late,
    /// Not run.
    NotRun,
    /// Ended without a whole answer after it may have run.
    Unknown,
}

/// The counts of one service in one minute at one daemon.
#[gl_derive::domain]
#[derive(Default)]
pub struct Counts {
    /// Whole within the deadline.
    pub good: u64,
    /// Whole, but too late.
    pub late: u64,
    /// Not run.
    pub not_run: u64,
    /// Unknown.
    pub unknown: u64,
    /// Calls that weren't good, by the VM of the backend server that had them last.
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

    /// All calls.
    pub const fn total(&self) -> u64 {
        self.good + self.bad()
    }

    /// Calls that count against the objective.
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

/// One bucket as daemons tell it each other.
#[gl_derive::domain]
pub struct Bucket {
    /// The daemon that counted.
    pub daemon: id::DaemonId,
    /// The service.
    pub service: id::JobId,
    /// The minute, counted from the Unix epoch.
    pub minute: u64,
    /// The counts.
    #[serde(rename = "tally")]
    pub counts: Counts,
}

/// The minute in which `now` lies.
pub const fn minute(now: time::Timestamp) -> u64 {
    now.0 / BUCKET_LENGTH.0
}

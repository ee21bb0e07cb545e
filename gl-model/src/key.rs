//! Keys of the rows in the table service.

use crate::id;

/// The key of the shared configuration.
pub const CONFIG: &str = "config/current";
/// The key of the row that every confirmed plan advances.
pub const HEAD: &str = "plan/head";
/// The prefix of the keys of daemons.
pub const DAEMONS: &str = "daemon/";
/// The prefix of the keys of shards.
pub const SHARDS: &str = "shard/";
/// The prefix of the keys of intents.
pub const INTENTS: &str = "intent/";
/// The prefix of the keys of plans.
pub const PLANS: &str = "stored-plan/";
/// The prefix of the keys of the configuration's history.
pub const HISTORY: &str = "config/history/";

/// The prefix of the keys of drains: rows by which operators exclude VMs from new work.
pub const DRAINS: &str = "drain/";

/// Returns the key of the row that excludes a VM from new work.
pub fn drain(vm: &id::VmId) -> String {
    format!("{DRAINS}{vm}")
}

/// Returns the key of a shard.
pub fn shard(shard: &id::DomainId) -> String {
    format!("{SHARDS}{shard}")
}

/// Returns the key of a daemon.
pub fn daemon(daemon: &id::DaemonId) -> String {
    format!("{DAEMONS}{daemon}")
}

/// Returns the key of an intent.
pub fn intent(job: &id::JobId) -> String {
    format!("{INTENTS}{job}")
}

/// Returns the key of a plan.
pub fn plan(plan: &id::PlanId) -> String {
    format!("{PLANS}{plan}")
}

/// Returns the prefix of the keys of a shard's jobs.
pub fn jobs(shard: &id::DomainId) -> String {
    format!("{JOBS}{shard}/")
}

/// Returns the key of a shard's part of a job.
pub fn job(shard: &id::DomainId, job: &id::JobId) -> String {
    format!("{JOBS}{shard}/{job}")
}

/// Returns the prefix of the keys of a shard's tasks.
pub fn tasks(shard: &id::DomainId) -> String {
    format!("task/{shard}/")
}

/// Returns the key of a task.
pub fn task(shard: &id::DomainId, task: &id::TaskId) -> String {
    format!("task/{shard}/{task}")
}

/// Returns the prefix of the keys of a shard's ledgers.
pub fn ledgers(shard: &id::DomainId) -> String {
    format!("vm/{shard}/")
}

/// Returns the key of a VM's ledger.
pub fn ledger(shard: &id::DomainId, vm: &id::VmId) -> String {
    format!("vm/{shard}/{vm}")
}

/// The prefix of the keys of all shards' jobs.
pub const JOBS: &str = "job/";
/// The prefix of the keys of all claims on idempotency keys.
pub const CLAIMS: &str = "claim/";

/// Returns the time bucket in the key of a claim; none if `key` is not the key of a claim.
pub fn claim_bucket(key: &str) -> Option<u64> {
    key.strip_prefix(CLAIMS)?.split('/').next()?.parse().ok()
}

/// Returns the key of a claim on an idempotency key, in the given time bucket.
pub fn claim(bucket: u64, service: &id::JobId, key: &str) -> String {
    format!("{CLAIMS}{bucket:012}/{service}/{key}")
}

/// Returns the key of one version in the configuration's history.
pub fn history(version: id::Version) -> String {
    format!("{HISTORY}{:012}", version.0)
}

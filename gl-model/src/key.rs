//! Keys of the rows in the table service.

use crate::id;

/// The row of the shared configuration.
pub const CONFIG: &str = "config/current";
/// The row that every confirmed plan advances.
pub const HEAD: &str = "plan/head";
/// The prefix of the daemons' rows.
pub const DAEMONS: &str = "daemon/";
/// The prefix of the shards' rows.
pub const SHARDS: &str = "shard/";
/// The prefix of the intents' rows.
pub const INTENTS: &str = "intent/";
/// The prefix of the plans' rows.
pub const PLANS: &str = "stored-plan/";
/// The prefix of the configuration's history.
pub const HISTORY: &str = "config/history/";

/// The prefix of the rows that keep VMs from new work at an operator's request.
pub const DRAINS: &str = "drain/";

/// The row that keeps a VM from new work.
pub fn drain(vm: &id::VmId) -> String {
    format!("{DRAINS}{vm}")
}

/// The row of a shard.
pub fn shard(shard: &id::DomainId) -> String {
    format!("{SHARDS}{shard}")
}

/// The row of a daemon.
pub fn daemon(daemon: &id::DaemonId) -> String {
    format!("{DAEMONS}{daemon}")
}

/// The row of an intent.
pub fn intent(job: &id::JobId) -> String {
    format!("{INTENTS}{job}")
}

/// The row of a plan.
pub fn plan(plan: &id::PlanId) -> String {
    format!("{PLANS}{plan}")
}

/// The prefix of a shard's jobs.
pub fn jobs(shard: &id::DomainId) -> String {
    format!("{JOBS}{shard}/")
}

/// The row of a shard's part of a job.
pub fn job(shard: &id::DomainId, job: &id::JobId) -> String {
    format!("{JOBS}{shard}/{job}")
}

/// The prefix of a shard's tasks.
pub fn tasks(shard: &id::DomainId) -> String {
    format!("task/{shard}/")
}

/// The row of a task.
pub fn task(shard: &id::DomainId, task: &id::TaskId) -> String {
    format!("task/{shard}/{task}")
}

/// The prefix of a shard's ledgers.
pub fn ledgers(shard: &id::DomainId) -> String {
    format!("vm/{shard}/")
}

/// The row of a VM's ledger.
pub fn ledger(shard: &id::DomainId, vm: &id::VmId) -> String {
    format!("vm/{shard}/{vm}")
}

/// The prefix of all shards' jobs.
pub const JOBS: &str = "job/";
/// The prefix of all claims.
pub const CLAIMS: &str = "claim/";

/// The bucket of time that a claim's key names.
pub fn claim_bucket(key: &str) -> Option<u64> {
    key.strip_prefix(CLAIMS)?.split('/').next()?.parse().ok()
}

/// The row of a claim on an idempotency key, in the given bucket of time.
pub fn claim(bucket: u64, service: &id::JobId, key: &str) -> String {
    format!("{CLAIMS}{bucket:012}/{service}/{key}")
}

/// The row of one version of the configuration's history.
pub fn history(version: id::Version) -> String {
    format!("{HISTORY}{:012}", version.0)
}

//! Deletion of expired rows, which a single daemon does on behalf of all.

use std::time;

use gl_model::{job, key, plan, time as model, txn};
use gl_platform::Table as _;

use crate::{clock, control, proxy::claims, transaction};

/// The interval of sweeps.
pub const INTERVAL: time::Duration = time::Duration::from_secs(10);
/// The number of rows that one sweep reads, and may therefore delete, per prefix.
const MAX_ROWS: usize = 500;
/// The time for which jobs that have ended are shown.
const ENDED_RETENTION: model::Span = model::Span::seconds(24 * 3_600);
/// The time for which plans that were never confirmed are kept.
const PROPOSED_RETENTION: model::Span = model::Span::seconds(24 * 3_600);
/// The time for which other plans are kept.
const CONFIRMED_RETENTION: model::Span = model::Span::seconds(30 * 24 * 3_600);

fn is_expired_claim(row: &txn::Row, now: model::Timestamp) -> bool {
    key::claim_bucket(&row.key).is_some_and(|bucket| bucket < claims::bucket(now) - 1)
}

fn is_expired_job(row: &txn::Row, now: model::Timestamp) -> bool {
    let ended = transaction::parse_value::<job::Row>(row).and_then(|job| job.ended);
    ended.is_some_and(|ended| now.since(ended.at) > ENDED_RETENTION)
}

fn is_expired_plan(row: &txn::Row, now: model::Timestamp) -> bool {
    let Some(plan) = transaction::parse_value::<plan::Plan>(row) else { return false };
    let retention = match plan.state {
        plan::State::Proposed => PROPOSED_RETENTION,
        plan::State::Confirmed | plan::State::Cancelled => CONFIRMED_RETENTION,
    };
    now.since(plan.made) > retention
}

/// Returns the expired rows among `rows`, each with a check of its version.
pub fn deletions(rows: &[txn::Row], now: model::Timestamp) -> Vec<txn::Check> {
    let is_expired = |row: &&txn::Row| {
        if row.key.starts_with(key::CLAIMS) {
            is_expired_claim(row, now)
        } else if row.key.starts_with(key::JOBS) {
            is_expired_job(row, now)
        } else {
            row.key.starts_with(key::PLANS) && is_expired_plan(row, now)
        }
    };
    let check = |row: &txn::Row| txn::Check { key: row.key.clone(), version: row.version };
    rows.iter().filter(is_expired).map(check).collect()
}

impl control::Io {
    /// Reads the first rows of each prefix and deletes the expired ones. Keys of claims and plans
    /// are ordered by time, so the oldest are read first.
    pub async fn sweep(self) -> Option<control::Event> {
        let now = clock::now();
        if !self.is_sweeper(now) {
            return None;
        }
        for prefix in [key::CLAIMS, key::JOBS, key::PLANS] {
            let rows = self.platform.page(prefix, "", MAX_ROWS).await.ok()?;
            let checks = deletions(&rows, now);
            if !checks.is_empty() {
                self.delete(checks, prefix, now).await;
            }
        }
        None
    }

    async fn delete(&self, checks: Vec<txn::Check>, prefix: &str, now: model::Timestamp) {
        let id = gl_model::id::TxnId(format!("sweep/{prefix}{}/{}", self.node.me.id, now.0));
        let delete = |check: &txn::Check| txn::Write { key: check.key.clone(), value: None };
        let writes = checks.iter().map(delete).collect();
        // The error is ignored because the next sweep finds rows that are left after a conflict or
        // a lost reply.
        let _ = self.platform.transact(&txn::Txn { id, checks, writes }).await;
    }

    fn is_sweeper(&self, now: model::Timestamp) -> bool {
        let members = self.node.members.lock();
        let first = members.alive(now).first().map(|row| row.id.clone());
        first.as_ref() == Some(&self.node.me.id)
    }
}

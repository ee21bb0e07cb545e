//! Deletes rows that nobody asks for any more. One daemon does it for all.

use std::time;

use gl_model::{job, key, plan, time as model, txn};
use gl_platform::Table as _;

use crate::{clock, control, proxy::claims, transaction};

/// How often old rows are looked for.
pub const INTERVAL: time::Duration = time::Duration::from_secs(10);
/// Rows that one sweep looks at, and so deletes, at most.
const MAX_ROWS: usize = 500;
/// How long jobs that have ended are shown.
const ENDED_RETENTION: model::Span = model::Span::seconds(24 * 3_600);
/// How long plans that were never confirmed are retention.
const PROPOSED_RETENTION: model::Span = model::Span::seconds(24 * 3_600);
/// How long other plans are retention.
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

/// The rows to delete among `rows`, each under a check of its version.
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
    /// Looks at the first rows of each sort and deletes the old ones among them. Claims and plans
    /// are in the order of their time, so the oldest come first.
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
        // What a conflict or a lost answer leaves open, the next sweep finds.
        let _ = self.platform.transact(&txn::Txn { id, checks, writes }).await;
    }

    fn is_sweeper(&self, now: model::Timestamp) -> bool {
        let members = self.node.members.lock();
        let first = members.alive(now).first().map(|row| row.id.clone());
        first.as_ref() == Some(&self.node.me.id)
    }
}

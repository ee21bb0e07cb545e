//! Loads the state that earlier owners have stored, before a new owner decides anything.

use std::collections;

use futures_util::future;
use gl_jobs::{election, job, owner, record, task};
use gl_model::time;
use gl_platform::cell as platform;

use super::{
    commit, event,
    ownership::{Claim, Ownership},
    rows,
};
use crate::clock;

/// Decodes rows. A row that cannot be decoded is logged and left out.
fn decode_all<T>(
    kind: &'static str,
    rows: &[platform::Row],
    decode: impl Fn(&'static str, &[u8]) -> Result<T, record::Error>,
) -> Vec<T> {
    let read = |row: &platform::Row| match decode(kind, row.value.as_deref()?) {
        Ok(value) => Some(value),
        Err(error) => {
            let detail = error.to_string();
            event::emit(&event::Event::Unreadable { row: &row.name, detail });
            None
        }
    };
    rows.iter().filter_map(read).collect()
}

/// The stored progress of a job.
#[derive(Default)]
struct StoredProgress {
    pages: Vec<u32>,
    progress: record::Progress,
}

/// The stored progress of all jobs.
#[derive(Default)]
struct JoinedProgress {
    by_job: collections::BTreeMap<task::JobId, StoredProgress>,
    /// Number of pages that could not be decoded.
    unreadable: usize,
}

/// The stored jobs, and the numbers of pages of progress.
struct JoinedRows {
    jobs: Vec<owner::StoredJob>,
    /// Pages that were read.
    pages: usize,
    /// Pages among them that were left out, as they could not be decoded.
    unreadable: usize,
    /// Pages among them without a job.
    orphans: usize,
}

/// Joins the pages of each job's progress. A row that cannot be decoded is logged and left out.
fn join_pages(rows: &[platform::Row]) -> JoinedProgress {
    let mut joined = JoinedProgress::default();
    for row in rows {
        let Some((id, page)) = rows::parse_progress(&row.name) else {
            joined.unreadable += 1;
            continue;
        };
        let Some(value) = row.value.as_deref() else { continue };
        match record::decode::<record::Progress>("progress", value) {
            Ok(decoded) => {
                let stored = joined.by_job.entry(id).or_default();
                stored.pages.push(page);
                let progress = &mut stored.progress;
                progress.final_state = progress.final_state.or(decoded.final_state);
                progress.phases.extend(decoded.phases);
            }
            Err(error) => {
                joined.unreadable += 1;
                let detail = error.to_string();
                event::emit(&event::Event::Unreadable { row: &row.name, detail });
            }
        }
    }
    joined
}

impl Ownership {
    /// Loads the stored state and the list of workers, and fences off earlier owners' commits.
    pub(super) async fn load_state(&self, claim: &Claim) -> Result<(), platform::StoreError> {
        let platform = &self.node.platform;
        let listed_at = clock::steady();
        let (list, fenced) = future::join(platform.directory.workers(), commit::fence(self)).await;
        self.node.record_store_result(&list, clock::steady());
        let list = list?;
        self.fence_version.set(fenced?);
        // Earlier owners cannot commit any more, so these rows do not change during the reads.
        let progress = self.read_rows(rows::all_committed(rows::PROGRESS));
        let roster = self.read_rows(rows::all_committed(rows::ROSTER));
        let vacating = self.read_rows(rows::all_committed(rows::VACATING));
        let model = self.read_rows(rows::single(rows::interference()));
        let sent = clock::steady();
        let (work, progress, roster, vacating, model) =
            future::join5(self.read_work(), progress, roster, vacating, model).await;
        let work = work?;
        self.store_clock_read(&work, sent);
        let stored = self.join_rows(&work.rows, &progress?);
        if stored.jobs.iter().any(|job| !job.is_inherited) && !self.is_confirmed().await {
            let detail = "the ownership is not confirmed".to_owned();
            return Err(platform::StoreError::Refused { operation: "load the cell", detail });
        }
        let roster = decode_all("worker", &roster?, record::Enrolment::decode);
        let vacating = decode_all("vacating worker", &vacating?, record::decode);
        let model: Vec<record::ModelSnapshot> = decode_all("learnt", &model?, record::decode);
        self.update_wall_clock();
        let moment = self.node.moment();
        let (jobs, count) = (stored.jobs.len(), list.workers.len());
        {
            let mut owner = self.owner.borrow_mut();
            owner.workers_listed(&list.workers, listed_at, moment.now);
            let outstanding = self.inherited_lease(moment.now);
            let superseded_at = self.superseded_at();
            let takeover =
                owner::Takeover { jobs: stored.jobs, roster, vacating, outstanding, superseded_at };
            owner.recover(takeover, &moment);
            owner.work_read(sent);
            for model in &model {
                owner.restore_model(model);
            }
        }
        self.feed_version.set(work.version);
        self.feed_read.set(sent);
        self.list_version.set(Some(list.version));
        self.is_loaded.set(true);
        let assumed = &claim.assumed;
        event::emit(&event::Event::Claimed {
            token: self.token,
            jobs,
            pages: stored.pages,
            unreadable: stored.unreadable,
            orphans: stored.orphans,
            workers: count,
            cause: claim.cause,
            leases_ms: assumed.predecessors.outstanding.map(time::Span::as_millis),
            bound: assumed.bound.map_or("none", election::Bound::as_str),
            starts_ms: assumed.predecessors.starts.as_millis(),
            renewal_age_ms: assumed.renewal_age.map(time::Span::as_millis),
            outage_age_ms: assumed.outage_age.map(time::Span::as_millis),
        });
        Ok(())
    }

    async fn read_rows(
        &self,
        range: platform::Range,
    ) -> Result<Vec<platform::Row>, platform::StoreError> {
        let read = self.node.platform.store.range(&range).await;
        self.node.record_store_result(&read, clock::steady());
        Ok(read?.rows)
    }

    /// Reads all partitions of the work table concurrently. The returned version is the lowest one
    /// of all partitions, so that the changes after it are complete.
    pub(super) async fn read_work(&self) -> Result<platform::Rows, platform::StoreError> {
        let ranges: Vec<_> = rows::all_work().collect();
        let reads = ranges.iter().map(|range| self.node.platform.store.range(range));
        let mut all = platform::Rows { version: u64::MAX, ..platform::Rows::default() };
        for read in future::join_all(reads).await {
            self.node.record_store_result(&read, clock::steady());
            let read = read?;
            all.version = all.version.min(read.version);
            all.clock = all.clock.max(read.clock);
            all.rows.extend(read.rows);
        }
        Ok(all)
    }

    /// Joins the rows of each job. Progress without a job is passed to the owner, which removes it.
    fn join_rows(&self, work: &[platform::Row], progress: &[platform::Row]) -> JoinedRows {
        let mut jobs = collections::BTreeMap::new();
        let mut cancelled = collections::BTreeMap::new();
        for row in work.iter().filter_map(rows::read_work) {
            match row.work {
                record::Work::Job(job) => {
                    jobs.insert(row.id, (*job, row.version));
                }
                record::Work::Cancel => {
                    cancelled.insert(row.id, row.version);
                }
            }
        }
        let now = clock::steady();
        for (id, version) in cancelled.iter().filter(|(id, _)| !jobs.contains_key(id)) {
            self.tombstones.add(*id, *version, now);
        }
        let JoinedProgress { mut by_job, unreadable } = join_pages(progress);
        let join = |(id, (job, version)): (task::JobId, (job::Job, u64))| {
            let stored = by_job.remove(&id);
            owner::StoredJob {
                id,
                job,
                pages: stored.iter().flat_map(|stored| &stored.pages).copied().collect(),
                progress: stored.map(|stored| stored.progress),
                is_cancelled: cancelled.contains_key(&id),
                is_inherited: version < self.token,
            }
        };
        let jobs: Vec<_> = jobs.into_iter().map(join).collect();
        // Progress remains without its job if an owner ended between the two removals.
        let orphans: Vec<_> = by_job
            .into_iter()
            .flat_map(|(id, stored)| stored.pages.into_iter().map(move |page| (id, page)))
            .collect();
        self.owner.borrow_mut().add_orphans(orphans.iter().copied());
        JoinedRows { jobs, pages: progress.len(), unreadable, orphans: orphans.len() }
    }
}

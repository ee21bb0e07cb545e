//! The shards that this daemon owns or may claim.

use std::{collections, sync};

use gl_lease::{rendezvous, shard_lease};
use gl_model::{config, id, job, key, task, time, txn, vm, worker};
use gl_peer::frame;
use gl_platform::{Agents as _, Table as _};
use gl_schedule::{owner, state};
use tokio::sync::oneshot;

use crate::{clock, control, transaction};

/// The delay of a claim per daemon with a better rank and per shard that is already owned.
const RANK_DELAY: time::Span = time::Span::seconds(1);
/// The interval at which the jobs of owned shards are read.
const JOBS_INTERVAL: time::Span = time::Span::seconds(1);
/// The time limit of a claim or a release.
const CLAIM_TIMEOUT: time::Span = time::Span::seconds(3);

/// A claimed shard with all of its rows.
pub struct Claimed {
    settings: owner::Settings,
    rows: owner::Rows,
}

struct OwnedShard {
    owner: owner::Owner,
    inputs: Vec<owner::Input>,
    counters: state::Counters,
    jobs_due: time::Timestamp,
    is_released: bool,
}

/// The shards of this daemon.
pub struct Owners {
    io: control::Io,
    owned: collections::BTreeMap<id::DomainId, OwnedShard>,
    claiming: collections::BTreeSet<id::DomainId>,
    free_since: collections::BTreeMap<id::DomainId, time::Timestamp>,
    vms: vm::List,
    release_waiters: Vec<oneshot::Sender<()>>,
    is_stopping: bool,
}

impl Owners {
    /// Creates the state of a daemon that owns no shard.
    pub fn new(io: control::Io) -> Self {
        Self {
            io,
            owned: collections::BTreeMap::new(),
            claiming: collections::BTreeSet::new(),
            free_since: collections::BTreeMap::new(),
            vms: vm::List::default(),
            release_waiters: Vec::new(),
            is_stopping: false,
        }
    }

    /// Passes a changed list of VMs to the owners.
    pub fn update_vms(&mut self, list: &vm::List) {
        if *list == self.vms {
            return;
        }
        self.vms = list.clone();
        for owned in self.owned.values_mut() {
            owned.inputs.push(owner::Input::List(list.clone()));
        }
    }

    /// Passes a new configuration to the owners.
    pub fn update_config(&mut self, content: &config::Shared) {
        for owned in self.owned.values_mut() {
            owned.inputs.push(owner::Input::Config(Box::new(content.clone())));
        }
    }

    /// Passes an input to a shard's owner, unless it was requested in an earlier epoch.
    pub fn push(&mut self, shard: &id::DomainId, epoch: Option<id::Epoch>, input: owner::Input) {
        if let Some(owned) = self.owned.get_mut(shard)
            && epoch.is_none_or(|epoch| epoch == owned.owner.epoch())
        {
            owned.inputs.push(input);
        }
    }

    /// Schedules an immediate read of the jobs of all owned shards.
    pub fn refresh_jobs(&mut self) {
        for owned in self.owned.values_mut() {
            owned.jobs_due = time::Timestamp::default();
        }
    }

    /// Claims free shards and removes shards that were lost to another daemon.
    pub fn update_rows(&mut self, rows: Vec<control::ShardRow>, now: time::Timestamp) {
        let opts = shard_lease::Options::from(&self.io.node.config.lock().content.leases);
        for read in rows {
            let epoch = read.row.as_ref().map(|row| row.epoch).unwrap_or_default();
            if let Some(owned) = self.owned.get(&read.shard) {
                if epoch > owned.owner.epoch() {
                    let ended = owned.owner.epoch();
                    self.remove_shard(&read.shard, ended);
                }
                continue;
            }
            let is_free =
                read.row.as_ref().is_none_or(|r| shard_lease::remaining(r, now, &opts).is_none());
            if !is_free {
                self.free_since.remove(&read.shard);
                continue;
            }
            let since = *self.free_since.entry(read.shard.clone()).or_insert(now);
            if now.since(since) >= self.claim_delay(&read.shard, now) {
                self.claim(read, now);
            }
        }
    }

    /// Returns the delay before this daemon claims a free shard. It leaves the shard to daemons with
    /// a better rank in the shard's rendezvous hash and to those that own fewer shards.
    fn claim_delay(&self, shard: &id::DomainId, now: time::Timestamp) -> time::Span {
        let node = &self.io.node;
        let members = node.members.lock();
        let alive: Vec<&id::DaemonId> = members.alive(now).iter().map(|row| &row.id).collect();
        let rank = rendezvous::rank(shard, &alive, &node.me.id);
        time::Span(RANK_DELAY.0 * (rank + self.owned.len() + self.claiming.len()) as u64)
    }

    fn claim(&mut self, read: control::ShardRow, now: time::Timestamp) {
        let is_ready = self.io.node.ready.load(sync::atomic::Ordering::Relaxed);
        if self.is_stopping || !is_ready || !self.claiming.insert(read.shard.clone()) {
            return;
        }
        let io = self.io.clone();
        ntex::rt::spawn(async move {
            let shard = read.shard.clone();
            let event = match claim(&io, read, now).await {
                Some(claimed) => control::Event::Claimed(Box::new(claimed)),
                None => control::Event::ClaimFailed(shard),
            };
            let _ = io.events.send(event);
        })
        .detach();
    }

    /// Ends a claim, whether it failed or succeeded.
    pub fn end_claim(&mut self, shard: &id::DomainId) {
        self.claiming.remove(shard);
        self.free_since.remove(shard);
    }

    /// Starts the owner of a claimed shard.
    pub fn claim_succeeded(&mut self, claimed: Claimed, now: time::Timestamp) {
        let shard = claimed.settings.shard.clone();
        self.end_claim(&shard);
        let owner = owner::Owner::new(claimed.settings, claimed.rows, now);
        log::info!("shard={shard} state=owned epoch={}", owner.epoch());
        let owned = OwnedShard {
            owner,
            inputs: vec![owner::Input::List(self.vms.clone())],
            counters: state::Counters::default(),
            jobs_due: now + JOBS_INTERVAL,
            is_released: false,
        };
        self.owned.insert(shard, owned);
        self.publish_shards();
        self.io.node.metrics.event("shard-claimed", 1);
    }

    /// Removes a shard whose epoch has ended.
    pub fn remove_shard(&mut self, shard: &id::DomainId, epoch: id::Epoch) {
        let is_ended = self.owned.get(shard).is_some_and(|owned| owned.owner.epoch() == epoch);
        if is_ended {
            self.owned.remove(shard);
            self.publish_shards();
            log::info!("shard={shard} state=lost epoch={epoch}");
            self.io.node.metrics.event("shard-lost", 1);
        }
        self.notify_released();
    }

    fn publish_shards(&self) {
        *self.io.node.shards.lock() = self.owned.keys().cloned().collect();
    }

    /// Releases all shards, each once its pending commit is resolved.
    pub fn release(&mut self, done: oneshot::Sender<()>) {
        self.is_stopping = true;
        self.release_waiters.push(done);
        self.notify_released();
    }

    fn notify_released(&mut self) {
        if self.is_stopping && self.owned.is_empty() {
            for done in self.release_waiters.drain(..) {
                let _ = done.send(());
            }
        }
    }

    /// Runs the systems of all owned shards.
    pub fn tick(&mut self, now: time::Timestamp) {
        let shards: Vec<id::DomainId> = self.owned.keys().cloned().collect();
        for shard in shards {
            self.tick_shard(&shard, now);
        }
    }

    fn tick_shard(&mut self, shard: &id::DomainId, now: time::Timestamp) {
        let Some(owned) = self.owned.get_mut(shard) else {
            return;
        };
        if owned.is_released {
            return;
        }
        if owned.jobs_due <= now {
            owned.jobs_due = now + JOBS_INTERVAL;
            read_jobs(&self.io, shard);
        }
        let inputs = std::mem::take(&mut owned.inputs);
        let actions = if self.is_stopping {
            owned.owner.apply_inputs(now, inputs);
            Vec::new()
        } else {
            owned.owner.run(now, inputs)
        };
        let epoch = owned.owner.epoch();
        report_counters(&self.io, &owned.owner.state.counters, &mut owned.counters);
        if self.is_stopping
            && let Some(txn) = owned.owner.release()
        {
            owned.is_released = true;
            release_shard(&self.io, shard, epoch, txn);
        }
        for action in actions {
            perform(&self.io, shard, epoch, action, now);
        }
    }
}

/// The row of a shard, which shows whether a commit took effect.
struct Marker {
    key: String,
    txn: id::TxnId,
}

impl Marker {
    fn new(shard: &id::DomainId, txn: &txn::Txn) -> Self {
        Self { key: key::shard(shard), txn: txn.id.clone() }
    }
}

impl transaction::Marker for Marker {
    fn key(&self) -> &str {
        &self.key
    }

    fn confirms(&self, row: &txn::Row) -> bool {
        transaction::parse_value::<gl_model::shard::Row>(row).is_some_and(|row| row.txn == self.txn)
    }
}

async fn claim(io: &control::Io, read: control::ShardRow, now: time::Timestamp) -> Option<Claimed> {
    let me = &io.node.me.id;
    let config = io.node.config.lock().content.clone();
    let options = shard_lease::Options::from(&config.leases);
    let inherited = read.row.as_ref().map(|row| row.horizon).unwrap_or_default();
    let id = id::TxnId(format!("claim/{}/{me}/{}", read.shard, now.0));
    let row = shard_lease::claim(read.row.as_ref(), me, &id, now, &options).ok()?;
    let key = key::shard(&read.shard);
    let txn = txn::Txn {
        id,
        checks: vec![txn::Check { key: key.clone(), version: read.version }],
        writes: vec![txn::Write { key, value: serde_json::to_string(&row).ok() }],
    };
    let marker = Marker::new(&read.shard, &txn);
    let status = transaction::execute(&io.platform, &txn, &marker, Some(now + CLAIM_TIMEOUT)).await;
    let transaction::Status::Committed(version) = status else {
        return None;
    };
    let rows = read_rows(&io.platform, &read.shard).await?;
    let settings =
        owner::Settings { daemon: me.clone(), shard: read.shard, row, version, inherited, config };
    Some(Claimed { settings, rows })
}

fn parse_versioned<R: serde::de::DeserializeOwned>(rows: &[txn::Row]) -> Vec<owner::Versioned<R>> {
    let parse = |row: &txn::Row| {
        Some(owner::Versioned { row: transaction::parse_value(row)?, version: row.version })
    };
    rows.iter().filter_map(parse).collect()
}

fn parse_jobs(rows: &[txn::Row]) -> Vec<owner::Job> {
    let job = |v: owner::Versioned<job::Row>| owner::Job { row: v.row, version: v.version };
    parse_versioned(rows).into_iter().map(job).collect()
}

/// Reads all rows of a shard.
pub async fn read_rows(from: &dyn gl_platform::Table, shard: &id::DomainId) -> Option<owner::Rows> {
    let read_jobs = from.scan(&key::jobs(shard)).await.ok()?;
    let tasks = from.scan(&key::tasks(shard)).await.ok()?;
    let ledgers = from.scan(&key::ledgers(shard)).await.ok()?;
    Some(owner::Rows {
        jobs: parse_jobs(&read_jobs),
        tasks: parse_versioned::<task::Row>(&tasks),
        ledgers: parse_versioned::<vm::Ledger>(&ledgers),
    })
}

fn read_jobs(io: &control::Io, shard: &id::DomainId) {
    let (io, shard) = (io.clone(), shard.clone());
    ntex::rt::spawn(async move {
        let Ok(rows) = io.platform.scan(&key::jobs(&shard)).await else {
            return;
        };
        let input = Box::new(owner::Input::Jobs(parse_jobs(&rows)));
        let _ = io.events.send(control::Event::Input { shard, epoch: None, input });
    })
    .detach();
}

fn perform(
    io: &control::Io,
    shard: &id::DomainId,
    epoch: id::Epoch,
    action: owner::Action,
    now: time::Timestamp,
) {
    match action {
        owner::Action::Commit(txn) => commit(io, shard, epoch, txn),
        owner::Action::Sync { vm, agent, message } => sync(io, shard, epoch, vm, agent, message),
        owner::Action::Publish(set) => {
            io.node.router.lock().update_routes(&set, now);
            io.node.broadcast(&frame::Frame::Routes(set));
        }
        owner::Action::Log(note) => log::info!("shard={shard} {note}"),
    }
}

fn commit(io: &control::Io, shard: &id::DomainId, epoch: id::Epoch, txn: txn::Txn) {
    let (io, shard) = (io.clone(), shard.clone());
    ntex::rt::spawn(async move {
        let marker = Marker::new(&shard, &txn);
        let event = match transaction::execute(&io.platform, &txn, &marker, None).await {
            transaction::Status::Committed(version) => {
                control::Event::Committed { shard, epoch, version }
            }
            _ => control::Event::Lost { shard, epoch },
        };
        let _ = io.events.send(event);
    })
    .detach();
}

fn release_shard(io: &control::Io, shard: &id::DomainId, epoch: id::Epoch, txn: txn::Txn) {
    let (io, shard) = (io.clone(), shard.clone());
    ntex::rt::spawn(async move {
        let marker = Marker::new(&shard, &txn);
        let limit = clock::now() + CLAIM_TIMEOUT;
        let _ = transaction::execute(&io.platform, &txn, &marker, Some(limit)).await;
        let _ = io.events.send(control::Event::Lost { shard, epoch });
    })
    .detach();
}

fn sync(
    io: &control::Io,
    shard: &id::DomainId,
    epoch: id::Epoch,
    vm: id::VmId,
    agent: std::net::SocketAddr,
    message: worker::Sync,
) {
    let (io, shard) = (io.clone(), shard.clone());
    ntex::rt::spawn(async move {
        let input = match io.platform.sync(agent, &message).await {
            Ok(report) => owner::Input::Report(vm, report),
            Err(_) => owner::Input::NoReply(vm),
        };
        let (epoch, input) = (Some(epoch), Box::new(input));
        let _ = io.events.send(control::Event::Input { shard, epoch, input });
    })
    .detach();
}

fn report_counters(io: &control::Io, counters: &state::Counters, last: &mut state::Counters) {
    let metrics = &io.node.metrics;
    metrics.event("task-started", counters.starts - last.starts);
    metrics.event("task-evicted", counters.evictions - last.evictions);
    metrics.event("task-retried", counters.retries - last.retries);
    metrics.event("task-given-up", counters.failures - last.failures);
    metrics.event("task-lapsed", counters.expiries - last.expiries);
    metrics.event("task-throttled", counters.throttles - last.throttles);
    metrics.event("task-done", counters.done - last.done);
    metrics.event("worker-quarantined", counters.quarantines - last.quarantines);
    metrics.event("commit", counters.commits - last.commits);
    metrics.event("row-written", counters.rows - last.rows);
    *last = *counters;
}

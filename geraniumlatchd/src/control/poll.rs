//! All that is read from the platform again and again.

use std::{collections, time};

use gl_lease::membership;
use gl_model::{config, daemon, id, key, shard, txn, vm};
use gl_platform::{Table as _, Vms as _};

use crate::{clock, control, control::sweep, settle};

/// How often the list of VMs is read; a leaving VM gets no new call within 3 s of the list
/// saying so.
const LIST: time::Duration = time::Duration::from_millis(500);
/// How often operators' drains are read.
const DRAINS: time::Duration = time::Duration::from_secs(1);
/// How often the configuration is read, so that it is in force soon even without the mesh.
const CONFIG: time::Duration = time::Duration::from_secs(1);
/// How often shards' rows are read.
const SHARDS: time::Duration = time::Duration::from_secs(1);
/// How often daemons' rows are written and read.
const MEMBERS: time::Duration = time::Duration::from_secs(2);

/// Starts all polling.
pub fn start(io: &control::Io) {
    every(io, LIST, |io| async move { io.list().await });
    every(io, DRAINS, |io| async move { io.drains().await });
    every(io, CONFIG, |io| async move { io.config().await });
    every(io, SHARDS, |io| async move { io.shards().await });
    every(io, MEMBERS, |io| async move { io.members().await });
    every(io, sweep::PAUSE, |io| async move { io.sweep().await });
}

fn every<F, R>(io: &control::Io, pause: time::Duration, step: F)
where
    F: Fn(control::Io) -> R + 'static,
    R: Future<Output = Option<control::Event>> + 'static,
{
    let io = io.clone();
    ntex::rt::spawn(async move {
        loop {
            if let Some(event) = step(io.clone()).await {
                let _ = io.events.send(event);
            }
            ntex::time::sleep(pause).await;
        }
    })
    .detach();
}

fn parsed<T: serde::de::DeserializeOwned>(rows: &[txn::Row]) -> Vec<T> {
    rows.iter().filter_map(settle::value).collect()
}

impl control::Io {
    /// The list doesn't wait for the store, which may be slow: drains are read beside it.
    async fn list(self) -> Option<control::Event> {
        let mut list = self.platform.list().await.ok()?;
        let drained = self.node.drained.lock();
        for vm in list.vms.iter_mut().filter(|vm| drained.contains(&vm.id)) {
            vm.liveness = vm::Liveness::Leaving;
        }
        drop(drained);
        Some(control::Event::List(list))
    }

    async fn drains(self) -> Option<control::Event> {
        let rows = self.platform.scan(key::DRAINS).await.ok()?;
        let names = rows.iter().filter_map(|row| row.key.strip_prefix(key::DRAINS));
        *self.node.drained.lock() = names.map(id::VmId::from).collect();
        None
    }

    async fn config(self) -> Option<control::Event> {
        let row = self.platform.read(key::CONFIG).await.ok()?;
        let none = || config::Row {
            number: id::Version::default(),
            txn: id::TxnId::from(""),
            content: config::Shared::default(),
        };
        let row = match &row {
            None => none(),
            Some(row) => match settle::value::<config::Row>(row) {
                Some(row) => row,
                None => {
                    log::warn!("config state=unreadable remedy=\"upgrade this daemon\"");
                    return None;
                }
            },
        };
        Some(control::Event::Config(Box::new(row)))
    }

    async fn shards(self) -> Option<control::Event> {
        let rows = self.platform.scan(key::SHARDS).await.ok()?;
        let mut named: collections::BTreeSet<id::DomainId> =
            self.node.list.lock().vms.iter().map(|vm| vm.domain.clone()).collect();
        let mut shards = Vec::new();
        for row in &rows {
            let Some(name) = row.key.strip_prefix(key::SHARDS) else {
                continue;
            };
            let shard = id::DomainId::from(name);
            named.remove(&shard);
            let parsed: Option<shard::Row> = settle::value(row);
            shards.push(control::ShardRow { shard, row: parsed, version: row.version });
        }
        let version = id::Version::default();
        let unwritten = |shard| control::ShardRow { shard, row: None, version };
        shards.extend(named.into_iter().map(unwritten));
        Some(control::Event::Shards(shards))
    }

    /// Writes this daemon's row and reads all of them. Rows of long silent daemons go.
    async fn members(self) -> Option<control::Event> {
        let now = clock::now();
        let row = self.node.row(now);
        let mut writes = Vec::new();
        if !self.node.is_draining() {
            let value = serde_json::to_string(&row).ok();
            writes.push(txn::Write { key: key::daemon(&row.id), value });
        }
        let read = self.platform.scan(key::DAEMONS).await.ok()?;
        let rows: Vec<daemon::Row> = parsed(&read);
        for old in rows.iter().filter(|r| now.since(r.heartbeat) > membership::RETENTION) {
            writes.push(txn::Write { key: key::daemon(&old.id), value: None });
        }
        let id = id::TxnId(format!("member/{}/{}", row.id, now.0));
        let txn = txn::Txn { id, checks: Vec::new(), writes };
        // A lost heartbeat is followed by the next one.
        let _ = self.platform.transact(&txn).await;
        Some(control::Event::Members(rows))
    }
}

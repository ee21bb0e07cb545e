//! The rows and lists that are polled from the platform.

use std::{collections, time};

use gl_lease::membership;
use gl_model::{config, daemon, id, key, shard, txn, vm};
use gl_platform::{Table as _, Vms as _};

use crate::{clock, control, control::sweep, transaction};

/// The interval at which the list of VMs is read. A VM must get no new calls once the list has shown
/// it as leaving for 3 s.
const VMS_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// The interval at which operators' drains are read.
const DRAINS_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// The interval at which the configuration is read, so that a change is soon in force even without
/// the mesh.
const CONFIG_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// The interval at which shards' rows are read.
const SHARDS_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// The interval at which daemons' rows are written and read.
const MEMBERS_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// Starts all polling.
pub fn start(io: &control::Io) {
    repeat(io, VMS_INTERVAL, |io| async move { io.poll_vms().await });
    repeat(io, DRAINS_INTERVAL, |io| async move { io.poll_drains().await });
    repeat(io, CONFIG_INTERVAL, |io| async move { io.poll_config().await });
    repeat(io, SHARDS_INTERVAL, |io| async move { io.poll_shards().await });
    repeat(io, MEMBERS_INTERVAL, |io| async move { io.poll_members().await });
    repeat(io, sweep::INTERVAL, |io| async move { io.sweep().await });
}

fn repeat<F, R>(io: &control::Io, interval: time::Duration, step: F)
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
            ntex::time::sleep(interval).await;
        }
    })
    .detach();
}

fn parse_rows<T: serde::de::DeserializeOwned>(rows: &[txn::Row]) -> Vec<T> {
    rows.iter().filter_map(transaction::parse_value).collect()
}

impl control::Io {
    /// Reads the list of VMs. Drains are polled separately because they are in the store, which may
    /// be slow.
    async fn poll_vms(self) -> Option<control::Event> {
        let mut list = self.platform.list().await.ok()?;
        let drained = self.node.drained.lock();
        for vm in list.vms.iter_mut().filter(|vm| drained.contains(&vm.id)) {
            vm.liveness = vm::Liveness::Leaving;
        }
        drop(drained);
        Some(control::Event::VmList(list))
    }

    async fn poll_drains(self) -> Option<control::Event> {
        let rows = self.platform.scan(key::DRAINS).await.ok()?;
        let names = rows.iter().filter_map(|row| row.key.strip_prefix(key::DRAINS));
        *self.node.drained.lock() = names.map(id::VmId::from).collect();
        None
    }

    async fn poll_config(self) -> Option<control::Event> {
        let row = self.platform.read(key::CONFIG).await.ok()?;
        let initial = || config::Row {
            number: id::Version::default(),
            txn: id::TxnId::from(""),
            content: config::Shared::default(),
        };
        let row = match &row {
            None => initial(),
            Some(row) => match transaction::parse_value::<config::Row>(row) {
                Some(row) => row,
                None => {
                    log::warn!("config state=unreadable remedy=\"upgrade this daemon\"");
                    return None;
                }
            },
        };
        Some(control::Event::Config(Box::new(row)))
    }

    async fn poll_shards(self) -> Option<control::Event> {
        let rows = self.platform.scan(key::SHARDS).await.ok()?;
        let mut without_row: collections::BTreeSet<id::DomainId> =
            self.node.vm_list.lock().vms.iter().map(|vm| vm.domain.clone()).collect();
        let mut shards = Vec::new();
        for row in &rows {
            let Some(name) = row.key.strip_prefix(key::SHARDS) else {
                continue;
            };
            let shard = id::DomainId::from(name);
            without_row.remove(&shard);
            let parsed: Option<shard::Row> = transaction::parse_value(row);
            shards.push(control::ShardRow { shard, row: parsed, version: row.version });
        }
        let version = id::Version::default();
        let missing = |shard| control::ShardRow { shard, row: None, version };
        shards.extend(without_row.into_iter().map(missing));
        Some(control::Event::Shards(shards))
    }

    /// Writes this daemon's row, reads the rows of all daemons and deletes those without a recent
    /// heartbeat.
    async fn poll_members(self) -> Option<control::Event> {
        let now = clock::now();
        let row = self.node.row(now);
        let mut writes = Vec::new();
        if !self.node.is_draining() {
            let value = serde_json::to_string(&row).ok();
            writes.push(txn::Write { key: key::daemon(&row.id), value });
        }
        let read = self.platform.scan(key::DAEMONS).await.ok()?;
        let rows: Vec<daemon::Row> = parse_rows(&read);
        for old in rows.iter().filter(|r| now.since(r.heartbeat) > membership::RETENTION) {
            writes.push(txn::Write { key: key::daemon(&old.id), value: None });
        }
        let id = id::TxnId(format!("member/{}/{}", row.id, now.0));
        let txn = txn::Txn { id, checks: Vec::new(), writes };
        // The error is ignored because the next heartbeat follows soon.
        let _ = self.platform.transact(&txn).await;
        Some(control::Event::Members(rows))
    }
}

//! The frames that this daemon exchanges with its peers.

use std::{net, sync, sync::atomic, time};

use gl_model::{daemon, time as model};
use gl_peer::{frame, mesh};
use tokio::sync::mpsc;

use crate::{clock, control, node};
use control::owners;

/// The interval of heartbeats and demand reports to peers.
const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// The interval of call counts to peers. A daemon that is replaced loses at most the counts of one
/// interval.
const COUNTS_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// Returns the frames that are sent first on each new connection to a peer.
pub fn snapshot(node: &sync::Arc<node::Node>) -> mesh::Snapshot {
    let node = sync::Arc::downgrade(node);
    sync::Arc::new(move || {
        let Some(node) = node.upgrade() else {
            return Vec::new();
        };
        let config = node.config.lock().clone();
        let mut frames = vec![frame::Frame::Config(Box::new(config))];
        let router = node.router.lock();
        frames.extend(router.route_sets().cloned().map(frame::Frame::Routes));
        drop(router);
        frames.push(frame::Frame::CallCounts(node.totals.lock().all()));
        frames
    })
}

/// Forwards frames from peers to the control loop.
pub fn forward_frames(
    mut frames: mpsc::Receiver<mesh::Received>,
    events: mpsc::UnboundedSender<control::Event>,
) {
    ntex::rt::spawn(async move {
        while let Some(received) = frames.recv().await {
            if events.send(control::Event::Peer(received)).is_err() {
                return;
            }
        }
    })
    .detach();
}

/// Starts the tasks that send periodic frames.
pub fn start(node: &sync::Arc<node::Node>) {
    let heartbeat_node = sync::Arc::clone(node);
    ntex::rt::spawn(async move {
        loop {
            send_heartbeat(&heartbeat_node, clock::now());
            ntex::time::sleep(HEARTBEAT_INTERVAL).await;
        }
    })
    .detach();
    let counts_node = sync::Arc::clone(node);
    ntex::rt::spawn(async move {
        loop {
            ntex::time::sleep(COUNTS_INTERVAL).await;
            send_counts(&counts_node, clock::now());
        }
    })
    .detach();
}

fn send_heartbeat(node: &node::Node, now: model::Timestamp) {
    if node.is_draining() {
        return;
    }
    node.broadcast(&frame::Frame::Hello(node.row(now)));
    let demand = node.router.lock().demand(now);
    if !demand.is_empty() {
        node.broadcast(&frame::Frame::Demand(demand));
    }
    node.members.lock().expire(now);
    update_peers(node, now);
    set_rank(node, now);
}

fn send_counts(node: &node::Node, now: model::Timestamp) {
    let mut totals = node.totals.lock();
    totals.expire(now);
    let changed = totals.take_changed();
    drop(totals);
    node.broadcast(&frame::Frame::CallCounts(changed));
    report_levels(node);
}

fn report_levels(node: &node::Node) {
    let metrics = &node.metrics;
    metrics.level("shards-owned", node.shards.lock().len() as f64);
    metrics.level("calls-in-progress", node.in_flight.load(atomic::Ordering::Relaxed) as f64);
    if let Some(mesh) = node.mesh() {
        let traffic = mesh.traffic();
        metrics.level("mesh-bytes-sent", traffic.sent.load(atomic::Ordering::Relaxed) as f64);
        let received = traffic.received.load(atomic::Ordering::Relaxed);
        metrics.level("mesh-bytes-received", received as f64);
    }
}

/// Updates the router with this daemon's rank among the daemons, which determines its subset of the
/// backend servers.
fn set_rank(node: &node::Node, now: model::Timestamp) {
    let members = node.members.lock();
    let others = members.alive(now);
    let rank = others.iter().filter(|row| row.id < node.me.id).count();
    let daemons = others.iter().filter(|row| row.id != node.me.id).count() + 1;
    drop(members);
    node.router.lock().set_rank(rank, daemons, now);
}

/// Updates the addresses that the mesh dials: all known daemons and those in the settings.
pub fn update_peers(node: &node::Node, now: model::Timestamp) {
    let Some(mesh) = node.mesh() else { return };
    let members = node.members.lock();
    let mut addresses: Vec<net::SocketAddr> = node.settings.peers.clone();
    addresses.extend(members.alive(now).iter().map(|row| row.mesh));
    addresses.sort_unstable();
    addresses.dedup();
    drop(members);
    mesh.set_peers(&addresses);
}

/// Records the daemons' rows. A row's heartbeat is a time of the writer's clock, which is accurate
/// within the clock margin.
pub fn record_members(node: &node::Node, rows: &[daemon::Row], now: model::Timestamp) {
    let mut members = node.members.lock();
    for row in rows {
        members.record(row, row.heartbeat.min(now));
    }
}

/// Handles a frame from a peer.
pub fn handle_frame(
    node: &node::Node,
    owners: &mut owners::Owners,
    received: mesh::Received,
    now: model::Timestamp,
) {
    let from = received.from;
    match received.frame {
        frame::Frame::Hello(row) => node.members.lock().record(&row, now),
        frame::Frame::Config(row) => {
            if node.update_config(&row) {
                owners.update_config(&row.content);
            }
        }
        frame::Frame::Routes(set) => {
            node.router.lock().update_routes(&set, now);
        }
        frame::Frame::Demand(demand) => node.router.lock().record_demand(&from, &demand, now),
        frame::Frame::CallCounts(buckets) => node.totals.lock().merge(&from, &buckets, now),
        frame::Frame::JobsChanged => owners.refresh_jobs(),
        frame::Frame::Bye => node.members.lock().remove(&from),
    }
}

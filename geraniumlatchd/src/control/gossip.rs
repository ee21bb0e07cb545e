//! What this daemon tells its peers, and what it makes of what they tell.

use std::{net, sync, sync::atomic, time};

use gl_model::{daemon, time as model};
use gl_peer::{frame, mesh};
use tokio::sync::mpsc;

use crate::{clock, control, node};
use control::owners;

/// How often this daemon tells that it is alive and what its demand is.
const BEAT: time::Duration = time::Duration::from_millis(500);
/// How often it tells its counts of calls: what a replaced daemon loses at most.
const TALLIES: time::Duration = time::Duration::from_secs(2);

/// What a new connection to a peer begins with.
pub fn greeting(node: &sync::Arc<node::Node>) -> mesh::Snapshot {
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
        frames.push(frame::Frame::CallCounts(node.board.lock().all()));
        frames
    })
}

/// Passes the peers' frames to the control loop.
pub fn forward(
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

/// Starts the regular frames.
pub fn start(node: &sync::Arc<node::Node>) {
    let beating = sync::Arc::clone(node);
    ntex::rt::spawn(async move {
        loop {
            beat(&beating, clock::now());
            ntex::time::sleep(BEAT).await;
        }
    })
    .detach();
    let telling = sync::Arc::clone(node);
    ntex::rt::spawn(async move {
        loop {
            ntex::time::sleep(TALLIES).await;
            tell(&telling, clock::now());
        }
    })
    .detach();
}

fn beat(node: &node::Node, now: model::Timestamp) {
    if node.is_draining() {
        return;
    }
    node.broadcast(&frame::Frame::Hello(node.row(now)));
    let demand = node.router.lock().demand(now);
    if !demand.is_empty() {
        node.broadcast(&frame::Frame::Demand(demand));
    }
    node.members.lock().expire(now);
    set_peers(node, now);
    set_place(node, now);
}

fn tell(node: &node::Node, now: model::Timestamp) {
    let mut board = node.board.lock();
    board.expire(now);
    let changed = board.take_changed();
    drop(board);
    node.broadcast(&frame::Frame::CallCounts(changed));
    note_levels(node);
}

fn note_levels(node: &node::Node) {
    let metrics = &node.metrics;
    metrics.level("shards-owned", node.shards.lock().len() as f64);
    metrics.level("calls-in-progress", node.flight.load(atomic::Ordering::Relaxed) as f64);
    if let Some(mesh) = node.mesh() {
        let traffic = mesh.traffic();
        metrics.level("mesh-bytes-sent", traffic.sent.load(atomic::Ordering::Relaxed) as f64);
        let received = traffic.received.load(atomic::Ordering::Relaxed);
        metrics.level("mesh-bytes-received", received as f64);
    }
}

/// Tells the router which part of the backend servers is this daemon's.
fn set_place(node: &node::Node, now: model::Timestamp) {
    let members = node.members.lock();
    let others = members.alive(now);
    let place = others.iter().filter(|row| row.id < node.me.id).count();
    let daemons = others.iter().filter(|row| row.id != node.me.id).count() + 1;
    drop(members);
    node.router.lock().set_rank(place, daemons, now);
}

/// Dials all daemons that are known, and those that the settings name.
pub fn set_peers(node: &node::Node, now: model::Timestamp) {
    let Some(mesh) = node.mesh() else { return };
    let members = node.members.lock();
    let mut addresses: Vec<net::SocketAddr> = node.settings.peers.clone();
    addresses.extend(members.alive(now).iter().map(|row| row.mesh));
    addresses.sort_unstable();
    addresses.dedup();
    drop(members);
    mesh.set_peers(&addresses);
}

/// Takes the daemons' rows in. A row's heartbeat is the writer's time, which is right up to the
/// clock margin.
pub fn take_members(node: &node::Node, rows: &[daemon::Row], now: model::Timestamp) {
    let mut members = node.members.lock();
    for row in rows {
        members.record(row, row.heartbeat.min(now));
    }
}

/// Takes a peer's frame in.
pub fn take(
    node: &node::Node,
    owners: &mut owners::Owners,
    received: mesh::Received,
    now: model::Timestamp,
) {
    let from = received.from;
    match received.frame {
        frame::Frame::Hello(row) => node.members.lock().record(&row, now),
        frame::Frame::Config(row) => {
            if node.take_config(&row) {
                owners.take_config(&row.content);
            }
        }
        frame::Frame::Routes(set) => {
            node.router.lock().update_routes(&set, now);
        }
        frame::Frame::Demand(demand) => node.router.lock().record_demand(&from, &demand, now),
        frame::Frame::CallCounts(buckets) => node.board.lock().merge(&from, &buckets, now),
        frame::Frame::JobsChanged => owners.stir(),
        frame::Frame::Bye => node.members.lock().remove(&from),
    }
}

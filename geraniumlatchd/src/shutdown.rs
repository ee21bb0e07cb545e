//! A graceful stop: no call in progress is cut off.

use std::{sync, sync::atomic, time};

use gl_peer::frame;
use tokio::signal::unix;

use crate::{control, error, node};

/// How often the calls in progress are counted.
const POLL: time::Duration = time::Duration::from_millis(20);
/// How long no call must have been in progress before the sockets close.
const IDLE: time::Duration = time::Duration::from_millis(200);
/// How long the server may take to close its idle connections.
const STOP_LIMIT: time::Duration = time::Duration::from_secs(2);
/// How long shards may take to be given back.
const RELEASE_LIMIT: time::Duration = time::Duration::from_secs(3);

fn listen(kind: unix::SignalKind) -> Result<unix::Signal, error::Error> {
    unix::signal(kind)
        .map_err(|e| error::Error::Setup { what: "a signal's handler", detail: e.to_string() })
}

/// Watches for signals. SIGTERM and SIGINT ask for a stop; further ones, and SIGHUP, change
/// nothing.
///
/// # Errors
///
/// If the handlers can't be set up.
pub fn watch(node: &sync::Arc<node::Node>) -> Result<(), error::Error> {
    let mut term = listen(unix::SignalKind::terminate())?;
    let mut int = listen(unix::SignalKind::interrupt())?;
    let mut hup = listen(unix::SignalKind::hangup())?;
    let node = sync::Arc::clone(node);
    ntex::rt::spawn(async move {
        loop {
            tokio::select! {
                _ = term.recv() => ask(&node),
                _ = int.recv() => ask(&node),
                _ = hup.recv() => log::info!("signal=SIGHUP state=ignored"),
            }
        }
    });
    Ok(())
}

/// Asks for a stop; asking again changes nothing.
pub fn ask(node: &node::Node) {
    if !node.draining.swap(true, atomic::Ordering::Relaxed) {
        log::info!("daemon={} state=draining", node.me.id);
        node.stop.notify_one();
    }
}

/// Waits for a stop and carries it out: shards go back, new calls are still taken until the
/// balancer has noticed and refused unrun from then on, calls in progress finish, and then the
/// sockets close.
pub async fn run(
    node: &sync::Arc<node::Node>,
    control: control::Handle,
    server: ntex::server::Server,
) {
    node.stop.notified().await;
    let limits = node.settings.limits;
    let noticed = ntex::time::sleep(time::Duration::from_millis(limits.notice_ms));
    control.release(RELEASE_LIMIT).await;
    noticed.await;
    node.closed.store(true, atomic::Ordering::Relaxed);
    finish_calls(node, time::Duration::from_millis(limits.drain_ms)).await;
    node.broadcast(&frame::Frame::CallCounts(node.board.lock().take_changed()));
    node.broadcast(&frame::Frame::Bye);
    let _ = tokio::time::timeout(STOP_LIMIT, server.stop(true)).await;
    log::info!("daemon={} state=stopped", node.me.id);
}

/// Waits until no call has been in progress for a while, or `limit` passes. The server itself is
/// stopped only then, as its own graceful stop ends connections whose calls still run.
async fn finish_calls(node: &node::Node, limit: time::Duration) {
    let until = tokio::time::Instant::now() + limit;
    let mut idle = time::Duration::ZERO;
    while idle < IDLE && tokio::time::Instant::now() < until {
        ntex::time::sleep(POLL).await;
        let calls = node.flight.load(atomic::Ordering::Relaxed);
        idle = if calls == 0 { idle + POLL } else { time::Duration::ZERO };
    }
}

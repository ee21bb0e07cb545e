//! Graceful shutdown, which interrupts no call in progress.

use std::{sync, sync::atomic, time};

use gl_peer::frame;
use tokio::signal::unix;

use crate::{control, error, node};

/// The interval at which the calls in progress are counted.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// The time without any call in progress after which the sockets are closed.
const IDLE_TIME: time::Duration = time::Duration::from_millis(200);
/// The time that the server has to close its idle connections.
const STOP_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// The time that the shards' owners have to release their shards.
const RELEASE_TIMEOUT: time::Duration = time::Duration::from_secs(3);

fn signal_stream(kind: unix::SignalKind) -> Result<unix::Signal, error::Error> {
    unix::signal(kind)
        .map_err(|e| error::Error::Setup { part: "a signal handler", detail: e.to_string() })
}

/// Installs the signal handlers. SIGTERM and SIGINT start a shutdown; repeated ones and SIGHUP have
/// no effect.
///
/// # Errors
///
/// Returns an error if a handler cannot be installed.
pub fn handle_signals(node: &sync::Arc<node::Node>) -> Result<(), error::Error> {
    let mut term = signal_stream(unix::SignalKind::terminate())?;
    let mut int = signal_stream(unix::SignalKind::interrupt())?;
    let mut hup = signal_stream(unix::SignalKind::hangup())?;
    let node = sync::Arc::clone(node);
    ntex::rt::spawn(async move {
        loop {
            tokio::select! {
                _ = term.recv() => request_stop(&node),
                _ = int.recv() => request_stop(&node),
                _ = hup.recv() => log::info!("signal=SIGHUP state=ignored"),
            }
        }
    });
    Ok(())
}

/// Requests a shutdown; repeated requests have no effect.
pub fn request_stop(node: &node::Node) {
    if !node.draining.swap(true, atomic::Ordering::Relaxed) {
        log::info!("daemon={} state=draining", node.me.id);
        node.stop_requested.notify_one();
    }
}

/// Waits for a shutdown request and carries it out.
///
/// It releases the shards, accepts new calls until the load balancer has noticed the shutdown, then
/// refuses them as not run, waits for the calls in progress, and closes the sockets.
pub async fn run(
    node: &sync::Arc<node::Node>,
    control: control::Handle,
    server: ntex::server::Server,
) {
    node.stop_requested.notified().await;
    let limits = node.settings.limits;
    let notice = ntex::time::sleep(time::Duration::from_millis(limits.notice_ms));
    control.release(RELEASE_TIMEOUT).await;
    notice.await;
    node.refuses_calls.store(true, atomic::Ordering::Relaxed);
    drain_calls(node, time::Duration::from_millis(limits.drain_ms)).await;
    node.broadcast(&frame::Frame::CallCounts(node.totals.lock().take_changed()));
    node.broadcast(&frame::Frame::Bye);
    let _ = tokio::time::timeout(STOP_TIMEOUT, server.stop(true)).await;
    log::info!("daemon={} state=stopped", node.me.id);
}

/// Waits until no call has been in progress for [`IDLE_TIME`], or until `limit` has passed. The
/// server is stopped only afterwards because its own graceful stop closes connections with calls in
/// progress.
async fn drain_calls(node: &node::Node, limit: time::Duration) {
    let until = tokio::time::Instant::now() + limit;
    let mut idle = time::Duration::ZERO;
    while idle < IDLE_TIME && tokio::time::Instant::now() < until {
        ntex::time::sleep(POLL_INTERVAL).await;
        let calls = node.in_flight.load(atomic::Ordering::Relaxed);
        idle = if calls == 0 { idle + POLL_INTERVAL } else { time::Duration::ZERO };
    }
}

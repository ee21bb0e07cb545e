//! Graceful shutdown: releases the cell to another daemon and completes the requests in progress.

use std::rc;

use gl_model::time;
use tokio::signal::unix;

use super::{event, lease, node, ownership};
use crate::clock;

/// Time for which new requests are still accepted after the daemon reports that it is draining.
/// Covers two of the load balancer's readiness checks and the connections opened before them.
const NOTICE_PERIOD: time::Span = time::Span::millis(2_600);
/// Time before its forced end at which the process exits by itself.
const EXIT_RESERVE: time::Span = time::Span::millis(700);
/// Time without requests in progress after which the process exits.
const IDLE_PERIOD: time::Span = time::Span::millis(300);
/// Interval at which open requests and pending commits are checked.
const POLL_INTERVAL: std::time::Duration = std::time::Duration::from_millis(20);
/// Time that the owner tries to store its decisions before it gives the cell up.
const FLUSH_TIMEOUT: time::Span = time::Span::millis(600);

/// Waits for SIGTERM and then shuts the daemon down. SIGHUP changes nothing, as all settings hold
/// for the life of a process.
pub async fn run(node: rc::Rc<node::Node>) {
    let signals =
        (unix::signal(unix::SignalKind::terminate()), unix::signal(unix::SignalKind::hangup()));
    let (Ok(mut term), Ok(mut hup)) = signals else {
        let detail = "cannot install the signal handlers".to_owned();
        event::emit(&event::Event::DependencyLost { dependency: "signals", detail });
        return;
    };
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = hup.recv() => event::emit(&event::Event::Reloaded { changed: false }),
        }
    }
    let signalled_at = clock::steady();
    node.is_draining.set(true);
    event::emit(&event::Event::Stopping { signal: "SIGTERM" });
    if let Some(ownership) = node.ownership() {
        release_cell(&node, &ownership).await;
    }
    wait_for_requests(&node, signalled_at).await;
    event::emit(&event::Event::Stopped { open_requests: node.open_requests.get() });
    std::process::exit(0);
}

/// Stores pending decisions, gives the cell up and marks its lease as released, so that another
/// daemon can claim the cell at once.
async fn release_cell(node: &node::Node, ownership: &ownership::Ownership) {
    let until = clock::steady() + FLUSH_TIMEOUT;
    ownership.owner().allow_starts(clock::steady());
    while ownership.owner().has_commit() && clock::steady() < until {
        ownership.commit_wake.notify_one();
        ntex::time::sleep(POLL_INTERVAL).await;
    }
    ownership.step_down("the daemon is shutting down");
    let released = lease::write_lease(node, ownership, 0, true).await;
    node.record_store_result(&released, clock::steady());
}

/// Waits until the notice period is over and no request has been in progress for [`IDLE_PERIOD`], or
/// until the process has to exit.
async fn wait_for_requests(node: &node::Node, signalled_at: time::Timestamp) {
    let limit = signalled_at + time::Span(node.settings.grace.0.saturating_sub(EXIT_RESERVE.0));
    let mut last_busy = clock::steady();
    loop {
        let now = clock::steady();
        if node.open_requests.get() > 0 {
            last_busy = now;
        }
        let is_quiet =
            now.since(last_busy) >= IDLE_PERIOD && now.since(signalled_at) >= NOTICE_PERIOD;
        if is_quiet || now >= limit {
            return;
        }
        ntex::time::sleep(POLL_INTERVAL).await;
    }
}

//! Follows what operators publish, the routing and the emptied failure domains, and keeps the newest
//! version in force. Both are in one table, so that one long poll follows them.

use std::rc;

use gl_model::time;
use gl_platform::cell as platform;

use super::{event, node};
use crate::clock;

/// Time for which the store may hold a long poll for changes. Together with the time-out of the
/// call it is short enough that an unresponsive connection is detected well within the time in
/// which a change has to take effect.
const LONG_POLL_WAIT: time::Span = time::Span::millis(800);
/// Pause after a failed call.
const RETRY_PAUSE: std::time::Duration = std::time::Duration::from_millis(150);

/// Follows the routing for the life of the process.
pub async fn run(node: rc::Rc<node::Node>) {
    let mut failures = 0;
    loop {
        let sent = clock::steady();
        let published = node.platform.directory.published().await;
        node.record_store_result(&published, clock::steady());
        match published {
            Ok(published) => {
                node.emptied.replace(published.emptied);
                apply(&node, published.routing, sent);
                let failure = follow(&node, published.version).await;
                failures = 1;
                log_failure(&node, &failure, failures);
            }
            Err(error) => {
                failures += 1;
                log_failure(&node, &Failure { sent, error }, failures);
            }
        }
        ntex::time::sleep(RETRY_PAUSE).await;
    }
}

/// A call that failed.
struct Failure {
    sent: time::Timestamp,
    error: platform::StoreError,
}

/// Long-polls for changes until a call fails, and returns the failure.
async fn follow(node: &node::Node, mut version: u64) -> Failure {
    loop {
        let sent = clock::steady();
        let changed = node.platform.directory.published_changes(version, LONG_POLL_WAIT).await;
        let now = clock::steady();
        node.record_store_result(&changed, now);
        match changed {
            Ok(changed) => {
                // Without a change, the store has waited before it replied.
                let wait = if changed.is_unchanged { LONG_POLL_WAIT } else { time::Span::ZERO };
                node.emptied.borrow_mut().apply(&changed.emptied);
                apply(node, changed.routing, now.min(sent + wait));
                version = changed.version;
            }
            Err(error) => return Failure { sent, error },
        }
    }
}

/// Puts a routing in force, unless the same or a newer version is in force already. It was the
/// newest at the store at time `at`.
fn apply(node: &node::Node, routing: Option<gl_jobs::queue::Routing>, at: time::Timestamp) {
    node.routing_at.set(Some(at));
    let Some(routing) = routing else { return };
    let previous = node.routing.borrow().as_ref().map(|known| known.version);
    if previous.is_some_and(|previous| previous >= routing.version) {
        return;
    }
    let (version, queues) = (routing.version, routing.queues.len());
    node.routing.replace(Some(rc::Rc::new(routing)));
    node.metrics.routing_version(version);
    event::emit(&event::Event::Routing { version, queues, previous });
}

/// Logs a failed call, the `failures`th in a row.
fn log_failure(node: &node::Node, failure: &Failure, failures: u32) {
    if !failures.is_power_of_two() {
        return;
    }
    let now = clock::steady();
    event::emit(&event::Event::RoutingUnread {
        failures,
        took_ms: now.since(failure.sent).as_millis(),
        age_ms: node.routing_age(now).map(time::Span::as_millis),
        detail: failure.error.to_string(),
    });
}

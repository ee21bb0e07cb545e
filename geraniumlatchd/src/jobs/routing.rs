//! Follows what operators publish, the routing and the emptied failure domains, and keeps the newest
//! version in force. Both are in one table, so that one long poll follows them.

use std::rc;

use gl_jobs::freshness;
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
    let mut follower = Follower::default();
    loop {
        let sent = clock::steady();
        let published = node.platform.directory.published().await;
        let now = clock::steady();
        node.record_store_result(&published, now);
        match published {
            Ok(published) => {
                let waited = time::Span::ZERO;
                let reply = freshness::Reply { sent, clock: published.clock, waited };
                let at = follower.current_at(&node, &reply, now);
                follower.log_unreadable(published.unreadable.as_ref());
                node.emptied.replace(published.emptied);
                apply(&node, published.routing, at);
                let failure = follower.follow(&node, published.version).await;
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

/// What is kept between two reads of what operators publish.
#[derive(Default)]
struct Follower {
    freshness: freshness::Freshness,
    /// Version of the last row that could not be decoded.
    unreadable: Option<u64>,
}

impl Follower {
    /// Long-polls for changes until a call fails, and returns the failure.
    async fn follow(&mut self, node: &node::Node, mut version: u64) -> Failure {
        loop {
            let sent = clock::steady();
            let is_loose = self.freshness.is_loose();
            let wait = if is_loose { time::Span::ZERO } else { LONG_POLL_WAIT };
            let changed = node.platform.directory.published_changes(version, wait).await;
            let now = clock::steady();
            node.record_store_result(&changed, now);
            match changed {
                Ok(changed) => {
                    // Without a change, the store has waited before it replied.
                    let waited = if changed.is_unchanged { wait } else { time::Span::ZERO };
                    let reply = freshness::Reply { sent, clock: changed.clock, waited };
                    let at = self.current_at(node, &reply, now);
                    self.log_unreadable(changed.unreadable.as_ref());
                    node.emptied.borrow_mut().apply(&changed.emptied);
                    apply(node, changed.routing, at);
                    version = changed.version;
                }
                Err(error) => return Failure { sent, error },
            }
        }
    }

    fn current_at(
        &mut self,
        node: &node::Node,
        reply: &freshness::Reply,
        now: time::Timestamp,
    ) -> time::Timestamp {
        self.freshness.current_at(reply, node.settings.owner.clock_drift, now)
    }

    /// Logs a configuration that cannot be decoded, once for each version. The previous one stays in
    /// force.
    fn log_unreadable(&mut self, unreadable: Option<&platform::Unreadable>) {
        let Some(platform::Unreadable { version, detail }) = unreadable else { return };
        if self.unreadable.replace(*version) != Some(*version) {
            let detail = format!("version {version}: {detail}");
            event::emit(&event::Event::Unreadable { row: "config", detail });
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

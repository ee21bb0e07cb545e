//! Follows the published routing and keeps its newest version in force.

use std::rc;

use gl_model::time;

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
    loop {
        let published = node.platform.directory.routing().await;
        node.record_store_result(&published, clock::steady());
        let Ok(published) = published else {
            ntex::time::sleep(RETRY_PAUSE).await;
            continue;
        };
        apply(&node, published.routing);
        follow(&node, published.version).await;
        ntex::time::sleep(RETRY_PAUSE).await;
    }
}

/// Long-polls for changes until a call fails.
async fn follow(node: &node::Node, mut version: u64) {
    loop {
        let changed = node.platform.directory.routing_changed(version, LONG_POLL_WAIT).await;
        node.record_store_result(&changed, clock::steady());
        let Ok(changed) = changed else { return };
        apply(node, changed.routing);
        version = changed.version;
    }
}

/// Puts a routing in force, unless the same or a newer version is in force already.
fn apply(node: &node::Node, routing: Option<gl_jobs::queue::Routing>) {
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

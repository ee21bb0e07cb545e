//! The time of day on which the daemons agree: each tells the owner its own with its heartbeats, and
//! gets the agreed one with the replies.

use gl_jobs::{owner, wall_clock};
use gl_model::time;

use super::{mesh, node, ownership};
use crate::clock;

impl ownership::Ownership {
    /// Updates the time of day on which the daemons agree.
    pub(super) fn update_wall_clock(&self) {
        let own = owner::Moment { now: clock::steady(), wall: clock::now() };
        let mut wall_clock = self.wall_clock.borrow_mut();
        self.node.agreed.set(Some(wall_clock.agree(&own)));
        self.owner.borrow_mut().set_wall_settled(wall_clock.is_settled(own.now));
    }
}

impl node::Node {
    /// Returns the present time by the steady clock, and the agreed time of day. Before this daemon
    /// has heard of an agreement, that is its own.
    pub fn moment(&self) -> owner::Moment {
        let now = clock::steady();
        let wall = self.agreed.get().map_or_else(clock::now, |agreed| agreed.wall(now));
        owner::Moment { now, wall }
    }

    /// Takes the agreed time of day over from the prompt reply to a heartbeat that was sent at `sent`.
    pub(super) fn adopt_agreement(&self, reply: Option<&mesh::Response>, sent: time::Timestamp) {
        if let Some(mesh::Response::Confirmed { wall, readings, .. }) = reply {
            self.agreed.set(Some(wall_clock::Agreed::reported(*wall, *readings, sent)));
        }
    }
}

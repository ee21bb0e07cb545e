//! The membership view of a daemon: the daemons in it, and which of them count as alive.

use gl_model::{daemon, id, table, time};

/// The time after its last heartbeat for which a daemon counts as alive.
pub const ALIVE_TIMEOUT: time::Span = time::Span::seconds(5);
/// The time after its last heartbeat for which a daemon is kept in the view, so that its address
/// can still be used as a contact.
pub const RETENTION: time::Span = time::Span::seconds(120);

#[derive(Clone, Debug)]
struct Member {
    row: daemon::Row,
    last_heartbeat: time::Timestamp,
}

/// The membership view: the latest row of each daemon, and the time of its last heartbeat.
#[derive(Clone, Debug, Default)]
pub struct View {
    members: table::Table<id::DaemonId, Member>,
}

impl View {
    /// Records the row of a daemon, which was read from the table service or received over the
    /// mesh. A row whose heartbeat is not newer than the recorded one is ignored.
    pub fn record(&mut self, row: &daemon::Row, last_heartbeat: time::Timestamp) {
        let latest = Member { row: row.clone(), last_heartbeat };
        match self.members.get_mut(&row.id) {
            Some(member) if member.last_heartbeat >= last_heartbeat => {}
            Some(member) => *member = latest,
            None => {
                self.members.put(row.id.clone(), latest);
            }
        }
    }

    /// Removes a daemon that announced that it stops.
    pub fn remove(&mut self, daemon: &id::DaemonId) {
        self.members.remove(daemon);
    }

    /// Removes daemons whose last heartbeat is older than [`RETENTION`].
    pub fn expire(&mut self, now: time::Timestamp) {
        self.members.retain(|_, member| now.since(member.last_heartbeat) <= RETENTION);
    }

    /// Returns the daemons with a heartbeat within [`ALIVE_TIMEOUT`], in the order of their ids.
    pub fn alive(&self, now: time::Timestamp) -> Vec<&daemon::Row> {
        let is_alive = |member: &&Member| now.since(member.last_heartbeat) <= ALIVE_TIMEOUT;
        self.members.iter().map(|(_, member)| member).filter(is_alive).map(|m| &m.row).collect()
    }

    /// Returns all daemons in the view, alive or not.
    pub fn known(&self) -> Vec<&daemon::Row> {
        self.members.iter().map(|(_, member)| &member.row).collect()
    }
}

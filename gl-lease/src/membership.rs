//! Which daemons are alive, as far as this one knows.

use gl_model::{daemon, id, table, time};

/// How long a daemon counts as alive after its last sign of life.
pub const TIMEOUT: time::Span = time::Span::seconds(5);
/// How long a silent daemon is remembered, so that its address serves as a contact.
pub const MEMORY: time::Span = time::Span::seconds(120);

#[derive(Clone, Debug)]
struct Member {
    row: daemon::Row,
    heard: time::Timestamp,
}

/// The daemons that are known.
#[derive(Clone, Debug, Default)]
pub struct View {
    members: table::Table<id::DaemonId, Member>,
}

impl View {
    /// Notes a daemon's row, read from the table service or received over the mesh.
    pub fn note(&mut self, row: &daemon::Row, heard: time::Timestamp) {
        let fresh = Member { row: row.clone(), heard };
        match self.members.get_mut(&row.id) {
            Some(member) if member.heard >= heard => {}
            Some(member) => *member = fresh,
            None => {
                self.members.put(row.id.clone(), fresh);
            }
        }
    }

    /// Forgets a daemon that said that it stops.
    pub fn forget(&mut self, daemon: &id::DaemonId) {
        self.members.remove(daemon);
    }

    /// Drops daemons that were silent for longer than [`MEMORY`].
    pub fn expire(&mut self, now: time::Timestamp) {
        self.members.retain(|_, member| now.since(member.heard) <= MEMORY);
    }

    /// The daemons that gave a sign of life within [`TIMEOUT`], in the order of their ids.
    pub fn alive(&self, now: time::Timestamp) -> Vec<&daemon::Row> {
        let fresh = |member: &&Member| now.since(member.heard) <= TIMEOUT;
        self.members.iter().map(|(_, member)| member).filter(fresh).map(|m| &m.row).collect()
    }

    /// All daemons that are remembered.
    pub fn known(&self) -> Vec<&daemon::Row> {
        self.members.iter().map(|(_, member)| &member.row).collect()
    }
}

//! What the owner follows from outside the cell: the list of workers, the emptied failure
//! domains, the stored roster, and the replies of workers.

pub(in crate::owner) mod acknowledgements;
pub(in crate::owner) mod domains;
pub(in crate::owner) mod lifetime_notes;
pub(in crate::owner) mod lifetimes;
pub(in crate::owner) mod open_polls;
pub(in crate::owner) mod polls;
pub(in crate::owner) mod roster;
pub(in crate::owner) mod second_runs;
pub(in crate::owner) mod unread;

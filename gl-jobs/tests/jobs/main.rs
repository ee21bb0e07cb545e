//! Tests of the owner's decisions. There are no sockets and no clocks: inputs carry the time.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "tests")]

mod cell;
mod fleet;

mod colocation;
mod commits;
mod cost;
mod crashes;
mod domains;
mod election;
mod identity;
mod interference;
mod leases;
mod orders;
mod phases;
mod placement;
mod recovery;
mod roster;
mod routing;
mod throttle;

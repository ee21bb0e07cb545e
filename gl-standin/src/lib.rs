//! Test doubles for the components around the daemons, with faults that are injected over HTTP.
//!
//! * [`platform`] serves tables, objects and the list of VMs from memory ([`store`]).
//! * [`worker`] is a worker's agent together with its tasks, which serve calls; [`runs`] holds what
//!   it records and the checks on these records.
//! * [`caller`] sends calls and checks every response.
//! * [`crowd`] opens many connections at once that send requests in part and stay open.
//! * [`fleet`] stands in for the users' platform, whose protocol `geraniumlatchd --hosted` speaks.
//! * [`cluster`] starts the stand-ins and the daemons as processes ([`process`]) on loopback.
//!
//! The crate is not part of a release.

pub mod caller;
pub mod cluster;
pub mod crowd;
pub mod fleet;
pub mod http;
pub mod platform;
pub mod process;
pub mod runs;
pub mod store;
pub mod worker;

//! Simulation runs of the owner's decisions in virtual time.

pub mod faults;
mod handover;
mod scenarios;

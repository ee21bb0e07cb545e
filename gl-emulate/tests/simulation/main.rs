//! Plays of the owner's decisions in virtual time.

pub mod faults;
mod patterns;

pub mod bench;

mod cost;
mod faults;
mod learning;
mod plans;
mod promises;
pub mod replay;
mod traces;

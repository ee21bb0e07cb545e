pub mod harness;

mod cost;
mod faults;
mod learning;
mod owner;
mod plans;
pub mod replay;
mod traces;

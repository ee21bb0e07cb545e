pub mod bench;

mod faults;
mod learning;
mod plans;
mod promises;

pub mod simulation;

mod draining;
mod outcome;
mod router;
mod under_load;

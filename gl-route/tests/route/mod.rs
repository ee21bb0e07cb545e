pub mod fake;

mod ending;
mod leaving;
mod load;
mod router;

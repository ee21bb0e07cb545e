//! What happens to calls: rules one by one, and policies under load in virtual time.

#[path = "route/mod.rs"]
mod route;

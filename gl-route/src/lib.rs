//! Routing of one call: admission, choice of a backend server, retries, and outcome.
//!
//! The [`router::Router`] holds the routing tables of one daemon. Its functions take the current
//! time as an argument and do no I/O, so they run the same in virtual time and in a daemon.
//!
//! ```
//! use gl_model::{id, time};
//! use gl_route::{call, router};
//!
//! let now = time::Timestamp(0);
//! let mut router = router::Router::new(router::Settings::default());
//! let call = call::Call {
//!     id: id::CallId::from("c1"),
//!     service: id::JobId::from("nothing"),
//!     deadline: now + time::Span::millis(100),
//!     repeat: gl_model::call::Repeat::Safe,
//! };
//! assert!(matches!(router.admit(&call, now), call::Decision::Refuse(_)));
//! ```

pub mod backend;
pub mod balancer;
pub mod call;
pub mod demand;
pub mod draining;
pub mod outcome;
pub mod retry_budget;
pub mod router;
pub mod service;

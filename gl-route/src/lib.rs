//! What happens to one call: admission, choice of a backend server, retries, and its outcome.
//!
//! The [`router::Router`] holds the tables of one daemon. Its functions decide from the time
//! that they are given and never do I/O, so they run in virtual time as they run in a daemon.
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
//! assert!(matches!(router.admit(&call, now), call::Verdict::Refuse(_)));
//! ```

pub mod backend;
pub mod budget;
pub mod call;
pub mod choice;
pub mod ending;
pub mod leaving;
pub mod router;
pub mod service;
pub mod share;

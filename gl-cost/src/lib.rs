//! What callers lose if their jobs are delayed, how scarce the capacity of a service is, and which
//! waiting jobs are served next by right rather than by cost.
//!
//! Everything here is a function of its arguments or a small state machine; nothing reads a clock or
//! does I/O.
//!
//! ```
//! use gl_cost::loss;
//! use gl_model::time;
//!
//! let now = time::Timestamp(0);
//! let urgent = loss::Outlook {
//!     work: 10.0,
//!     path: time::Span::seconds(1),
//!     objective: time::Span::seconds(2),
//!     deadline: now + time::Span::seconds(2),
//!     ..loss::Outlook::default()
//! };
//! let relaxed = loss::Outlook { deadline: now + time::Span::seconds(20), ..urgent };
//! let wait = time::Span::seconds(2);
//! assert!(urgent.loss(now, wait).rate > relaxed.loss(now, wait).rate);
//! ```

pub mod ledger;
pub mod level;
pub mod loss;
pub mod rate;
pub mod summary;
pub mod turns;

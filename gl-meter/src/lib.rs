//! Counts of calls by outcome, burn rates of error budgets over all daemons, and exported metrics.
//!
//! ```
//! use gl_meter::counts;
//! use gl_model::time;
//!
//! let mut counts = counts::Counts::default();
//! counts.add(counts::Class::Good, None);
//! assert_eq!(counts.total(), 1);
//! ```

pub mod burn;
pub mod burn_text;
pub mod counts;
pub mod export;
pub mod jobs;
pub mod metrics;
pub mod totals;

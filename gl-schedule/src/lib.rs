//! Placement, reservations, interference, eviction and resumption of tasks, and plans for intents.
//!
//! The state of one shard is a [`state::Shard`] of entity tables. The [`owner::Owner`] runs the
//! systems of [`system`] over it each tick. It takes inputs, returns actions and has no other side
//! effects. The same inputs at the same times give the same actions, so a recorded trace can be
//! replayed.
//!
//! ```
//! use gl_schedule::estimate;
//! use gl_model::{id, size};
//!
//! let estimates = estimate::Estimates::default();
//! let declared = size::Size { cores: 1_000, memory: 500, accelerators: 0 };
//! assert_eq!(estimates.size(&id::KindId::from("report"), &declared), declared);
//! ```

pub mod estimate;
pub mod interference;
pub mod owner;
pub mod placer;
pub mod plan;
mod rows;
pub mod state;
pub mod system;

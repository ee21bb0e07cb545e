//! Reads and validates YAML settings and intents; errors name the place in the file and the remedy.
//!
//! ```
//! let text = "daemon: entry-1\ndomain: bangkok\nlisten: 127.0.0.1:0\nmesh: 127.0.0.1:0\n\
//!             platform: [127.0.0.1:7000]\noperator-key: 0123456789abcdef\n";
//! let settings = gl_config::daemon::parse("daemon.yaml", text);
//! assert_eq!(settings.map(|s| s.domain.0), Ok("bangkok".to_owned()));
//! ```

pub mod daemon;
mod error;
pub mod intent;
mod parse;
pub mod shared;

pub use error::Error;

//! The operators' command-line client.
//!
//! [`program`] parses the command line, [`api`] sends requests to the daemons, [`command`] contains
//! one module per subcommand, and [`output`] prints results.
//!
//! ```
//! let code = geraniumlatch::program::main(&["--version".to_owned()]);
//! assert_eq!(code, std::process::ExitCode::SUCCESS);
//! ```

pub mod api;
pub mod command;
pub mod error;
pub mod output;
pub mod program;

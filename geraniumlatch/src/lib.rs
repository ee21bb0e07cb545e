//! The operators' command-line client.
//!
//! [`program`] reads the command line, [`api`] talks to the daemons, [`command`] holds one module
//! per subcommand, and [`text`] prints.
//!
//! ```
//! let code = geraniumlatch::program::main(&["--version".to_owned()]);
//! assert_eq!(code, std::process::ExitCode::SUCCESS);
//! ```

pub mod api;
pub mod command;
pub mod error;
pub mod program;
pub mod text;

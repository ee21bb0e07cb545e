//! Errors that end the program.

use std::{net, process};

/// The exit code of the process after an error while running.
pub const EXIT_FAULT: u8 = 1;

/// An error that ends the program.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum Error {
    /// The command line is invalid.
    #[error("{detail}")]
    #[diagnostic(help("run `geraniumlatchd --help` for all options"))]
    Usage {
        /// The invalid part of the command line.
        detail: String,
    },
    /// The settings file is invalid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] gl_config::Error),
    /// The settings file written by the users' platform is invalid.
    #[error(transparent)]
    #[diagnostic(help("correct the file that the platform writes for this process"))]
    Hosted(#[from] gl_fleet::settings::Error),
    /// The daemon cannot listen on an address.
    #[error("cannot listen on {address} (`{field}`): {detail}")]
    #[diagnostic(help(
        "set `{field}` to a free port of this VM, or stop the program that uses it"
    ))]
    Listen {
        /// The settings field that contains the address.
        field: &'static str,
        /// The address.
        address: net::SocketAddr,
        /// The error of the operating system.
        detail: String,
    },
    /// Neither the platform nor a peer can be reached.
    #[error("neither the platform nor a peer can be reached: {detail}")]
    #[diagnostic(help(
        "check the addresses under `platform` and `peers`, and that one of them is up"
    ))]
    Unreachable {
        /// The error of the last attempt to reach the platform.
        detail: String,
    },
    /// A part of the process cannot be set up.
    #[error("cannot set up {part}: {detail}")]
    #[diagnostic(help("check the limits of the process (open files, memory) and start it again"))]
    Setup {
        /// The part, as named in the message.
        part: &'static str,
        /// The cause.
        detail: String,
    },
}

/// Reports an error and ends the process. For server threads, whose set-up has no result that could
/// carry the error.
pub fn exit<T>(error: Error) -> T {
    eprintln!("{:?}", miette::Report::new(error));
    process::exit(i32::from(EXIT_FAULT))
}

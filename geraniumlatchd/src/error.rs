//! Why the daemon doesn't start.

use std::net;

/// The error that ends the program.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum Error {
    /// The command line is wrong.
    #[error("{detail}")]
    #[diagnostic(help("run `geraniumlatchd --help` for all options"))]
    Usage {
        /// What is wrong.
        detail: String,
    },
    /// The settings are wrong.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] gl_config::Error),
    /// The settings that the users' platform has written are wrong.
    #[error(transparent)]
    #[diagnostic(help("correct the file that the platform writes for this process"))]
    Hosted(#[from] gl_fleet::settings::Error),
    /// An address can't be listened on.
    #[error("can't listen on {address} (`{field}`): {detail}")]
    #[diagnostic(help(
        "set `{field}` to a free port of this VM, or stop the program that uses it"
    ))]
    Listen {
        /// The field of the settings.
        field: &'static str,
        /// The address.
        address: net::SocketAddr,
        /// What the system said.
        detail: String,
    },
    /// Neither the platform nor a peer can be reached.
    #[error("neither the platform nor a peer can be reached: {detail}")]
    #[diagnostic(help(
        "check the addresses under `platform` and `peers`, and that one of them is up"
    ))]
    Unreachable {
        /// What the platform's client said.
        detail: String,
    },
    /// A part of the process can't be set up.
    #[error("{part} can't be set up: {detail}")]
    #[diagnostic(help("check the limits of the process (open files, memory) and start it again"))]
    Setup {
        /// The part.
        part: &'static str,
        /// What it said.
        detail: String,
    },
}

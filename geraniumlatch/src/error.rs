//! Errors of commands, with their exit codes.

/// The error that ends the program.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum Error {
    /// The command line is invalid.
    #[error("{detail}")]
    #[diagnostic(help("run `geraniumlatch --help` for all commands and options"))]
    Usage {
        /// The problem.
        detail: String,
    },
    /// A file cannot be read or is invalid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    File(#[from] gl_config::Error),
    /// No daemon responded.
    #[error("no daemon responded: {detail}")]
    #[diagnostic(help("check the addresses given by `--server`, and that a daemon is up"))]
    Unreachable {
        /// The error of each daemon.
        detail: String,
    },
    /// The response to a change was lost.
    #[error("the response was lost: {detail}")]
    #[diagnostic(help(
        "the change may be in force; check `geraniumlatch status` before repeating it"
    ))]
    ResponseLost {
        /// The error of the request.
        detail: String,
    },
    /// The daemon refused the request.
    #[error("{message}")]
    Refused {
        /// The message of the daemon, with the remedy.
        message: String,
    },
    /// An intent cannot be met in full.
    #[error("the intent cannot be met: {detail}")]
    #[diagnostic(help(
        "nothing was changed; correct the intent, or confirm plan `{plan}` without those tasks"
    ))]
    Unmet {
        /// The identity of the plan.
        plan: String,
        /// The tasks that cannot be placed, the reasons, and the remedies.
        detail: String,
    },
    /// The state has changed since the request was prepared.
    #[error("stale: {message}")]
    #[diagnostic(help("nothing was changed"))]
    Stale {
        /// The message of the daemon, with the remedy.
        message: String,
    },
    /// The operator did not confirm.
    #[error("not confirmed; nothing was changed")]
    #[diagnostic(help("answer `yes` at the prompt, or give `--yes`"))]
    Unconfirmed,
    /// A change did not take effect on all daemons within the time-out.
    #[error("not complete after {seconds} s: {state}")]
    #[diagnostic(help("check `geraniumlatch status`; give a longer `--wait`"))]
    TimedOut {
        /// The time-out.
        seconds: u64,
        /// The state at the end.
        state: String,
    },
}

impl Error {
    /// Returns the exit code.
    pub const fn code(&self) -> u8 {
        match self {
            Self::Refused { .. } => 1,
            Self::Usage { .. } | Self::File(_) => 2,
            Self::Unreachable { .. } => 3,
            Self::Stale { .. } => 4,
            Self::Unconfirmed => 5,
            Self::TimedOut { .. } => 6,
            Self::ResponseLost { .. } => 7,
            Self::Unmet { .. } => 8,
        }
    }
}

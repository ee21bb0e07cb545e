//! Why a command fails, and the exit code that says so.

/// The error that ends the program.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum Error {
    /// The command line is wrong.
    #[error("{detail}")]
    #[diagnostic(help("run `geraniumlatch --help` for all commands and options"))]
    Usage {
        /// What is wrong.
        detail: String,
    },
    /// A file is wrong.
    #[error(transparent)]
    #[diagnostic(transparent)]
    File(#[from] gl_config::Error),
    /// No daemon answers.
    #[error("no daemon answers: {detail}")]
    #[diagnostic(help("check the addresses given by `--server`, and that a daemon is up"))]
    Unreachable {
        /// What each one ended with.
        detail: String,
    },
    /// The answer of a change was lost.
    #[error("the answer was lost: {detail}")]
    #[diagnostic(help(
        "the change may be in force; look at `geraniumlatch status` before repeating it"
    ))]
    Open {
        /// What was seen.
        detail: String,
    },
    /// The daemon refused.
    #[error("{message}")]
    Refused {
        /// What it said, with the remedy.
        message: String,
    },
    /// An intent can't be met as it stands.
    #[error("the intent can't be met: {detail}")]
    #[diagnostic(help(
        "nothing was changed; correct the intent, or confirm plan `{plan}` without those tasks"
    ))]
    Unmet {
        /// The plan.
        plan: String,
        /// Which tasks, why, and what to do.
        detail: String,
    },
    /// The state has changed.
    #[error("stale: {message}")]
    #[diagnostic(help("nothing was changed"))]
    Stale {
        /// What it said, with the remedy.
        message: String,
    },
    /// The operator didn't confirm.
    #[error("not confirmed; nothing was changed")]
    #[diagnostic(help("answer `yes` at the prompt, or give `--yes`"))]
    Unconfirmed,
    /// What was waited for didn't come.
    #[error("not yet after {seconds} s: {what}")]
    #[diagnostic(help("look at `geraniumlatch status`; give a longer `--wait`"))]
    Waited {
        /// How long.
        seconds: u64,
        /// What was waited for.
        what: String,
    },
}

impl Error {
    /// The exit code.
    pub const fn code(&self) -> u8 {
        match self {
            Self::Refused { .. } => 1,
            Self::Usage { .. } | Self::File(_) => 2,
            Self::Unreachable { .. } => 3,
            Self::Stale { .. } => 4,
            Self::Unconfirmed => 5,
            Self::Waited { .. } => 6,
            Self::Open { .. } => 7,
            Self::Unmet { .. } => 8,
        }
    }
}

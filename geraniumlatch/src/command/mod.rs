//! The subcommands.

pub mod burn;
pub mod config;
pub mod drain;
pub mod plans;
pub mod status;

use crate::{api, error::Error, program};

/// What the command line asks for.
pub enum Command {
    /// Make a plan for a file of intents.
    Submit {
        /// The file.
        file: String,
    },
    /// List all plans.
    Plans,
    /// Print a plan.
    Plan {
        /// Its identity.
        id: String,
    },
    /// Put a plan in force.
    Confirm {
        /// Its identity.
        id: String,
    },
    /// Make a plan that cancels jobs.
    Cancel {
        /// Their names.
        jobs: Vec<String>,
    },
    /// Print what runs where.
    Status,
    /// Print the shared configuration.
    ConfigShow,
    /// Check a file of the shared configuration.
    ConfigCheck {
        /// The file.
        file: String,
    },
    /// Accept a file as the shared configuration.
    ConfigApply {
        /// The file.
        file: String,
    },
    /// List the accepted configurations.
    ConfigHistory,
    /// Keep a VM from new work.
    DrainVm {
        /// The VM.
        vm: String,
    },
    /// Let a VM have new work again.
    DrainUndo {
        /// The VM.
        vm: String,
    },
    /// Stop a daemon gracefully.
    DrainDaemon,
    /// Print the burn report.
    Burn,
}

/// Reads the words of the command line.
///
/// # Errors
///
/// If they are no command.
pub fn parse(words: &[String]) -> Result<Command, Error> {
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let own = |word: &str| word.to_owned();
    Ok(match words.as_slice() {
        ["submit", file] => Command::Submit { file: own(file) },
        ["plans"] => Command::Plans,
        ["plan", id] => Command::Plan { id: own(id) },
        ["confirm", id] => Command::Confirm { id: own(id) },
        ["cancel", first, rest @ ..] => {
            let jobs = std::iter::once(first)
                .chain(rest)
                .map(|word| own(word))
                .collect();
            Command::Cancel { jobs }
        }
        ["status"] => Command::Status,
        ["config", "show"] => Command::ConfigShow,
        ["config", "check", file] => Command::ConfigCheck { file: own(file) },
        ["config", "apply", file] => Command::ConfigApply { file: own(file) },
        ["config", "history"] => Command::ConfigHistory,
        ["drain", "vm", vm] => Command::DrainVm { vm: own(vm) },
        ["drain", "undo", vm] => Command::DrainUndo { vm: own(vm) },
        ["drain", "daemon"] => Command::DrainDaemon,
        ["burn"] => Command::Burn,
        [] => {
            return Err(Error::Usage {
                detail: "no command is given".to_owned(),
            });
        }
        _ => {
            let detail = format!("`{}` is no command", words.join(" "));
            return Err(Error::Usage { detail });
        }
    })
}

/// Carries a command out.
///
/// # Errors
///
/// If it fails; the error's code is the program's exit code.
pub async fn run(
    api: &api::Api,
    options: &program::Options,
    command: Command,
) -> Result<(), Error> {
    match command {
        Command::Submit { file } => plans::submit(api, options, &file).await,
        Command::Plans => plans::list(api, options).await,
        Command::Plan { id } => plans::show(api, options, &id).await,
        Command::Confirm { id } => plans::confirm(api, options, &id).await,
        Command::Cancel { jobs } => plans::cancel(api, options, &jobs).await,
        Command::Status => status::run(api, options).await,
        Command::ConfigShow => config::show(api).await,
        Command::ConfigCheck { file } => config::check(&file),
        Command::ConfigApply { file } => config::apply(api, options, &file).await,
        Command::ConfigHistory => config::history(api, options).await,
        Command::DrainVm { vm } => drain::vm(api, &vm).await,
        Command::DrainUndo { vm } => drain::undo(api, &vm).await,
        Command::DrainDaemon => drain::daemon(api, options).await,
        Command::Burn => burn::run(api, options).await,
    }
}

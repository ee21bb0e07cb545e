//! The subcommands: their parsing, their help and their dispatch.

pub mod burn;
pub mod config;
pub mod drain;
pub mod plans;
pub mod status;

use crate::{api, error::Error, program};

/// A command with its arguments.
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
    /// Print the jobs, workers, daemons and shards.
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
    /// Exclude a VM from new work.
    DrainVm {
        /// The VM.
        vm: String,
    },
    /// Allow new work on a VM again.
    DrainUndo {
        /// The VM.
        vm: String,
    },
    /// Stop a daemon gracefully.
    DrainDaemon,
    /// Print the burn report.
    Burn,
}

/// Returns the help of a command; none if the first word is not a command.
pub fn help(words: &[String]) -> Option<&'static str> {
    Some(match words.first()?.as_str() {
        "submit" => {
            "Usage: geraniumlatch submit FILE\n\n\
             Makes a plan for the intents of a YAML file, stores it and prints which tasks would\n\
             run where, be evicted or wait, and which cannot be placed and why.\n\
             Nothing changes before `geraniumlatch confirm`."
        }
        "plans" => "Usage: geraniumlatch plans\n\nLists all plans with their states.",
        "plan" => "Usage: geraniumlatch plan ID\n\nPrints one plan.",
        "confirm" => {
            "Usage: geraniumlatch confirm ID\n\n\
             Puts a plan in force if the state from which it was made is unchanged. Otherwise\n\
             nothing changes, a new plan is printed, and the exit code is 4. Prompts for\n\
             confirmation on a terminal; without a terminal, `--yes` must be given."
        }
        "cancel" => {
            "Usage: geraniumlatch cancel JOB...\n\n\
             Makes a plan that cancels jobs and prints it. Services drain before they stop."
        }
        "status" => "Usage: geraniumlatch status\n\nPrints the jobs, workers, daemons and shards.",
        "config" => {
            "Usage: geraniumlatch config show | check FILE | apply FILE | history\n\n\
             Prints, checks or changes the shared configuration. `apply` accepts a file as the\n\
             next number, then waits and prints on how many daemons it is in force."
        }
        "drain" => {
            "Usage: geraniumlatch drain vm VM | undo VM | daemon\n\n\
             Excludes a VM from new work and moves its tasks away, allows new work on it again,\n\
             or gracefully stops the daemon given by --server."
        }
        "burn" => {
            "Usage: geraniumlatch burn\n\n\
             Prints, for each service, its objective, the error budget left, the burn rate over\n\
             5 min, 30 min, 1 h and 6 h, the state of its alerts, and the bad calls by cause and\n\
             VM."
        }
        _ => return None,
    })
}

/// Parses the words of the command line.
///
/// # Errors
///
/// Returns an error if they are not a command.
pub fn parse(words: &[String]) -> Result<Command, Error> {
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let own = |word: &str| word.to_owned();
    Ok(match words.as_slice() {
        ["submit", file] => Command::Submit { file: own(file) },
        ["plans"] => Command::Plans,
        ["plan", id] => Command::Plan { id: own(id) },
        ["confirm", id] => Command::Confirm { id: own(id) },
        ["cancel", first, rest @ ..] => {
            let jobs = std::iter::once(first).chain(rest).map(|word| own(word)).collect();
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
            return Err(Error::Usage { detail: "no command is given".to_owned() });
        }
        _ => {
            let detail = format!("`{}` is not a command", words.join(" "));
            return Err(Error::Usage { detail });
        }
    })
}

/// Runs a command.
///
/// # Errors
///
/// Returns an error if the command fails; the code of the error is the exit code of the program.
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

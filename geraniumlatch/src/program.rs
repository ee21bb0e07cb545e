//! Parses the command line and runs the command.

use std::{net, process};

use crate::{api, command, error::Error, output};

const USAGE: &str = "Usage: geraniumlatch [OPTIONS] COMMAND\n\n\
Commands:\n\
    submit FILE          make a plan for the intents of a YAML file and print it\n\
    plans                list all plans\n\
    plan ID              print a plan\n\
    confirm ID           put a plan in force\n\
    cancel JOB...        make a plan that cancels jobs and print it\n\
    status               print the jobs, workers, daemons and shards\n\
    config show          print the shared configuration\n\
    config check FILE    check a file of the shared configuration\n\
    config apply FILE    accept a file as the shared configuration\n\
    config history       list the accepted configurations\n\
    drain vm VM          exclude a VM from new work and move its tasks away\n\
    drain undo VM        allow new work on a VM again\n\
    drain daemon         stop the daemon given by --server gracefully\n\
    burn                 print the burn report of the services' error budgets\n\n\
Exit codes: 0 done, 1 refused, 2 invalid arguments or file, 3 no daemon responded,\n\
    4 stale, 5 not confirmed, 6 not complete after --wait, 7 response lost, 8 intent not met";
const DEFAULT_SERVER: &str = "127.0.0.1:8080";
const SERVER_VARIABLE: &str = "GERANIUMLATCH_SERVER";
const KEY_VARIABLE: &str = "GERANIUMLATCH_KEY";
const DEFAULT_WAIT_SECONDS: u64 = 30;

/// Options that all commands share.
pub struct Options {
    /// The output format.
    pub format: output::Format,
    /// True if changes are confirmed without a prompt.
    pub assume_yes: bool,
    /// The longest wait until a change is in force on all daemons, in seconds.
    pub wait: u64,
}

/// Runs the program and returns its exit code.
pub fn main(arguments: &[String]) -> process::ExitCode {
    match run(arguments) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            let code = error.code();
            eprintln!("{:?}", miette::Report::new(error));
            process::ExitCode::from(code)
        }
    }
}

fn options() -> getopts::Options {
    let mut options = getopts::Options::new();
    options.optflag("h", "help", "print this text");
    options.optflag("V", "version", "print the version");
    options.optmulti(
        "s",
        "server",
        "the address of a daemon; further ones are tried in turn",
        "IP:PORT",
    );
    options.optopt("k", "key-file", "a file with the operators' key", "FILE");
    options.optopt("f", "format", "`text` or `json`", "FORMAT");
    options.optflag("y", "yes", "confirm without a prompt");
    options.optopt("w", "wait", "the longest wait until a change is in force", "SECONDS");
    options
}

fn usage_error(detail: String) -> Error {
    Error::Usage { detail }
}

fn run(arguments: &[String]) -> Result<(), Error> {
    let options = options();
    let matches = options.parse(arguments).map_err(|e| usage_error(e.to_string()))?;
    if matches.opt_present("help") {
        output::line(format_args!(
            "{}",
            options.usage(command::help(&matches.free).unwrap_or(USAGE))
        ));
        return Ok(());
    }
    if matches.opt_present("version") {
        output::line(format_args!("geraniumlatch {}", env!("CARGO_PKG_VERSION")));
        return Ok(());
    }
    let common = common_options(&matches)?;
    let command = command::parse(&matches.free)?;
    if let command::Command::ConfigCheck { file } = &command {
        return command::config::check(file);
    }
    let servers = servers(&matches)?;
    let key = key(&matches)?;
    let system = ntex::rt::System::new("geraniumlatch", ntex::rt::DefaultRuntime);
    system.block_on(async move {
        let api = api::Api::new(servers, key).await;
        command::run(&api, &common, command).await
    })
}

fn common_options(matches: &getopts::Matches) -> Result<Options, Error> {
    let format = match matches.opt_str("format").as_deref() {
        None | Some("text") => output::Format::Text,
        Some("json") => output::Format::Json,
        Some(other) => {
            return Err(usage_error(format!("`{other}` is not a format; give `text` or `json`")));
        }
    };
    let wait = match matches.opt_str("wait") {
        None => DEFAULT_WAIT_SECONDS,
        Some(text) => {
            text.parse().map_err(|_| usage_error(format!("`{text}` is not a number of seconds")))?
        }
    };
    Ok(Options { format, assume_yes: matches.opt_present("yes"), wait })
}

fn servers(matches: &getopts::Matches) -> Result<Vec<net::SocketAddr>, Error> {
    let mut given = matches.opt_strs("server");
    if given.is_empty() {
        given = std::env::var(SERVER_VARIABLE).into_iter().collect();
    }
    if given.is_empty() {
        given.push(DEFAULT_SERVER.to_owned());
    }
    let all = given.iter().flat_map(|list| list.split(','));
    all.map(|text| {
        let invalid =
            || usage_error(format!("`{text}` is not an address; give an IP address and a port"));
        text.trim().parse().map_err(|_| invalid())
    })
    .collect()
}

fn key(matches: &getopts::Matches) -> Result<String, Error> {
    if let Some(file) = matches.opt_str("key-file") {
        let read = std::fs::read_to_string(&file);
        let key =
            read.map_err(|e| usage_error(format!("cannot read the key file `{file}`: {e}")))?;
        return Ok(key.trim().to_owned());
    }
    let missing =
        || usage_error(format!("no key is given; use `--key-file` or set {KEY_VARIABLE}"));
    std::env::var(KEY_VARIABLE).map_err(|_| missing())
}

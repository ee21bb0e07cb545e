//! The stand-ins and the cases: `cases NAME FOLDER TROUBLE` plays one, and writes `record.txt` into the
//! folder. With `0` for `TROUBLE` the disruption is left out. Exits with 1 if the rule was broken, 0 if
//! it held, and 2 if the case could not run.

mod cases;
mod fleet;
mod http;
mod json;
mod record;
mod store;
mod world;

use std::{env, path::PathBuf, process::ExitCode};

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [name, folder, trouble] = &arguments[..] else {
        eprintln!("usage: cases NAME FOLDER TROUBLE");
        return ExitCode::from(2);
    };
    let has_trouble = trouble != "0";
    let record = PathBuf::from(folder).join("record.txt");
    let code = match cases::play(name, &record, has_trouble) {
        Ok(cases::Verdict::Held) => 0,
        Ok(cases::Verdict::Broken) => 1,
        Err(error) => {
            eprintln!("the case could not run: {error}");
            2
        }
    };
    ExitCode::from(code)
}

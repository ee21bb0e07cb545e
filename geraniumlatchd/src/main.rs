//! The daemon's program; all that it does is in the library.

use std::process;

fn main() -> process::ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    geraniumlatchd::program::main(&arguments)
}

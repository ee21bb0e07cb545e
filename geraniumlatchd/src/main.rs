//! The program `geraniumlatchd`; its code is in the library.

use std::process;

fn main() -> process::ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    geraniumlatchd::program::main(&arguments)
}

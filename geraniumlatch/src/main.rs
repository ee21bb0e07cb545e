//! The operators' command-line client, which is implemented in the library.

use std::process;

fn main() -> process::ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    geraniumlatch::program::main(&arguments)
}

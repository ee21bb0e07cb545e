//! Guards the command line of the client: its help, its exit codes, and the remedies in its errors.

#![allow(clippy::unwrap_used, reason = "tests")]

use std::process;

struct Output {
    code: Option<i32>,
    stdout: String,
    stderr: String,
}

fn run(arguments: &[&str]) -> Output {
    let output = process::Command::new(env!("CARGO_BIN_EXE_geraniumlatch"))
        .args(arguments)
        .env("GERANIUMLATCH_KEY", "0123456789abcdef")
        .stdin(process::Stdio::null())
        .output()
        .unwrap();
    Output {
        code: output.status.code(),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}

fn deploy(file: &str) -> String {
    format!("{}/../deploy/saranrom/{file}", env!("CARGO_MANIFEST_DIR"))
}

#[test]
fn help_lists_commands_and_exit_codes() {
    let ended = run(&["--help"]);
    assert_eq!(ended.code, Some(0));
    for word in
        ["submit", "confirm", "cancel", "status", "config apply", "drain vm", "burn", "stale"]
    {
        assert!(ended.stdout.contains(word), "{word} in {}", ended.stdout);
    }
}

#[test]
fn each_command_has_its_own_help() {
    let commands =
        ["submit", "plans", "plan", "confirm", "cancel", "status", "config", "drain", "burn"];
    for command in commands {
        let ended = run(&[command, "--help"]);
        assert_eq!(ended.code, Some(0), "{command}");
        assert!(
            ended.stdout.starts_with(&format!("Usage: geraniumlatch {command}")),
            "{}",
            ended.stdout
        );
    }
}

#[test]
fn unknown_or_incomplete_command_is_rejected() {
    for words in [&[][..], &["dance"], &["submit"], &["config", "burn"]] {
        let ended = run(words);
        assert_eq!(ended.code, Some(2), "{words:?}");
        assert!(ended.stderr.contains("geraniumlatch --help"), "{}", ended.stderr);
    }
}

#[test]
fn host_name_instead_of_an_ip_address_is_rejected() {
    let ended = run(&["--server", "localhost:80", "status"]);
    assert_eq!(ended.code, Some(2));
    assert!(ended.stderr.contains("give an IP address and a port"), "{}", ended.stderr);
}

#[test]
fn error_names_all_unreachable_daemons() {
    let servers = "127.0.0.1:1,127.0.0.1:2";
    let ended = run(&["--server", servers, "status"]);
    assert_eq!(ended.code, Some(3));
    assert!(ended.stderr.contains("127.0.0.1:1") && ended.stderr.contains("127.0.0.1:2"));
}

#[test]
fn invalid_file_is_rejected_before_any_request() {
    let ended = run(&["config", "check", &deploy("config.yaml")]);
    assert_eq!(ended.code, Some(0), "{}", ended.stderr);
    let ended = run(&["submit", &deploy("config.yaml")]);
    assert_eq!(ended.code, Some(2), "{}", ended.stderr);
}

#[test]
fn closed_pipe_ends_the_program_without_an_error() {
    let mut child = process::Command::new(env!("CARGO_BIN_EXE_geraniumlatch"))
        .arg("--help")
        .stdout(process::Stdio::piped())
        .stderr(process::Stdio::piped())
        .spawn()
        .unwrap();
    drop(child.stdout.take());
    let output = child.wait_with_output().unwrap();
    let error = String::from_utf8(output.stderr).unwrap();
    assert_eq!((output.status.code(), error.as_str()), (Some(0), ""));
}

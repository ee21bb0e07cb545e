//! The program refuses invalid arguments, settings and environments with its documented exit code
//! and a remedy in the error message.

#![allow(clippy::unwrap_used, reason = "tests")]

use std::{net, process};

struct Ended {
    code: Option<i32>,
    error: String,
}

fn run(arguments: &[&str]) -> Ended {
    let output = process::Command::new(env!("CARGO_BIN_EXE_geraniumlatchd"))
        .args(arguments)
        .output()
        .unwrap();
    let error = String::from_utf8(output.stderr).unwrap();
    Ended { code: output.status.code(), error }
}

fn settings(listen: net::SocketAddr, platform: net::SocketAddr) -> tempfile::NamedTempFile {
    let file = tempfile::NamedTempFile::new().unwrap();
    let text = format!(
        "daemon: entry\ndomain: one\nlisten: {listen}\nmesh: 127.0.0.1:0\n\
         platform: [\"{platform}\"]\noperator-key: 0123456789abcdef\n"
    );
    std::fs::write(file.path(), text).unwrap();
    file
}

fn free_address() -> net::SocketAddr {
    net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

#[test]
fn invalid_arguments_are_refused_with_a_remedy() {
    for arguments in [&["--nothing"][..], &[], &["--config", "a.yaml", "extra"]] {
        let ended = run(arguments);
        assert_eq!(ended.code, Some(2), "{arguments:?}");
        assert!(ended.error.contains("--help"), "{}", ended.error);
    }
}

#[test]
fn error_for_a_missing_settings_file_names_it() {
    let ended = run(&["--config", "/nowhere/daemon.yaml"]);
    assert_eq!(ended.code, Some(2));
    assert!(ended.error.contains("/nowhere/daemon.yaml"), "{}", ended.error);
}

#[test]
fn check_validates_settings_without_starting() {
    let file = settings(free_address(), free_address());
    assert_eq!(run(&["--check", "--config", file.path().to_str().unwrap()]).code, Some(0));
}

#[test]
fn error_for_a_port_in_use_names_the_field() {
    let used = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let file = settings(used.local_addr().unwrap(), free_address());
    let ended = run(&["--config", file.path().to_str().unwrap()]);
    assert_eq!(ended.code, Some(1));
    assert!(ended.error.contains("set `listen` to a free port"), "{}", ended.error);
}

#[test]
fn error_for_an_unreachable_platform_names_the_settings() {
    let file = settings("127.0.0.1:0".parse().unwrap(), free_address());
    let ended = run(&["--config", file.path().to_str().unwrap()]);
    assert_eq!(ended.code, Some(1));
    assert!(ended.error.contains("neither the platform nor a peer"), "{}", ended.error);
    assert!(ended.error.contains("check the addresses under `platform`"), "{}", ended.error);
}

//! The daemon's program: what it refuses, with which exit code and remedy.

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

fn free() -> net::SocketAddr {
    net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

#[test]
fn wrong_arguments_are_refused_with_the_remedy() {
    for arguments in [&["--nothing"][..], &[], &["--config", "a.yaml", "extra"]] {
        let ended = run(arguments);
        assert_eq!(ended.code, Some(2), "{arguments:?}");
        assert!(ended.error.contains("--help"), "{}", ended.error);
    }
}

#[test]
fn a_missing_settings_file_is_named() {
    let ended = run(&["--config", "/nowhere/daemon.yaml"]);
    assert_eq!(ended.code, Some(2));
    assert!(ended.error.contains("/nowhere/daemon.yaml"), "{}", ended.error);
}

#[test]
fn settings_can_be_checked_without_a_start() {
    let file = settings(free(), free());
    assert_eq!(run(&["--check", "--config", file.path().to_str().unwrap()]).code, Some(0));
}

#[test]
fn a_port_in_use_is_named_with_the_field() {
    let used = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let file = settings(used.local_addr().unwrap(), free());
    let ended = run(&["--config", file.path().to_str().unwrap()]);
    assert_eq!(ended.code, Some(1));
    assert!(ended.error.contains("set `listen` to a free port"), "{}", ended.error);
}

#[test]
fn a_platform_that_cannot_be_reached_is_named() {
    let file = settings("127.0.0.1:0".parse().unwrap(), free());
    let ended = run(&["--config", file.path().to_str().unwrap()]);
    assert_eq!(ended.code, Some(1));
    assert!(ended.error.contains("neither the platform nor a peer"), "{}", ended.error);
    assert!(ended.error.contains("check the addresses under `platform`"), "{}", ended.error);
}

//! Error messages and exit codes of the command line.

use std::path::Path;
use std::process::{Command, Output};

const SITE: &str = r#"
domains = ["riga-1"]

[[service]]
name = "booking"
address = "127.20.0.1:443"
"#;

fn run_currantgate(folder: &Path, args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_currantgate"))
        .current_dir(folder)
        .args(args)
        .output()
        .unwrap()
}

#[test]
fn check_accepts_a_valid_file_and_creates_the_trace_file() {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("site.toml"), SITE).unwrap();
    let args = ["--trace", "trace.jsonl", "check", "site.toml"];
    let output = run_currantgate(folder.path(), &args);
    assert!(output.status.success(), "{output:?}");
    assert!(folder.path().join("trace.jsonl").exists());
}

#[test]
fn check_names_file_and_key_and_exits_with_2() {
    let folder = tempfile::tempdir().unwrap();
    let text = SITE.replace("domains = [\"riga-1\"]", "domains = []");
    std::fs::write(folder.path().join("site.toml"), text).unwrap();
    let output = run_currantgate(folder.path(), &["check", "site.toml"]);
    assert_eq!(output.status.code(), Some(2));
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert!(stderr.contains("site.toml: key `domains`"), "{stderr}");
}

#[test]
fn entry_names_a_missing_settings_file() {
    let folder = tempfile::tempdir().unwrap();
    let output = run_currantgate(folder.path(), &["entry", "--config", "entry-9.toml"]);
    assert_eq!(output.status.code(), Some(2));
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert!(stderr.contains("entry-9.toml"), "{stderr}");
}

#[test]
fn completions_include_the_subcommands() {
    let folder = tempfile::tempdir().unwrap();
    let output = run_currantgate(folder.path(), &["completions", "bash"]);
    assert!(output.status.success(), "{output:?}");
    let script = String::from_utf8(output.stdout).unwrap();
    assert!(script.contains("standin") && script.contains("--config"));
}

//! `currantgate explain` on logs in files.

use std::process::{Command, Output};

use tempfile::TempDir;

const ENTRY: &str = r#"{"time":"2026-01-02T03:04:05.100Z","level":"INFO","process":"entry-1","module":"m","message":"upstream has another standing","event":"standing","upstream":"i-1","standing":"Ready"}
not a line of ours
  12.5 entry-1 {"time":"2026-01-02T03:04:06.000Z","level":"INFO","process":"entry-1","module":"m","message":"flow is placed","event":"placed","flow":"100.64.0.7:40001>198.18.0.1:443","upstream":"i-1","flows":2,"waited_ms":35}
{"time":"2026-01-02T03:04:07.700Z","level":"INFO","process":"entry-1","module":"m","message":"flow has not ended within its caller's time","event":"expired","flow":"100.64.0.7:40001>198.18.0.1:443","upstream":"i-1","was_answered":false}
"#;

const CONTROL: &str = r#"{"time":"2026-01-02T03:04:07.000Z","level":"INFO","process":"core-1","module":"m","message":"upstream has news","event":"upstream","upstream":"i-1","is_silent":true}
"#;

fn explain(flow: &str, options: &[&str]) -> Output {
    let folder = TempDir::new().unwrap();
    let entry = folder.path().join("entry.log");
    let control = folder.path().join("control.log");
    std::fs::write(&entry, ENTRY).unwrap();
    std::fs::write(&control, CONTROL).unwrap();
    Command::new(env!("CARGO_BIN_EXE_currantgate"))
        .args(["explain", flow, "--logs"])
        .args([&control, &entry])
        .args(options)
        .output()
        .unwrap()
}

#[test]
fn lines_of_all_processes_are_printed_in_order() {
    let output = explain("100.64.0.7:40001", &[]);
    let text = String::from_utf8(output.stdout).unwrap();
    let lines: Vec<_> = text.lines().collect();
    assert_eq!(lines.len(), 4, "{text}");
    assert!(lines[0].contains("standing=Ready"), "{text}");
    assert!(
        lines[1].contains("flow is placed")
            && lines[1].contains("flows=2")
            && lines[1].contains("waited_ms=35"),
        "{text}"
    );
    assert!(
        lines[2].contains("core-1") && lines[2].contains("is_silent=true"),
        "{text}"
    );
    assert!(lines[3].contains("was_answered=false"), "{text}");
}

#[test]
fn json_output_is_valid_json() {
    let output = explain("100.64.0.7:40001", &["--json"]);
    let text = String::from_utf8(output.stdout).unwrap();
    for line in text.lines() {
        serde_json::from_str::<serde_json::Value>(line).unwrap();
    }
}

#[test]
fn an_unknown_flow_is_an_error() {
    let output = explain("100.64.9.9", &[]);
    assert!(!output.status.success());
    let message = String::from_utf8(output.stderr).unwrap();
    assert!(
        message.contains("no line names flow 100.64.9.9"),
        "{message}"
    );
}

//! Runs the demonstration to its end.

use std::process::Command;

use serde_json::Value;

#[test]
fn no_flow_breaks_in_the_demonstration() {
    let output = Command::new(env!("CARGO_BIN_EXE_currantgate"))
        .args(["--log", "error", "demo", "--seconds", "4", "--json"])
        .output()
        .expect("the binary starts");
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{errors}");
    let report: Value = serde_json::from_slice(&output.stdout).expect("it prints JSON");
    let count = |key: &str| report[key].as_u64().expect("the report has the count");
    assert_eq!(count("opened"), 4 * (400 + 150), "{report}");
    assert_eq!(count("finished"), count("opened"), "{report}");
    assert_eq!(count("broken") + count("refused"), 0, "{report}");
    assert_eq!(count("misrouted"), 0, "{report}");
    assert_eq!(report["upstreams"].as_array().map(Vec::len), Some(21));
    assert_eq!(report["entries"].as_array().map(Vec::len), Some(9));
}

//! Invalid settings files of the stand-ins are rejected.

use currantgate_standin::{CallerSettings, FabricSettings, Settings, UpstreamSettings};
use rstest::rstest;

const CALLER: &str = r#"
service = "booking"
service_address = "127.20.0.1:443"
fabric = "127.0.0.1:6000"
"#;

const UPSTREAM: &str = r#"
service = "booking"
name = "booking-1"
domain = "riga-1"
service_address = "127.20.0.1:443"
announce = ["127.0.1.1:5558"]
"#;

#[rstest]
#[case("flow = 3", "unknown field `flow`")]
#[case("flows = 60001", "`flows`: must be at most 60000")]
#[case("requests = 0", "`requests`: must be at least 1")]
#[case("chunks = 0", "`chunks`: must be at least 1")]
#[case("chunk_ms = 5001", "`chunk_ms`: must be at most 5000")]
fn invalid_caller_settings_are_rejected(#[case] line: &str, #[case] expected: &str) {
    CallerSettings::parse(CALLER, "caller.toml").unwrap();
    let e = CallerSettings::parse(&format!("{CALLER}{line}"), "caller.toml").unwrap_err();
    let text = e.to_string();
    assert!(
        text.contains(expected) && text.starts_with("caller.toml"),
        "{text}"
    );
}

#[rstest]
#[case("slot = 3", "unknown field `slot`")]
#[case("slots = 0", "`slots`: must be at least 1")]
#[case("cold_slowdown = 0", "`cold_slowdown`: must be at least 1")]
fn invalid_upstream_settings_are_rejected(#[case] line: &str, #[case] expected: &str) {
    UpstreamSettings::parse(UPSTREAM, "booking-1.toml").unwrap();
    let e = UpstreamSettings::parse(&format!("{UPSTREAM}{line}"), "booking-1.toml").unwrap_err();
    assert!(e.to_string().contains(expected), "{e}");
}

#[rstest]
#[case(UPSTREAM.replace("riga-1", ""), "`domain`: must not be empty")]
#[case(UPSTREAM.replace(":443", ":0"), "`service_address`: must have a port")]
#[case(UPSTREAM.replace("\"127.0.1.1:5558\"", ""), "`announce`: must name at least one entry")]
fn missing_upstream_settings_are_rejected(#[case] text: String, #[case] expected: &str) {
    let e = UpstreamSettings::parse(&text, "booking-1.toml").unwrap_err();
    assert!(e.to_string().contains(expected), "{e}");
}

#[rstest]
#[case("lose = 1.5", "`faults.lose`: must be from 0 to 1")]
#[case("delay = -0.1", "`faults.delay`: must be from 0 to 1")]
#[case("drop = 0.1", "unknown field `drop`")]
fn invalid_faults_are_rejected(#[case] line: &str, #[case] expected: &str) {
    let e = FabricSettings::parse(&format!("[faults]\n{line}"), "fabric.toml").unwrap_err();
    assert!(e.to_string().contains(expected), "{e}");
}

#[test]
fn duplicate_entries_of_a_fabric_are_rejected() {
    let entry = "[[entry]]\naddress = \"127.0.1.1:5555\"\ndomain = \"riga-1\"\n";
    FabricSettings::parse(entry, "fabric.toml").unwrap();
    let e = FabricSettings::parse(&entry.repeat(2), "fabric.toml").unwrap_err();
    assert!(e.to_string().contains("`entry.address`"), "{e}");
}

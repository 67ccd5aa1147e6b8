//! Runs the example site as separate processes.

mod children;
mod files;

use std::path::Path;
use std::time::{Duration, Instant};

use children::{Child, poll, wait_for_exit};
use files::SiteFiles;
use serde_json::Value;

/// Timeout for the site to serve all flows of a caller.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// Timeout for all flows of a caller to end.
const CALLER_TIMEOUT: Duration = Duration::from_secs(60);

#[test]
fn flows_continue_when_an_entry_is_killed() {
    let files = SiteFiles::copy_with_free_ports();
    let _fabric = Child::start(&["standin", "fabric"], &files.path("fabric.toml"));
    let mut entries: Vec<Child> = (1..=4)
        .map(|id| Child::start(&["entry"], &files.path(&format!("entry-{id}.toml"))))
        .collect();
    let _upstreams: Vec<Child> = files
        .upstream_files()
        .iter()
        .map(|file| Child::start(&["standin", "upstream"], file))
        .collect();
    let short_caller = files.write_variant("caller.toml", "flows = 300", "flows = 40");
    poll(START_TIMEOUT, "all flows of a caller finish", || {
        entries.iter_mut().for_each(Child::assert_running);
        let report = run_caller(&short_caller);
        (count(&report, "finished") == 40).then_some(())
    });

    let mut caller = start_caller(&files.path("caller.toml"));
    let metrics = files.address("entry-2.toml", "metrics");
    let before = packets_delivered(metrics);
    poll(CALLER_TIMEOUT, "the second entry delivers", || {
        (packets_delivered(metrics) > before + 50).then_some(())
    });
    entries.remove(1).kill();

    let report = wait_for_report(&mut caller);
    assert_eq!(count(&report, "opened"), 300, "{report}");
    assert_eq!(count(&report, "finished"), 300, "{report}");
    assert_eq!(count(&report, "broken"), 0, "{report}");
    assert_eq!(count(&report, "misrouted"), 0, "{report}");
}

#[test]
fn an_error_names_the_settings_file_and_the_invalid_key() {
    let files = SiteFiles::copy_with_free_ports();
    let file = files.write_variant("caller.toml", "pause_ms", "pauses_ms");
    let mut caller = start_caller(&file);
    let (code, _) = wait_for_exit(&mut caller, Instant::now() + CALLER_TIMEOUT);
    assert_eq!(code, Some(2));
    let errors = caller.log();
    assert!(errors.contains("pauses_ms"), "{errors}");
    assert!(errors.contains("probe-caller.toml"), "{errors}");
}

fn start_caller(file: &Path) -> Child {
    Child::start(&["standin", "caller", "--json"], file)
}

fn run_caller(file: &Path) -> Value {
    wait_for_report(&mut start_caller(file))
}

/// Waits until the caller exits and returns its report.
fn wait_for_report(caller: &mut Child) -> Value {
    let (code, output) = wait_for_exit(caller, Instant::now() + CALLER_TIMEOUT);
    assert_eq!(code, Some(0), "the caller failed: {}", caller.log());
    serde_json::from_str(&output).expect("the caller prints JSON")
}

fn count(report: &Value, key: &str) -> u64 {
    report[key].as_u64().expect("the report has the counter")
}

/// Returns the number of packets delivered by the entry with the metrics address
/// `metrics`; 0 if it can't be read.
fn packets_delivered(metrics: std::net::SocketAddr) -> u64 {
    let text = children::get(metrics, "/metrics");
    text.lines()
        .find_map(|line| line.strip_prefix("currantgate_entry_packets_delivered_total "))
        .and_then(|value| value.parse().ok())
        .unwrap_or(0)
}

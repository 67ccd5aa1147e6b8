//! The example site as separate processes.

mod children;
mod files;

use std::path::Path;
use std::time::{Duration, Instant};

use children::{Child, poll, wait_until};
use files::SiteFiles;
use serde_json::Value;

/// How long the processes may take to find each other.
const SETTLE: Duration = Duration::from_secs(60);

/// How long a caller may take until all its flows have ended.
const CALLER: Duration = Duration::from_secs(60);

#[test]
fn flows_go_on_when_an_entry_dies() {
    let files = SiteFiles::copy_with_free_ports();
    let _fabric = Child::start(&["standin", "fabric"], &files.path("fabric.toml"));
    let mut entries: Vec<Child> = (1..=4)
        .map(|id| Child::start(&["entry"], &files.path(&format!("entry-{id}.toml"))))
        .collect();
    let _upstreams: Vec<Child> = files
        .upstreams()
        .iter()
        .map(|file| Child::start(&["standin", "upstream"], file))
        .collect();
    let probe = files.write_probe("caller.toml", "flows = 300", "flows = 40");
    poll(SETTLE, "a caller's flows all finish", || {
        entries.iter_mut().for_each(Child::assert_running);
        let tally = call(&probe);
        (count(&tally, "finished") == 40).then_some(())
    });

    let mut caller = start_caller(&files.path("caller.toml"));
    let metrics = files.address("entry-2.toml", "metrics");
    let before = delivered(metrics);
    poll(CALLER, "the second entry delivers", || {
        (delivered(metrics) > before + 50).then_some(())
    });
    entries.remove(1).kill();

    let tally = finish(&mut caller);
    assert_eq!(count(&tally, "opened"), 300, "{tally}");
    assert_eq!(count(&tally, "finished"), 300, "{tally}");
    assert_eq!(count(&tally, "broken"), 0, "{tally}");
    assert_eq!(count(&tally, "misrouted"), 0, "{tally}");
}

#[test]
fn a_wrong_settings_file_is_named_with_its_key() {
    let files = SiteFiles::copy_with_free_ports();
    let file = files.write_probe("caller.toml", "pause_ms", "pauses_ms");
    let mut caller = start_caller(&file);
    let (code, _) = wait_until(&mut caller, Instant::now() + CALLER);
    assert_eq!(code, Some(2));
    let errors = caller.errors();
    assert!(errors.contains("pauses_ms"), "{errors}");
    assert!(errors.contains("probe-caller.toml"), "{errors}");
}

fn start_caller(file: &Path) -> Child {
    Child::start(&["standin", "caller", "--json"], file)
}

fn call(file: &Path) -> Value {
    finish(&mut start_caller(file))
}

/// Waits for the caller's end and returns its tally.
fn finish(caller: &mut Child) -> Value {
    let (code, output) = wait_until(caller, Instant::now() + CALLER);
    assert_eq!(code, Some(0), "the caller failed: {}", caller.errors());
    serde_json::from_str(&output).expect("the caller prints JSON")
}

fn count(tally: &Value, key: &str) -> u64 {
    tally[key].as_u64().expect("the tally has the count")
}

/// Returns how many packets the entry with these metrics has delivered.
fn delivered(metrics: std::net::SocketAddr) -> u64 {
    let text = children::get(metrics, "/metrics");
    text.lines()
        .find_map(|line| line.strip_prefix("currantgate_entry_packets_delivered_total "))
        .and_then(|value| value.parse().ok())
        .unwrap_or(0)
}

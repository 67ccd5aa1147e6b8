//! Three control VMs and an entry as real processes on loopback.

use std::fs;
use std::io::{ErrorKind, Read as _};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use serde_json::Value;

/// Timeout for the status to reach an expected state.
const TIMEOUT: Duration = Duration::from_secs(30);

const SITE: &str = "# applied by the test\ndomains = [\"riga-1\", \"riga-2\"]\n\n\
    [[service]]\nname = \"booking\"\naddress = \"127.20.0.1:443\"\n";

/// An entry that subscribes to the control VMs.
struct SubscribedEntry(Child);

impl SubscribedEntry {
    fn start(site: &Site) -> Self {
        fs::write(site.path("before.toml"), SITE).unwrap();
        let servers: Vec<_> = site.addresses.iter().map(|a| format!("\"{a}\"")).collect();
        let any = "127.0.0.1:0";
        let text = format!(
            "id = 7\ndomain = \"riga-1\"\nsite = \"before.toml\"\nfabric = \"{}\"\n\
             listen = {{ fabric = \"{any}\", tunnel = \"{any}\", peer = \"{any}\", \
             announce = \"{any}\", metrics = \"{any}\" }}\n\
             [control]\nservers = [{}]\nkey = \"{}\"\n",
            free_address(),
            servers.join(", "),
            "5a".repeat(32)
        );
        let settings = site.path("entry.toml");
        fs::write(&settings, text).unwrap();
        let process = Command::new(env!("CARGO_BIN_EXE_currantgate"))
            .args(["entry", "--config"])
            .arg(&settings)
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        Self(process)
    }
}

impl Drop for SubscribedEntry {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

struct Voter {
    settings: PathBuf,
    process: Child,
}

impl Voter {
    fn start(settings: PathBuf, option: Option<&str>) -> Self {
        let process = Command::new(env!("CARGO_BIN_EXE_currantgate"))
            .args(["control", "--config"])
            .arg(&settings)
            .args(option)
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        Self { settings, process }
    }

    fn kill(&mut self) {
        self.process.kill().unwrap();
        self.process.wait().unwrap();
    }

    fn restart(&mut self) {
        *self = Self::start(self.settings.clone(), None);
    }
}

impl Drop for Voter {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

struct Site {
    folder: tempfile::TempDir,
    addresses: Vec<SocketAddr>,
    voters: Vec<Voter>,
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

fn write_settings(folder: &Path, id: usize, listen: SocketAddr, voters: &[SocketAddr]) -> PathBuf {
    let mut text = format!(
        "id = {id}\ndomain = \"riga-{id}\"\ndata = \"data-{id}\"\nlisten = \"{listen}\"\n\
         key = \"{}\"\n",
        "5a".repeat(32)
    );
    for (i, address) in voters.iter().enumerate() {
        text += &format!("[[voter]]\nid = {}\naddress = \"{address}\"\n", i + 1);
    }
    let path = folder.join(format!("control-{id}.toml"));
    fs::write(&path, text).unwrap();
    path
}

impl Site {
    fn start() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let addresses: Vec<_> = (0..3).map(|_| free_address()).collect();
        let start = |(i, address): (usize, &SocketAddr)| {
            let settings = write_settings(folder.path(), i + 1, *address, &addresses);
            Voter::start(settings, Some("--init"))
        };
        let voters = addresses.iter().enumerate().map(start).collect();
        let site = Self {
            folder,
            addresses,
            voters,
        };
        site.write_servers();
        site
    }

    fn write_servers(&self) {
        let servers: Vec<_> = self.addresses.iter().map(|a| format!("\"{a}\"")).collect();
        let key = "5a".repeat(32);
        let text = format!("servers = [{}]\nkey = \"{key}\"\n", servers.join(", "));
        fs::write(self.path("servers.toml"), text).unwrap();
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    fn run(&self, args: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_currantgate"))
            .args(args)
            .arg("--control")
            .arg(self.path("servers.toml"))
            .output()
            .unwrap()
    }

    fn apply(&self, text: &str, base: &str) -> Output {
        let file = self.path("site.toml");
        fs::write(&file, text).unwrap();
        let file = file.display().to_string();
        self.run(&["apply", &file, "--base", base, "--timeout", "30"])
    }

    fn status(&self) -> Vec<Value> {
        let output = self.run(&["status", "--json"]);
        serde_json::from_slice(&output.stdout).unwrap()
    }

    /// Polls the status until `is_reached` returns true; panics after [`TIMEOUT`].
    fn wait_for(&self, what: &str, is_reached: impl Fn(&[Value]) -> bool) -> Vec<Value> {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let status = self.status();
            if is_reached(&status) {
                return status;
            }
            assert!(
                Instant::now() < deadline,
                "timed out waiting for {what}: {status:?}"
            );
        }
    }

    fn leader(&self) -> usize {
        let present = |v: &Value| v["consensus"]["freshness"] == "present";
        let status = self.wait_for("a leader", |status| status.iter().any(present));
        status.iter().position(present).unwrap()
    }
}

fn exit_code(output: &Output) -> i32 {
    output.status.code().unwrap()
}

/// Returns whether entry 7 reports `revision` as in force.
fn entry_is_at(status: &[Value], revision: u64) -> bool {
    let subscribers = status.iter().flat_map(|v| v["subscribers"].as_array());
    subscribers
        .flatten()
        .any(|s| s["name"] == "entry-7" && s["reach"]["lowest"] == revision)
}

fn all_are_at(status: &[Value], revision: u64) -> bool {
    status.iter().all(|v| v["revision"] == revision)
}

#[test]
fn an_accepted_file_survives_the_loss_of_the_leader() {
    let mut site = Site::start();
    let applied = site.apply(SITE, "0");
    assert_eq!(exit_code(&applied), 0, "{applied:?}");

    let _entry = SubscribedEntry::start(&site);
    site.wait_for("the entry at revision 1", |status| entry_is_at(status, 1));

    let leader = site.leader();
    site.voters[leader].kill();
    let second = SITE.replace(":443", ":8443");
    let applied = site.apply(&second, "1");
    assert_eq!(exit_code(&applied), 0, "{applied:?}");
    let shown = site.run(&["show"]);
    assert_eq!(
        (exit_code(&shown), shown.stdout),
        (0, second.clone().into_bytes())
    );

    site.wait_for("the entry at revision 2", |status| entry_is_at(status, 2));
    site.voters[leader].restart();
    site.wait_for("all at revision 2", |status| all_are_at(status, 2));

    // Nothing here would carry out the order, so it must not be accepted.
    let evacuated = site.run(&["evacuate", "start", "riga-1"]);
    assert_eq!(exit_code(&evacuated), 1, "{evacuated:?}");
    // A plan for a typing error would show that nothing changes.
    let planned = site.run(&["evacuate", "start", "riga-x", "--dry-run"]);
    assert_eq!((exit_code(&planned), &*planned.stdout), (1, &b""[..]));
    assert!(String::from_utf8_lossy(&planned.stderr).contains("riga-x"));

    let resent = site.apply(&second, "1");
    assert_eq!(exit_code(&resent), 0, "{resent:?}");
    let conflict = site.apply(SITE, "1");
    assert_eq!(exit_code(&conflict), 3, "{conflict:?}");
    let wrong = site.apply("domains = 7", "2");
    assert_eq!(exit_code(&wrong), 2, "{wrong:?}");

    let file = site.path("site.toml");
    fs::write(&file, SITE).unwrap();
    let diff = site.run(&["diff", &file.display().to_string(), "--json"]);
    let diff: Value = serde_json::from_slice(&diff.stdout).unwrap();
    let changed = [
        "-address = \"127.20.0.1:8443\"",
        "+address = \"127.20.0.1:443\"",
    ];
    assert_eq!(diff["changed"], Value::from(changed.to_vec()));

    for voter in &mut site.voters[1..] {
        voter.kill();
    }
    // A plan without the upstreams of two control VMs could say that too few slots suffice.
    let partial = site.run(&["evacuate", "start", "riga-1", "--dry-run"]);
    assert_eq!((exit_code(&partial), &*partial.stdout), (1, &b""[..]));
    assert!(String::from_utf8_lossy(&partial.stderr).contains("2 control VMs"));
    // The survivor may be the leader, which reports `present` until its lease expires.
    let present = |v: &Value| v["consensus"]["freshness"] == "present";
    site.wait_for("no control VM with a lease", |status| {
        !status.iter().any(present)
    });
    let refused = site.run(&["show", "--timeout", "1"]);
    assert_eq!(
        (exit_code(&refused), refused.stdout),
        (5, second.into_bytes())
    );
}

#[test]
fn after_a_lost_voter_is_replaced_another_may_be_lost() {
    let mut site = Site::start();
    assert_eq!(exit_code(&site.apply(SITE, "0")), 0);
    let lost = (site.leader() + 1) % 3;
    site.voters[lost].kill();

    let address = free_address();
    let settings = write_settings(site.folder.path(), 4, address, &[]);
    site.voters.push(Voter::start(settings, Some("--join")));
    let (lost_id, address_text) = ((lost + 1).to_string(), address.to_string());
    let replaced = site.run(&[
        "replace",
        "--lost",
        &lost_id,
        "--new",
        "4",
        "--address",
        &address_text,
        "--timeout",
        "30",
    ]);
    assert_eq!(exit_code(&replaced), 0, "{replaced:?}");

    site.addresses[lost] = address;
    site.write_servers();
    let leader = site.leader();
    let killed = (0..3).find(|i| *i != leader && *i != lost).unwrap();
    site.voters[killed].kill();
    let second = SITE.replace(":443", ":8443");
    let applied = site.apply(&second, "1");
    assert_eq!(exit_code(&applied), 0, "{applied:?}");
}

/// Guards against a status that waits for one timeout after the other at a control VM that
/// does not answer, and against sums of open flows that don't tell that its part is missing.
#[test]
fn status_requests_all_answers_at_the_same_time() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let status = Command::new(env!("CARGO_BIN_EXE_currantgate"))
        .args(["status", "--json", "--servers", &address])
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let mut connections = [(); 3].map(|()| listener.accept().unwrap().0);
    // The first bytes of the requests are in the buffers, or an end after a timeout.
    for connection in &mut connections {
        connection.set_nonblocking(true).unwrap();
        let end = connection.read_to_end(&mut Vec::new());
        assert_eq!(end.unwrap_err().kind(), ErrorKind::WouldBlock);
    }
    let output = status.wait_with_output().unwrap();
    let answers: Value = serde_json::from_slice(&output.stdout).unwrap();
    assert!(answers[0]["open_flows_error"].is_string(), "{answers}");
}

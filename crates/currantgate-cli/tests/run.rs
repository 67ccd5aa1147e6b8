//! Runs a small site in one process and restarts it.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Output};
use std::time::{Duration, Instant};

/// Timeout for an address to accept connections.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which an address is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

struct SiteDirectory {
    folder: tempfile::TempDir,
    control: SocketAddr,
}

/// A process that is killed on drop.
struct ChildGuard(Child);

impl Drop for ChildGuard {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

fn site_text(service: &str, address: SocketAddr) -> String {
    format!("domains = [\"riga-1\"]\n[[service]]\nname = \"{service}\"\naddress = \"{address}\"\n")
}

impl SiteDirectory {
    fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    fn write(&self, name: &str, text: &str) -> String {
        fs::write(self.path(name), text).unwrap();
        self.path(name).display().to_string()
    }

    /// Starts the process and waits until `address` accepts connections.
    fn run(&self, log: &str, address: SocketAddr) -> ChildGuard {
        let process = Command::new(env!("CARGO_BIN_EXE_currantgate"))
            .arg("run")
            .arg(self.path("site.toml"))
            .arg("--data")
            .arg(self.path("data"))
            .args(["--control", &self.control.to_string()])
            .args(["--announce", "127.0.0.1:0", "--metrics", "127.0.0.1:0"])
            .stderr(File::create(self.path(log)).unwrap())
            .spawn()
            .unwrap();
        let running = ChildGuard(process);
        self.wait_for(address);
        running
    }

    fn wait_for(&self, address: SocketAddr) {
        let deadline = Instant::now() + TIMEOUT;
        while TcpStream::connect(address).is_err() {
            assert!(
                Instant::now() < deadline,
                "{address} does not accept connections"
            );
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    fn run_command(&self, args: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_currantgate"))
            .args(args)
            .args(["--servers", &self.control.to_string()])
            .output()
            .unwrap()
    }

    fn show(&self) -> String {
        String::from_utf8(self.run_command(&["show"]).stdout).unwrap()
    }
}

#[test]
fn the_accepted_revision_survives_a_restart_and_is_not_reverted_to_the_site_file() {
    let site_directory = SiteDirectory {
        folder: tempfile::tempdir().unwrap(),
        control: free_address(),
    };
    let (first, second) = (free_address(), free_address());
    let booking = site_text("booking", first);
    site_directory.write("site.toml", &booking);
    let running = site_directory.run("first.log", first);
    assert_eq!(site_directory.show(), booking);

    let calendar = site_text("calendar", second);
    let next = site_directory.write("next.toml", &calendar);
    let applied = site_directory.run_command(&["apply", &next, "--base", "1"]);
    assert!(applied.status.success(), "{applied:?}");
    site_directory.wait_for(second);
    drop(running);

    let _running = site_directory.run("second.log", second);
    assert_eq!(site_directory.show(), calendar);
    assert!(TcpStream::connect(first).is_err());
    let log = fs::read_to_string(site_directory.path("second.log")).unwrap();
    assert!(log.contains("site.toml differs from revision 2"), "{log}");
    let applied = site_directory.run_command(&[
        "apply",
        &site_directory.write("site.toml", &booking),
        "--base",
        "2",
    ]);
    assert!(applied.status.success(), "{applied:?}");
    site_directory.wait_for(first);
}

//! A small site in one process, over a restart.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Output};
use std::time::{Duration, Instant};

/// How long the process may take until it serves.
const DEADLINE: Duration = Duration::from_secs(30);

/// How often something awaited is looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

struct Small {
    folder: tempfile::TempDir,
    control: SocketAddr,
}

/// The process, which is killed when this is dropped.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

fn site(service: &str, address: SocketAddr) -> String {
    format!("domains = [\"riga-1\"]\n[[service]]\nname = \"{service}\"\naddress = \"{address}\"\n")
}

impl Small {
    fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    fn write(&self, name: &str, text: &str) -> String {
        fs::write(self.path(name), text).unwrap();
        self.path(name).display().to_string()
    }

    /// Starts the process and waits until `address` is listened on.
    fn run(&self, log: &str, address: SocketAddr) -> Running {
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
        let running = Running(process);
        self.wait_for(address);
        running
    }

    fn wait_for(&self, address: SocketAddr) {
        let until = Instant::now() + DEADLINE;
        while TcpStream::connect(address).is_err() {
            assert!(Instant::now() < until, "{address} is not listened on");
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    fn operate(&self, args: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_currantgate"))
            .args(args)
            .args(["--servers", &self.control.to_string()])
            .output()
            .unwrap()
    }

    fn shown(&self) -> String {
        String::from_utf8(self.operate(&["show"]).stdout).unwrap()
    }
}

#[test]
fn the_accepted_revision_outlives_a_restart_and_the_file_never_reverts_it() {
    let small = Small {
        folder: tempfile::tempdir().unwrap(),
        control: free_address(),
    };
    let (first, second) = (free_address(), free_address());
    let booking = site("booking", first);
    small.write("site.toml", &booking);
    let running = small.run("first.log", first);
    assert_eq!(small.shown(), booking);

    let calendar = site("calendar", second);
    let next = small.write("next.toml", &calendar);
    let applied = small.operate(&["apply", &next, "--base", "1"]);
    assert!(applied.status.success(), "{applied:?}");
    small.wait_for(second);
    drop(running);

    let _running = small.run("second.log", second);
    assert_eq!(small.shown(), calendar);
    assert!(TcpStream::connect(first).is_err());
    let log = fs::read_to_string(small.path("second.log")).unwrap();
    assert!(log.contains("site.toml differs from revision 2"), "{log}");
    let applied = small.operate(&["apply", &small.write("site.toml", &booking), "--base", "2"]);
    assert!(applied.status.success(), "{applied:?}");
    small.wait_for(first);
}

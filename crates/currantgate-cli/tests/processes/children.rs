//! Child processes that end with the test.

use std::fs::File;
use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// How often something awaited is looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A `currantgate` process, which is killed when this is dropped.
///
/// What it logs goes to a file beside its settings, since a pipe that no one
/// reads would fill up and stop it.
pub(crate) struct Child {
    process: std::process::Child,
    log: PathBuf,
}

impl Child {
    /// Starts `currantgate` with these arguments and `--config file`.
    pub(crate) fn start(args: &[&str], file: &Path) -> Self {
        let log = file.with_extension("log");
        let stderr = File::create(&log).expect("the folder can be written");
        let process = Command::new(env!("CARGO_BIN_EXE_currantgate"))
            .args(["--log", "warn"])
            .args(args)
            .arg("--config")
            .arg(file)
            .stdout(Stdio::piped())
            .stderr(stderr)
            .spawn()
            .expect("the binary starts");
        Self { process, log }
    }

    /// Kills the process without warning.
    pub(crate) fn kill(&mut self) {
        self.process.kill().expect("the process is still there");
        self.process.wait().expect("a killed process ends");
    }

    /// Returns what the process has logged.
    pub(crate) fn errors(&self) -> String {
        std::fs::read_to_string(&self.log).expect("the log can be read")
    }

    /// Panics with the log if the process has ended.
    pub(crate) fn assert_running(&mut self) {
        let ended = self.process.try_wait().expect("the process is a child");
        assert!(ended.is_none(), "{}: {}", self.log.display(), self.errors());
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Waits for the end of `child`; returns its exit code and output.
pub(crate) fn wait_until(child: &mut Child, deadline: Instant) -> (Option<i32>, String) {
    let left = deadline.saturating_duration_since(Instant::now());
    let status = poll(left, "a process ends", || {
        child.process.try_wait().expect("the process is a child")
    });
    let mut output = String::new();
    if let Some(stdout) = &mut child.process.stdout {
        stdout.read_to_string(&mut output).expect("it is text");
    }
    (status.code(), output)
}

/// Polls until `look` gives something; panics when `limit` has passed.
pub(crate) fn poll<T>(limit: Duration, what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + limit;
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(Instant::now() < deadline, "waited in vain until {what}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Returns the answer to an HTTP GET, or nothing when there is none.
pub(crate) fn get(address: SocketAddr, path: &str) -> String {
    let ask = || {
        let mut stream = TcpStream::connect(address)?;
        write!(
            stream,
            "GET {path} HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\r\n"
        )?;
        let mut text = String::new();
        stream.read_to_string(&mut text)?;
        Ok::<_, std::io::Error>(text)
    };
    ask().unwrap_or_default()
}

//! Child processes that are killed at the end of a test.

use std::fs::File;
use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A `currantgate` process, which is killed on drop.
///
/// Its log is written to a file next to its settings, since a pipe that is not
/// read would fill up and block the process.
pub(crate) struct Child {
    process: std::process::Child,
    log: PathBuf,
}

impl Child {
    /// Starts `currantgate` with `args` and `--config file`.
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

    /// Kills the process with SIGKILL.
    pub(crate) fn kill(&mut self) {
        self.process.kill().expect("the process can be killed");
        self.process.wait().expect("the process can be waited for");
    }

    /// Returns the log of the process.
    pub(crate) fn log(&self) -> String {
        std::fs::read_to_string(&self.log).expect("the log can be read")
    }

    /// Panics with the log if the process has exited.
    pub(crate) fn assert_running(&mut self) {
        let status = self.process.try_wait().expect("the process is a child");
        assert!(status.is_none(), "{}: {}", self.log.display(), self.log());
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Waits until `child` exits; returns its exit code and standard output.
pub(crate) fn wait_for_exit(child: &mut Child, deadline: Instant) -> (Option<i32>, String) {
    let remaining = deadline.saturating_duration_since(Instant::now());
    let status = poll(remaining, "a process exits", || {
        child.process.try_wait().expect("the process is a child")
    });
    let mut output = String::new();
    if let Some(stdout) = &mut child.process.stdout {
        stdout
            .read_to_string(&mut output)
            .expect("the output is UTF-8");
    }
    (status.code(), output)
}

/// Polls `check` until it returns a value; panics after `timeout`.
pub(crate) fn poll<T>(timeout: Duration, what: &str, mut check: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + timeout;
    loop {
        if let Some(found) = check() {
            return found;
        }
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Returns the response to an HTTP GET, or an empty string if the request fails.
pub(crate) fn get(address: SocketAddr, path: &str) -> String {
    let send_request = || {
        let mut stream = TcpStream::connect(address)?;
        write!(
            stream,
            "GET {path} HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\r\n"
        )?;
        let mut text = String::new();
        stream.read_to_string(&mut text)?;
        Ok::<_, std::io::Error>(text)
    };
    send_request().unwrap_or_default()
}

//! Shared parts of the review's stand-ins: the project's programs as processes, and an operator
//! that follows PROTOCOL.md. Only the standard library is used.
#![allow(dead_code)]

use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

pub const CONTROL_PORT: u16 = 8166;
pub const PACKET_PORT: u16 = 8172;
pub const READY_PORT: u16 = 8167;
pub const INTERNAL_PORT: u16 = 7720;

/// Exit code if the case could not run.
pub const CANNOT_RUN: i32 = 2;

/// Writes `record.txt`, with the time since the start of the case on each line.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} s  {text}", self.seconds());
        println!("{:8.3} s  {text}", self.seconds());
    }

    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Sleeps until a time since the start of the case.
    pub fn sleep_until(&self, seconds: f64) {
        let left = seconds - self.seconds();
        if left > 0.0 {
            thread::sleep(Duration::from_secs_f64(left));
        }
    }
}

/// A temporary folder, removed at the end.
pub struct Scratch(pub PathBuf);

impl Scratch {
    pub fn new() -> Self {
        let name = format!("review-3-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).expect("a temporary folder can be created");
        Self(path)
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Returns a loopback network that no other process uses, as its first three bytes.
pub fn free_network() -> [u8; 3] {
    let pid = std::process::id();
    for n in 0..200_u32 {
        let mixed = pid
            .wrapping_mul(2_654_435_761)
            .wrapping_add(n.wrapping_mul(40_503));
        let net = [127, 100 + (mixed >> 8) as u8 % 100, (mixed >> 16) as u8];
        let is_free = |port| TcpListener::bind((ip(net, 10), port)).is_ok();
        if [CONTROL_PORT, INTERNAL_PORT, READY_PORT, 9464]
            .into_iter()
            .all(is_free)
        {
            return net;
        }
    }
    eprintln!("no free loopback network");
    std::process::exit(CANNOT_RUN);
}

pub fn ip(net: [u8; 3], host: u8) -> Ipv4Addr {
    Ipv4Addr::new(net[0], net[1], net[2], host)
}

/// One machine with one of the project's programs.
pub struct Machine {
    pub name: String,
    pub ip: Ipv4Addr,
    pub zone: String,
    pub is_core: bool,
    pub tolerated: u8,
    /// Machines that stay lost keep their settings, as a removed one does.
    pub child: Option<Child>,
    folder: PathBuf,
    incarnation: u32,
}

impl Machine {
    pub fn new(scratch: &Scratch, name: &str, ip: Ipv4Addr, zone: &str, is_core: bool) -> Self {
        let folder = scratch.0.join(name);
        fs::create_dir_all(&folder).expect("a folder can be created");
        Self {
            name: name.into(),
            ip,
            zone: zone.into(),
            is_core,
            tolerated: 1,
            child: None,
            folder,
            incarnation: 0,
        }
    }

    pub fn control(&self) -> SocketAddr {
        (self.ip, CONTROL_PORT).into()
    }

    pub fn data(&self) -> PathBuf {
        self.folder.join("data")
    }

    /// Starts the program with the command of the deploy file, from the repository root.
    pub fn start(&mut self, seeds: &[SocketAddr], bootstrap: bool, zones: &[&str]) {
        let settings = self.folder.join("settings.toml");
        fs::write(&settings, self.settings(seeds, bootstrap, zones)).expect("settings are written");
        self.incarnation += 1;
        let log = File::create(self.folder.join(format!("log-{}.txt", self.incarnation))).unwrap();
        let role = if self.is_core { "control" } else { "entry" };
        let child = Command::new("target/release/currantgate-platform")
            .arg(role)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("HOME", "/tmp")
            .env("CURRANTGATE_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone().unwrap()))
            .stderr(Stdio::from(log))
            .spawn();
        match child {
            Ok(child) => self.child = Some(child),
            Err(e) => {
                eprintln!("target/release/currantgate-platform can't be started: {e}");
                std::process::exit(CANNOT_RUN);
            }
        }
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // Sent only to a process that this case has started and not waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Empties the data directory.
    pub fn lose_disk(&self) {
        let _ = fs::remove_dir_all(self.data());
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Copies the logs beside `record.txt`, for whoever looks into a failure.
    pub fn logs(&self) -> Vec<PathBuf> {
        (1..=self.incarnation)
            .map(|n| self.folder.join(format!("log-{n}.txt")))
            .collect()
    }

    fn settings(&self, seeds: &[SocketAddr], bootstrap: bool, zones: &[&str]) -> String {
        let seeds: Vec<_> = seeds.iter().map(|s| format!("\"{s}\"")).collect();
        let (class, serves) = if self.is_core {
            ("core", "control")
        } else {
            ("frontend", "frontend")
        };
        let mut text = format!(
            "node-name = \"{}\"\nrole = \"{}\"\nmachine-class = \"{class}\"\nserves = [\"{serves}\"]\n\
             ip-address = \"{}\"\nzone = \"{}\"\nregion = \"r\"\n\
             internal-port-range = [{INTERNAL_PORT},{}]\nseeds = [{}]\nbootstrap = {bootstrap}\n\
             counts-toward-tolerance = {}\n",
            self.name,
            if self.is_core { "control" } else { "entry" },
            self.ip,
            self.zone,
            INTERNAL_PORT + 15,
            seeds.join(","),
            self.is_core,
        );
        if self.is_core {
            text += &format!("data-directory = \"{}\"\n", self.data().display());
        }
        text += "discovery = \"registry\"\nentry = \"announce\"\nheartbeat-interval-ms = 1200\n\
                 contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"flows\"]\n\
                 config_mode = \"highest\"\nhash = \"steady\"\nforwarding-mode = \"echo\"\n[zones]\n";
        for zone in zones {
            text += &format!("{zone} = \"r\"\n");
        }
        text += "[listen-addresses]\n";
        if self.is_core {
            text += &format!("control = \"{}\"\n", self.control());
        } else {
            text += &format!(
                "datagram-address = \"{}:{PACKET_PORT}\"\nready = \"{}:{READY_PORT}\"\n",
                self.ip, self.ip
            );
        }
        text += &format!(
            "[limits]\ncpu-share = 0.3\ncores = 1\nmemory-mb = 256\nfile-descriptors = 4096\n\
             link-mbps = 1000.0\ndisk-mb = {}\n",
            if self.is_core { 128 } else { 0 }
        );
        text += &format!(
            "[fault-tolerance]\nmachines = {}\nzones = 1\nregions = 0\n",
            self.tolerated
        );
        text + "[bounds]\nseed-lag-s = 3\nreuse-after-s = 2\nstable-window-ms = 4000\n\
                ack-timeout-ms = 5000\ncatch-up-s = 4\ndrain-ms = 3000\ngrace-s = 6\n\
                loss-slack-ms = 200\nconfig-propagation-ms = 3000\ndowngrade-slack-ms = 250\n\
                outer-bound-ms = 12000\nrecovery-timeout-s = 12\nreorder-window-ms = 2000\n\
                flow-lifetime-s = 60\n"
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// An HTTP response.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub location: Option<String>,
    pub body: String,
}

/// Sends one call and waits at most a second for the response.
pub fn call(to: SocketAddr, method: &str, path: &str, body: &str) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    stream.set_write_timeout(Some(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(body.as_bytes())?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes)?;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (head, body) = text
        .split_once("\r\n\r\n")
        .ok_or_else(|| io::Error::other("the response ends early"))?;
    let mut lines = head.lines();
    let status = lines
        .next()
        .and_then(|l| l.split(' ').nth(1))
        .and_then(|s| s.parse().ok());
    let status = status.ok_or_else(|| io::Error::other("the response has no status"))?;
    let location = lines.find_map(|l| {
        let (name, value) = l.split_once(':')?;
        name.eq_ignore_ascii_case("location")
            .then(|| value.trim().to_string())
    });
    Ok(Answer {
        status,
        location,
        body: body.into(),
    })
}

/// Sends a call to one node and follows a 307 twice, as callers of `control` do.
pub fn call_following(to: SocketAddr, method: &str, path: &str, body: &str) -> io::Result<Answer> {
    let mut at = to;
    for _ in 0..3 {
        let answer = call(at, method, path, body)?;
        if answer.status != 307 {
            return Ok(answer);
        }
        let location = answer.location.clone().unwrap_or_default();
        let rest = location.strip_prefix("http://").unwrap_or(&location);
        let host = rest.split('/').next().unwrap_or_default();
        at = host.parse().map_err(io::Error::other)?;
    }
    Err(io::Error::other("more than two redirects"))
}

pub const REPLACE: &str = "/-/Configuration.Replace";
pub const READ: &str = "/-/Configuration.Read";

/// Sends a configuration to the nodes in turn until one acknowledges it or the time is over.
/// Returns whether it was acknowledged.
pub fn replace(
    record: &Record,
    nodes: &[SocketAddr],
    body: &str,
    what: &str,
    limit: Duration,
) -> bool {
    let deadline = Instant::now() + limit;
    let mut outcomes: Vec<(String, u32)> = Vec::new();
    let mut acknowledged = None;
    'tries: while Instant::now() < deadline {
        for node in nodes {
            let outcome = match call_following(*node, "POST", REPLACE, body) {
                Ok(answer) if answer.status == 200 => {
                    acknowledged = Some(*node);
                    break 'tries;
                }
                Ok(answer) => answer.status.to_string(),
                Err(e) => e.kind().to_string(),
            };
            match outcomes.iter_mut().find(|(name, _)| *name == outcome) {
                Some((_, count)) => *count += 1,
                None => outcomes.push((outcome, 1)),
            }
            thread::sleep(Duration::from_millis(100));
        }
    }
    match acknowledged {
        Some(node) => record.line(&format!("{what}: 200 from {node}, after {outcomes:?}")),
        None => record.line(&format!("{what}: not acknowledged, answers: {outcomes:?}")),
    }
    acknowledged.is_some()
}

/// Reads the configuration from the nodes in turn until one returns it or the time is over.
pub fn read(record: &Record, nodes: &[SocketAddr], what: &str, limit: Duration) -> Option<String> {
    let deadline = Instant::now() + limit;
    let mut outcomes: Vec<(String, u32)> = Vec::new();
    while Instant::now() < deadline {
        for node in nodes {
            let outcome = match call_following(*node, "GET", READ, "") {
                Ok(answer) if answer.status == 200 => {
                    record.line(&format!("{what}: 200 from {node}, after {outcomes:?}"));
                    return Some(answer.body);
                }
                Ok(answer) => answer.status.to_string(),
                Err(e) => e.kind().to_string(),
            };
            match outcomes.iter_mut().find(|(name, _)| *name == outcome) {
                Some((_, count)) => *count += 1,
                None => outcomes.push((outcome, 1)),
            }
            thread::sleep(Duration::from_millis(100));
        }
    }
    record.line(&format!(
        "{what}: no answer with 200, answers: {outcomes:?}"
    ));
    None
}

/// Returns the node that answers a read itself: the one that leads.
pub fn find_leader(nodes: &[SocketAddr], limit: Duration) -> Option<SocketAddr> {
    let deadline = Instant::now() + limit;
    while Instant::now() < deadline {
        for node in nodes {
            if call(*node, "GET", READ, "").is_ok_and(|answer| answer.status == 200) {
                return Some(*node);
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
    None
}

pub fn is_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn to_ip(address: Ipv4Addr) -> IpAddr {
    IpAddr::V4(address)
}

//! A small site on loopback for the cases: starts processes of the project with settings like
//! those of the platform, calls them as an operator or an endpoint does, and writes a record.
//! Uses only the standard library.

use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const PROGRAM: &str = "target/release/currantgate-platform";

pub const SIGTERM: i32 = 15;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Writes what happens to `record.txt`, with the time since the start.
pub struct Record {
    file: File,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        Self {
            file: File::create(path).expect("the record can be written"),
            started: Instant::now(),
        }
    }

    pub fn line(&mut self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        writeln!(self.file, "{at:8.3} s  {text}").expect("the record can be written");
    }
}

/// Ports of a site. They are the same on all machines; each machine has its own address.
#[derive(Clone, Copy)]
pub struct Ports {
    pub net: u8,
    pub internal: u16,
    pub control: u16,
    pub ready: u16,
    pub datagram: u16,
}

impl Ports {
    /// Chooses an address range and ports that are free.
    pub fn free() -> Self {
        let mut seed = u64::from(std::process::id()) ^ unix_ms();
        for _ in 0..200 {
            seed = seed
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            let net = 20 + (seed >> 33) as u8 % 200;
            let first = 20_000 + (seed >> 40) as u16 % 12_000;
            let ports = Self {
                net,
                internal: first,
                control: first + 40,
                ready: first + 41,
                datagram: first + 42,
            };
            let address = ports.machine(1, 1);
            let is_free = |port| TcpListener::bind((address, port)).is_ok();
            if is_free(first)
                && is_free(first + 40)
                && is_free(first + 41)
                && is_free(9464)
                && UdpSocket::bind((address, first + 42)).is_ok()
            {
                return ports;
            }
        }
        panic!("no free ports");
    }

    /// Returns the address of a machine.
    pub fn machine(&self, group: u8, n: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, group, n)
    }
}

/// A machine that runs one process of the project.
pub struct Machine {
    pub name: String,
    pub address: Ipv4Addr,
    ports: Ports,
    role: &'static str,
    zone: &'static str,
    folder: PathBuf,
    child: Option<Child>,
}

impl Machine {
    pub fn new(
        folder: &Path,
        ports: Ports,
        role: &'static str,
        (group, n): (u8, u8),
        zone: &'static str,
    ) -> Self {
        let name = format!("{role}-{zone}-{n}");
        let folder = folder.join(&name);
        fs::create_dir_all(folder.join("data")).expect("the folder can be created");
        Self {
            name,
            address: ports.machine(group, n),
            ports,
            role,
            zone,
            folder,
            child: None,
        }
    }

    pub fn control_address(&self) -> SocketAddr {
        (self.address, self.ports.control).into()
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self, seeds: &[SocketAddr], bootstrap: bool) {
        let seeds: Vec<_> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let Self { address, ports, .. } = self;
        let (class, serves, listen, data) = if self.role == "control" {
            let data = format!("data-directory = \"{}\"\n", self.folder.join("data").display());
            let listen = format!("control = \"{address}:{}\"", ports.control);
            ("core", "control", listen, data)
        } else {
            let listen = format!(
                "datagram-address = \"{address}:{}\"\nready = \"{address}:{}\"",
                ports.datagram, ports.ready
            );
            ("frontend", "frontend", listen, String::new())
        };
        let settings = format!(
            "node-name = \"{name}\"\nrole = \"{role}\"\nmachine-class = \"{class}\"\n\
             serves = [\"{serves}\"]\nip-address = \"{address}\"\nzone = \"{zone}\"\n\
             region = \"lhr\"\ninternal-port-range = [{first},{last}]\nseeds = [{seeds}]\n\
             bootstrap = {bootstrap}\ncounts-toward-tolerance = {counts}\n{data}\
             discovery = \"registry\"\nentry = \"announce\"\nheartbeat-interval-ms = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"flows\"]\n\
             config_mode = \"highest\"\nhash = \"steady\"\nforwarding-mode = \"echo\"\n\
             [zones]\nlhr-a = \"lhr\"\nlhr-b = \"lhr\"\nlhr-c = \"lhr\"\n\
             [listen-addresses]\n{listen}\n\
             [limits]\ncpu-share = 0.25\ncores = 1\nmemory-mb = 260\nfile-descriptors = 4100\n\
             link-mbps = 1000.0\ndisk-mb = 128\n\
             [fault-tolerance]\nmachines = 1\nzones = 1\nregions = 0\n\
             [bounds]\nseed-lag-s = 3\nreuse-after-s = 2\nstable-window-ms = 4000\n\
             ack-timeout-ms = 5000\ncatch-up-s = 4\ndrain-ms = 3000\ngrace-s = 6\n\
             loss-slack-ms = 200\nconfig-propagation-ms = 3000\ndowngrade-slack-ms = 250\n\
             outer-bound-ms = 12000\nrecovery-timeout-s = 12\nreorder-window-ms = 2000\n\
             flow-lifetime-s = 60\n",
            name = self.name,
            role = self.role,
            zone = self.zone,
            first = ports.internal,
            last = ports.internal + 15,
            seeds = seeds.join(","),
            counts = self.role == "control",
        );
        let path = self.folder.join("settings.toml");
        fs::write(&path, settings).expect("the settings can be written");
        let log = File::create(self.folder.join("log")).expect("the log can be written");
        let child = Command::new(PROGRAM)
            .arg(self.role)
            .env("CURRANTGATE_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .unwrap_or_else(|e| fail_to_run(&format!("{PROGRAM} can't be started: {e}")));
        self.child = Some(child);
    }

    /// Returns whether the process has not ended.
    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    pub fn signal(&mut self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: the process was started here and has not been waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Stops the process as the platform does: SIGTERM, then SIGKILL after the grace.
    /// Returns the time that it took.
    pub fn stop(&mut self) -> Duration {
        let since = Instant::now();
        self.signal(SIGTERM);
        while self.is_running() && since.elapsed() < Duration::from_secs(6) {
            sleep(Duration::from_millis(10));
        }
        self.kill();
        since.elapsed()
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Ends the script because the case can't run.
pub fn fail_to_run(problem: &str) -> ! {
    eprintln!("the case can't run: {problem}");
    std::process::exit(2)
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

/// The answer to an HTTP call.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub location: Option<SocketAddr>,
    pub body: String,
}

/// Sends one HTTP/1.1 call and waits a second for its answer.
pub fn call(to: SocketAddr, method: &str, path: &str, body: &str) -> Option<Answer> {
    let limit = Duration::from_secs(1);
    let mut stream = TcpStream::connect_timeout(&to, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_write_timeout(Some(limit)).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let until = Instant::now() + limit;
    let mut bytes = Vec::new();
    let mut buf = [0; 16_384];
    while Instant::now() < until {
        match stream.read(&mut buf) {
            Ok(0) => break,
            Ok(len) => bytes.extend_from_slice(&buf[..len]),
            Err(_) => break,
        }
    }
    let text = String::from_utf8(bytes).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let header = |name: &str| {
        head.lines()
            .filter_map(|line| line.split_once(':'))
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.trim().to_owned())
    };
    let length: Option<usize> = header("content-length").and_then(|l| l.parse().ok());
    if length.is_some_and(|length| length != body.len()) {
        return None;
    }
    let location = header("location").and_then(|location| {
        let rest = location.strip_prefix("http://")?;
        rest.split('/').next()?.parse().ok()
    });
    Some(Answer {
        status,
        location,
        body: body.to_owned(),
    })
}

/// Sends a call and follows a 307 twice, as callers of `control` do.
pub fn call_followed(to: SocketAddr, method: &str, path: &str, body: &str) -> Option<Answer> {
    let mut answer = call(to, method, path, body)?;
    for _ in 0..2 {
        match (answer.status, answer.location) {
            (307, Some(next)) => answer = call(next, method, path, body)?,
            _ => break,
        }
    }
    Some(answer)
}

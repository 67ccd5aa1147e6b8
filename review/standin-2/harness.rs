//! Stand-ins of the platform, the operator, endpoints and clients, as PROTOCOL.md describes
//! them, and the processes of a small deployment on loopback addresses. Standard library only.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt as _;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const CONFIG_PROPAGATION: Duration = Duration::from_millis(3_000);
pub const STABLE_WINDOW: Duration = Duration::from_millis(4_000);
pub const CATCH_UP: Duration = Duration::from_millis(4_000);
pub const DRAIN: Duration = Duration::from_millis(3_000);
pub const RECOVERY_TIMEOUT: Duration = Duration::from_millis(12_000);
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);

const SYN: u8 = 2;
const ACK: u8 = 128;
const FIN: u8 = 16;
const RST: u8 = 1;

unsafe extern "C" {
    /// Of the system's C library, which the standard library links.
    fn prctl(option: i32, signal: usize, ...) -> i32;
}

/// Has the process killed when this one ends, however it ends.
fn end_with_parent() -> std::io::Result<()> {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: usize = 9;
    match unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) } {
        0 => Ok(()),
        _ => Err(std::io::Error::last_os_error()),
    }
}

pub fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<fs::File>>,
    started: Instant,
}

impl Record {
    pub fn create() -> Self {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
        let file = fs::File::create(path).expect("the record can be written");
        Self {
            file: Arc::new(Mutex::new(file)),
            started: Instant::now(),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {text}");
    }
}

/// Exits with 2: the case could not run.
pub fn cannot_run(record: &Record, why: &str) -> ! {
    record.line(&format!("the case could not run: {why}"));
    eprintln!("the case could not run: {why}");
    CHILDREN
        .lock()
        .unwrap()
        .drain(..)
        .for_each(|pid| signal(pid, "KILL"));
    std::process::exit(2);
}

static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

pub fn signal(pid: u32, name: &str) {
    let command = format!("kill -{name} {pid}");
    let _ = Command::new("sh")
        .args(["-c", &command])
        .stderr(Stdio::null())
        .status();
}

/// Ports and addresses of a deployment in 127.`net`.0.0/16.
#[derive(Clone, Copy, Debug)]
pub struct Net {
    pub net: u8,
    pub internal: u16,
    pub control: u16,
    pub ready: u16,
    pub packets: u16,
    pub upstream: u16,
}

impl Net {
    /// Chooses a network whose ports are free.
    pub fn choose(record: &Record) -> Self {
        let start = std::process::id();
        for n in 0..100_u32 {
            let net = 40 + ((start + n * 7) % 180) as u8;
            let base = 21_000 + ((start + n) % 100) as u16 * 100;
            let found = Self {
                net,
                internal: base,
                control: base + 40,
                ready: base + 41,
                packets: base + 42,
                upstream: base + 43,
            };
            let mut tcp = vec![found.internal, found.control, found.ready, 9_464];
            tcp.retain(|port| {
                TcpListener::bind(SocketAddr::from((found.ip(1, 1), *port))).is_err()
                    || TcpListener::bind(SocketAddr::from((found.ip(2, 1), *port))).is_err()
            });
            let udp = UdpSocket::bind(SocketAddr::from((found.ip(4, 1), found.packets)));
            if tcp.is_empty() && udp.is_ok() {
                record.line(&format!("addresses 127.{net}.0.0/16, first port {base}"));
                return found;
            }
        }
        cannot_run(record, "no free ports")
    }

    pub fn ip(&self, group: u8, n: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, group, n)
    }

    /// The control address of core machine `n`.
    pub fn control_address(&self, n: u8) -> SocketAddr {
        (self.ip(1, n), self.control).into()
    }
}

/// One process of the system on a machine of its own.
pub struct Machine {
    pub role: &'static str,
    pub name: String,
    net: Net,
    ip: Ipv4Addr,
    zone: &'static str,
    folder: PathBuf,
    child: Option<Child>,
    starts: u32,
    record: Record,
}

impl Machine {
    pub fn control(net: Net, n: u8, zone: &'static str, folder: &PathBuf, record: &Record) -> Self {
        Self::new(
            net,
            "control",
            net.ip(1, n),
            format!("core-{zone}-{n}"),
            zone,
            folder,
            record,
        )
    }

    pub fn entry(net: Net, n: u8, zone: &'static str, folder: &PathBuf, record: &Record) -> Self {
        Self::new(
            net,
            "entry",
            net.ip(2, n),
            format!("frontend-{zone}-{n}"),
            zone,
            folder,
            record,
        )
    }

    fn new(
        net: Net,
        role: &'static str,
        ip: Ipv4Addr,
        name: String,
        zone: &'static str,
        folder: &PathBuf,
        record: &Record,
    ) -> Self {
        let folder = folder.join(&name);
        fs::create_dir_all(&folder).expect("the folder can be created");
        let record = record.clone();
        Self {
            role,
            name,
            net,
            ip,
            zone,
            folder,
            child: None,
            starts: 0,
            record,
        }
    }

    pub fn packet_address(&self) -> SocketAddr {
        (self.ip, self.net.packets).into()
    }

    /// Writes the settings file, as the platform does at every start.
    pub fn write_settings(&self, seeds: &[SocketAddr], bootstrap: bool) {
        let Net {
            internal,
            control,
            ready,
            packets,
            ..
        } = self.net;
        let ip = self.ip;
        let seeds: Vec<_> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let (class, serves, listen, data) = if self.role == "control" {
            let data = format!(
                "data-directory = \"{}\"\n",
                self.folder.join("data").display()
            );
            (
                "core",
                "control",
                format!("control = \"{ip}:{control}\""),
                data,
            )
        } else {
            let listen = format!("datagram-address = \"{ip}:{packets}\"\nready = \"{ip}:{ready}\"");
            ("frontend", "frontend", listen, String::new())
        };
        let text = format!(
            "node-name = \"{}\"\nrole = \"{}\"\nmachine-class = \"{class}\"\n\
             serves = [\"{serves}\"]\nip-address = \"{ip}\"\nzone = \"{}\"\nregion = \"r\"\n\
             internal-port-range = [{internal},{}]\nseeds = [{}]\nbootstrap = {bootstrap}\n\
             counts-toward-tolerance = {}\n{data}discovery = \"registry\"\nentry = \"announce\"\n\
             heartbeat-interval-ms = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"flows\"]\n\
             config_mode = \"highest\"\nhash = \"steady\"\nforwarding-mode = \"echo\"\n\
             [zones]\na = \"r\"\nb = \"r\"\nc = \"r\"\nd = \"r\"\n\
             [listen-addresses]\n{listen}\n\
             [limits]\ncpu-share = 0.3\ncores = 1\nmemory-mb = 256\nfile-descriptors = 4096\n\
             link-mbps = 1000.0\ndisk-mb = 128\n\
             [fault-tolerance]\nmachines = 1\nzones = 1\nregions = 0\n\
             [bounds]\nseed-lag-s = 3\nreuse-after-s = 2\nstable-window-ms = 4000\n\
             ack-timeout-ms = 5000\ncatch-up-s = 4\ndrain-ms = 3000\ngrace-s = 6\n\
             loss-slack-ms = 200\nconfig-propagation-ms = 3000\ndowngrade-slack-ms = 250\n\
             outer-bound-ms = 12000\nrecovery-timeout-s = 12\nreorder-window-ms = 2000\n\
             flow-lifetime-s = 60\n",
            self.name,
            self.role,
            self.zone,
            internal + 15,
            seeds.join(","),
            self.role == "control",
        );
        fs::write(self.folder.join("settings.toml"), text).expect("settings can be written");
    }

    /// Starts the process with the command of the deploy file and the settings file as it is.
    pub fn start(&mut self) {
        self.starts += 1;
        let log = fs::File::create(self.folder.join(format!("{}.log", self.starts))).unwrap();
        let errors = log.try_clone().unwrap();
        let mut command = Command::new("target/release/currantgate-platform");
        unsafe { command.pre_exec(end_with_parent) };
        let child = command
            .arg(self.role)
            .env("CURRANTGATE_SETTINGS", self.folder.join("settings.toml"))
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        match child {
            Ok(child) => {
                self.record
                    .line(&format!("{} is started, process {}", self.name, child.id()));
                CHILDREN.lock().unwrap().push(child.id());
                self.child = Some(child);
            }
            Err(e) => cannot_run(&self.record, &format!("{}: {e}", self.name)),
        }
    }

    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            self.record.line(&format!("{} gets SIG{name}", self.name));
            signal(child.id(), name);
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            self.record.line(&format!("{} gets SIGKILL", self.name));
            let _ = child.kill();
            let _ = child.wait();
            CHILDREN.lock().unwrap().retain(|pid| *pid != child.id());
        }
    }

    /// Sends SIGTERM, and SIGKILL after `grace-s`, as the platform does.
    pub fn stop(&mut self) {
        self.signal("TERM");
        let deadline = Instant::now() + millis(6_000);
        while self.is_running() && Instant::now() < deadline {
            thread::sleep(millis(20));
        }
        if self.is_running() {
            self.kill();
        } else if let Some(child) = self.child.take() {
            self.record.line(&format!("{} has exited", self.name));
            CHILDREN.lock().unwrap().retain(|pid| *pid != child.id());
        }
    }

    /// Deletes the data directory of the process, which must not be running.
    pub fn delete_data(&self) {
        let data = self.folder.join("data");
        if fs::remove_dir_all(&data).is_ok() {
            self.record
                .line(&format!("{} has an empty disk", self.name));
        }
    }

    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| child.try_wait().ok().flatten().is_none())
    }

    pub fn is_ready(&self) -> bool {
        let address = SocketAddr::from((self.ip, self.net.ready));
        http(address, "GET", "/-/readiness", "", millis(500)).is_some_and(|a| a.status == 200)
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// An HTTP response.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub location: Option<String>,
    pub body: String,
}

/// Sends one HTTP request; nothing without a whole response in time.
pub fn http(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> Option<Answer> {
    let deadline = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&to, limit).ok()?;
    stream.set_read_timeout(Some(millis(50))).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut bytes = Vec::new();
    let mut buf = [0; 65_536];
    while Instant::now() < deadline {
        match stream.read(&mut buf) {
            Ok(0) => break,
            Ok(len) => bytes.extend_from_slice(&buf[..len]),
            Err(e)
                if matches!(
                    e.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                ) => {}
            Err(_) => return None,
        }
    }
    let text = String::from_utf8(bytes).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let field = |name: &str| {
        let mut lines = head.lines();
        lines.find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name)
                .then(|| value.trim().to_string())
        })
    };
    let len: usize = field("content-length")?.parse().ok()?;
    (body.len() == len).then(|| Answer {
        status,
        location: field("location"),
        body: body.into(),
    })
}

/// Sends a call to the control machines in turn, following a 307 twice, until one answers it
/// with a status other than 5xx, 408 or 429, or `deadline` passes.
pub fn operator_call(
    record: &Record,
    controls: &[SocketAddr],
    method: &str,
    path: &str,
    body: &str,
    deadline: Instant,
) -> Option<Answer> {
    let mut pause = millis(50);
    while Instant::now() < deadline {
        for control in controls {
            let mut to = *control;
            for _ in 0..3 {
                let answer = http(to, method, path, body, millis(1_000));
                let status = answer.as_ref().map_or(0, |a| a.status);
                if status != 0 {
                    record.line(&format!("operator: {method} {path} at {to}: {status}"));
                }
                match answer {
                    Some(a) if a.status == 307 => {
                        let location = a.location.unwrap_or_default();
                        let host = location.trim_start_matches("http://");
                        let host = host.split('/').next().unwrap_or_default().to_string();
                        match host.parse() {
                            Ok(next) => to = next,
                            Err(_) => break,
                        }
                    }
                    Some(a) if a.status < 500 && a.status != 408 && a.status != 429 => {
                        return Some(a);
                    }
                    _ => break,
                }
            }
        }
        thread::sleep(pause);
        pause = (pause * 2).min(millis(400));
    }
    None
}

/// A route of a configuration: port and service.
pub fn configuration(
    version: u64,
    host: Ipv4Addr,
    routes: &[(u16, &str)],
    services: &[&str],
) -> String {
    let routes: Vec<_> = routes
        .iter()
        .map(|(port, service)| {
            format!(
                "{{\"name\":\"r-{port}\",\"host\":\"{host}\",\"path-prefix\":\"/{port}/\",\
                 \"kind\":\"unsafe\",\"timeout-ms\":1500,\"target-latency-ms\":150,\"priority\":1,\
                 \"service\":\"{service}\",\"attempts\":2}}"
            )
        })
        .collect();
    let services: Vec<_> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"health-check-path\":\"/health\",\"max-connections\":2000,\
                 \"protocol\":\"h1\",\"tls\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\
         \"max-header-bytes\":16384,\"max-body-bytes\":262144,\"header-timeout-ms\":3000,\
         \"idle-timeout-ms\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

/// A packet of a flow.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Packet {
    pub echo: u32,
    pub flags: u8,
    pub seq: u32,
    pub ack: u32,
    pub src: u32,
    pub sport: u16,
    pub dst: u32,
    pub dport: u16,
    pub data: Vec<u8>,
}

impl Packet {
    /// The keyed sum over all fields but echo and pad.
    fn sum(&self) -> u32 {
        let mut hash: u32 = 0x51ed_270b;
        let numbers = [
            self.seq,
            self.ack,
            self.src,
            self.dst,
            self.flags.into(),
            self.sport.into(),
            self.dport.into(),
            self.data.len() as u32,
        ];
        let bytes = numbers
            .iter()
            .flat_map(|n| n.to_be_bytes())
            .chain(self.data.iter().copied());
        for byte in bytes {
            hash = (hash ^ u32::from(byte)).wrapping_mul(16_777_619);
        }
        hash | 1
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![0; 36];
        bytes[0..4].copy_from_slice(&self.echo.to_be_bytes());
        bytes[4..8].copy_from_slice(&self.sum().to_be_bytes());
        bytes[8..10].copy_from_slice(&(self.data.len() as u16).to_be_bytes());
        bytes[10] = self.flags;
        bytes[16..20].copy_from_slice(&self.seq.to_be_bytes());
        bytes[20..24].copy_from_slice(&self.ack.to_be_bytes());
        bytes[24..28].copy_from_slice(&self.src.to_be_bytes());
        bytes[28..32].copy_from_slice(&self.dst.to_be_bytes());
        bytes[32..34].copy_from_slice(&self.dport.to_be_bytes());
        bytes[34..36].copy_from_slice(&self.sport.to_be_bytes());
        bytes.extend_from_slice(&self.data);
        bytes
    }

    /// Returns the packet and whether its sum is right.
    pub fn decode(bytes: &[u8]) -> Option<(Self, bool)> {
        if bytes.len() < 36 {
            return None;
        }
        let u16_at = |at: usize| u16::from_be_bytes([bytes[at], bytes[at + 1]]);
        let u32_at = |at: usize| u32::from_be_bytes(bytes[at..at + 4].try_into().unwrap());
        let packet = Self {
            echo: u32_at(0),
            flags: bytes[10],
            seq: u32_at(16),
            ack: u32_at(20),
            src: u32_at(24),
            dst: u32_at(28),
            dport: u16_at(32),
            sport: u16_at(34),
            data: bytes[36..].to_vec(),
        };
        let is_right = u32_at(4) == packet.sum();
        Some((packet, is_right))
    }

    /// An empty packet in the other direction of the same flow.
    fn reply(&self, flags: u8) -> Self {
        Self {
            echo: self.echo,
            flags,
            src: self.dst,
            sport: self.dport,
            dst: self.src,
            dport: self.sport,
            ..Self::default()
        }
    }
}

/// What an endpoint has run: the attempt id of each request.
pub type Runs = Arc<Mutex<Vec<String>>>;

/// An endpoint: serves flows and sends heartbeats.
pub struct Endpoint {
    pub id: String,
    pub service: String,
    pub runs: Runs,
    state: Arc<Mutex<&'static str>>,
    /// The control machines that it calls, the one in use first.
    pub controls: Arc<Mutex<Vec<SocketAddr>>>,
    /// Time at which the last heartbeat was acknowledged, with the state that it had.
    pub acknowledged: Arc<Mutex<Option<(Instant, &'static str, SocketAddr)>>>,
    is_down: Arc<AtomicBool>,
}

impl Endpoint {
    pub fn start(
        record: &Record,
        net: Net,
        n: u8,
        service: &str,
        zone: &'static str,
        controls: Vec<SocketAddr>,
    ) -> Self {
        let number = 0x7f3a_9100_u64 + u64::from(n);
        let id = format!("i-{number:08x}");
        let address = SocketAddr::from((net.ip(3, n), net.upstream));
        let Ok(socket) = UdpSocket::bind(address) else {
            cannot_run(record, &format!("{address} is in use"));
        };
        socket.set_read_timeout(Some(millis(50))).unwrap();
        let endpoint = Self {
            id: id.clone(),
            service: service.into(),
            runs: Arc::default(),
            state: Arc::new(Mutex::new("ready")),
            controls: Arc::new(Mutex::new(controls)),
            acknowledged: Arc::default(),
            is_down: Arc::default(),
        };
        let (record2, service2, runs) = (
            record.clone(),
            endpoint.service.clone(),
            Arc::clone(&endpoint.runs),
        );
        let (id2, is_down) = (id.clone(), Arc::clone(&endpoint.is_down));
        thread::spawn(move || {
            serve(
                &record2, net, &socket, number, &id2, &service2, &runs, &is_down,
            )
        });
        let (controls, state) = (Arc::clone(&endpoint.controls), Arc::clone(&endpoint.state));
        let (acked, is_down) = (
            Arc::clone(&endpoint.acknowledged),
            Arc::clone(&endpoint.is_down),
        );
        let (record, service) = (record.clone(), endpoint.service.clone());
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis();
        thread::spawn(move || {
            let mut sequence = 0;
            let mut last = None;
            while !is_down.load(Ordering::Relaxed) {
                let current = *state.lock().unwrap();
                let targets = controls.lock().unwrap().clone();
                for to in targets {
                    sequence += 1;
                    let body = format!(
                        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
                         \"version\":\"v1\",\"slots\":3,\"state\":\"{current}\",\
                         \"cold-remaining-ms\":0,\"sequence\":{sequence},\"born\":{born}}}"
                    );
                    let path = format!("/-/Instances.Heartbeat/{id}");
                    let answer = http(to, "POST", &path, &body, millis(1_000));
                    if answer.is_some_and(|a| a.status / 100 == 2) {
                        if last != Some((current, to)) {
                            record.line(&format!(
                                "endpoint {id}: `{current}` is acknowledged by {to}"
                            ));
                            last = Some((current, to));
                        }
                        *acked.lock().unwrap() = Some((Instant::now(), current, to));
                        // Later heartbeats go to the machine that answered.
                        let mut controls = controls.lock().unwrap();
                        if let Some(at) = controls.iter().position(|c| *c == to) {
                            controls.rotate_left(at);
                        }
                        break;
                    }
                }
                let until = Instant::now() + HEARTBEAT_INTERVAL;
                while Instant::now() < until && *state.lock().unwrap() == current {
                    thread::sleep(millis(10));
                }
            }
        });
        endpoint
    }

    pub fn set_state(&self, state: &'static str) {
        *self.state.lock().unwrap() = state;
    }

    /// Returns when `state` was acknowledged, once it is.
    pub fn wait_for_ack(&self, record: &Record, wanted: &'static str, limit: Duration) -> Instant {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if let Some((at, state, _)) = *self.acknowledged.lock().unwrap()
                && state == wanted
            {
                return at;
            }
            thread::sleep(millis(5));
        }
        cannot_run(
            record,
            &format!("`{wanted}` of {} is not acknowledged", self.id),
        )
    }

    /// Crashes: it neither serves nor reports any more.
    pub fn crash(&self) {
        self.is_down.store(true, Ordering::Relaxed);
    }
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        self.crash();
    }
}

/// Serves the flows of an endpoint. A request runs when its packet acknowledges the
/// endpoint's own sequence number.
#[allow(clippy::too_many_arguments)]
fn serve(
    record: &Record,
    net: Net,
    socket: &UdpSocket,
    number: u64,
    id: &str,
    service: &str,
    runs: &Runs,
    is_down: &AtomicBool,
) {
    let mut flows: HashMap<(u32, u16, u32, u16), (u32, Option<Vec<u8>>)> = HashMap::new();
    let mut next_seq = 0x4000_0000_u32.wrapping_add(number as u32);
    let mut buf = [0; 2_048];
    while !is_down.load(Ordering::Relaxed) {
        let Ok((len, _)) = socket.recv_from(&mut buf) else {
            continue;
        };
        if len < 8 {
            continue;
        }
        let wanted = u64::from_be_bytes(buf[..8].try_into().unwrap());
        if wanted != 0 && wanted != number {
            continue;
        }
        let Some((packet, is_right)) = Packet::decode(&buf[8..len]) else {
            continue;
        };
        if !is_right {
            record.line(&format!("endpoint {id}: a packet with a wrong sum"));
            continue;
        }
        let client = SocketAddr::from((Ipv4Addr::from(packet.src), net.packets));
        let send = |reply: &Packet| {
            let _ = socket.send_to(&reply.encode(), client);
        };
        let key = (packet.src, packet.sport, packet.dst, packet.dport);
        if packet.flags == SYN {
            let (seq, _) = *flows.entry(key).or_insert_with(|| {
                {
                    next_seq = next_seq.wrapping_add(0x1_0000);
                    (next_seq, None)
                }
                .clone()
            });
            let reply = Packet {
                seq,
                ack: packet.seq.wrapping_add(1),
                ..packet.reply(SYN | ACK)
            };
            send(&reply);
            continue;
        }
        if packet.flags & RST != 0 {
            flows.remove(&key);
            continue;
        }
        let Some((seq, answered)) = flows.get_mut(&key) else {
            send(&packet.reply(RST | ACK));
            continue;
        };
        if packet.data.is_empty() {
            continue;
        }
        if answered.is_none() && packet.ack == seq.wrapping_add(1) {
            let text = String::from_utf8_lossy(&packet.data).to_string();
            let attempt = text
                .lines()
                .find_map(|l| l.strip_prefix("X-Request-Attempt-Id: "));
            let attempt = attempt.unwrap_or("none").to_string();
            record.line(&format!("endpoint {id} of {service} runs {attempt}"));
            runs.lock().unwrap().push(attempt.clone());
            let body = format!("{service} {attempt}");
            let response = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\nX-Response-Signature: {id}\r\n\r\n{body}",
                body.len()
            );
            *answered = Some(response.into_bytes());
        }
        if let Some(data) = answered {
            let reply = Packet {
                seq: seq.wrapping_add(1),
                ack: packet.seq.wrapping_add(packet.data.len() as u32),
                data: data.clone(),
                ..packet.reply(ACK | FIN)
            };
            send(&reply);
        }
    }
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The body of a success.
    Answered(String),
    Reset,
    NoAnswer,
}

/// Clients at one address, each attempt with a flow and a port of its own.
pub struct Client {
    socket: UdpSocket,
    ip: Ipv4Addr,
    next_port: AtomicU32,
    record: Record,
}

impl Client {
    pub fn new(record: &Record, net: Net, n: u8) -> Self {
        let ip = net.ip(4, n);
        let Ok(socket) = UdpSocket::bind(SocketAddr::from((ip, net.packets))) else {
            cannot_run(record, "the address of the clients is in use");
        };
        socket.set_read_timeout(Some(millis(20))).unwrap();
        Self {
            socket,
            ip,
            next_port: AtomicU32::new(40_000),
            record: record.clone(),
        }
    }

    /// Sends one request through an entry; one at a time.
    pub fn request(
        &self,
        entry: SocketAddr,
        to: SocketAddrV4,
        attempt: &str,
        deadline: Duration,
    ) -> Outcome {
        let sport = self.next_port.fetch_add(1, Ordering::Relaxed) as u16;
        let started = Instant::now();
        let seq = 0x1122_0000_u32.wrapping_add(u32::from(sport));
        let base = Packet {
            src: self.ip.to_bits(),
            sport,
            dst: to.ip().to_bits(),
            dport: to.port(),
            ..Packet::default()
        };
        let request = format!(
            "POST /run HTTP/1.1\r\nHost: {to}\r\nX-Request-Attempt-Id: {attempt}\r\nContent-Length: 0\r\n\r\n"
        );
        let mut copies = 0;
        let mut open: Option<(u32, u32)> = None;
        let mut resend_at = started;
        let mut pause = millis(200);
        let mut buf = [0; 2_048];
        let outcome = loop {
            let now = Instant::now();
            let age = now - started;
            if age >= deadline || (open.is_none() && age >= millis(1_400)) {
                break Outcome::NoAnswer;
            }
            if let Some((echo, peer_seq)) = open {
                if now >= resend_at {
                    let packet = Packet {
                        echo,
                        flags: ACK,
                        seq: seq.wrapping_add(1),
                        ack: peer_seq.wrapping_add(1),
                        data: request.clone().into_bytes(),
                        ..base.clone()
                    };
                    let _ = self.socket.send_to(&packet.encode(), entry);
                    resend_at = now + pause;
                    pause = (pause * 2).min(millis(1_600));
                }
            } else if copies < 3 && age >= [millis(0), millis(200), millis(600)][copies] {
                let packet = Packet {
                    flags: SYN,
                    seq,
                    ack: copies as u32,
                    ..base.clone()
                };
                let _ = self.socket.send_to(&packet.encode(), entry);
                copies += 1;
            }
            let Ok((len, _)) = self.socket.recv_from(&mut buf) else {
                continue;
            };
            let Some((packet, is_right)) = Packet::decode(&buf[..len]) else {
                continue;
            };
            if packet.dport != sport || packet.src != base.dst || packet.sport != base.dport {
                continue;
            }
            if packet.flags & RST != 0 {
                break Outcome::Reset;
            }
            if !is_right {
                self.record
                    .line(&format!("client: {attempt}: a packet with a wrong sum"));
                continue;
            }
            if packet.flags == SYN | ACK && open.is_none() {
                open = Some((packet.echo, packet.seq));
                resend_at = Instant::now();
            } else if !packet.data.is_empty()
                && let Some((echo, _)) = open
            {
                let last = Packet {
                    echo,
                    flags: ACK | FIN,
                    seq: seq.wrapping_add(1 + request.len() as u32),
                    ack: packet.seq.wrapping_add(packet.data.len() as u32 + 1),
                    ..base.clone()
                };
                let _ = self.socket.send_to(&last.encode(), entry);
                let text = String::from_utf8_lossy(&packet.data).to_string();
                let body = text
                    .split_once("\r\n\r\n")
                    .map(|(_, body)| body.to_string());
                break Outcome::Answered(body.unwrap_or_default());
            }
        };
        self.record.line(&format!(
            "client: {attempt} through {entry} to {to}: {outcome:?}"
        ));
        outcome
    }
}

/// A temporary folder that is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Self {
        let path = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder can be created");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.0);
        } else {
            eprintln!("kept: {}", self.0.display());
        }
    }
}

pub fn wait_until(record: &Record, what: &str, limit: Duration, mut done: impl FnMut() -> bool) {
    let deadline = Instant::now() + limit;
    while !done() {
        if Instant::now() >= deadline {
            cannot_run(record, what);
        }
        thread::sleep(millis(50));
    }
}

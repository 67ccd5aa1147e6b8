//! A test fixture with one entry on loopback.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

use currantgate::{Entry, EntrySockets};
use currantgate_config::{EntryListen, EntrySettings, Site};

/// Time within which an expected condition must hold.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The site file of the tests.
pub(crate) const SITE: &str = r#"
domains = ["riga-1", "riga-2"]

[[service]]
name = "booking"
address = "127.20.0.1:443"
domains = ["riga-1"]
"#;

/// One entry without peers, and a socket that acts as the fabric and all other senders.
pub(crate) struct Fixture {
    pub(crate) entry: Entry,
    pub(crate) remote: UdpSocket,
}

impl Fixture {
    /// Starts the entry on ports assigned by the operating system.
    pub(crate) fn start() -> Self {
        Self::start_with(|_| {})
    }

    /// Starts the entry with settings modified by `change`.
    pub(crate) fn start_with(change: impl FnOnce(&mut EntrySettings)) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listen = EntryListen {
            fabric: any,
            tunnel: any,
            peer: any,
            announce: any,
            metrics: any,
        };
        let sockets = EntrySockets::bind(&listen).unwrap();
        let remote = UdpSocket::bind(any).unwrap();
        remote.set_nonblocking(true).unwrap();
        let mut settings = EntrySettings {
            id: 1,
            domain: "riga-1".into(),
            site: "site.toml".into(),
            control: None,
            data: None,
            listen: sockets.addresses().unwrap(),
            fabric: remote.local_addr().unwrap(),
            peers: Vec::new(),
            budget: Default::default(),
            flow: Default::default(),
        };
        change(&mut settings);
        let site = Site::parse(SITE, "site.toml").unwrap();
        let entry = Entry::start(&settings, &site, sockets).unwrap();
        Self { entry, remote }
    }

    /// Returns the text of `/metrics`.
    pub(crate) async fn metrics(&self) -> String {
        let url = format!("http://{}/metrics", self.entry.addresses().metrics);
        let mut answer = awc::Client::default().get(url).send().await.unwrap();
        let body = answer.body().await.unwrap();
        String::from_utf8(body.to_vec()).unwrap()
    }

    /// Returns the value of the first sample of `/metrics` whose line starts with `name`.
    pub(crate) async fn sample(&self, name: &str) -> Option<f64> {
        let text = self.metrics().await;
        let line = text.lines().find(|line| line.starts_with(name))?;
        line.rsplit(' ').next()?.parse().ok()
    }

    /// Waits until the sample that starts with `name` is at least `value`.
    pub(crate) async fn wait_for_sample(&self, name: &str, value: f64) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while self.sample(name).await.unwrap_or(0.0) < value {
            assert!(Instant::now() < deadline, "{name} stays below {value}");
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Sends an announcement and returns the status of the response.
    pub(crate) async fn announce(&self, path: &str, body: String) -> u16 {
        let address = self.entry.addresses().announce;
        let url = format!("http://{address}/v1/upstreams/{path}");
        let request = awc::Client::default()
            .put(url)
            .content_type("application/json");
        request.send_body(body).await.unwrap().status().as_u16()
    }

    /// Waits for a datagram from the entry.
    pub(crate) async fn receive(&self) -> Vec<u8> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let mut buf = [0; 2_048];
        loop {
            if let Ok((len, _)) = self.remote.recv_from(&mut buf) {
                return buf[..len].to_vec();
            }
            assert!(Instant::now() < deadline, "the entry sent nothing");
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Builds a TCP SYN from a caller to `service`.
pub(crate) fn syn(service: SocketAddr) -> Vec<u8> {
    let SocketAddr::V4(service) = service else {
        panic!("the tests use IPv4");
    };
    let builder = etherparse::PacketBuilder::ipv4([127, 30, 0, 1], service.ip().octets(), 64)
        .tcp(40_000, service.port(), 1, 65_000)
        .syn();
    let mut buf = Vec::new();
    builder.write(&mut buf, &[]).unwrap();
    buf
}

//! A test fixture with one relay on loopback, its callers and mock upstreams.

#![allow(dead_code, reason = "each test file uses a part of it")]

pub(crate) mod mock_upstream;

use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use currantgate::{Relay, RelaySockets};
use currantgate_config::{DispatchSettings, RelayListen, RelaySettings, RelayedService, Site};
use h2::client::SendRequest;
use h2::{RecvStream, client};
use http::{HeaderMap, Request, Response, StatusCode};
use mock_upstream::MockUpstream;
use tokio::net::TcpStream;

/// The site file of the tests.
pub(crate) const SITE: &str = r#"
domains = ["riga-1"]

[[service]]
name = "booking"
address = "127.20.0.1:443"
requests.repeatable = [{ methods = ["GET"], path_prefix = "/free" }]

[[service]]
name = "raw"
address = "127.20.0.2:443"
requests.protocol = "tcp"
"#;

/// One relay and the addresses that it is bound to.
pub(crate) struct Fixture {
    pub(crate) relay: Relay,
    pub(crate) booking: SocketAddr,
    pub(crate) raw: SocketAddr,
    pub(crate) announce: SocketAddr,
}

/// A complete response.
#[derive(Debug)]
pub(crate) struct ReceivedResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl ReceivedResponse {
    /// Returns the value of a header, or an empty string if it is missing.
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |v| v.to_str().unwrap())
    }
}

impl Fixture {
    /// Starts the relay on ports assigned by the operating system.
    pub(crate) fn start() -> Self {
        let settings = settings();
        let site = Site::parse(SITE, "site.toml").unwrap();
        let sockets = RelaySockets::bind(&settings, &site).unwrap();
        let booking = sockets.service_address("booking").unwrap();
        let raw = sockets.service_address("raw").unwrap();
        let announce = sockets.addresses().unwrap().announce;
        let relay = Relay::start(&settings, &site, sockets).unwrap();
        Self {
            relay,
            booking,
            raw,
            announce,
        }
    }

    /// Starts the relay with one upstream.
    pub(crate) async fn with_upstream() -> (Self, MockUpstream) {
        let fixture = Self::start();
        let upstream = MockUpstream::start("a").await;
        fixture.announce("booking", "a", upstream.address).await;
        (fixture, upstream)
    }

    /// Announces an upstream with three slots.
    pub(crate) async fn announce(&self, service: &str, name: &str, address: SocketAddr) {
        let url = format!("http://{}/v1/upstreams/{service}/{name}", self.announce);
        let body = serde_json::json!({
            "incarnation": 1,
            "address": address,
            "domain": "riga-1",
            "slots": 3,
        });
        let answer = awc::Client::new().put(url).send_json(&body).await.unwrap();
        assert!(answer.status().is_success(), "{}", answer.status());
    }

    /// Opens an HTTP/2 connection to the service `booking`.
    pub(crate) async fn connect(&self) -> SendRequest<Bytes> {
        let stream = TcpStream::connect(self.booking).await.unwrap();
        let (sender, connection) = client::handshake(stream).await.unwrap();
        actix_rt::spawn(async {
            let _ = connection.await;
        });
        sender
    }

    /// Sends one request on a new connection and returns the complete response.
    pub(crate) async fn send_request(
        &self,
        method: &str,
        path: &str,
        body: &str,
    ) -> ReceivedResponse {
        let sender = self.connect().await;
        send_request(sender, method, path, body).await
    }
}

/// Returns settings with ports assigned by the operating system.
pub(crate) fn settings() -> RelaySettings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let serve = |service: &str| RelayedService {
        service: service.into(),
        address: any,
    };
    RelaySettings {
        domain: "riga-1".into(),
        site: "site.toml".into(),
        control: None,
        data: None,
        listen: RelayListen {
            announce: any,
            metrics: any,
        },
        serves: vec![serve("booking"), serve("raw")],
        dispatch: DispatchSettings {
            ping_after_ms: 200,
            ping_timeout_ms: 200,
            ..DispatchSettings::default()
        },
    }
}

/// Sends one request and returns the complete response.
pub(crate) async fn send_request(
    sender: SendRequest<Bytes>,
    method: &str,
    path: &str,
    body: &str,
) -> ReceivedResponse {
    let response = send_for_head(sender, method, path, body).await;
    let (parts, rx) = response.into_parts();
    ReceivedResponse {
        status: parts.status,
        headers: parts.headers,
        body: read_body(rx).await.unwrap(),
    }
}

/// Sends one request and returns the response once its head is received.
pub(crate) async fn send_for_head(
    sender: SendRequest<Bytes>,
    method: &str,
    path: &str,
    body: &str,
) -> Response<RecvStream> {
    let request = Request::builder()
        .method(method)
        .uri(format!("http://booking.test{path}"))
        .header("currantgate-deadline-ms", "9000")
        .body(())
        .unwrap();
    let mut sender = sender.ready().await.unwrap();
    let (response, mut tx) = sender.send_request(request, false).unwrap();
    tx.send_data(Bytes::from(body.to_string()), true).unwrap();
    response.await.unwrap()
}

/// Reads a body to its end.
pub(crate) async fn read_body(mut rx: RecvStream) -> Result<Bytes, h2::Error> {
    let mut body = BytesMut::new();
    while let Some(chunk) = rx.data().await {
        let chunk = chunk?;
        rx.flow_control().release_capacity(chunk.len())?;
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

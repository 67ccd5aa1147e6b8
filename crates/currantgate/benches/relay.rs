//! Throughput and latency of requests through a relay, as ratios to a direct connection in
//! the same run. The figures are wall-clock times, so none has a bound.

use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use currantgate::{Relay, RelaySockets};
use currantgate_config::{DispatchSettings, RelayListen, RelaySettings, RelayedService, Site};
use h2::client::SendRequest;
use h2::{client, server};
use hdrhistogram::Histogram;
use http::{Request, Response};
use tokio::net::{TcpListener, TcpStream};

const SITE: &str = r#"
domains = ["riga-1"]

[[service]]
name = "booking"
address = "127.20.0.1:443"
"#;

/// Number of concurrent requests in the measurement of throughput.
const CONCURRENCY: usize = 32;

/// Number of requests in the measurement of throughput.
const REQUESTS: usize = 10_000;

fn main() {
    let upstream = spawn(|tx| async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        tx.send(listener.local_addr().unwrap()).unwrap();
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            actix_rt::spawn(serve(stream));
        }
    });
    let (announce_tx, announce_rx) = mpsc::channel();
    let relay = spawn(move |tx| async move {
        let (_relay, booking, announce) = start_relay();
        announce_tx.send(announce).unwrap();
        tx.send(booking).unwrap();
        std::future::pending::<()>().await;
    });
    let announce = announce_rx.recv().unwrap();
    actix_rt::System::new().block_on(async {
        announce_upstream(announce, upstream).await;
        let direct = measure(upstream).await;
        let relayed = measure(relay).await;
        print(&direct, &relayed);
    });
}

/// Runs a task on a thread of its own and returns the address that it sends.
fn spawn<F: Future<Output = ()>>(
    task: impl FnOnce(mpsc::Sender<SocketAddr>) -> F + Send + 'static,
) -> SocketAddr {
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || actix_rt::System::new().block_on(task(tx)));
    rx.recv().unwrap()
}

/// Serves one connection as an upstream.
async fn serve(stream: TcpStream) {
    stream.set_nodelay(true).unwrap();
    let mut connection = server::handshake(stream).await.unwrap();
    while let Some(Ok((_, mut respond))) = connection.accept().await {
        let mut tx = respond.send_response(Response::new(()), false).unwrap();
        tx.send_data(Bytes::from_static(b"box 4 is free"), true)
            .unwrap();
    }
}

/// Starts the relay; returns it with the addresses of the service and of the server for
/// announcements.
fn start_relay() -> (Relay, SocketAddr, SocketAddr) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = RelaySettings {
        domain: "riga-1".into(),
        site: "site.toml".into(),
        control: None,
        data: None,
        listen: RelayListen {
            announce: any,
            metrics: any,
        },
        serves: vec![RelayedService {
            service: "booking".into(),
            address: any,
        }],
        dispatch: DispatchSettings::default(),
    };
    let site = Site::parse(SITE, "site.toml").unwrap();
    let sockets = RelaySockets::bind(&settings, &site).unwrap();
    let booking = sockets.service_address("booking").unwrap();
    let announce = sockets.addresses().unwrap().announce;
    let relay = Relay::start(&settings, &site, sockets).unwrap();
    (relay, booking, announce)
}

async fn announce_upstream(announce: SocketAddr, address: SocketAddr) {
    let url = format!("http://{announce}/v1/upstreams/booking/a");
    let body = serde_json::json!({
        "incarnation": 1,
        "address": address,
        "domain": "riga-1",
        "slots": CONCURRENCY,
    });
    let answer = awc::Client::new().put(url).send_json(&body).await.unwrap();
    assert!(answer.status().is_success());
}

/// The results of one path.
struct Measurement {
    requests_per_second: f64,
    /// Latencies of sequential requests in microseconds.
    latency: Histogram<u64>,
}

/// Measures throughput and latency over one connection to `address`.
async fn measure(address: SocketAddr) -> Measurement {
    let stream = TcpStream::connect(address).await.unwrap();
    stream.set_nodelay(true).unwrap();
    let (sender, connection) = client::handshake(stream).await.unwrap();
    actix_rt::spawn(async {
        let _ = connection.await;
    });
    // Opens the connections to the upstream and warms the caches.
    send_requests(sender.clone(), REQUESTS / 10).await;

    let mut latency = Histogram::new(3).unwrap();
    for _ in 0..REQUESTS / 5 {
        let started = Instant::now();
        send_requests(sender.clone(), 1).await;
        latency
            .record(started.elapsed().as_micros() as u64)
            .unwrap();
    }
    let started = Instant::now();
    let workers = (0..CONCURRENCY).map(|_| {
        let sender = sender.clone();
        actix_rt::spawn(send_requests(sender, REQUESTS / CONCURRENCY))
    });
    futures_util::future::join_all(workers).await;
    let elapsed: Duration = started.elapsed();
    Measurement {
        requests_per_second: REQUESTS as f64 / elapsed.as_secs_f64(),
        latency,
    }
}

/// Sends requests one after the other and reads their responses.
async fn send_requests(mut sender: SendRequest<Bytes>, times: usize) {
    for _ in 0..times {
        sender = sender.ready().await.unwrap();
        let request = Request::builder().uri("http://booking.test/free");
        let sent = sender.send_request(request.body(()).unwrap(), true);
        let answer = sent.unwrap().0.await.unwrap();
        assert_eq!(answer.status(), 200);
        let mut rx = answer.into_body();
        while let Some(chunk) = rx.data().await {
            let len = chunk.unwrap().len();
            rx.flow_control().release_capacity(len).unwrap();
        }
    }
}

/// Prints a row for each figure.
fn print(direct: &Measurement, relayed: &Measurement) {
    println!("{:<44} | {:>12} | target", "figure", "measured");
    let row = |figure: &str, value: String| println!("{figure:<44} | {value:>12} | none");
    row(
        "requests/s, direct",
        format!("{:.0}", direct.requests_per_second),
    );
    row(
        "requests/s, relayed",
        format!("{:.0}", relayed.requests_per_second),
    );
    let ratio = relayed.requests_per_second / direct.requests_per_second;
    row("requests/s, relayed / direct", format!("{ratio:.2}"));
    for quantile in [0.5, 0.99] {
        let value = |measurement: &Measurement| measurement.latency.value_at_quantile(quantile);
        let (direct_us, relayed_us) = (value(direct), value(relayed));
        let percent = quantile * 100.0;
        row(
            &format!("p{percent} latency, direct"),
            format!("{direct_us} us"),
        );
        row(
            &format!("p{percent} latency, relayed"),
            format!("{relayed_us} us"),
        );
        let ratio = relayed_us as f64 / direct_us as f64;
        row(
            &format!("p{percent} latency, relayed / direct"),
            format!("{ratio:.2}"),
        );
    }
}

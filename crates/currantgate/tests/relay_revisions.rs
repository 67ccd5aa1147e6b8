//! A relay applies accepted revisions and restores the newest after a restart.

mod relay_support;
mod voter;

use std::net::{SocketAddr, TcpListener};
use std::path::Path;

use actix_rt::task::JoinHandle;
use bytes::Bytes;
use currantgate::{Relay, RelaySockets};
use currantgate_config::{ControlServers, DispatchSettings, RelayedService, Site};
use currantgate_control::RevisionId;
use h2::client::{self, SendRequest};
use http::Request;
use relay_support::mock_upstream::MockUpstream;
use relay_support::{Fixture, SITE, send_request, settings};
use tokio::net::TcpStream;
use voter::{apply, start_voter};

/// Returns the site file with one more service.
fn site_with(service: &str, port: u16) -> String {
    let address = SocketAddr::from(([127, 20, 0, 3], port));
    format!("{SITE}\n[[service]]\nname = \"{service}\"\naddress = \"{address}\"\n")
}

/// Starts a relay that subscribes to `control`, on ports assigned by the operating system.
async fn start_relay(control: &ControlServers, data: &Path, serves: &[&str]) -> Fixture {
    start_relay_with(control, data, serves, DispatchSettings::default()).await
}

async fn start_relay_with(
    control: &ControlServers,
    data: &Path,
    serves: &[&str],
    dispatch: DispatchSettings,
) -> Fixture {
    let mut settings = settings();
    settings.dispatch = dispatch;
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    settings
        .serves
        .extend(serves.iter().map(|service| RelayedService {
            service: (*service).into(),
            address: any,
        }));
    settings.control = Some(control.clone());
    settings.data = Some(data.into());
    let site = Site::parse(SITE, "site.toml").unwrap();
    let sockets = RelaySockets::bind(&settings, &site).unwrap();
    let announce = sockets.addresses().unwrap().announce;
    let relay = Relay::start(&settings, &site, sockets).unwrap();
    Fixture {
        booking: wait_for_listener(&relay, "booking").await,
        raw: wait_for_listener(&relay, "raw").await,
        relay,
        announce,
    }
}

/// Waits until the listener of a service is bound.
async fn wait_for_listener(relay: &Relay, service: &str) -> SocketAddr {
    loop {
        if let Some(address) = relay.service_address(service) {
            return address;
        }
        actix_rt::task::yield_now().await;
    }
}

/// Opens an HTTP/2 connection; the task ends with the connection.
async fn connect(to: SocketAddr) -> (SendRequest<Bytes>, JoinHandle<Result<(), h2::Error>>) {
    let stream = TcpStream::connect(to).await.unwrap();
    let (sender, connection) = client::handshake(stream).await.unwrap();
    (sender, actix_rt::spawn(connection))
}

#[actix_rt::test]
async fn revisions_add_and_remove_services_while_running_requests_complete() {
    let folder = tempfile::tempdir().unwrap();
    let (control, servers) = start_voter(&folder.path().join("control"));
    let data = folder.path().join("relay");
    let fixture = start_relay(&servers, &data, &["museum", "calendar"]).await;
    let base = apply(&servers, RevisionId::empty(), &site_with("museum", 443)).await;
    let museum = wait_for_listener(&fixture.relay, "museum").await;
    let [a, b, c] = [
        MockUpstream::start("a").await,
        MockUpstream::start("b").await,
        MockUpstream::start("c").await,
    ];
    fixture.announce("booking", "a", a.address).await;
    fixture.announce("museum", "b", b.address).await;
    let stays = fixture.connect().await;
    let (leaves, connection) = connect(museum).await;
    let _kept = leaves.clone();
    let running = actix_rt::spawn(async { send_request(leaves, "POST", "/hang", "").await });
    b.state.hanging.notified().await;

    let next = site_with("calendar", 444).replace(
        "requests.repeatable",
        "requests.timeout_ms = 9000\nrequests.repeatable",
    );
    apply(&servers, base, &next).await;
    let calendar = wait_for_listener(&fixture.relay, "calendar").await;
    assert_eq!(fixture.relay.service_address("museum"), None);
    let refused = TcpStream::connect(museum).await.unwrap_err();
    assert_eq!(refused.kind(), std::io::ErrorKind::ConnectionRefused);
    fixture.announce("calendar", "c", c.address).await;
    let (new, _connection) = connect(calendar).await;
    assert_eq!(send_request(new, "POST", "/add", "4").await.body, "c:4");

    b.state.release.notify_one();
    let answer = running.await.unwrap();
    assert_eq!(
        (answer.status.as_u16(), &answer.body[..]),
        (200, &b"b:"[..])
    );
    // The relay closes the connection by a GOAWAY, though the caller holds a sender.
    connection.await.unwrap().unwrap();
    // The old connection is still open, and its new requests use the new settings.
    let request = Request::get("http://booking.test/free").body(()).unwrap();
    let mut stays = stays.ready().await.unwrap();
    let answer = stays.send_request(request, true).unwrap().0.await.unwrap();
    let left = answer.headers()["currantgate-deadline-ms"]
        .to_str()
        .unwrap();
    assert!(left.parse::<u64>().unwrap() <= 9_000, "{left}");
    assert_eq!(
        fixture.relay.service_address("booking"),
        Some(fixture.booking)
    );
    fixture.relay.stop(std::future::ready(())).await;
    drop(control);

    let restarted = start_relay(&servers, &data, &["calendar"]).await;
    wait_for_listener(&restarted.relay, "calendar").await;
}

#[actix_rt::test]
async fn an_address_in_use_is_retried_without_affecting_other_services() {
    let folder = tempfile::tempdir().unwrap();
    let (_control, servers) = start_voter(&folder.path().join("control"));
    let fixture = start_relay(&servers, &folder.path().join("relay"), &["last"]).await;
    let taken = TcpListener::bind("127.20.0.3:0").unwrap();
    let address = taken.local_addr().unwrap();
    let site = site_with("museum", address.port());
    let base = apply(&servers, RevisionId::empty(), &site).await;
    let last = site + "[[service]]\nname = \"last\"\naddress = \"127.20.0.4:443\"\n";
    let base = apply(&servers, base, &last).await;
    wait_for_listener(&fixture.relay, "last").await;
    assert_eq!(fixture.relay.service_address("museum"), None);
    let a = MockUpstream::start("a").await;
    fixture.announce("booking", "a", a.address).await;
    assert_eq!(fixture.send_request("POST", "/book", "4").await.status, 200);
    drop(taken);
    assert_eq!(wait_for_listener(&fixture.relay, "museum").await, address);

    let b = MockUpstream::start("b").await;
    fixture.announce("museum", "b", b.address).await;
    let (open, _connection) = connect(address).await;
    let free = TcpListener::bind("127.20.0.3:0").unwrap();
    let next = free.local_addr().unwrap();
    drop(free);
    let moved = last.replace(&address.to_string(), &next.to_string());
    apply(&servers, base, &moved).await;
    while wait_for_listener(&fixture.relay, "museum").await != next {
        actix_rt::task::yield_now().await;
    }
    assert!(TcpStream::connect(address).await.is_err());
    assert_eq!(send_request(open, "POST", "/book", "4").await.body, "b:4");
}

#[actix_rt::test]
async fn a_request_longer_than_the_drain_timeout_is_aborted() {
    let folder = tempfile::tempdir().unwrap();
    let (_control, servers) = start_voter(&folder.path().join("control"));
    let dispatch = DispatchSettings {
        drain_ms: 1,
        ..DispatchSettings::default()
    };
    let data = folder.path().join("relay");
    let fixture = start_relay_with(&servers, &data, &["museum"], dispatch).await;
    let base = apply(&servers, RevisionId::empty(), &site_with("museum", 443)).await;
    let museum = wait_for_listener(&fixture.relay, "museum").await;
    let a = MockUpstream::start("a").await;
    fixture.announce("museum", "a", a.address).await;
    let (sender, _connection) = connect(museum).await;
    let request = Request::post("http://museum.test/hang").body(()).unwrap();
    let mut sender = sender.ready().await.unwrap();
    let (answer, _tx) = sender.send_request(request, true).unwrap();
    a.state.hanging.notified().await;
    apply(&servers, base, SITE).await;
    // The upstream never releases it.
    answer.await.unwrap_err();
}

#[actix_rt::test]
async fn queued_requests_of_a_removed_service_are_rejected_and_running_ones_complete() {
    let folder = tempfile::tempdir().unwrap();
    let (_control, servers) = start_voter(&folder.path().join("control"));
    let fixture = start_relay(&servers, &folder.path().join("relay"), &["museum"]).await;
    let base = apply(&servers, RevisionId::empty(), &site_with("museum", 443)).await;
    let museum = wait_for_listener(&fixture.relay, "museum").await;
    let a = MockUpstream::start("a").await;
    fixture.announce("museum", "a", a.address).await;
    let (sender, _connection) = connect(museum).await;
    let mut running = Vec::new();
    // One for each slot of the upstream.
    for _ in 0..3 {
        let sender = sender.clone();
        running.push(actix_rt::spawn(send_request(sender, "POST", "/hang", "")));
        a.state.hanging.notified().await;
    }
    let waiting = actix_rt::spawn(send_request(sender, "POST", "/book", ""));
    apply(&servers, base, SITE).await;
    let rejected = waiting.await.unwrap();
    assert_eq!(rejected.status, 503);
    assert_eq!(rejected.header("currantgate-outcome"), "not-run");
    for request in running {
        a.state.release.notify_one();
        assert_eq!(request.await.unwrap().status, 200);
    }
    assert_eq!(*a.state.processed_paths.borrow(), ["/hang"; 3]);
}

#[actix_rt::test]
async fn a_udp_service_has_no_listener_and_may_share_an_address() {
    let folder = tempfile::tempdir().unwrap();
    let (_control, servers) = start_voter(&folder.path().join("control"));
    let fixture = start_relay(&servers, &folder.path().join("relay"), &["last"]).await;
    let udp = site_with("names", 53) + "protocol = \"udp\"\n";
    let text = udp + "[[service]]\nname = \"last\"\naddress = \"127.20.0.3:53\"\n";
    apply(&servers, RevisionId::empty(), &text).await;
    wait_for_listener(&fixture.relay, "last").await;
    assert_eq!(fixture.relay.service_address("names"), None);
}

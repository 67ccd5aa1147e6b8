//! The relay on loopback with mock upstreams, one failure at a time.

mod relay_support;

use http::Request;
use relay_support::mock_upstream::{LARGE_BYTES, MockUpstream};
use relay_support::{Fixture, read_body, send_for_head, send_request};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

/// Maximum number of bytes in flight between an upstream and a slow caller: the windows of
/// both connections and the contents of both sockets' buffers.
const MAX_IN_FLIGHT: usize = 256 * 1_024;

/// Asserts that a response reports that the request did not run.
fn assert_not_run(answer: &relay_support::ReceivedResponse) {
    assert_eq!(answer.status, 503);
    assert_eq!(answer.header("currantgate-outcome"), "not-run");
    assert!(answer.header("retry-after").parse::<u64>().unwrap() >= 1);
}

/// Asserts that a response reports that the request may have run.
fn assert_unknown(answer: &relay_support::ReceivedResponse) {
    assert_eq!(answer.status, 502);
    assert_eq!(answer.header("currantgate-outcome"), "unknown");
    assert_eq!(answer.header("retry-after"), "");
}

#[actix_rt::test]
async fn requests_are_forwarded_with_deadline_and_trace_context() {
    let (fixture, _upstream) = Fixture::with_upstream().await;
    let answer = fixture.send_request("POST", "/book", "box 4").await;
    assert_eq!(
        (answer.status.as_u16(), &answer.body[..]),
        (200, &b"a:box 4"[..])
    );
    let left: u64 = answer.header("currantgate-deadline-ms").parse().unwrap();
    assert!(left <= 9_000);
    assert_eq!(answer.header("traceparent").len(), 55);
    assert_eq!(
        answer.header("currantgate-outcome"),
        "",
        "the header of the upstream is removed"
    );
}

#[actix_rt::test]
async fn requests_without_upstreams_are_rejected_as_not_run() {
    let fixture = Fixture::start();
    assert_not_run(&fixture.send_request("POST", "/book", "").await);
}

#[actix_rt::test]
async fn invalid_requests_reach_no_upstream() {
    let (fixture, upstream) = Fixture::with_upstream().await;
    for (method, uri, deadline) in [
        ("CONNECT", "booking.test:443", "9000"),
        ("GET", "http://booking.test/free", "soon"),
    ] {
        let request = Request::builder()
            .method(method)
            .uri(uri)
            .header("currantgate-deadline-ms", deadline);
        let mut sender = fixture.connect().await.ready().await.unwrap();
        let sent = sender.send_request(request.body(()).unwrap(), true);
        let answer = sent.unwrap().0.await.unwrap();
        assert_eq!(answer.status(), 400, "{method} {uri}");
    }
    assert!(upstream.state.processed_paths.borrow().is_empty());
}

#[actix_rt::test]
async fn a_slow_caller_bounds_the_buffered_part_of_a_response() {
    let (fixture, upstream) = Fixture::with_upstream().await;
    let sender = fixture.connect().await;
    let response = send_for_head(sender, "GET", "/large", "").await;
    let mut rx = response.into_body();
    // Round trips of other requests give the relay time to read more than the windows
    // allow, should it do so.
    for _ in 0..50 {
        assert_eq!(fixture.send_request("GET", "/free", "").await.status, 200);
    }
    assert!(upstream.state.sent.get() <= MAX_IN_FLIGHT);
    let mut received = 0;
    while let Some(chunk) = rx.data().await {
        let chunk = chunk.unwrap();
        received += chunk.len();
        assert!(upstream.state.sent.get() - received <= MAX_IN_FLIGHT);
        rx.flow_control().release_capacity(chunk.len()).unwrap();
    }
    assert_eq!(received, LARGE_BYTES);
}

#[actix_rt::test]
async fn a_truncated_response_resets_the_callers_stream() {
    let (fixture, _upstream) = Fixture::with_upstream().await;
    let sender = fixture.connect().await;
    let response = send_for_head(sender, "GET", "/truncated", "").await;
    assert!(
        read_body(response.into_body())
            .await
            .unwrap_err()
            .is_reset()
    );
}

#[actix_rt::test]
async fn a_non_repeatable_request_is_not_retried_after_a_reset() {
    let (fixture, upstream) = Fixture::with_upstream().await;
    assert_unknown(&fixture.send_request("POST", "/reset", "").await);
    assert_eq!(*upstream.state.processed_paths.borrow(), ["/reset"]);
}

#[actix_rt::test]
async fn a_refused_stream_is_retried_on_another_upstream_with_its_body() {
    let (fixture, refusing) = Fixture::with_upstream().await;
    refusing.state.refusing.set(true);
    let other = MockUpstream::start("b").await;
    fixture.announce("booking", "b", other.address).await;
    let sender = fixture.connect().await;
    for _ in 0..8 {
        let answer = send_request(sender.clone(), "POST", "/book", "arena").await;
        assert_eq!(&answer.body[..], b"b:arena");
    }
    assert_eq!(other.state.processed_paths.borrow().len(), 8);
    assert!(refusing.state.processed_paths.borrow().is_empty());
}

#[actix_rt::test]
async fn connections_closed_by_goaway_process_each_request_once() {
    let (fixture, upstream) = Fixture::with_upstream().await;
    upstream.state.sends_goaway.set(true);
    let sender = fixture.connect().await;
    let slow = actix_rt::spawn(async { send_request(sender, "POST", "/hang", "").await });
    upstream.state.hanging.notified().await;
    // The connection of the slow request accepts no more streams.
    for i in 0..8 {
        let path = format!("/book/{i}");
        assert_eq!(fixture.send_request("POST", &path, "").await.status, 200);
    }
    upstream.state.release.notify_one();
    assert_eq!(slow.await.unwrap().status, 200);
    let mut processed_paths = upstream.state.processed_paths.borrow().clone();
    processed_paths.sort();
    processed_paths.dedup();
    assert_eq!(processed_paths.len(), 9);
    assert_eq!(upstream.state.processed_paths.borrow().len(), 9);
}

#[actix_rt::test]
async fn a_killed_upstream_leaves_the_outcome_unknown() {
    let (fixture, upstream) = Fixture::with_upstream().await;
    let sender = fixture.connect().await;
    let asked = actix_rt::spawn(async { send_request(sender, "POST", "/hang", "").await });
    upstream.state.hanging.notified().await;
    upstream.kill();
    assert_unknown(&asked.await.unwrap());
}

#[actix_rt::test]
async fn an_unresponsive_connection_is_replaced() {
    let (fixture, upstream) = Fixture::with_upstream().await;
    upstream.state.stops_responding.set(true);
    assert_unknown(&fixture.send_request("POST", "/book", "").await);
    let again = loop {
        let answer = fixture.send_request("POST", "/book", "again").await;
        if answer.status == 200 {
            break answer;
        }
        assert_not_run(&answer);
    };
    assert_eq!(&again.body[..], b"a:again");
}

#[actix_rt::test]
async fn a_graceful_stop_aborts_nothing() {
    let (fixture, upstream) = Fixture::with_upstream().await;
    let sender = fixture.connect().await;
    // Keeps the connection open until it is closed by a GOAWAY.
    let _kept = sender.clone();
    let asked = actix_rt::spawn(async { send_request(sender, "POST", "/hang", "").await });
    upstream.state.hanging.notified().await;
    let relay = fixture.relay;
    let stopped = actix_rt::spawn(relay.stop(std::future::pending()));
    actix_rt::task::yield_now().await;
    upstream.state.release.notify_one();
    assert_eq!(asked.await.unwrap().status, 200);
    assert_eq!(stopped.await.unwrap(), 0);
}

#[actix_rt::test]
async fn aborting_a_stop_counts_the_aborted_requests_and_connections() {
    let (fixture, upstream) = Fixture::with_upstream().await;
    let sender = fixture.connect().await;
    actix_rt::spawn(async { send_request(sender, "POST", "/hang", "").await });
    upstream.state.hanging.notified().await;
    let aborted = fixture.relay.stop(std::future::ready(())).await;
    assert_eq!(aborted, 2, "one request and its connection");
}

#[actix_rt::test]
async fn tcp_connections_fall_back_to_an_upstream_that_accepts() {
    let fixture = Fixture::start();
    let closed = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    fixture
        .announce("raw", "a", closed.local_addr().unwrap())
        .await;
    drop(closed);
    fixture
        .announce("raw", "b", listener.local_addr().unwrap())
        .await;
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        stream.write_all(b"from b").await.unwrap();
    });
    let mut caller = TcpStream::connect(fixture.raw).await.unwrap();
    let mut text = String::new();
    caller.read_to_string(&mut text).await.unwrap();
    assert_eq!(text, "from b");
}

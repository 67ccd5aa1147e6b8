//! The relay on loopback with stand-in upstreams, failure by failure.

mod relay_support;

use http::Request;
use relay_support::stand_in::{LARGE_BYTES, StandIn};
use relay_support::{Fixture, ask, begin, read};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

/// Bytes that may be on their way between an upstream and a slow caller: the
/// windows of both connections and what both sockets' buffers hold.
const MAX_IN_FLIGHT: usize = 256 * 1_024;

/// Asserts that an answer says that the request did not run.
fn assert_not_run(answer: &relay_support::Answer) {
    assert_eq!(answer.status, 503);
    assert_eq!(answer.header("currantgate-outcome"), "not-run");
    assert!(answer.header("retry-after").parse::<u64>().unwrap() >= 1);
}

/// Asserts that an answer says that the request may have run.
fn assert_unknown(answer: &relay_support::Answer) {
    assert_eq!(answer.status, 502);
    assert_eq!(answer.header("currantgate-outcome"), "unknown");
    assert_eq!(answer.header("retry-after"), "");
}

#[actix_rt::test]
async fn answers_come_whole_with_deadline_and_trace_carried_on() {
    let (fixture, _upstream) = Fixture::with_one().await;
    let answer = fixture.ask("POST", "/book", "box 4").await;
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
        "an upstream's claim"
    );
}

#[actix_rt::test]
async fn without_upstreams_nothing_runs_and_callers_learn_it_at_once() {
    let fixture = Fixture::start();
    assert_not_run(&fixture.ask("POST", "/book", "").await);
}

#[actix_rt::test]
async fn requests_that_cannot_be_relayed_reach_no_upstream() {
    let (fixture, upstream) = Fixture::with_one().await;
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
    assert!(upstream.state.runs.borrow().is_empty());
}

#[actix_rt::test]
async fn a_slow_caller_bounds_what_is_held_of_a_large_answer() {
    let (fixture, upstream) = Fixture::with_one().await;
    let sender = fixture.connect().await;
    let response = begin(sender, "GET", "/large", "").await;
    let mut rx = response.into_body();
    // Round trips of others give what doesn't wait for this caller time to run.
    for _ in 0..50 {
        assert_eq!(fixture.ask("GET", "/free", "").await.status, 200);
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
async fn a_truncated_answer_is_never_passed_as_whole() {
    let (fixture, _upstream) = Fixture::with_one().await;
    let sender = fixture.connect().await;
    let response = begin(sender, "GET", "/truncated", "").await;
    assert!(read(response.into_body()).await.unwrap_err().is_reset());
}

#[actix_rt::test]
async fn what_may_not_be_repeated_is_not_sent_again_after_a_reset() {
    let (fixture, upstream) = Fixture::with_one().await;
    assert_unknown(&fixture.ask("POST", "/reset", "").await);
    assert_eq!(*upstream.state.runs.borrow(), ["/reset"]);
}

#[actix_rt::test]
async fn a_refused_stream_is_sent_elsewhere_with_its_body() {
    let (fixture, refusing) = Fixture::with_one().await;
    refusing.state.refusing.set(true);
    let other = StandIn::start("b").await;
    fixture.announce("booking", "b", other.address).await;
    let sender = fixture.connect().await;
    for _ in 0..8 {
        let answer = ask(sender.clone(), "POST", "/book", "arena").await;
        assert_eq!(&answer.body[..], b"b:arena");
    }
    assert_eq!(other.state.runs.borrow().len(), 8);
    assert!(refusing.state.runs.borrow().is_empty());
}

#[actix_rt::test]
async fn connections_that_end_in_plan_lose_and_double_nothing() {
    let (fixture, upstream) = Fixture::with_one().await;
    upstream.state.goes_away.set(true);
    let sender = fixture.connect().await;
    let slow = actix_rt::spawn(async { ask(sender, "POST", "/hang", "").await });
    upstream.state.hanging.notified().await;
    // The connection that carries the slow one takes no more streams.
    for i in 0..8 {
        let path = format!("/book/{i}");
        assert_eq!(fixture.ask("POST", &path, "").await.status, 200);
    }
    upstream.state.release.notify_one();
    assert_eq!(slow.await.unwrap().status, 200);
    let mut runs = upstream.state.runs.borrow().clone();
    runs.sort();
    runs.dedup();
    assert_eq!(runs.len(), 9);
    assert_eq!(upstream.state.runs.borrow().len(), 9);
}

#[actix_rt::test]
async fn a_killed_upstream_leaves_the_outcome_unknown() {
    let (fixture, upstream) = Fixture::with_one().await;
    let sender = fixture.connect().await;
    let asked = actix_rt::spawn(async { ask(sender, "POST", "/hang", "").await });
    upstream.state.hanging.notified().await;
    upstream.kill();
    assert_unknown(&asked.await.unwrap());
}

#[actix_rt::test]
async fn a_silent_connection_is_replaced() {
    let (fixture, upstream) = Fixture::with_one().await;
    upstream.state.goes_silent.set(true);
    assert_unknown(&fixture.ask("POST", "/book", "").await);
    let again = loop {
        let answer = fixture.ask("POST", "/book", "again").await;
        if answer.status == 200 {
            break answer;
        }
        assert_not_run(&answer);
    };
    assert_eq!(&again.body[..], b"a:again");
}

#[actix_rt::test]
async fn a_planned_stop_cuts_nothing() {
    let (fixture, upstream) = Fixture::with_one().await;
    let sender = fixture.connect().await;
    // Keeps the connection open until a GOAWAY ends it.
    let _kept = sender.clone();
    let asked = actix_rt::spawn(async { ask(sender, "POST", "/hang", "").await });
    upstream.state.hanging.notified().await;
    let relay = fixture.relay;
    let stopped = actix_rt::spawn(relay.stop(std::future::pending()));
    actix_rt::task::yield_now().await;
    upstream.state.release.notify_one();
    assert_eq!(asked.await.unwrap().status, 200);
    assert_eq!(stopped.await.unwrap(), 0);
}

#[actix_rt::test]
async fn a_second_signal_ends_the_stop_and_counts_what_was_cut() {
    let (fixture, upstream) = Fixture::with_one().await;
    let sender = fixture.connect().await;
    actix_rt::spawn(async { ask(sender, "POST", "/hang", "").await });
    upstream.state.hanging.notified().await;
    let cut = fixture.relay.stop(std::future::ready(())).await;
    assert_eq!(cut, 2, "one request and its connection");
}

#[actix_rt::test]
async fn tcp_goes_to_another_upstream_while_none_has_accepted() {
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

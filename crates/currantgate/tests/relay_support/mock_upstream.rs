//! A mock upstream, which behaves as the path of each request selects.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_rt::task::JoinHandle;
use bytes::Bytes;
use h2::server::{self, SendResponse};
use h2::{Reason, RecvStream};
use http::{Request, Response};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

use super::read_body;

/// Size of the response to `/large` in bytes.
pub(crate) const LARGE_BYTES: usize = 4 << 20;

/// Recorded requests and configured faults of an upstream.
#[derive(Default)]
pub(crate) struct State {
    name: &'static str,
    /// Paths of the requests that were processed.
    pub(crate) processed_paths: RefCell<Vec<String>>,
    /// Bytes of large responses that were passed to the connection.
    pub(crate) sent: Cell<usize>,
    /// Whether every stream is refused before it is processed.
    pub(crate) refusing: Cell<bool>,
    /// Whether the next connection stops all I/O after a request, once.
    pub(crate) stops_responding: Cell<bool>,
    /// Whether each connection sends a GOAWAY after its first request.
    pub(crate) sends_goaway: Cell<bool>,
    /// Notified when a request starts to hang.
    pub(crate) hanging: Notify,
    /// Notified to complete a hanging request.
    pub(crate) release: Notify,
}

/// A mock upstream on loopback.
pub(crate) struct MockUpstream {
    pub(crate) address: SocketAddr,
    pub(crate) state: Rc<State>,
    connections: Rc<RefCell<Vec<JoinHandle<()>>>>,
}

impl MockUpstream {
    pub(crate) async fn start(name: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = Rc::new(State {
            name,
            ..State::default()
        });
        let connections = Rc::new(RefCell::new(Vec::new()));
        let (shared, tasks) = (Rc::clone(&state), Rc::clone(&connections));
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let task = actix_rt::spawn(serve(Rc::clone(&shared), stream));
                tasks.borrow_mut().push(task);
            }
        });
        Self {
            address,
            state,
            connections,
        }
    }

    /// Aborts all connections, as if the process had crashed.
    pub(crate) fn kill(&self) {
        for task in self.connections.borrow_mut().drain(..) {
            task.abort();
        }
    }
}

async fn serve(state: Rc<State>, stream: TcpStream) {
    let (stream, mut linger) = duplicate(stream);
    let mut connection = server::handshake(stream).await.unwrap();
    while let Some(Ok((request, mut respond))) = connection.accept().await {
        if state.stops_responding.replace(false) {
            std::future::pending::<()>().await;
        }
        if state.sends_goaway.get() {
            connection.graceful_shutdown();
        }
        if state.refusing.get() {
            respond.send_reset(Reason::REFUSED_STREAM);
            continue;
        }
        actix_rt::spawn(answer(Rc::clone(&state), request, respond));
    }
    // Closing with unread data would reset the connection instead of closing it gracefully.
    drop(connection);
    let _ = tokio::io::copy(&mut linger, &mut tokio::io::sink()).await;
}

/// Returns two handles to one connection.
fn duplicate(stream: TcpStream) -> (TcpStream, TcpStream) {
    let stream = stream.into_std().unwrap();
    let second = stream.try_clone().unwrap();
    let async_stream = |stream| TcpStream::from_std(stream).unwrap();
    (async_stream(stream), async_stream(second))
}

async fn answer(state: Rc<State>, request: Request<RecvStream>, mut respond: SendResponse<Bytes>) {
    let path = request.uri().path().to_string();
    state.processed_paths.borrow_mut().push(path.clone());
    let seen = |name| request.headers().get(name).cloned();
    let mut head = Response::new(());
    for name in ["traceparent", "currantgate-deadline-ms"] {
        if let Some(value) = seen(name) {
            head.headers_mut().insert(name, value);
        }
    }
    // Only a relay may send this header, so it must remove an upstream's.
    let outcome = "not-run".parse().unwrap();
    head.headers_mut().insert("currantgate-outcome", outcome);
    match path.as_str() {
        "/reset" => respond.send_reset(Reason::INTERNAL_ERROR),
        "/large" => {
            let _ = send_large(&state, head, respond).await;
        }
        "/truncated" => {
            let mut tx = respond.send_response(head, false).unwrap();
            tx.send_data(Bytes::from_static(b"the first part"), false)
                .unwrap();
            // Lets the connection write the data before the reset discards it.
            actix_rt::task::yield_now().await;
            tx.send_reset(Reason::INTERNAL_ERROR);
        }
        "/hang" => {
            state.hanging.notify_one();
            state.release.notified().await;
            finish(&state, head, &mut respond, b"");
        }
        _ => {
            let body = read_body(request.into_body()).await.unwrap();
            finish(&state, head, &mut respond, &body);
        }
    }
}

fn finish(state: &State, head: Response<()>, respond: &mut SendResponse<Bytes>, body: &[u8]) {
    if let Ok(mut tx) = respond.send_response(head, false) {
        let text = format!("{}:{}", state.name, String::from_utf8_lossy(body));
        let _ = tx.send_data(text.into(), true);
    }
}

async fn send_large(
    state: &State,
    head: Response<()>,
    mut respond: SendResponse<Bytes>,
) -> Option<()> {
    let mut tx = respond.send_response(head, false).ok()?;
    while state.sent.get() < LARGE_BYTES {
        tx.reserve_capacity(16_384);
        let capacity = poll_fn(|cx| tx.poll_capacity(cx)).await?.ok()?;
        let len = capacity.min(LARGE_BYTES - state.sent.get());
        tx.send_data(vec![7; len].into(), false).ok()?;
        state.sent.set(state.sent.get() + len);
    }
    tx.send_data(Bytes::new(), true).ok()
}

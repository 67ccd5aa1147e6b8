//! A test upstream for trying out a relay: it responds to each HTTP/2 request with its own
//! name, the method, the path, the trace context and the deadline.
//!
//! `cargo run --example http2_upstream -- 127.0.0.1:9001 booking-1`

use bytes::Bytes;
use h2::RecvStream;
use h2::server::{self, SendResponse};
use http::{Request, Response};
use tokio::net::{TcpListener, TcpStream};

#[actix_rt::main]
async fn main() -> std::io::Result<()> {
    let mut args = std::env::args().skip(1);
    let address = args.next().unwrap_or_else(|| "127.0.0.1:9001".into());
    let name = args.next().unwrap_or_else(|| "booking-1".into());
    let listener = TcpListener::bind(&address).await?;
    println!("{name} listens on {}", listener.local_addr()?);
    loop {
        let (stream, _) = listener.accept().await?;
        actix_rt::spawn(serve(stream, name.clone()));
    }
}

async fn serve(stream: TcpStream, name: String) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let Ok(mut connection) = server::handshake(stream).await else {
        return;
    };
    while let Some(Ok((request, respond))) = connection.accept().await {
        actix_rt::spawn(answer(name.clone(), request, respond));
    }
}

/// Responds to `/slow` after three seconds, resets the stream of `/reset`, and responds to
/// any other path at once.
async fn answer(name: String, request: Request<RecvStream>, mut respond: SendResponse<Bytes>) {
    match request.uri().path() {
        "/slow" => actix_rt::time::sleep(std::time::Duration::from_secs(3)).await,
        "/reset" => return respond.send_reset(h2::Reason::INTERNAL_ERROR),
        _ => {}
    }
    let header = |name| request.headers().get(name).and_then(|v| v.to_str().ok());
    let text = format!(
        "{name}: {} {} traceparent={} deadline_ms={}\n",
        request.method(),
        request.uri().path(),
        header("traceparent").unwrap_or("-"),
        header("currantgate-deadline-ms").unwrap_or("-"),
    );
    if let Ok(mut tx) = respond.send_response(Response::new(()), false) {
        // Fails only if the relay has reset the stream.
        let _ = tx.send_data(text.into(), true);
    }
}

//! A stand-in upstream for trying a relay by hand: it answers each HTTP/2
//! request with its own name, the method, the path and the trace context.
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

/// Answers `/slow` after three seconds and breaks `/reset` off.
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
        // A relay that has gone needs no answer.
        let _ = tx.send_data(text.into(), true);
    }
}

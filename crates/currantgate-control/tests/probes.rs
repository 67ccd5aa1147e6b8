//! Probes of connections that carry no messages.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use currantgate_control::{Client, Secret, Server, ServerSettings};
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

const SECRET: Secret = [7; 32];

/// Less than two shortest election timeouts after the connection fell silent: the interval of
/// probes and their timeout.
const GIVEN_UP_AFTER: Duration = Duration::from_millis(2_500);

/// Starts a server whose streams stay open without a message.
async fn start_server() -> (Server, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let settings = ServerSettings {
        secret: SECRET,
        max_connections: 4,
    };
    let server = Server::start(
        listener,
        settings,
        |_| true,
        |incoming| async move {
            let _incoming = incoming;
            std::future::pending::<()>().await;
        },
    );
    (server, address)
}

/// Forwards one connection to `server`, and nothing more once `is_silent` is set.
async fn start_proxy(server: SocketAddr, is_silent: Rc<Cell<bool>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        let (client, _) = listener.accept().await.unwrap();
        let server = TcpStream::connect(server).await.unwrap();
        let (mut from_client, mut to_client) = client.into_split();
        let (mut from_server, mut to_server) = server.into_split();
        let silent = Rc::clone(&is_silent);
        let requests = async move {
            let mut buf = [0; 4_096];
            while let Ok(len @ 1..) = from_client.read(&mut buf).await {
                if !silent.get() {
                    to_server.write_all(&buf[..len]).await.unwrap();
                }
            }
        };
        let answers = async move {
            let mut buf = [0; 4_096];
            while let Ok(len @ 1..) = from_server.read(&mut buf).await {
                if !is_silent.get() {
                    to_client.write_all(&buf[..len]).await.unwrap();
                }
            }
        };
        tokio::join!(requests, answers);
    });
    address
}

/// Guards against an idle connection between voters that has gone silent and is found dead
/// only by the first message of an election, and against one that is given up while it works.
#[rstest]
#[case::silent(true)]
#[case::idle(false)]
#[actix_rt::test]
async fn an_idle_connection_is_given_up_only_if_it_is_silent(#[case] falls_silent: bool) {
    let (_server, address) = start_server().await;
    let is_silent = Rc::new(Cell::new(false));
    let proxy = start_proxy(address, Rc::clone(&is_silent)).await;
    let client = Client::connect_probed(proxy, SECRET).await.unwrap();
    let (_writer, mut reader) = client.open("/v1/peer").await.unwrap();
    is_silent.set(falls_silent);
    // The server's answers may take a while on a busy machine.
    let limit = GIVEN_UP_AFTER + Duration::from_secs(1);
    let ended = timeout(limit, reader.next::<u64>()).await;
    match ended {
        Ok(ended) => assert!(falls_silent && ended.is_err(), "{ended:?}"),
        Err(_) => assert!(!falls_silent, "the silent connection is kept"),
    }
}

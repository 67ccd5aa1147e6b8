//! Control daemons in one process on loopback: distribution to subscribers and access
//! control.

mod voter;

use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use currantgate::{
    AcceptedRevision, ClientError, ControlClient, FanOut, Subscription, SubscriptionSettings,
};
use currantgate_config::{ControlKey, ControlServers, ControlSettings};
use currantgate_control::RevisionId;
use voter::{apply, start_voter};

/// Time within which the daemons must reach an expected state.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

const SITE: &str = "domains = [\"riga-1\"]\n";

fn key(digits: &str) -> ControlKey {
    ControlKey::try_from(Box::from(digits.repeat(32))).unwrap()
}

fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

fn settings(data: &Path, listen: SocketAddr, more: &str) -> ControlSettings {
    let text = format!(
        "id = 1\ndomain = \"riga-1\"\ndata = \"{}\"\nlisten = \"{listen}\"\n\
         allow = [\"127.0.0.1\"]\nkey = \"{}\"\n{more}",
        data.display(),
        "7e".repeat(32)
    );
    ControlSettings::parse(&text, "control.toml").unwrap()
}

fn servers(address: SocketAddr) -> ControlServers {
    ControlServers {
        servers: vec![address],
        key: key("7e"),
    }
}

/// Waits until the subscription has the revision `base`.
async fn wait_for_revision(subscription: &Subscription, base: RevisionId) -> Arc<AcceptedRevision> {
    let mut accepted = subscription.accepted();
    let wanted = |a: &Option<Arc<AcceptedRevision>>| {
        a.as_ref()
            .is_some_and(|a| (a.revision, a.digest) == (base.revision, base.digest))
    };
    let found = tokio::time::timeout(WAIT_TIMEOUT, accepted.wait_for(wanted)).await;
    found.expect("in time").unwrap().clone().unwrap()
}

#[actix_rt::test]
async fn a_subscriber_of_a_fan_out_vm_adopts_and_saves_revisions() {
    let folder = tempfile::tempdir().unwrap();
    let (voter, voter_servers) = start_voter(&folder.path().join("voter"));
    let fan_out_listener = listener();
    let address = fan_out_listener.local_addr().unwrap();
    let fan_out_of = format!("fan_out_of = [\"{}\"]\n", voter.address());
    let fan_out_settings = settings(&folder.path().join("fan-out"), address, &fan_out_of);
    let fan_out = FanOut::start(&fan_out_settings, fan_out_listener).unwrap();
    let subscription_settings = SubscriptionSettings {
        name: "entry-1".into(),
        control: servers(fan_out.address()),
        data: Some(folder.path().join("entry")),
    };
    let subscription = Subscription::start(&subscription_settings).unwrap();

    let first = apply(&voter_servers, RevisionId::empty(), SITE).await;
    wait_for_revision(&subscription, first).await;
    let text = format!("{SITE}[[service]]\nname = \"booking\"\naddress = \"127.0.0.9:443\"\n");
    let second = apply(&voter_servers, first, &text).await;
    let accepted = wait_for_revision(&subscription, second).await;
    assert_eq!(
        (&*accepted.text, &*accepted.site.services[0].name),
        (&*text, "booking")
    );

    drop((voter, fan_out));
    subscription.stop().await;
    let restarted = Subscription::start(&subscription_settings).unwrap();
    wait_for_revision(&restarted, second).await;
}

#[actix_rt::test]
async fn connections_without_the_key_or_an_allowed_address_are_rejected() {
    let folder = tempfile::tempdir().unwrap();
    let (voter, voter_servers) = start_voter(folder.path());
    apply(&voter_servers, RevisionId::empty(), SITE).await;
    let wrong = ControlServers {
        key: key("00"),
        ..voter_servers
    };
    let until = Instant::now();
    let refused = ControlClient::new(&wrong).read_newest(until).await;
    assert!(
        matches!(refused, Err(ClientError::Transport { .. })),
        "{refused:?}"
    );

    let other = TcpListener::bind("127.0.0.1:0").unwrap();
    let forbidden_source: SocketAddr = "127.0.0.77:0".parse().unwrap();
    drop(other);
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind(forbidden_source).unwrap();
    let mut stream = socket.connect(voter.address()).await.unwrap();
    let mut buf = [0; 1];
    let read = tokio::io::AsyncReadExt::read(&mut stream, &mut buf);
    let ended = tokio::time::timeout(WAIT_TIMEOUT, read)
        .await
        .expect("in time");
    assert!(matches!(ended, Ok(0) | Err(_)), "{ended:?}");
}

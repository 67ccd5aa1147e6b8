//! An entry takes each accepted revision whole, and keeps it over a restart.

mod support;

use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::time::{Duration, Instant};

use currantgate::{Control, ControlClient, ControlStart};
use currantgate_config::{ControlKey, ControlServers, ControlSettings};
use currantgate_control::{ApplyRequest, Base};
use support::{Fixture, SITE, syn};

/// How long the voter may take to accept a revision.
const DEADLINE: Duration = Duration::from_secs(20);

const WITH_CALENDAR: &str = r#"
[[service]]
name = "calendar"
address = "127.20.0.2:443"
"#;

fn start_voter(data: &Path) -> (Control, ControlServers) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let listen = listener.local_addr().unwrap();
    let key = "7e".repeat(32);
    let text = format!(
        "id = 1\ndomain = \"riga-1\"\ndata = \"{}\"\nlisten = \"{listen}\"\n\
         allow = [\"127.0.0.1\"]\nkey = \"{key}\"\n\
         [[voter]]\nid = 1\naddress = \"{listen}\"\n",
        data.display()
    );
    let settings = ControlSettings::parse(&text, "control.toml").unwrap();
    let control = Control::start(&settings, ControlStart::InitOrResume, listener).unwrap();
    let servers = ControlServers {
        servers: vec![listen],
        key: ControlKey::try_from(Box::from(key)).unwrap(),
    };
    (control, servers)
}

async fn apply(servers: &ControlServers, base: Base, text: &str) -> Base {
    let request = ApplyRequest {
        base,
        text: text.into(),
    };
    let digest = request.digest();
    let deadline = Instant::now() + DEADLINE;
    let revision = ControlClient::new(servers).apply(request, deadline).await;
    Base {
        revision: revision.unwrap().revision,
        digest,
    }
}

/// Tells whether the entry routes the service at `address`: it has no
/// upstream, so a flow is refused, whereas an unknown service is silence.
async fn is_refused(fixture: &Fixture, address: SocketAddr) -> bool {
    let to = fixture.entry.addresses().fabric;
    fixture.outside.send_to(&syn(address), to).unwrap();
    let answer = fixture.receive().await;
    let sliced = etherparse::SlicedPacket::from_ip(&answer).unwrap();
    matches!(sliced.transport, Some(etherparse::TransportSlice::Tcp(tcp)) if tcp.rst())
}

#[actix_rt::test]
async fn an_entry_adopts_a_revision_and_has_it_after_a_restart_without_control() {
    let folder = tempfile::tempdir().unwrap();
    let (control, servers) = start_voter(&folder.path().join("control"));
    let with_control = |settings: &mut currantgate_config::EntrySettings| {
        settings.control = Some(servers.clone());
        settings.data = Some(folder.path().join("entry"));
    };
    let fixture = Fixture::start_with(with_control);
    let base = apply(&servers, Base::empty(), SITE).await;
    let calendar = SocketAddr::from(([127, 20, 0, 2], 443));
    apply(&servers, base, &format!("{SITE}{WITH_CALENDAR}")).await;
    fixture
        .wait_for_sample("currantgate_entry_revision", 2.0)
        .await;
    assert!(is_refused(&fixture, calendar).await);
    fixture.entry.stop().await;
    drop(control);

    let restarted = Fixture::start_with(with_control);
    assert!(is_refused(&restarted, calendar).await);
}

//! An entry applies accepted revisions and restores the newest after a restart.

mod support;
mod voter;

use std::net::SocketAddr;

use currantgate_control::RevisionId;
use support::{Fixture, SITE, syn};
use voter::{apply, start_voter};

const WITH_CALENDAR: &str = r#"
[[service]]
name = "calendar"
address = "127.20.0.2:443"
"#;

/// Returns whether the entry routes the service at `address`: a flow is refused, as the
/// service has no upstreams, whereas packets to an unknown service get no answer.
async fn is_refused(fixture: &Fixture, address: SocketAddr) -> bool {
    let to = fixture.entry.addresses().fabric;
    fixture.remote.send_to(&syn(address), to).unwrap();
    let answer = fixture.receive().await;
    let sliced = etherparse::SlicedPacket::from_ip(&answer).unwrap();
    matches!(sliced.transport, Some(etherparse::TransportSlice::Tcp(tcp)) if tcp.rst())
}

#[actix_rt::test]
async fn an_entry_applies_a_revision_and_restores_it_after_a_restart_without_control() {
    let folder = tempfile::tempdir().unwrap();
    let (control, servers) = start_voter(&folder.path().join("control"));
    let with_control = |settings: &mut currantgate_config::EntrySettings| {
        settings.control = Some(servers.clone());
        settings.data = Some(folder.path().join("entry"));
    };
    let fixture = Fixture::start_with(with_control);
    let base = apply(&servers, RevisionId::empty(), SITE).await;
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

//! A site with a single voter on loopback, and changes applied to it.

use std::net::TcpListener;
use std::path::Path;
use std::time::{Duration, Instant};

use currantgate::{Control, ControlClient, ControlStart};
use currantgate_config::{ControlKey, ControlServers, ControlSettings};
use currantgate_control::{ApplyRequest, RevisionId};

/// Time within which the voter must accept a revision.
const APPLY_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts the voter; returns it with its address and key for clients.
pub(crate) fn start_voter(data: &Path) -> (Control, ControlServers) {
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

/// Applies `text` on `base` and returns the accepted revision.
pub(crate) async fn apply(servers: &ControlServers, base: RevisionId, text: &str) -> RevisionId {
    let request = ApplyRequest {
        base,
        text: text.into(),
    };
    let digest = request.digest();
    let deadline = Instant::now() + APPLY_TIMEOUT;
    let applied = ControlClient::new(servers).apply(request, deadline).await;
    RevisionId {
        revision: applied.unwrap().revision,
        digest,
    }
}

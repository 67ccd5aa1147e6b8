//! A lone voter on loopback, and changes applied to it.

use std::net::TcpListener;
use std::path::Path;
use std::time::{Duration, Instant};

use currantgate::{Control, ControlClient, ControlStart};
use currantgate_config::{ControlKey, ControlServers, ControlSettings};
use currantgate_control::{ApplyRequest, RevisionId};

/// How long the voter may take to accept a revision.
const DEADLINE: Duration = Duration::from_secs(20);

/// Starts the voter, and returns where it is to be found.
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

/// Applies `text` on `base`, and returns what it has become.
pub(crate) async fn apply(servers: &ControlServers, base: RevisionId, text: &str) -> RevisionId {
    let request = ApplyRequest {
        base,
        text: text.into(),
    };
    let digest = request.digest();
    let deadline = Instant::now() + DEADLINE;
    let applied = ControlClient::new(servers).apply(request, deadline).await;
    RevisionId {
        revision: applied.unwrap().revision,
        digest,
    }
}

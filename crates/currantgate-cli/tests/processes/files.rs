//! Copies of the example site's files on ports that are free.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};

use tempfile::TempDir;

/// The prefix of the addresses that processes of the example listen on.
const LISTEN_PREFIX: &str = "\"127.0.";

/// The example site in a folder of its own.
pub(crate) struct SiteFiles {
    folder: TempDir,
}

impl SiteFiles {
    /// Copies the example, each address with a port that is free.
    pub(crate) fn copy_with_free_ports() -> Self {
        let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/two-domains");
        let folder = tempfile::tempdir().expect("a folder can be made");
        let mut ports = HashMap::new();
        for file in std::fs::read_dir(example).expect("the example exists") {
            let file = file.expect("the example can be listed").path();
            if file.extension().is_none_or(|extension| extension != "toml") {
                continue;
            }
            let text = std::fs::read_to_string(&file).expect("the example can be read");
            let name = file.file_name().expect("a file has a name");
            std::fs::write(folder.path().join(name), replace(&text, &mut ports))
                .expect("the folder can be written");
        }
        Self { folder }
    }

    /// Returns the path of the file called `name`.
    pub(crate) fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// Returns the files of all upstreams.
    pub(crate) fn upstreams(&self) -> Vec<PathBuf> {
        [
            "booking-1",
            "booking-2",
            "booking-3",
            "calendar-1",
            "calendar-2",
        ]
        .map(|name| self.path(&format!("{name}.toml")))
        .to_vec()
    }

    /// Writes a variant of the file called `name`.
    pub(crate) fn write_probe(&self, name: &str, from: &str, to: &str) -> PathBuf {
        let text = std::fs::read_to_string(self.path(name)).expect("the file exists");
        assert!(text.contains(from), "{name} has no `{from}`");
        let path = self.path(&format!("probe-{name}"));
        std::fs::write(&path, text.replace(from, to)).expect("the folder can be written");
        path
    }

    /// Returns the address that `key` has in the file called `name`.
    pub(crate) fn address(&self, name: &str, key: &str) -> SocketAddr {
        let text = std::fs::read_to_string(self.path(name)).expect("the file exists");
        text.lines()
            .find_map(|line| line.strip_prefix(key)?.strip_prefix(" = "))
            .and_then(|value| value.trim_matches('"').parse().ok())
            .expect("the file has the address")
    }
}

/// Replaces each listening address by one with a free port, alike in all files.
fn replace(text: &str, ports: &mut HashMap<SocketAddr, SocketAddr>) -> String {
    let mut parts = text.split(LISTEN_PREFIX);
    let mut out = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        let (rest, after) = part.split_once('"').expect("a text ends with a quote");
        let address: SocketAddr = format!("127.0.{rest}").parse().expect("an address");
        let free = *ports.entry(address).or_insert_with(|| free_port(address));
        out.push_str(&format!("\"{free}\"{after}"));
    }
    out
}

/// Returns a port of the same IP that is free for TCP and for UDP.
fn free_port(address: SocketAddr) -> SocketAddr {
    let free = || {
        let tcp = TcpListener::bind((address.ip(), 0)).ok()?;
        let address = tcp.local_addr().ok()?;
        UdpSocket::bind(address).ok()?;
        Some(address)
    };
    (0..100)
        .find_map(|_| free())
        .expect("one of many ports is free")
}

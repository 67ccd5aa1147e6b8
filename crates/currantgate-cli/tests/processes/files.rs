//! Copies of the example site's files with free ports.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};

use tempfile::TempDir;

/// Prefix of the listening addresses in the example.
const LISTEN_PREFIX: &str = "\"127.0.";

/// A copy of the example site in a temporary directory.
pub(crate) struct SiteFiles {
    folder: TempDir,
}

impl SiteFiles {
    /// Copies the example and replaces the port of each listening address by a free one.
    pub(crate) fn copy_with_free_ports() -> Self {
        let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/two-domains");
        let folder = tempfile::tempdir().expect("a temporary directory can be created");
        let mut ports = HashMap::new();
        for file in std::fs::read_dir(example).expect("the example exists") {
            let file = file.expect("the example can be listed").path();
            if file.extension().is_none_or(|extension| extension != "toml") {
                continue;
            }
            let text = std::fs::read_to_string(&file).expect("the example can be read");
            let name = file.file_name().expect("a file has a name");
            std::fs::write(
                folder.path().join(name),
                replace_addresses(&text, &mut ports),
            )
            .expect("the directory is writable");
        }
        Self { folder }
    }

    /// Returns the path of the file `name`.
    pub(crate) fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// Returns the paths of the settings files of all upstreams.
    pub(crate) fn upstream_files(&self) -> Vec<PathBuf> {
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

    /// Writes a copy of the file `name` with `from` replaced by `to`; returns its path.
    pub(crate) fn write_variant(&self, name: &str, from: &str, to: &str) -> PathBuf {
        let text = std::fs::read_to_string(self.path(name)).expect("the file exists");
        assert!(text.contains(from), "{name} has no `{from}`");
        let path = self.path(&format!("probe-{name}"));
        std::fs::write(&path, text.replace(from, to)).expect("the directory is writable");
        path
    }

    /// Returns the address that is the value of `key` in the file `name`.
    pub(crate) fn address(&self, name: &str, key: &str) -> SocketAddr {
        let text = std::fs::read_to_string(self.path(name)).expect("the file exists");
        text.lines()
            .find_map(|line| line.strip_prefix(key)?.strip_prefix(" = "))
            .and_then(|value| value.trim_matches('"').parse().ok())
            .expect("the file has the address")
    }
}

/// Replaces each listening address by one with a free port; `ports` keeps the
/// replacements consistent across files.
fn replace_addresses(text: &str, ports: &mut HashMap<SocketAddr, SocketAddr>) -> String {
    let mut parts = text.split(LISTEN_PREFIX);
    let mut out = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        let (rest, after) = part
            .split_once('"')
            .expect("the string has a closing quote");
        let address: SocketAddr = format!("127.0.{rest}").parse().expect("an address");
        let free_address = *ports.entry(address).or_insert_with(|| free_port(address));
        out.push_str(&format!("\"{free_address}\"{after}"));
    }
    out
}

/// Returns an address with the same IP and a port that is free for both TCP and UDP.
fn free_port(address: SocketAddr) -> SocketAddr {
    let free_address = || {
        let tcp = TcpListener::bind((address.ip(), 0)).ok()?;
        let address = tcp.local_addr().ok()?;
        UdpSocket::bind(address).ok()?;
        Some(address)
    };
    (0..100)
        .find_map(|_| free_address())
        .expect("one of 100 ports is free for TCP and UDP")
}

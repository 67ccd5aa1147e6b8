//! Settings of how a service's requests are relayed.

use serde::{Deserialize, Serialize};

use crate::ConfigError;
use crate::validation::check_positive;

/// Settings of how relays handle the requests of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
// Keeps the name of the type in error texts that are sent to clients.
#[serde(expecting = "struct Requests")]
pub struct RequestSettings {
    /// The protocol of callers and upstreams on top of TCP.
    pub protocol: RequestProtocol,
    /// The time limit in milliseconds for the start of an answer, if the caller
    /// sets no deadline.
    pub timeout_ms: u64,
    /// The requests that may run more than once; none by default.
    pub repeatable: Vec<RepeatableRequests>,
}

impl Default for RequestSettings {
    fn default() -> Self {
        Self {
            protocol: RequestProtocol::default(),
            timeout_ms: 30_000,
            repeatable: Vec::new(),
        }
    }
}

/// The protocol of callers and upstreams of a relay on top of TCP.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RequestProtocol {
    /// HTTP/2 with prior knowledge; an upstream is chosen for each request.
    #[default]
    Http2,
    /// Any other protocol; an upstream is chosen for each connection, whose bytes
    /// are forwarded unchanged.
    Tcp,
}

/// Idempotent requests, which may run more than once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
// Keeps the name of the type in error texts that are sent to clients.
#[serde(expecting = "struct Repeatable")]
pub struct RepeatableRequests {
    /// The methods, such as `GET`.
    pub methods: Vec<Box<str>>,
    /// The prefix of the path.
    #[serde(default)]
    pub path_prefix: Box<str>,
}

impl RequestSettings {
    /// Returns whether the site file declares that such a request may run more
    /// than once.
    ///
    /// A path with `..` is never repeatable, since the upstream may resolve it to
    /// a path outside the declared prefix.
    pub fn is_repeatable(&self, method: &str, path: &str) -> bool {
        if path.to_ascii_lowercase().replace("%2e", ".").contains("..") {
            return false;
        }
        let is_declared = |r: &RepeatableRequests| {
            r.methods.iter().any(|m| **m == *method) && path.starts_with(&*r.path_prefix)
        };
        self.repeatable.iter().any(is_declared)
    }

    /// Validates the values beyond their syntax; `key` is the table's key.
    pub(crate) fn validate(&self, key: &str) -> Result<(), ConfigError> {
        check_positive(format!("{key}.timeout_ms"), self.timeout_ms)?;
        let is_method = |m: &str| !m.is_empty() && m.bytes().all(|b| b.is_ascii_uppercase());
        for repeatable in &self.repeatable {
            if let Some(bad) = repeatable.methods.iter().find(|m| !is_method(m)) {
                return Err(ConfigError::value(
                    format!("{key}.repeatable.methods"),
                    format!("`{bad}` is not a method; methods are in capitals"),
                ));
            }
        }
        Ok(())
    }
}

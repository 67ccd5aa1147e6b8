//! How a service's requests are relayed.

use serde::{Deserialize, Serialize};

use crate::ConfigError;
use crate::check::check_positive;

/// How relays treat the requests of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RequestSettings {
    /// What callers and upstreams speak on top of TCP.
    pub protocol: RequestProtocol,
    /// Milliseconds in which an answer must begin, where the caller gives no
    /// deadline of its own.
    pub timeout_ms: u64,
    /// Requests that may run more than once; none where nothing is declared.
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

/// What callers and upstreams of a relay speak on top of TCP.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RequestProtocol {
    /// HTTP/2 with prior knowledge: each request goes to an upstream of its own.
    #[default]
    Http2,
    /// Anything: each connection goes to one upstream, byte by byte.
    Tcp,
}

/// Requests that may run more than once without harm.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RepeatableRequests {
    /// The methods, such as `GET`.
    pub methods: Vec<Box<str>>,
    /// What the path must begin with.
    #[serde(default)]
    pub path_prefix: Box<str>,
}

impl RequestSettings {
    /// Tells whether the site file declares that such a request may run more
    /// than once.
    ///
    /// A path that climbs with `..` is never taken as declared: the upstream
    /// may take it for another one.
    pub fn is_repeatable(&self, method: &str, path: &str) -> bool {
        if path.to_ascii_lowercase().replace("%2e", ".").contains("..") {
            return false;
        }
        let declared = |r: &RepeatableRequests| {
            r.methods.iter().any(|m| **m == *method) && path.starts_with(&*r.path_prefix)
        };
        self.repeatable.iter().any(declared)
    }

    /// Checks what the syntax alone can't; `key` names this part of the file.
    pub(crate) fn validate(&self, key: &str) -> Result<(), ConfigError> {
        check_positive(format!("{key}.timeout_ms"), self.timeout_ms)?;
        let upper = |m: &str| !m.is_empty() && m.bytes().all(|b| b.is_ascii_uppercase());
        for repeatable in &self.repeatable {
            if let Some(bad) = repeatable.methods.iter().find(|m| !upper(m)) {
                return Err(ConfigError::value(
                    format!("{key}.repeatable.methods"),
                    format!("`{bad}` is not a method; methods are in capitals"),
                ));
            }
        }
        Ok(())
    }
}

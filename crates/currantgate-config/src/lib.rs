//! Ids, the site file and the settings of the daemons.
//!
//! The declarative [`Site`] file defines the services, the failure domains that
//! serve them, and how upstreams join and leave. Each daemon also has a settings
//! file, such as [`EntrySettings`], with its addresses and its failure domain.
//! A file is validated as a whole before any part of it is used; see
//! `guide/src/reference/configuration.md` for all keys.
//!
//! ```
//! use currantgate_config::Site;
//!
//! let site = Site::parse(
//!     r#"
//!     domains = ["riga-1"]
//!
//!     [[service]]
//!     name = "booking"
//!     address = "127.20.0.1:443"
//!     "#,
//!     "site.toml",
//! )?;
//! assert_eq!(&*site.services[0].name, "booking");
//! # Ok::<(), currantgate_config::ConfigError>(())
//! ```

mod control;
mod control_key;
mod domain;
mod entry;
mod error;
mod file;
mod hash_key;
mod id;
mod join_settings;
mod leave_settings;
mod limits;
mod prefix;
mod protocol;
mod relay;
mod requests;
mod service;
mod site;
mod validation;

pub use control::{ControlServers, ControlSettings, ControlVoter};
pub use control_key::ControlKey;
pub use domain::Domain;
pub use entry::{ControlTrafficBudget, EntryListen, EntrySettings, FlowSettings, Peer};
pub use error::ConfigError;
pub use file::{Validate, load as load_file, parse as parse_file};
pub use hash_key::HashKey;
pub use id::{EntryId, Incarnation, ServiceId, UpstreamId, service_id, upstream_id};
pub use join_settings::JoinSettings;
pub use leave_settings::LeaveSettings;
pub use limits::ServiceLimits;
pub use prefix::Prefix;
pub use protocol::Protocol;
pub use relay::{DispatchSettings, RelayListen, RelaySettings, RelayedService};
pub use requests::{RepeatableRequests, RequestProtocol, RequestSettings};
pub use service::Service;
pub use site::Site;

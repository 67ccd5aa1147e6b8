//! The declarative file that operators apply.

use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::check::check_name;
use crate::file::{self, Validate};
use crate::{ConfigError, Domain, Protocol, Service};

/// Everything that operators say about a site, applied as a whole.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// The failure domains of the site.
    pub domains: Vec<Domain>,
    /// The services of the site.
    #[serde(default, rename = "service")]
    pub services: Vec<Service>,
}

impl Site {
    /// Reads and checks the site file at `path`.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file, and the line or key at fault,
    /// when it can't be read or any part of it is wrong.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        file::load(path)
    }

    /// Reads and checks the text of a site file; `name` appears in errors.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file, and the line or key at fault.
    pub fn parse(text: &str, name: &str) -> Result<Self, ConfigError> {
        file::parse(text, name)
    }

    /// Returns the services that requests can be relayed for.
    pub fn tcp_services(&self) -> impl Iterator<Item = &Service> {
        let services = self.services.iter();
        services.filter(|service| service.protocol == Protocol::Tcp)
    }

    fn check_domains(&self, service: &Service) -> Result<(), ConfigError> {
        match service.domains.iter().find(|d| !self.domains.contains(d)) {
            None => Ok(()),
            Some(unknown) => Err(ConfigError::value(
                format!("service.{}.domains", service.name),
                format!("`{unknown}` is not among the site's domains"),
            )),
        }
    }
}

impl Validate for Site {
    /// Checks what the syntax alone can't: names, addresses and references.
    fn validate(&self) -> Result<(), ConfigError> {
        if self.domains.is_empty() {
            return Err(ConfigError::value("domains", "lists no failure domain"));
        }
        for (i, domain) in self.domains.iter().enumerate() {
            check_name("domains", domain)?;
            if self.domains[..i].contains(domain) {
                return Err(ConfigError::value(
                    "domains",
                    format!("`{domain}` is listed twice"),
                ));
            }
        }
        for (i, service) in self.services.iter().enumerate() {
            service.validate()?;
            for other in &self.services[..i] {
                check_pair(service, other)?;
            }
            self.check_domains(service)?;
        }
        Ok(())
    }
}

fn check_pair(service: &Service, other: &Service) -> Result<(), ConfigError> {
    if service.name == other.name {
        return Err(ConfigError::value(
            format!("service.{}.name", service.name),
            "two services have this name",
        ));
    }
    if service.id() == other.id() {
        return Err(ConfigError::value(
            format!("service.{}.name", service.name),
            format!("its id equals that of `{}`; rename one", other.name),
        ));
    }
    if (service.address, service.protocol) == (other.address, other.protocol) {
        return Err(ConfigError::value(
            format!("service.{}.address", service.name),
            format!("`{}` has the same address {}", other.name, other.address),
        ));
    }
    Ok(())
}

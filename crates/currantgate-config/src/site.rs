//! The declarative site file that operators apply.

use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::file::{self, Validate};
use crate::validation::check_name;
use crate::{ConfigError, Domain, Protocol, Service};

/// The site file, which is applied as a whole.
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
    /// Reads and validates the site file at `path`.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file and the line or key at fault when it
    /// can't be read or any part of it is invalid.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        file::load(path)
    }

    /// Parses and validates the text of a site file; errors contain `name`.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file and the line or key at fault.
    pub fn parse(text: &str, name: &str) -> Result<Self, ConfigError> {
        file::parse(text, name)
    }

    /// Returns the TCP services, whose requests can be relayed.
    pub fn tcp_services(&self) -> impl Iterator<Item = &Service> {
        let services = self.services.iter();
        services.filter(|service| service.protocol == Protocol::Tcp)
    }

    /// Checks that the site has all failure domains of `service`.
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
    /// Validates names, addresses and references between tables.
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
                check_distinct(service, other)?;
            }
            self.check_domains(service)?;
        }
        Ok(())
    }
}

/// Checks that two services differ in name, id and address.
fn check_distinct(service: &Service, other: &Service) -> Result<(), ConfigError> {
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

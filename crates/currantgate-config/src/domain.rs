//! Names of failure domains.

/// The name of a failure domain, as the site file lists it.
pub type Domain = Box<str>;

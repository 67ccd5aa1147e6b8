//! The name of a failure domain.

/// The name of a failure domain, as in the site file.
pub type Domain = Box<str>;

//! Decides where, when and how often a request is tried.

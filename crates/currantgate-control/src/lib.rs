//! One agreed configuration, kept by a quorum of control VMs.

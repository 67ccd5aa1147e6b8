//! Waiting for SIGTERM or SIGINT.

use std::io;

use tokio::signal::unix::{SignalKind, signal};

/// Returns once SIGTERM or SIGINT arrives.
///
/// # Errors
///
/// Returns an error when a signal handler can't be installed.
pub(crate) async fn wait() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

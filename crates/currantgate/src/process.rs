//! Handling of signals and of changed settings files.

use std::fmt::Display;
use std::io;
use std::path::Path;
use std::time::{Duration, SystemTime};

use tokio::signal::unix::{SignalKind, signal};

/// Interval of checks for a changed settings file, which may change without a
/// signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(2);

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error when a signal handler can't be installed.
pub async fn wait_for_stop_signal() -> io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = term.recv() => log::info!("SIGTERM received, stopping"),
        _ = int.recv() => log::info!("SIGINT received, stopping"),
    }
    Ok(())
}

/// Reads the settings file with `read` whenever it has been modified or SIGHUP arrives, and
/// calls `apply` when the settings differ from the current ones. Returns only on an error.
///
/// # Errors
///
/// Returns an error when the signal handler can't be installed.
pub async fn watch_settings<S: PartialEq, E: Display>(
    path: &Path,
    read: impl Fn(&Path) -> Result<S, E>,
    apply: impl Fn(&S),
) -> io::Result<()> {
    let mut hup = signal(SignalKind::hangup())?;
    let mut interval = actix_rt::time::interval(SETTINGS_INTERVAL);
    let mut last_modified = modification_time(path);
    let mut current = read(path).ok();
    loop {
        let must_read = tokio::select! {
            _ = hup.recv() => true,
            _ = interval.tick() => false,
        };
        let modified = modification_time(path);
        if !must_read && modified == last_modified {
            continue;
        }
        last_modified = modified;
        match read(path) {
            Ok(settings) if Some(&settings) != current.as_ref() => {
                log::info!(event = "reload"; "settings are reloaded");
                apply(&settings);
                current = Some(settings);
            }
            Ok(_) => {}
            Err(e) => log::error!(event = "reload"; "settings are not reloaded: {e}"),
        }
    }
}

fn modification_time(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|m| m.modified()).ok()
}

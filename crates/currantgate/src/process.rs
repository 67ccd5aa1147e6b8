//! Handling of signals and of changed settings files.

use std::fmt::Display;
use std::io;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use tokio::signal::unix::{Signal, SignalKind, signal};

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

/// A watch of the settings file, which applies changes while the process runs.
pub struct SettingsWatch<S> {
    path: PathBuf,
    current: S,
    hup: Signal,
}

impl<S: PartialEq> SettingsWatch<S> {
    /// Returns a watch of the file at `path`, from which the `current` settings were read.
    /// From now on, SIGHUP does not end the process.
    ///
    /// # Errors
    ///
    /// Returns an error when the signal handler can't be installed.
    pub fn new(path: &Path, current: S) -> io::Result<Self> {
        Ok(Self {
            path: path.into(),
            current,
            hup: signal(SignalKind::hangup())?,
        })
    }

    /// Reads the file with `read` at once, and whenever it has been modified or SIGHUP
    /// arrives, and calls `apply` when the settings differ from the current ones. Never returns.
    pub async fn run<E: Display>(
        mut self,
        read: impl Fn(&Path) -> Result<S, E>,
        apply: impl Fn(&S),
    ) {
        let mut interval = actix_rt::time::interval(SETTINGS_INTERVAL);
        // The file may have changed since the current settings were read.
        let mut last_modified = None;
        loop {
            let must_read = tokio::select! {
                _ = self.hup.recv() => true,
                _ = interval.tick() => false,
            };
            let modified = modification_time(&self.path);
            if !must_read && modified == last_modified {
                continue;
            }
            last_modified = modified;
            match read(&self.path) {
                Ok(settings) if settings != self.current => {
                    log::info!(event = "reload"; "settings are reloaded");
                    apply(&settings);
                    self.current = settings;
                }
                Ok(_) => {}
                Err(e) => log::error!(event = "reload"; "settings are not reloaded: {e}"),
            }
        }
    }
}

fn modification_time(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|m| m.modified()).ok()
}

//! State that is written to disk whenever it changes, so that entries have
//! upstreams and recent routes even after a restart of all control VMs.

use std::rc::Rc;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, SyncSender, TrySendError};
use std::thread;
use std::time::Duration;

use currantgate_control::{DataDirectory, Disk, StorageError, ValueFile};
use currantgate_registry::Record;
use log::Level;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::feed::FeedSource;

/// The file of the upstreams in the data directory.
pub(super) const UPSTREAMS_FILE: &str = "upstreams";

/// Interval at which changes are batched into one write, which limits the writes
/// to several a second, as each is synced.
const WRITE_INTERVAL: Duration = Duration::from_millis(400);

/// Interval at which a failed write is tried again, so that a full disk is not kept busy.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Returns the value in the file. If it can't be loaded, the VM learns the state
/// anew.
pub(super) fn load<T>(file: &mut ValueFile<impl Disk, T>, name: &str) -> Option<T>
where
    T: Serialize + DeserializeOwned,
{
    file.load().unwrap_or_else(|e: StorageError| {
        log::warn!("loading {name} from disk failed: {e}");
        None
    })
}

/// Starts a thread that writes each value sent to it, so that a stalled disk
/// doesn't block the runtime.
pub(super) fn spawn_writer<T>(
    mut file: ValueFile<DataDirectory, T>,
    name: &'static str,
) -> SyncSender<T>
where
    T: Serialize + DeserializeOwned + Send + 'static,
{
    let (tx, rx) = mpsc::sync_channel(1);
    thread::spawn(move || write_all(&mut file, &rx, name));
    tx
}

/// Writes the newest of the values that it is given, on a thread of its own.
pub(super) struct LatestWriter<T> {
    tx: SyncSender<T>,
    /// The newest value, if the thread was busy when it came.
    unsent: Option<T>,
}

impl<T> LatestWriter<T>
where
    T: Serialize + DeserializeOwned + Send + 'static,
{
    pub(super) fn spawn(file: ValueFile<DataDirectory, T>, name: &'static str) -> Self {
        Self {
            tx: spawn_writer(file, name),
            unsent: None,
        }
    }

    /// Has a value written, in place of earlier ones.
    pub(super) fn save(&mut self, value: T) {
        self.unsent = Some(value);
        self.retry();
    }

    /// Has the newest value written if the disk was busy before. To be called regularly.
    pub(super) fn retry(&mut self) {
        if let Some(value) = self.unsent.take()
            && let Err(TrySendError::Full(value)) = self.tx.try_send(value)
        {
            self.unsent = Some(value);
        }
    }
}

/// Writes each received value, and logs a warning for the first failure in a row. A value
/// whose write fails, as on a full disk, is written again until that succeeds or a newer
/// one arrives.
fn write_all<T>(file: &mut ValueFile<DataDirectory, T>, values: &Receiver<T>, name: &str)
where
    T: Serialize + DeserializeOwned,
{
    let mut unwritten = None;
    loop {
        let received = match unwritten {
            None => values.recv().map_err(RecvTimeoutError::from),
            Some(_) => values.recv_timeout(RETRY_INTERVAL),
        };
        let is_failing = unwritten.is_some();
        let value = match (received, unwritten) {
            (Ok(value), _) | (Err(RecvTimeoutError::Timeout), Some(value)) => value,
            (Err(_), _) => return,
        };
        unwritten = match file.save(&value) {
            Ok(()) => None,
            Err(e) => {
                let level = if is_failing {
                    Level::Debug
                } else {
                    Level::Warn
                };
                log::log!(level, "writing {name} to disk failed: {e}");
                Some(value)
            }
        };
    }
}

/// Sends the registry's records to the writer thread whenever they have changed.
pub(super) async fn persist_upstreams(source: Rc<FeedSource>, tx: SyncSender<Vec<Record>>) {
    let mut written = 0;
    loop {
        actix_rt::time::sleep(WRITE_INTERVAL).await;
        let change = source.registry.borrow().last_change();
        if change == written {
            continue;
        }
        let records = source.registry.borrow().snapshot();
        // While the disk is busy, the next round tries again with newer records.
        if tx.try_send(records).is_ok() {
            written = change;
        }
    }
}

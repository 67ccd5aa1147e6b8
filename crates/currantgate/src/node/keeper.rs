//! Values that are written to disk whenever they change, so that a restart of
//! all control VMs leaves entries neither without upstreams nor with routes
//! that are long out of date.

use std::rc::Rc;
use std::sync::mpsc::{self, Receiver, SyncSender};
use std::thread;
use std::time::Duration;

use currantgate_control::{DataDirectory, Disk, StorageError, ValueFile};
use currantgate_registry::Record;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::feed::FeedSource;

/// The file of the upstreams in the data folder.
pub(super) const UPSTREAMS: &str = "upstreams";

/// How long changes are gathered before they are written: several files a
/// second at most, as each is synced.
const GATHER: Duration = Duration::from_millis(400);

/// Returns the value that the file holds. Without it the VM learns it anew.
pub(super) fn load<T>(file: &mut ValueFile<impl Disk, T>, what: &str) -> Option<T>
where
    T: Serialize + DeserializeOwned,
{
    file.load().unwrap_or_else(|e: StorageError| {
        log::warn!("{what}: not known from before: {e}");
        None
    })
}

/// Writes each value that is sent; a thread of its own waits for the disk,
/// which may stall.
pub(super) fn start<T>(mut file: ValueFile<DataDirectory, T>, what: &'static str) -> SyncSender<T>
where
    T: Serialize + DeserializeOwned + Send + 'static,
{
    let (tx, rx) = mpsc::sync_channel(1);
    thread::spawn(move || write_all(&mut file, &rx, what));
    tx
}

fn write_all<T>(file: &mut ValueFile<DataDirectory, T>, values: &Receiver<T>, what: &str)
where
    T: Serialize + DeserializeOwned,
{
    let mut is_failing = false;
    while let Ok(value) = values.recv() {
        match file.save(&value) {
            Ok(()) => is_failing = false,
            Err(e) if !is_failing => {
                is_failing = true;
                log::warn!("{what}: not kept on disk: {e}");
            }
            Err(e) => log::debug!("{what}: not kept on disk: {e}"),
        }
    }
}

/// Hands the registry to the thread whenever it has changed.
pub(super) async fn keep_upstreams(source: Rc<FeedSource>, tx: SyncSender<Vec<Record>>) {
    let mut written = 0;
    loop {
        actix_rt::time::sleep(GATHER).await;
        let change = source.registry.borrow().last_change();
        if change == written {
            continue;
        }
        let records = source.registry.borrow().snapshot();
        // While the disk is busy the next round takes what is newest then.
        if tx.try_send(records).is_ok() {
            written = change;
        }
    }
}

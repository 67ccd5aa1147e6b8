//! Upstreams on disk, so that a restart of all control VMs does not leave the
//! entries without upstreams until each has reported again.

use std::rc::Rc;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use currantgate_control::{Folder, Saved};
use currantgate_registry::Record;

use crate::feed::FeedSource;

/// The file in the data folder.
const FILE: &str = "upstreams";

/// How long changes are gathered before they are written: several files a
/// second at most, as each is synced.
const GATHER: Duration = Duration::from_millis(400);

type KeptFile = Saved<Folder, Vec<Record>>;

/// Returns the file in the folder.
pub(super) fn open(folder: &Folder) -> KeptFile {
    Saved::new(folder.share(), FILE)
}

/// Returns the upstreams that the file holds; without them they report again.
pub(super) fn load(file: &mut KeptFile) -> Vec<Record> {
    match file.load() {
        Ok(records) => records.unwrap_or_default(),
        Err(e) => {
            log::warn!("upstreams are not known from before: {e}");
            Vec::new()
        }
    }
}

/// Writes the registry whenever it has changed. A thread of its own waits for
/// the disk, which may stall.
pub(super) async fn keep(source: Rc<FeedSource>, file: KeptFile) {
    let (tx, rx) = mpsc::sync_channel(1);
    thread::spawn(move || write_all(file, &rx));
    let mut written = 0;
    loop {
        actix_rt::time::sleep(GATHER).await;
        let change = source.registry.borrow().last_change();
        if change == written {
            continue;
        }
        let records = source.registry.borrow().records();
        // While the disk is busy the next round takes what is newest then.
        if tx.try_send(records).is_ok() {
            written = change;
        }
    }
}

fn write_all(mut file: KeptFile, batches: &mpsc::Receiver<Vec<Record>>) {
    let mut is_failing = false;
    while let Ok(records) = batches.recv() {
        match file.save(&records) {
            Ok(()) => is_failing = false,
            Err(e) if !is_failing => {
                is_failing = true;
                log::warn!("upstreams are not kept on disk: {e}");
            }
            Err(e) => log::debug!("upstreams are not kept on disk: {e}"),
        }
    }
}

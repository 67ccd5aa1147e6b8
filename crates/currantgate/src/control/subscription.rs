//! How entries and relays learn the accepted site file.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Instant;

use actix_rt::task::JoinHandle;
use currantgate_config::ControlServers;
use currantgate_control::{
    AdoptedFile, Change, DataDirectory, RolloutStatus, Subscriber, SubscriberSettings,
};
use tokio::sync::watch;

use super::daemon::random_seed;
use super::follow::Follow;
use super::{AcceptedRevision, ControlError};

/// Settings of a subscription.
#[derive(Clone, Debug, Default)]
pub struct SubscriptionSettings {
    /// Names the VM and its role in reports of who lags, as `entry-7`.
    pub name: Box<str>,
    /// Where the publishers are.
    pub control: ControlServers,
    /// A folder to keep the newest revision in, if the VM has a disk.
    pub data: Option<PathBuf>,
}

/// Keeps the newest accepted site file; it stops when it is dropped.
///
/// Each revision is whole and checked, and greater than the one before, also
/// over restarts when there is a folder to keep it in.
pub struct Subscription {
    accepted: watch::Receiver<Option<Arc<AcceptedRevision>>>,
    task: JoinHandle<()>,
}

impl Subscription {
    /// Starts to follow the publishers on the current thread's runtime. What
    /// the folder holds is in force at once.
    ///
    /// # Errors
    ///
    /// Returns an error when the folder can't be used or is damaged.
    pub fn start(settings: &SubscriptionSettings) -> Result<Self, ControlError> {
        let opened = settings.data.as_deref().map(open_file).transpose()?;
        let (file, adopted) = opened.unzip();
        let adopted = adopted.flatten().map(Arc::new);
        let (tx, accepted) = watch::channel(None);
        if let Some(change) = &adopted {
            put_in_force(&tx, change);
        }
        let subscriber_settings = SubscriberSettings {
            name: settings.name.clone(),
            servers: settings.control.servers.clone(),
            seed: random_seed(0),
        };
        let follow = Follow {
            name: settings.name.clone(),
            subscriber: Subscriber::new(subscriber_settings, adopted, Instant::now()),
            file,
            secret: *settings.control.key.bytes(),
        };
        let task = actix_rt::spawn(follow.run(
            move |change| put_in_force(&tx, &change),
            RolloutStatus::default,
        ));
        Ok(Self { accepted, task })
    }

    /// Returns the newest revision, and wakes its holder for each newer one.
    pub fn accepted(&self) -> watch::Receiver<Option<Arc<AcceptedRevision>>> {
        self.accepted.clone()
    }
}

impl Subscription {
    /// Stops, and lets go of the folder before it returns.
    pub async fn stop(mut self) {
        self.task.abort();
        // The task ends by being aborted, which is no news.
        let _ = (&mut self.task).await;
    }
}

impl Drop for Subscription {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Opens the folder of a VM that has one, and reads what it holds.
fn open_file(folder: &Path) -> Result<(AdoptedFile<DataDirectory>, Option<Change>), ControlError> {
    let disk = DataDirectory::open(folder).map_err(|source| ControlError::Folder {
        folder: folder.display().to_string().into(),
        source,
    })?;
    let mut file = AdoptedFile::new(disk);
    let adopted = file.load().map_err(ControlError::storage(folder))?;
    Ok((file, adopted))
}

fn put_in_force(tx: &watch::Sender<Option<Arc<AcceptedRevision>>>, change: &Change) {
    match AcceptedRevision::parse(change) {
        Ok(accepted) => {
            tx.send_replace(Some(Arc::new(accepted)));
        }
        // Control VMs check each file, so theirs is another release.
        Err(e) => log::error!(
            "revision {} is kept out of force: {e}",
            change.revision_id()
        ),
    }
}

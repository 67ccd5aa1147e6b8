//! Subscription of entries and relays to the accepted site file.

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
use super::follower::Follower;
use super::{AcceptedRevision, ControlError};

/// Settings of a subscription.
#[derive(Clone, Debug, Default)]
pub struct SubscriptionSettings {
    /// Name of the VM with its role, such as `entry-7`, used in the status of a rollout.
    pub name: Box<str>,
    /// The control VMs to subscribe to.
    pub control: ControlServers,
    /// Folder in which the newest revision is saved, if the VM has a disk.
    pub data: Option<PathBuf>,
}

/// A subscription to the newest accepted site file, which ends when dropped.
///
/// Each revision is validated as a whole and greater than the one before; with a folder
/// to save it in, also across restarts.
pub struct Subscription {
    accepted: watch::Receiver<Option<Arc<AcceptedRevision>>>,
    task: JoinHandle<()>,
}

impl Subscription {
    /// Subscribes to the publishers on the current thread's runtime. A revision saved in
    /// the folder is available at once.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder can't be used or its file is damaged.
    pub fn start(settings: &SubscriptionSettings) -> Result<Self, ControlError> {
        let opened = settings.data.as_deref().map(open_file).transpose()?;
        let (file, adopted) = opened.unzip();
        let adopted = adopted.flatten().map(Arc::new);
        let (tx, accepted) = watch::channel(None);
        if let Some(change) = &adopted {
            update_accepted(&tx, change);
        }
        let subscriber_settings = SubscriberSettings {
            name: settings.name.clone(),
            servers: settings.control.servers.clone(),
            seed: random_seed(0),
        };
        let follower = Follower {
            name: settings.name.clone(),
            subscriber: Subscriber::new(subscriber_settings, adopted, Instant::now()),
            file,
            secret: *settings.control.key.bytes(),
        };
        let task = actix_rt::spawn(follower.run(
            move |change| update_accepted(&tx, &change),
            RolloutStatus::default,
        ));
        Ok(Self { accepted, task })
    }

    /// Returns a receiver of the newest revision.
    pub fn accepted(&self) -> watch::Receiver<Option<Arc<AcceptedRevision>>> {
        self.accepted.clone()
    }
}

impl Subscription {
    /// Stops, and releases the folder before it returns.
    pub async fn stop(mut self) {
        self.task.abort();
        // The task was aborted above, so its result is always that error.
        let _ = (&mut self.task).await;
    }
}

impl Drop for Subscription {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Opens the folder and loads the revision saved in it, if any.
fn open_file(folder: &Path) -> Result<(AdoptedFile<DataDirectory>, Option<Change>), ControlError> {
    let disk = DataDirectory::open(folder).map_err(|source| ControlError::Folder {
        folder: folder.display().to_string().into(),
        source,
    })?;
    let mut file = AdoptedFile::new(disk);
    let adopted = file.load().map_err(ControlError::storage(folder))?;
    Ok((file, adopted))
}

/// Parses a revision and makes it the newest; an invalid one is logged and not applied.
fn update_accepted(tx: &watch::Sender<Option<Arc<AcceptedRevision>>>, change: &Change) {
    match AcceptedRevision::parse(change) {
        Ok(accepted) => {
            tx.send_replace(Some(Arc::new(accepted)));
        }
        // Control VMs validate each file, so one that is invalid here was accepted by another
        // release.
        Err(e) => log::error!("revision {} is not applied: {e}", change.revision_id()),
    }
}

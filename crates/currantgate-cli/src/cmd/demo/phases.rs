//! The phases of the demonstration, run while callers use the site.

use std::time::{Duration, Instant};

use currantgate_config::Site;
use currantgate_standin::{Caller, Fabric, FabricSettings, Upstream};

use super::entries::{Entries, JOINING_ID, KILLED_ID, LEAVING_ID};
use super::report::{Report, UpstreamRow};
use super::site;
use crate::error::CommandError;

/// Timeout for the entries to synchronize their state and serve; this takes about 3 s.
const SERVING_TIMEOUT: Duration = Duration::from_secs(20);

/// Time for the entries to assign the buckets afterwards, during which first
/// packets wait; this takes 1.5 s.
const BUCKET_ASSIGNMENT_TIME: Duration = Duration::from_secs(2);

/// Time between the start of a new entry and the stop of the one it replaces.
const OVERLAP: Duration = Duration::from_secs(1);

/// Timeout for flows to end once no new ones are opened; by then each has
/// ended or was abandoned by its caller.
const FINISH_TIMEOUT: Duration = Duration::from_secs(25);

/// Interval at which entries are polled until they serve, and callers until they end.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The running site of the demonstration.
pub(crate) struct Demo {
    site: Site,
    started: Instant,
    duration: Duration,
    entries: Entries,
    upstreams: Vec<Upstream>,
    fabric: Fabric,
}

impl Demo {
    /// Starts the site; its callers will open flows for `duration`.
    pub(crate) async fn start(duration: Duration) -> Result<Self, CommandError> {
        let site = site::load()?;
        let fabric = Fabric::start(FabricSettings {
            seed: 1,
            ..FabricSettings::default()
        })
        .await?;
        let started = Instant::now();
        let entries = Entries::start(&site, fabric.handle())?;
        let upstreams = site::start_upstreams(&site, &entries).await?;
        let deadline = Instant::now() + SERVING_TIMEOUT;
        while Instant::now() < deadline && !entries.are_serving() {
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        actix_rt::time::sleep(BUCKET_ASSIGNMENT_TIME).await;
        Ok(Self {
            site,
            started,
            duration,
            entries,
            upstreams,
            fabric,
        })
    }

    /// Runs all phases, a quarter of the duration each, and returns the report.
    pub(crate) async fn run(mut self) -> Result<Report, CommandError> {
        let handle = self.fabric.handle();
        let callers = site::start_callers(&self.site, &handle, self.duration).await?;
        let start = Instant::now();
        let quarter = self.duration / 4;
        log::info!("callers open flows at a steady rate");
        sleep_until(start + quarter).await;
        self.replace_upstream().await?;
        sleep_until(start + quarter * 2).await;
        self.replace_entry().await?;
        sleep_until(start + quarter * 3).await;
        self.kill_entry();
        sleep_until(start + self.duration).await;
        let open: Vec<usize> = self.upstreams.iter().map(Upstream::open_flows).collect();
        self.wait_until_done(&callers).await;
        Ok(self.report(&callers, &open))
    }

    /// Drains the first upstream and starts a replacement.
    async fn replace_upstream(&mut self) -> Result<(), CommandError> {
        log::info!("draining upstream {}", self.upstreams[0].name());
        self.upstreams[0].drain().await;
        let replacement = site::start_replacement(&self.site, &self.entries).await?;
        self.upstreams.push(replacement);
        Ok(())
    }

    /// Starts an entry, then removes another from the fabric and stops it.
    async fn replace_entry(&mut self) -> Result<(), CommandError> {
        log::info!("starting entry {JOINING_ID}, then stopping entry {LEAVING_ID}");
        self.entries.join(JOINING_ID)?;
        actix_rt::time::sleep(OVERLAP).await;
        self.entries.set_fabric_entries_except(&[LEAVING_ID]);
        self.entries.stop(LEAVING_ID).await;
        Ok(())
    }

    fn kill_entry(&mut self) {
        log::info!("killing entry {KILLED_ID}");
        self.entries.kill(KILLED_ID);
    }

    async fn wait_until_done(&self, callers: &[Caller]) {
        let deadline = Instant::now() + FINISH_TIMEOUT;
        while Instant::now() < deadline && !callers.iter().all(Caller::is_done) {
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn report(&self, callers: &[Caller], open: &[usize]) -> Report {
        let row = |(upstream, open): (&Upstream, &usize)| UpstreamRow {
            name: upstream.name().into(),
            service: upstream.service().into(),
            accepted: upstream.accepted(),
            open: *open,
            drained: upstream.name() == self.upstreams[0].name(),
        };
        let upstreams = self.upstreams.iter().zip(open).map(row).collect();
        let misrouted = self.upstreams.iter().map(Upstream::misrouted).sum();
        let time = self.started.elapsed();
        Report::new(
            callers,
            misrouted,
            upstreams,
            &self.entries.control_bytes(),
            time,
        )
    }
}

async fn sleep_until(deadline: Instant) {
    actix_rt::time::sleep_until(deadline.into()).await;
}

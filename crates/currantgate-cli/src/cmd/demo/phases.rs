//! What happens to the site while its callers use it.

use std::time::{Duration, Instant};

use currantgate_config::Site;
use currantgate_standin::{Caller, Fabric, FabricSettings, Upstream};

use super::entries::{Entries, JOINER, LEAVER, VICTIM};
use super::report::{Report, UpstreamRow};
use super::site;
use crate::error::CommandError;

/// How long entries have to know what the others know; they take about 3 s.
const SERVING: Duration = Duration::from_secs(20);

/// How long they have from then on to deal out the buckets, in which first
/// packets wait; they take 1.5 s.
const SETTLE: Duration = Duration::from_secs(2);

/// How long a new entry runs before the one that it replaces leaves.
const OVERLAP: Duration = Duration::from_secs(1);

/// The longest that flows may take to end once no new ones are opened; by then
/// each has ended or was given up.
const FINISH: Duration = Duration::from_secs(25);

/// How often flows are looked at while they end.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The running site and its callers.
pub(crate) struct Scenes {
    site: Site,
    started: Instant,
    duration: Duration,
    entries: Entries,
    upstreams: Vec<Upstream>,
    fabric: Fabric,
}

impl Scenes {
    /// Starts the site, whose callers will open flows for `duration`.
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
        let deadline = Instant::now() + SERVING;
        while Instant::now() < deadline && !entries.are_serving() {
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        actix_rt::time::sleep(SETTLE).await;
        Ok(Self {
            site,
            started,
            duration,
            entries,
            upstreams,
            fabric,
        })
    }

    /// Plays all scenes, a quarter of the time each, and tells what happened.
    pub(crate) async fn play(mut self) -> Result<Report, CommandError> {
        let handle = self.fabric.handle();
        let callers = site::start_callers(&self.site, &handle, self.duration).await?;
        let start = Instant::now();
        let quarter = self.duration / 4;
        log::info!("steady flows");
        sleep_until(start + quarter).await;
        self.replace_upstream().await?;
        sleep_until(start + quarter * 2).await;
        self.replace_entry().await?;
        sleep_until(start + quarter * 3).await;
        self.kill_entry();
        sleep_until(start + self.duration).await;
        let open: Vec<usize> = self.upstreams.iter().map(Upstream::open_flows).collect();
        self.wait_for(&callers).await;
        Ok(self.report(&callers, &open))
    }

    /// Drains the first upstream and starts another in its place.
    async fn replace_upstream(&mut self) -> Result<(), CommandError> {
        log::info!("upstream {} drains", self.upstreams[0].name());
        self.upstreams[0].drain().await;
        let replacement = site::start_replacement(&self.site, &self.entries).await?;
        self.upstreams.push(replacement);
        Ok(())
    }

    /// Starts an entry and takes another out of the spray, then stops it.
    async fn replace_entry(&mut self) -> Result<(), CommandError> {
        log::info!("entry {JOINER} joins, then entry {LEAVER} leaves");
        self.entries.join(JOINER)?;
        actix_rt::time::sleep(OVERLAP).await;
        self.entries.spray_over_all_but(&[LEAVER]);
        self.entries.stop(LEAVER).await;
        Ok(())
    }

    fn kill_entry(&mut self) {
        log::info!("entry {VICTIM} dies");
        self.entries.kill(VICTIM);
    }

    async fn wait_for(&self, callers: &[Caller]) {
        let deadline = Instant::now() + FINISH;
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

//! The server side of feeds, on a control VM.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use currantgate_control::{FrameWriter, IncomingStream, Revision, RevisionId, TransportError};
use currantgate_log::{RateLimit, RateLimiter};
use currantgate_observation::{SlowUpstream, reporter_id, slowness_changes};
use currantgate_registry::{ChangeNumber, Record};
use currantgate_warmup::PermitsRequest;
use tokio::time::{Instant, sleep_until, timeout};

use super::listeners::FeedId;
use super::message::{EvacuationState, FeedHello, FeedMessage, FeedRequest, Heartbeat};
use super::sent_demand::SentDemand;
use super::source::FeedSource;

/// Interval of the heartbeats on a feed. A listener reopens the feed after three
/// missed ones.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Time without a message after which a listener's feed is closed: three of the
/// listener's heartbeats.
const LISTENER_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Timeout of sending one message. A feed that is stuck is closed, and reopened by
/// the listener.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Most upstreams in one message. These are about 10 KB, or 40 ms of a link of
/// 2 Mbit/s, so that the messages of several feeds arrive within a listener's
/// timeout.
const MAX_UPSTREAMS_PER_MESSAGE: usize = 100;

/// Rate of lines about rejected reports of demand on one feed.
const INVALID_DEMAND_LIMIT: RateLimit = RateLimit {
    lines: 1,
    interval: Duration::from_secs(10),
};

// The task of a feed is aborted when its connection ends, so that only a drop sees every end.
impl Drop for Feed {
    fn drop(&mut self) {
        self.source.listeners.borrow_mut().remove(self.id);
        self.source.record_disconnect(&self.hello);
        log::info!(
            event = "listener",
            listener = &*self.hello.name,
            address:% = self.from;
            "feed has closed: {}",
            self.failure.as_deref().unwrap_or("the connection has ended")
        );
    }
}

/// Serves one feed until it fails or is closed.
pub(crate) async fn serve_feed(source: Rc<FeedSource>, incoming: IncomingStream) {
    let from = incoming.from;
    match Feed::open(source, incoming).await {
        Ok(mut feed) => {
            let name = feed.hello.name.clone();
            log::info!(event = "listener", listener = &*name, address:% = from; "feed has opened");
            if let Err(e) = feed.run().await {
                feed.failure = Some(e.to_string().into());
            }
        }
        Err(e) => log::warn!("opening a feed for {from} failed: {e}"),
    }
}

/// What a feed sends together, in the order of the fields.
struct FeedChanges {
    evacuations: Option<EvacuationState>,
    /// The changed upstreams; nothing while the listener gets none.
    upstreams: Option<Vec<Record>>,
    heartbeat: Heartbeat,
}

/// One open feed.
struct Feed {
    source: Rc<FeedSource>,
    hello: FeedHello,
    from: SocketAddr,
    /// Why it has ended, unless its connection has.
    failure: Option<Box<str>>,
    id: FeedId,
    writer: FrameWriter,
    reader: currantgate_control::FrameReader,
    last_heartbeat: Heartbeat,
    /// Number of the newest change of the evacuations that has been sent.
    sent_evacuations: u64,
    /// Whether the listener held evacuations before this feed, so that it gets upstreams
    /// although orders may be missing here.
    needs_no_hold: bool,
    /// Number of the newest change of upstreams that has been sent.
    sent_change: ChangeNumber,
    /// Slow upstreams as the listener knows them; nothing while it gets none, as it has not
    /// reported any observations and demand is not shared.
    sent_slow: Option<Rc<[SlowUpstream]>>,
    sent_demand: SentDemand,
    /// Limits the lines about rejected reports, as an entry sends two a second.
    invalid_demand: RateLimiter,
    heartbeat_due: Instant,
    listener_deadline: Instant,
}

impl Feed {
    async fn open(
        source: Rc<FeedSource>,
        incoming: IncomingStream,
    ) -> Result<Self, TransportError> {
        let IncomingStream {
            from,
            mut reader,
            writer,
            ..
        } = incoming;
        let hello = timeout(LISTENER_TIMEOUT, reader.next::<FeedHello>()).await;
        let hello = hello.map_err(|_| TransportError::Timeout)??;
        let now = Instant::now();
        let hello = hello.ok_or(TransportError::Truncated)?;
        let id = source.listeners.borrow_mut().add(now, hello.clone());
        Ok(Self {
            source,
            hello,
            from,
            failure: None,
            id,
            writer,
            reader,
            last_heartbeat: Heartbeat::default(),
            sent_evacuations: 0,
            needs_no_hold: false,
            sent_change: 0,
            sent_slow: None,
            sent_demand: SentDemand::default(),
            invalid_demand: RateLimiter::new(INVALID_DEMAND_LIMIT, now.into_std()),
            heartbeat_due: now,
            listener_deadline: now + LISTENER_TIMEOUT,
        })
    }

    async fn run(&mut self) -> Result<(), TransportError> {
        let mut changed = self.source.changed.subscribe();
        self.source.record_listener(&self.hello);
        loop {
            self.send_changes().await?;
            tokio::select! {
                request = self.reader.next::<FeedRequest>() => {
                    let request = request?.ok_or(TransportError::Truncated)?;
                    let now = Instant::now();
                    self.listener_deadline = now + LISTENER_TIMEOUT;
                    let revision = request.held_revision();
                    self.source.listeners.borrow_mut().record_message(now, self.id, revision);
                    self.source.record_listener(&self.hello);
                    self.handle_request(request).await?;
                }
                _ = changed.changed() => {}
                () = sleep_until(self.heartbeat_due) => {}
                () = sleep_until(self.listener_deadline) => return Err(TransportError::Timeout),
            }
        }
    }

    async fn handle_request(&mut self, request: FeedRequest) -> Result<(), TransportError> {
        match request {
            FeedRequest::Heartbeat { .. } => Ok(()),
            FeedRequest::Update { min_revision, base } => {
                self.send_update(min_revision, base).await
            }
            FeedRequest::Observations { observations, .. } => {
                let now = std::time::Instant::now();
                let mut merged = self.source.observations.borrow_mut();
                // Not the feed's id: an entry whose feed breaks often is still one.
                merged.record(now, reporter_id(&self.hello.name), &observations);
                self.sent_slow.get_or_insert_default();
                Ok(())
            }
            FeedRequest::Unanswered { upstreams, .. } => {
                let now = std::time::Instant::now();
                let mut merged = self.source.observations.borrow_mut();
                merged.record_unanswered(now, reporter_id(&self.hello.name), &upstreams);
                Ok(())
            }
            FeedRequest::Evacuations {
                evacuations,
                had_quorum,
                ..
            } => {
                self.needs_no_hold |= had_quorum;
                let mut listeners = self.source.listeners.borrow_mut();
                listeners.record_evacuations(self.id, evacuations);
                Ok(())
            }
            FeedRequest::EvacuatedFlows { flows, .. } => {
                let mut listeners = self.source.listeners.borrow_mut();
                listeners.record_evacuated_flows(self.id, flows);
                Ok(())
            }
            FeedRequest::WarmupPermits { request, .. } => self.send_permits(&request).await,
            FeedRequest::Demand {
                period_ms, demand, ..
            } => {
                let period = Duration::from_millis(period_ms.into());
                if !self.source.record_demand(&self.hello, period, &demand) {
                    self.log_invalid_demand();
                }
                Ok(())
            }
        }
    }

    fn log_invalid_demand(&mut self) {
        if let Some(left_out) = self.invalid_demand.try_acquire(std::time::Instant::now()) {
            log::warn!(
                event = "listener",
                listener = &*self.hello.name,
                left_out = left_out;
                "a report of demand is rejected: a number is negative or not finite"
            );
        }
    }

    /// Sends permits for cold upstreams if this VM holds the leader's lease.
    async fn send_permits(&mut self, request: &PermitsRequest) -> Result<(), TransportError> {
        let Some(answer) = self.source.issue_permits(self.id, request) else {
            return Ok(());
        };
        let pace_ms = u16::try_from(answer.pace.as_millis()).unwrap_or(u16::MAX);
        self.send(&FeedMessage::WarmupPermits {
            request: request.number,
            pace_ms,
            permits: answer.permits,
        })
        .await
    }

    /// Sends the requested update. Requests for a revision that is not held here are
    /// ignored.
    async fn send_update(
        &mut self,
        min_revision: Revision,
        base: RevisionId,
    ) -> Result<(), TransportError> {
        if self.source.changes.borrow().newest().revision < min_revision {
            return Ok(());
        }
        match self.source.update_from(base) {
            Some(packed) => self.send(&FeedMessage::Update(packed)).await,
            None => Ok(()),
        }
    }

    /// Sends changes of the slow upstreams to a listener that reports what it observes. Where
    /// demand is shared, all entries get them, as each sends flows to all domains.
    async fn send_slow_upstreams(&mut self) -> Result<(), TransportError> {
        if self.hello.control.is_none() && self.source.is_demand_shared() {
            self.sent_slow.get_or_insert_default();
        }
        let Some(sent) = &mut self.sent_slow else {
            return Ok(());
        };
        let slow = self.source.slow_upstreams();
        // Every change of an upstream wakes all feeds; this list rarely changes.
        if Rc::ptr_eq(sent, &slow) {
            return Ok(());
        }
        let changes = slowness_changes(sent, &slow);
        *sent = slow;
        if changes.is_empty() {
            return Ok(());
        }
        self.send(&FeedMessage::SlowUpstreams(changes)).await
    }

    /// Takes what is to be sent from one state of the control VM. If a part were read after
    /// another had been sent, upstreams or a heartbeat that claims contact with a quorum
    /// could overtake evacuations that arrived in between.
    fn take_changes(&mut self) -> FeedChanges {
        let evacuations = self
            .source
            .take_unsent_evacuations(&mut self.sent_evacuations);
        let is_held = self.source.holds_upstreams() && !self.needs_no_hold;
        let gets_upstreams = self.hello.control.is_none() && !is_held;
        FeedChanges {
            evacuations,
            upstreams: gets_upstreams.then(|| self.take_unsent_upstreams()),
            heartbeat: self.source.heartbeat(),
        }
    }

    /// Sends the upstreams that have changed, and a heartbeat if the state has
    /// changed or a heartbeat is due. Control VMs are sent no upstreams.
    async fn send_changes(&mut self) -> Result<(), TransportError> {
        let FeedChanges {
            evacuations,
            upstreams,
            heartbeat,
        } = self.take_changes();
        // Before the upstreams, so that an entry places no flow without them.
        if let Some(evacuations) = evacuations {
            self.send(&FeedMessage::Evacuations(evacuations)).await?;
        }
        if let Some(records) = upstreams {
            self.send_upstreams(&records).await?;
            let mut listeners = self.source.listeners.borrow_mut();
            listeners.record_sent(self.id, self.sent_change);
        }
        self.send_slow_upstreams().await?;
        let now = Instant::now();
        if heartbeat != self.last_heartbeat || now >= self.heartbeat_due {
            self.send_demand().await?;
            let due = (now + HEARTBEAT_INTERVAL).into_std();
            self.heartbeat_due = Instant::from_std(self.sent_demand.next_heartbeat(due));
            self.last_heartbeat = heartbeat.clone();
            self.send(&FeedMessage::Heartbeat(heartbeat)).await?;
        }
        Ok(())
    }

    /// Sends the demand of domains that is due, to entries only.
    async fn send_demand(&mut self) -> Result<(), TransportError> {
        if self.hello.control.is_some() {
            return Ok(());
        }
        let now = std::time::Instant::now();
        let published = self.source.published_demand(now);
        for figure in self.sent_demand.take_due(now, &published) {
            let message = FeedMessage::Demand {
                age_ms: figure.age_ms(std::time::Instant::now()),
                position: self.position_in(&figure.demand.domain),
                encoded: Arc::clone(&figure.encoded),
            };
            self.send(&message).await?;
        }
        Ok(())
    }

    /// Returns the position of the listener among the entries of a domain that report
    /// demand; nothing if it is of another domain.
    fn position_in(&self, domain: &str) -> Option<u16> {
        let demand = self.source.demand.borrow();
        let reporter = reporter_id(&self.hello.name);
        (*self.hello.domain == *domain)
            .then(|| demand.position(reporter))
            .flatten()
    }

    /// Sends upstreams in several messages, so that a listener on a slow link
    /// receives one within its timeout.
    async fn send_upstreams(&mut self, records: &[Record]) -> Result<(), TransportError> {
        for chunk in records.chunks(MAX_UPSTREAMS_PER_MESSAGE) {
            self.send(&FeedMessage::Upstreams(chunk.to_vec())).await?;
        }
        Ok(())
    }

    /// Returns the upstreams that have changed since the last call.
    fn take_unsent_upstreams(&mut self) -> Vec<Record> {
        let registry = self.source.registry.borrow();
        let records = registry.changes_after(self.sent_change);
        self.sent_change = registry.last_change();
        records
    }

    async fn send(&mut self, message: &FeedMessage) -> Result<(), TransportError> {
        let sent = timeout(WRITE_TIMEOUT, self.writer.send(message)).await;
        sent.map_err(|_| TransportError::Timeout)?
    }
}

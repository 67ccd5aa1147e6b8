//! Permits for cold upstreams, which the leader of the control VMs issues.

use std::time::Instant;

use currantgate_control::Term;
use currantgate_warmup::{
    ClockReading, PermitIssuer, PermitsAnswer, PermitsRequest, RequesterId, SuspensionDetector,
};

/// Issues permits while this control VM holds the leader's lease.
pub(super) struct LeaderPermits {
    /// The issuer, with the term in which it was started.
    issuer: Option<(Term, PermitIssuer)>,
    suspensions: SuspensionDetector,
    counts: PermitCounts,
}

/// Numbers of what was issued since the start of the process.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PermitCounts {
    /// Requests that were answered.
    pub(crate) requests: u64,
    /// Permits that were granted.
    pub(crate) granted: u64,
}

impl LeaderPermits {
    pub(super) fn new() -> Self {
        Self {
            issuer: None,
            suspensions: SuspensionDetector::new(ClockReading::now()),
            counts: PermitCounts::default(),
        }
    }

    /// Returns the numbers of what was issued.
    pub(super) fn counts(&self) -> PermitCounts {
        self.counts
    }

    /// Starts an issuer when this VM holds the lease in another term than before, and after
    /// a suspension: by the stopped clock, the lease would still be held.
    ///
    /// It is called regularly, so that a new issuer can grant permits soon.
    pub(super) fn update(&mut self, now: Instant, lease_term: Option<Term>) {
        if self.suspensions.detect(ClockReading::now()) {
            log::warn!(event = "suspension"; "this VM was suspended, no permits are valid any more");
            self.issuer = None;
        }
        let Some(term) = lease_term else {
            return;
        };
        if self
            .issuer
            .as_ref()
            .is_none_or(|(started, _)| *started != term)
        {
            log::info!(event = "permits", term = term; "permits for cold upstreams are issued here");
            self.issuer = Some((term, PermitIssuer::new(now)));
        }
    }

    /// Answers a request, if this VM holds the lease.
    pub(super) fn answer(
        &mut self,
        now: Instant,
        lease_term: Option<Term>,
        requester: RequesterId,
        request: &PermitsRequest,
    ) -> Option<PermitsAnswer> {
        self.update(now, lease_term);
        let current = self.issuer.as_mut();
        let Some((_, issuer)) = current.filter(|(term, _)| Some(*term) == lease_term) else {
            // Expected until requesters know a new leader.
            log::debug!("a request for permits is ignored: no permits are issued here");
            return None;
        };
        let answer = issuer.answer(now, requester, request);
        let granted = answer.permits.iter().map(|permit| u64::from(permit.count));
        self.counts.requests += 1;
        self.counts.granted += granted.sum::<u64>();
        Some(answer)
    }
}

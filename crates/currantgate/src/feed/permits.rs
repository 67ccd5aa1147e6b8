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
}

impl LeaderPermits {
    pub(super) fn new() -> Self {
        Self {
            issuer: None,
            suspensions: SuspensionDetector::new(ClockReading::now()),
        }
    }

    /// Starts an issuer when this VM holds the lease in another term than before, and after
    /// a suspension: by the stopped clock, the lease would still be held.
    ///
    /// It is called regularly, so that a new issuer can grant permits soon.
    pub(super) fn update(&mut self, now: Instant, lease_term: Option<Term>) {
        if self.suspensions.detect(ClockReading::now()) {
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
        let (term, issuer) = self.issuer.as_mut()?;
        (Some(*term) == lease_term).then(|| issuer.answer(now, requester, request))
    }
}

//! Issuing of permits, at the control VM that holds the leader's lease.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use crate::{
    GRANT_SPAN, Permit, PermitRequest, PermitsRequest, RequestNumber, SettledPermit, USE_SPAN,
    UpstreamKey,
};

/// Identifies the connection of an entry at one issuer. It is not reused, also when the
/// entry connects again.
pub type RequesterId = u64;

/// Interval between the requests of all entries, 167 a second. Together with
/// [`RETURN_INTERVAL`] these are 200, about a hundredth of a core at the leader.
const REQUEST_INTERVAL: Duration = Duration::from_millis(6);

/// Interval between the early requests of entries with permits, 33 a second.
const RETURN_INTERVAL: Duration = Duration::from_millis(30);

/// Time after which an entry with permits is asked early for its next request. They have
/// expired by then, so that the unused ones can be granted again.
const RETURN_PACE: Duration = Duration::from_millis(255);

/// Shortest time between two requests of one entry, small against the span in which a
/// permit can't be granted again.
const MIN_PACE: Duration = Duration::from_millis(20);

/// Longest time between two requests of one entry, which the message can express.
const MAX_PACE: Duration = Duration::from_secs(60);

/// Most grants that are remembered, about 3 MB. Without room, no permits are granted.
const MAX_GRANTS: usize = 65_536;

/// Most upstreams of a service that one request may name.
const MAX_KEYS: usize = 64;

/// The answer to a request for permits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitsAnswer {
    /// Time to wait before the next request.
    pub pace: Duration,
    /// Permits that are granted.
    pub permits: Vec<Permit>,
}

/// Permits that were granted for one request and upstream.
#[derive(Clone, Copy, Debug)]
struct Grant {
    at: Instant,
    requester: RequesterId,
    request: RequestNumber,
    count: u8,
    /// Time until which the permits count against the limit.
    counts_until: Instant,
    /// Whether the entry has reported their use. Only the first report counts, so that a
    /// repeated one does not return a permit twice.
    is_settled: bool,
}

/// Issues permits for cold upstreams, so that no more are used in any second than the limit
/// of each allows.
///
/// A permit counts against the limit for [`GRANT_SPAN`] from when it is granted, or for
/// [`USE_SPAN`] from its use, once the entry has reported that.
#[derive(Debug)]
pub struct PermitIssuer {
    /// Time from which permits are granted: those of an earlier issuer count no longer.
    opens_at: Instant,
    /// Time for which the next request is scheduled.
    next_slot: Instant,
    /// Time for which the next early request is scheduled.
    next_return_slot: Instant,
    grants: IndexMap<UpstreamKey, Vec<Grant>>,
    grant_count: usize,
    /// Time at which old grants of all upstreams are removed.
    cleanup_due: Instant,
}

impl PermitIssuer {
    /// Returns an issuer that grants nothing for its first [`GRANT_SPAN`].
    pub fn new(now: Instant) -> Self {
        Self {
            opens_at: now + GRANT_SPAN,
            next_slot: now,
            next_return_slot: now,
            grants: IndexMap::new(),
            grant_count: 0,
            cleanup_due: now + GRANT_SPAN,
        }
    }

    /// Returns the permits for a request.
    pub fn answer(
        &mut self,
        now: Instant,
        requester: RequesterId,
        request: &PermitsRequest,
    ) -> PermitsAnswer {
        if now >= self.cleanup_due {
            self.remove_old_grants(now);
        }
        for settled in &request.settled {
            self.settle(requester, settled);
        }
        let mut permits = Vec::new();
        if now >= self.opens_at {
            for wanted in &request.wanted {
                self.grant(now, requester, request.number, wanted, &mut permits);
            }
        }
        PermitsAnswer {
            pace: self.schedule(now, !permits.is_empty()),
            permits,
        }
    }

    /// Returns the time until the entry's next request. Requests are spread over time, so
    /// that the pace grows with the number of entries.
    fn schedule(&mut self, now: Instant, has_permits: bool) -> Duration {
        let slot = self.next_slot.clamp(now + MIN_PACE, now + MAX_PACE);
        let return_slot = self.next_return_slot.max(now + RETURN_PACE);
        if has_permits && return_slot < slot {
            self.next_return_slot = return_slot + RETURN_INTERVAL;
            return return_slot - now;
        }
        self.next_slot = slot + REQUEST_INTERVAL;
        slot - now
    }

    /// Adds the permits for the upstreams of one service. They are spread over the
    /// upstreams, since each bears only few flows at a time.
    fn grant(
        &mut self,
        now: Instant,
        requester: RequesterId,
        request: RequestNumber,
        wanted: &PermitRequest,
        permits: &mut Vec<Permit>,
    ) {
        // A repeated key must not count the free permits of its upstream twice.
        let keys: IndexSet<_> = wanted.keys.iter().take(MAX_KEYS).copied().collect();
        let mut free: Vec<_> = keys
            .into_iter()
            .map(|key| (key, self.free(now, key, wanted.limit), 0_u8))
            .collect();
        let mut left = wanted.count;
        while left > 0 && free.iter().any(|(_, free, _)| *free > 0) {
            for (_, free, count) in &mut free {
                if left > 0 && *free > 0 {
                    *free -= 1;
                    *count += 1;
                    left -= 1;
                }
            }
        }
        for (key, _, count) in free {
            if count > 0 && self.grant_count < MAX_GRANTS {
                self.grant_count += 1;
                self.grants.entry(key).or_default().push(Grant {
                    at: now,
                    requester,
                    request,
                    count,
                    counts_until: now + GRANT_SPAN,
                    is_settled: false,
                });
                permits.push(Permit { key, count });
            }
        }
    }

    /// Returns how many permits may be granted for an upstream.
    fn free(&mut self, now: Instant, key: UpstreamKey, limit: u16) -> u32 {
        let Some(grants) = self.grants.get_mut(&key) else {
            return limit.into();
        };
        let before = grants.len();
        grants.retain(|grant| grant.counts(now));
        self.grant_count -= before - grants.len();
        let granted: u32 = grants.iter().map(|grant| u32::from(grant.count)).sum();
        u32::from(limit).saturating_sub(granted)
    }

    /// Takes back permits that were not used, and records when the others were.
    fn settle(&mut self, requester: RequesterId, settled: &SettledPermit) {
        let Some(grants) = self.grants.get_mut(&settled.key) else {
            return;
        };
        let grant = grants.iter_mut().find(|grant| {
            grant.requester == requester && grant.request == settled.request && !grant.is_settled
        });
        if let Some(grant) = grant {
            grant.is_settled = true;
            grant.count = grant.count.saturating_sub(settled.unused);
            // The entry counts from before this issuer has received the request.
            let used_within = Duration::from_millis(settled.used_within_ms.into());
            let counts_until = grant.at + used_within + USE_SPAN;
            grant.counts_until = grant.counts_until.min(counts_until);
        }
    }

    fn remove_old_grants(&mut self, now: Instant) {
        self.cleanup_due = now + GRANT_SPAN;
        self.grants.retain(|_, grants| {
            grants.retain(|grant| grant.counts(now));
            !grants.is_empty()
        });
        self.grant_count = self.grants.values().map(Vec::len).sum();
    }
}

impl Grant {
    fn counts(&self, now: Instant) -> bool {
        self.count > 0 && now < self.counts_until
    }
}

//! Permits that an entry holds, and its requests for more.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::flow_rate::FlowRate;
use crate::{
    ColdService, PERMIT_LIFETIME, Permit, PermitRequest, PermitsRequest, RequestNumber,
    SettledPermit, UpstreamKey,
};

/// Time that remains of a permit's lifetime once the answer has arrived.
const USABLE_TIME: Duration = Duration::from_millis(225);

/// Rate of new flows per second below which no permits are requested. The rate falls below
/// it three seconds after the last of a few flows.
const MIN_RATE: f64 = 0.05;

/// Interval at which an entry that needs no permits at the moment checks again.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Longest delay of the first request. It spreads the first requests of all entries, which
/// learn of a cold upstream at the same time.
const MAX_FIRST_DELAY_MS: u64 = 300;

/// Longest time between requests that are not answered, unless the leader has asked for a
/// longer one: an election and the first span of the new issuer.
const MAX_RETRY: Duration = Duration::from_secs(4);

/// Most upstreams of a service that a request names.
const MAX_KEYS: usize = 32;

/// Most used and expired permits that are remembered until the next request. The issuer
/// counts others for longer.
const MAX_SETTLED: usize = 256;

/// A permit that is held.
#[derive(Clone, Copy, Debug)]
struct HeldPermit {
    request: RequestNumber,
    count: u8,
    /// Time at which the request was sent.
    sent: Instant,
    last_use: Option<Instant>,
}

/// A request that was not answered yet.
#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    number: RequestNumber,
    sent: Instant,
}

/// Permits that an entry holds, and its requests for more.
///
/// All times are those of the entry's own monotonic clock. The caller detects suspensions,
/// in which this clock stops, and calls [`PermitHolder::clear`].
#[derive(Debug)]
pub struct PermitHolder {
    /// Number that differs between entries, so that they send their first requests at
    /// different times and name different upstreams first.
    seed: u64,
    services: IndexMap<Box<str>, ColdService>,
    rates: IndexMap<Box<str>, FlowRate>,
    held: IndexMap<UpstreamKey, Vec<HeldPermit>>,
    settled: Vec<SettledPermit>,
    last_number: RequestNumber,
    pending: Option<PendingRequest>,
    /// Time between requests, as the leader has asked for, or longer when it does not answer.
    pace: Duration,
    next_request_at: Instant,
}

impl PermitHolder {
    /// Returns a holder without permits.
    pub fn new(now: Instant, seed: u64) -> Self {
        Self {
            seed,
            services: IndexMap::new(),
            rates: IndexMap::new(),
            held: IndexMap::new(),
            settled: Vec::new(),
            last_number: 0,
            pending: None,
            pace: Duration::ZERO,
            next_request_at: now,
        }
    }

    /// Replaces the cold upstreams that permits are requested for.
    pub fn set_cold(&mut self, now: Instant, services: impl IntoIterator<Item = ColdService>) {
        let had_cold = self.has_cold();
        let services = services.into_iter().filter(|s| !s.keys.is_empty());
        self.services = services.map(|s| (s.service.clone(), s)).collect();
        let services = &self.services;
        self.rates.retain(|name, _| services.contains_key(name));
        if !had_cold {
            let delay = Duration::from_millis(self.seed % MAX_FIRST_DELAY_MS);
            self.next_request_at = self.next_request_at.max(now + delay);
        }
    }

    /// Tells whether there are cold upstreams.
    pub fn has_cold(&self) -> bool {
        !self.services.is_empty()
    }

    /// Records a new flow of a service, wherever it is placed.
    pub fn record_flow(&mut self, now: Instant, service: &str) {
        if let Some(rate) = self.rates.get_mut(service) {
            rate.record(now);
        } else if self.services.contains_key(service) {
            let mut rate = FlowRate::new(now);
            rate.record(now);
            self.rates.insert(service.into(), rate);
        }
    }

    /// Returns when [`Self::next_request`] is to be called, if there are cold upstreams.
    pub fn next_request_at(&self) -> Option<Instant> {
        self.has_cold().then_some(self.next_request_at)
    }

    /// Returns the next request if it is due. It has to be sent at once: its permits
    /// expire by the time of this call.
    pub fn next_request(&mut self, now: Instant) -> Option<PermitsRequest> {
        if now < self.next_request_at || !self.has_cold() {
            return None;
        }
        self.expire(now);
        let wanted = self.wanted(now);
        if wanted.is_empty() {
            self.next_request_at = now + CHECK_INTERVAL;
            return None;
        }
        if self.pending.is_some() {
            self.pace = self.pace.max((2 * self.pace).min(MAX_RETRY));
        }
        // Without an answer by then, its permits would be of no use.
        self.pace = self.pace.max(PERMIT_LIFETIME);
        self.next_request_at = now + self.pace;
        self.last_number = self.last_number.wrapping_add(1);
        self.pending = Some(PendingRequest {
            number: self.last_number,
            sent: now,
        });
        Some(PermitsRequest {
            number: self.last_number,
            wanted,
            settled: std::mem::take(&mut self.settled),
        })
    }

    /// Returns what is wanted beyond the permits that are held.
    fn wanted(&self, now: Instant) -> Vec<PermitRequest> {
        let mut wanted = Vec::new();
        for service in self.services.values() {
            let rate = self.rates.get(&service.service);
            let count = usable_permits(rate.map_or(0.0, |rate| rate.per_second(now)));
            let held = service.keys.iter().map(|key| self.count(*key));
            let count = u32::from(count).saturating_sub(held.sum());
            if count > 0 {
                wanted.push(PermitRequest {
                    keys: self.select_keys(&service.keys),
                    limit: service.limit,
                    count: u8::try_from(count).unwrap_or(u8::MAX),
                });
            }
        }
        wanted
    }

    /// Returns the upstreams that a request names, from another one on each time.
    fn select_keys(&self, keys: &[UpstreamKey]) -> Vec<UpstreamKey> {
        // Fibonacci hashing, so that the choice does not depend on the bits of the seed that
        // determine when the entry requests.
        let mixed = (self.seed ^ u64::from(self.last_number)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        // Truncation keeps all of the upper half.
        let start = (mixed >> 32) as usize % keys.len();
        let rotated = keys[start..].iter().chain(&keys[..start]);
        rotated.take(MAX_KEYS).copied().collect()
    }

    /// Takes the answer to a request. Permits that have expired on the way, and those of
    /// any but the last request, are not used.
    pub fn receive(
        &mut self,
        now: Instant,
        number: RequestNumber,
        pace: Duration,
        permits: &[Permit],
    ) {
        let Some(pending) = self.pending.take_if(|pending| pending.number == number) else {
            return;
        };
        self.pace = pace;
        self.next_request_at = pending.sent + pace;
        for permit in permits {
            self.held.entry(permit.key).or_default().push(HeldPermit {
                request: number,
                count: permit.count,
                sent: pending.sent,
                last_use: None,
            });
        }
        self.expire(now);
    }

    /// Removes the permits that have expired or are used.
    fn expire(&mut self, now: Instant) {
        self.settle(|permit| permit.count == 0 || now >= permit.sent + PERMIT_LIFETIME);
    }

    /// Removes the permits to which `is_over` applies, and remembers them for the issuer.
    fn settle(&mut self, is_over: impl Fn(&HeldPermit) -> bool) {
        let settled = &mut self.settled;
        self.held.retain(|key, permits| {
            permits.retain(|permit| {
                let is_over = is_over(permit);
                if is_over && settled.len() < MAX_SETTLED {
                    settled.push(permit.settled(*key));
                }
                !is_over
            });
            !permits.is_empty()
        });
    }

    /// Tells whether any permits are held, which may have expired.
    pub fn has_permits(&self) -> bool {
        !self.held.is_empty()
    }

    /// Returns the upstreams that there is a permit for.
    pub fn permitted(&mut self, now: Instant) -> impl Iterator<Item = UpstreamKey> {
        if self.has_permits() {
            self.expire(now);
        }
        self.held.keys().copied()
    }

    /// Uses a permit for one flow; returns whether there was one.
    pub fn try_use(&mut self, now: Instant, key: UpstreamKey) -> bool {
        self.expire(now);
        let permits = self.held.get_mut(&key);
        let Some(permit) = permits.and_then(|permits| permits.first_mut()) else {
            return false;
        };
        permit.count -= 1;
        permit.last_use = Some(now);
        if permit.count == 0 {
            self.expire(now);
        }
        true
    }

    /// Drops all permits and the pending request, after a suspension of the VM: its clock
    /// does not tell how old they are.
    pub fn clear(&mut self, now: Instant) {
        // The time of the last use is not known either.
        self.held.clear();
        self.pending = None;
        self.next_request_at = now;
    }

    fn count(&self, key: UpstreamKey) -> u32 {
        let permits = self.held.get(&key);
        permits.map_or(0, |permits| {
            permits.iter().map(|p| u32::from(p.count)).sum()
        })
    }
}

impl HeldPermit {
    fn settled(&self, key: UpstreamKey) -> SettledPermit {
        let used_within = self
            .last_use
            .map(|at| at.saturating_duration_since(self.sent));
        let used_within_ms = used_within.map_or(0, |time| time.as_millis() + 1);
        SettledPermit {
            request: self.request,
            key,
            unused: self.count,
            used_within_ms: u16::try_from(used_within_ms).unwrap_or(u16::MAX),
        }
    }
}

/// Returns how many permits an entry with the given rate of new flows can use before they
/// expire: as many flows as arrive with a probability of about 0.9, at least one.
fn usable_permits(rate: f64) -> u8 {
    if rate < MIN_RATE {
        return 0;
    }
    let mean = rate * USABLE_TIME.as_secs_f64();
    // Quantile of a normal distribution that approximates the Poisson distribution.
    let likely = mean - 1.28 * mean.sqrt() + 0.5;
    // The conversion saturates.
    (likely as u8).max(1)
}

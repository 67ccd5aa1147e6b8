//! Tells callers that only listen that their flows have ended.

use std::time::{Duration, Instant};

use currantgate_config::Protocol;
use currantgate_packet::{FlowKey, Packet, PacketKind, Refusal};

use crate::router::Router;
use crate::{BucketIndex, Output};

/// Time between two refusals that no packet has asked for.
const REFUSAL_INTERVAL: Duration = Duration::from_millis(1);

/// Buckets that one step of the search looks at.
const BUCKETS_PER_STEP: usize = 64;

/// A search for flows whose upstream is gone.
#[derive(Debug, Default)]
pub(crate) struct GoneFlowScan {
    /// The next bucket to look at, or none when the search is over.
    next: Option<(usize, BucketIndex)>,
    /// Flows found and not yet told.
    found: Vec<Packet>,
    /// The instant at which the next caller may be told.
    notify_at: Option<Instant>,
}

impl GoneFlowScan {
    /// Begins the search anew.
    pub(crate) fn restart(&mut self) {
        self.next = Some((0, 0));
    }
}

impl Router {
    /// Returns the next refusal to a caller that has not asked.
    pub(crate) fn poll_refusal(&mut self, now: Instant) -> Option<Output> {
        if self.gone_scan.next.is_none() && self.gone_scan.found.is_empty() {
            return None;
        }
        if self.gone_scan.notify_at.is_some_and(|at| now < at) {
            return None;
        }
        while self.gone_scan.found.is_empty() {
            self.scan_step()?;
        }
        let packet = self.gone_scan.found.pop()?;
        self.gone_scan.notify_at = Some(now + REFUSAL_INTERVAL);
        Some(Output::Refuse {
            packet,
            refusal: Refusal::Gone,
        })
    }

    /// Looks at the next buckets; none when there are no more.
    fn scan_step(&mut self) -> Option<()> {
        let (t, first) = self.gone_scan.next?;
        let Some(table) = self.tables.get_mut(t) else {
            self.gone_scan.next = None;
            return None;
        };
        let first = usize::from(first);
        let end = (first + BUCKETS_PER_STEP).min(table.buckets.len());
        let service = (table.service.protocol, table.service.address);
        for bucket in &mut table.buckets[first..end] {
            for record in bucket.flows.values_mut() {
                let is_done = record.state.caller_notified || record.state.closed;
                if is_done || !self.gone.contains(&record.upstream) {
                    continue;
                }
                if let Some(caller) = record.caller
                    && service.0 == Protocol::Tcp
                {
                    record.state.caller_notified = true;
                    self.gone_scan.found.push(Packet {
                        key: FlowKey {
                            protocol: service.0,
                            caller,
                            service: service.1,
                        },
                        kind: PacketKind::Data,
                        next_seq: record.next_seq,
                        ack: record.ack,
                        len: 0,
                    });
                }
            }
        }
        self.gone_scan.next = Some(if end == table.buckets.len() {
            (t + 1, 0)
        } else {
            (t, end as BucketIndex)
        });
        Some(())
    }
}

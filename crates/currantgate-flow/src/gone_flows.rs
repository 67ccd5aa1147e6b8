//! Notifies callers that send nothing themselves that their flows have ended.

use std::time::{Duration, Instant};

use currantgate_config::Protocol;
use currantgate_packet::{FlowKey, Packet, PacketKind, Refusal};

use crate::router::Router;
use crate::{BucketIndex, Output};

/// Minimum interval between two unsolicited refusals.
const REFUSAL_INTERVAL: Duration = Duration::from_millis(1);

/// Number of buckets that one step of the scan covers.
const BUCKETS_PER_STEP: usize = 64;

/// A scan for flows whose upstream is gone.
#[derive(Debug, Default)]
pub(crate) struct GoneFlowScan {
    /// The next bucket to scan, or `None` when the scan is complete.
    next: Option<(usize, BucketIndex)>,
    /// Flows found whose callers have not been notified yet.
    found: Vec<Packet>,
    /// The instant at which the next caller may be notified.
    notify_at: Option<Instant>,
}

impl GoneFlowScan {
    /// Restarts the scan.
    pub(crate) fn restart(&mut self) {
        self.next = Some((0, 0));
    }
}

impl Router {
    /// Returns the next unsolicited refusal to a caller.
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

    /// Scans the next buckets. Returns `None` when there are no more.
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
                let needs_no_refusal = record.state.caller_notified || record.state.closed;
                if needs_no_refusal || !self.gone.contains(&record.upstream) {
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

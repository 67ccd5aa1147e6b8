//! Building of messages at the moment of sending.

use std::time::{Duration, Instant};

use currantgate_config::EntryId;

use crate::exchange::fold_digests;
use crate::outbox::{MAX_SENDS, PeerOutbox};
use crate::record::UpstreamKey;
use crate::table::bucket_of;
use crate::{LeaseStatus, Members, Message, Record};

/// Maximum size of the encoded records in one message, in bytes.
const MAX_RECORDS_BYTES: usize = 1_100;

/// Maximum number of queued records that are sent before a heartbeat.
const MAX_BEFORE_HEARTBEAT: usize = 4;

/// Rate limit of slices in bytes per second, so that a large set does not use up the
/// budget of other messages.
const SLICE_BYTES_PER_SECOND: u32 = 2_048;

/// Size of a slice without its records, including packet headers, in bytes.
const SLICE_HEADER_BYTES: usize = 48;

impl Members {
    /// Returns the next message: heartbeats first, then short messages, records and slices.
    pub(crate) fn next_message(&mut self, now: Instant) -> Option<(EntryId, Message)> {
        let count = self.outbox.len();
        if count == 0 {
            return None;
        }
        let start = self.random_below(count);
        let order = move || (0..count).map(move |i| (start + i) % count);
        let heartbeat = order().find_map(|at| self.heartbeat_message(now, at));
        if heartbeat.is_some() {
            return heartbeat;
        }
        let short = order().find_map(|at| self.short_message(at));
        if short.is_some() {
            return short;
        }
        let records = order().find_map(|at| self.records_message(now, at));
        if records.is_some() || now < self.next_slice_at {
            return records;
        }
        order().find_map(|at| self.next_slice_message(now, at))
    }

    /// Returns a due heartbeat, or up to [`MAX_BEFORE_HEARTBEAT`] queued records before
    /// it, so that its digest matches the receiver's records.
    ///
    /// More records don't delay a heartbeat: without it this entry would appear dead.
    fn heartbeat_message(&mut self, now: Instant, at: usize) -> Option<(EntryId, Message)> {
        let (id, peer_outbox) = self.outbox.get_index(at)?;
        if !peer_outbox.heartbeat {
            return None;
        }
        let id = *id;
        if peer_outbox.unacked_records.len() <= MAX_BEFORE_HEARTBEAT
            && let Some(message) = self.records_message(now, at)
        {
            return Some(message);
        }
        let (_, peer_outbox) = self.outbox.get_index_mut(at)?;
        peer_outbox.heartbeat = false;
        Some((id, self.heartbeat(now, id)))
    }

    fn short_message(&mut self, at: usize) -> Option<(EntryId, Message)> {
        let (id, peer_outbox) = self.outbox.get_index_mut(at)?;
        if let Some(message) = take_queued_list(peer_outbox) {
            return Some((*id, message));
        }
        if std::mem::take(&mut peer_outbox.pull) {
            let digests = fold_digests(&self.table.digests(*id));
            return Some((*id, Message::Pull { digests }));
        }
        None
    }

    fn records_message(&mut self, now: Instant, at: usize) -> Option<(EntryId, Message)> {
        let id = *self.outbox.get_index(at)?.0;
        let records = self.due_records(now, at)?;
        Some((id, Message::Records(records)))
    }

    /// Returns the unacknowledged records that are due to be sent to one entry.
    fn due_records(&mut self, now: Instant, at: usize) -> Option<Vec<Record>> {
        let (_, peer_outbox) = self.outbox.get_index_mut(at)?;
        let mut records = Vec::new();
        let mut bytes = 0;
        for (key, retransmission) in &mut peer_outbox.unacked_records {
            let Some(held) = self.table.get(*key) else {
                retransmission.sends = MAX_SENDS;
                continue;
            };
            if retransmission.next_send > now {
                continue;
            }
            let record = wire_record(now, &held.record, held.warmup_until);
            bytes += encoded_bytes(&record);
            if bytes > MAX_RECORDS_BYTES && !records.is_empty() {
                break;
            }
            retransmission.record_send(now);
            records.push(record);
        }
        peer_outbox
            .unacked_records
            .retain(|_, retransmission| retransmission.sends < MAX_SENDS);
        (!records.is_empty()).then_some(records)
    }

    fn next_slice_message(&mut self, now: Instant, at: usize) -> Option<(EntryId, Message)> {
        let (id, peer_outbox) = self.outbox.get_index_mut(at)?;
        let (bucket, from) = peer_outbox.slices.swap_remove_index(0)?;
        let id = *id;
        let (records, last) = self.slice(now, bucket, from);
        self.next_slice_at = now + slice_interval(&records);
        if let Some(last) = last
            && let Some(next) = last.checked_add(1)
            && let Some(peer_outbox) = self.outbox.get_mut(&id)
        {
            peer_outbox.slices.insert(bucket, next);
        }
        let message = Message::Slice {
            bucket,
            from,
            to: last.unwrap_or(UpstreamKey::MAX),
            records,
        };
        Some((id, message))
    }

    /// Returns the records of one bucket that this entry owns, from a key on, as many as
    /// fit in one message, and the last key if there are more.
    ///
    /// Ended upstreams of any owner are included, so that the receiver does not take
    /// those that this entry no longer owns for orphaned ones.
    fn slice(
        &self,
        now: Instant,
        bucket: u8,
        from: UpstreamKey,
    ) -> (Vec<Record>, Option<UpstreamKey>) {
        let matching = self.table.iter().filter(|(key, held)| {
            let is_own = held.record.owner == self.settings.id;
            (is_own || held.record.status == LeaseStatus::Gone)
                && bucket_of(*key) == usize::from(bucket)
                && *key >= from
        });
        let mut matching: Vec<_> = matching.collect();
        matching.sort_unstable_by_key(|(key, _)| *key);
        let mut records = Vec::new();
        let mut bytes = 0;
        let mut last = from;
        for (key, held) in matching {
            let record = wire_record(now, &held.record, held.warmup_until);
            bytes += encoded_bytes(&record);
            if bytes > MAX_RECORDS_BYTES && !records.is_empty() {
                return (records, Some(last));
            }
            last = key;
            records.push(record);
        }
        (records, None)
    }
}

/// Returns the time for which a slice uses up [`SLICE_BYTES_PER_SECOND`].
fn slice_interval(records: &[Record]) -> Duration {
    let bytes = SLICE_HEADER_BYTES + records.iter().map(encoded_bytes).sum::<usize>();
    let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
    Duration::from_secs(1) * bytes / SLICE_BYTES_PER_SECOND
}

/// Removes one of the queued lists of an entry and returns it as a message.
fn take_queued_list(peer_outbox: &mut PeerOutbox) -> Option<Message> {
    if !peer_outbox.acks.is_empty() {
        return Some(Message::Ack(peer_outbox.acks.drain(..).collect()));
    }
    if !peer_outbox.renewals.is_empty() {
        let renewals = peer_outbox.renewals.drain(..).collect();
        return Some(Message::Renewed(renewals));
    }
    if !peer_outbox.confirmed_suspects.is_empty() {
        return Some(Message::ConfirmSuspect(
            peer_outbox.confirmed_suspects.drain(..).collect(),
        ));
    }
    if !peer_outbox.suspects.is_empty() {
        return Some(Message::Suspect(peer_outbox.suspects.drain(..).collect()));
    }
    None
}

/// Returns a record with the remaining warm-up time as of `now`.
fn wire_record(now: Instant, record: &Record, warmup_until: Instant) -> Record {
    let left = warmup_until.saturating_duration_since(now).as_millis();
    Record {
        warmup_left_ms: u32::try_from(left).unwrap_or(u32::MAX),
        ..record.clone()
    }
}

/// Returns the encoded size of a record in bytes.
fn encoded_bytes(record: &Record) -> usize {
    let config = bincode::config::standard();
    bincode::serde::encode_to_vec(record, config).map_or(usize::MAX / 2, |buf| buf.len())
}

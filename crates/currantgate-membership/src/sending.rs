//! Messages, built at the moment at which they are sent.

use std::time::{Duration, Instant};

use currantgate_config::EntryId;

use crate::exchange::fold_digests;
use crate::outbox::{MAX_TRIES, Pending};
use crate::record::UpstreamKey;
use crate::table::bucket_of;
use crate::{LeaseStatus, Members, Message, Record};

/// The most encoded bytes of records in one message.
const MAX_RECORDS_BYTES: usize = 1_100;

/// The most waiting records that go before a heartbeat.
const MAX_BEFORE_HEARTBEAT: usize = 4;

/// Bytes a second for slices, so that a large set leaves room for other messages.
const SLICE_BYTES_PER_SECOND: u32 = 2_048;

/// Bytes of a slice besides its records, headers included.
const SLICE_HEADER_BYTES: usize = 48;

impl Members {
    /// Returns the next message, the short and urgent ones first.
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
        if records.is_some() || now < self.next_slice {
            return records;
        }
        order().find_map(|at| self.next_slice_message(now, at))
    }

    /// Returns a heartbeat that is due, or the few records that go before it so
    /// that its digest holds at the receiver.
    ///
    /// Many records don't: without heartbeats this entry would look dead.
    fn heartbeat_message(&mut self, now: Instant, at: usize) -> Option<(EntryId, Message)> {
        let (id, pending) = self.outbox.get_index(at)?;
        if !pending.heartbeat {
            return None;
        }
        let id = *id;
        if pending.deltas.len() <= MAX_BEFORE_HEARTBEAT
            && let Some(message) = self.records_message(now, at)
        {
            return Some(message);
        }
        let (_, pending) = self.outbox.get_index_mut(at)?;
        pending.heartbeat = false;
        Some((id, self.heartbeat(now, id)))
    }

    fn short_message(&mut self, at: usize) -> Option<(EntryId, Message)> {
        let (id, pending) = self.outbox.get_index_mut(at)?;
        if let Some(message) = take_list(pending) {
            return Some((*id, message));
        }
        if std::mem::take(&mut pending.pull) {
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

    /// Returns the records that one entry has not acknowledged and is due for.
    fn due_records(&mut self, now: Instant, at: usize) -> Option<Vec<Record>> {
        let (_, pending) = self.outbox.get_index_mut(at)?;
        let mut records = Vec::new();
        let mut bytes = 0;
        for (key, delta) in &mut pending.deltas {
            let Some(held) = self.table.get(*key) else {
                delta.tries = MAX_TRIES;
                continue;
            };
            if delta.next_try > now {
                continue;
            }
            let record = wire_record(now, &held.record, held.warmup_until);
            bytes += encoded_bytes(&record);
            if bytes > MAX_RECORDS_BYTES && !records.is_empty() {
                break;
            }
            delta.count_try(now);
            records.push(record);
        }
        pending.deltas.retain(|_, delta| delta.tries < MAX_TRIES);
        (!records.is_empty()).then_some(records)
    }

    fn next_slice_message(&mut self, now: Instant, at: usize) -> Option<(EntryId, Message)> {
        let (id, pending) = self.outbox.get_index_mut(at)?;
        let (bucket, from) = pending.slices.swap_remove_index(0)?;
        let id = *id;
        let (records, last) = self.slice(now, bucket, from);
        self.next_slice = now + slice_time(&records);
        if let Some(last) = last
            && let Some(next) = last.checked_add(1)
            && let Some(pending) = self.outbox.get_mut(&id)
        {
            pending.slices.insert(bucket, next);
        }
        let message = Message::Slice {
            bucket,
            from,
            to: last.unwrap_or(UpstreamKey::MAX),
            records,
        };
        Some((id, message))
    }

    /// Returns what fits a message of the records that this entry owns in a
    /// group, from a key on, and the last key if there are more.
    ///
    /// Upstreams that have ended are told of whoever ended them, so that the
    /// other doesn't miss why they are no longer this entry's.
    fn slice(
        &self,
        now: Instant,
        bucket: u8,
        from: UpstreamKey,
    ) -> (Vec<Record>, Option<UpstreamKey>) {
        let wanted = self.table.iter().filter(|(key, held)| {
            let is_told = held.record.owner == self.settings.id;
            (is_told || held.record.status == LeaseStatus::Gone)
                && bucket_of(*key) == usize::from(bucket)
                && *key >= from
        });
        let mut wanted: Vec<_> = wanted.collect();
        wanted.sort_unstable_by_key(|(key, _)| *key);
        let mut records = Vec::new();
        let mut bytes = 0;
        let mut last = from;
        for (key, held) in wanted {
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

/// Returns how long the bytes of a slice take at the pace of slices.
fn slice_time(records: &[Record]) -> Duration {
    let bytes = SLICE_HEADER_BYTES + records.iter().map(encoded_bytes).sum::<usize>();
    let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
    Duration::from_secs(1) * bytes / SLICE_BYTES_PER_SECOND
}

/// Takes one of the short lists that wait for an entry.
fn take_list(pending: &mut Pending) -> Option<Message> {
    if !pending.acks.is_empty() {
        return Some(Message::Ack(pending.acks.drain(..).collect()));
    }
    if !pending.renewals.is_empty() {
        let renewals = pending.renewals.drain(..).collect();
        return Some(Message::Renewed(renewals));
    }
    if !pending.silent.is_empty() {
        return Some(Message::ConfirmSuspect(pending.silent.drain(..).collect()));
    }
    if !pending.doubts.is_empty() {
        return Some(Message::Suspect(pending.doubts.drain(..).collect()));
    }
    None
}

/// Returns a record with the time left to warm as of now.
fn wire_record(now: Instant, record: &Record, warmup_until: Instant) -> Record {
    let left = warmup_until.saturating_duration_since(now).as_millis();
    Record {
        warmup_left_ms: u32::try_from(left).unwrap_or(u32::MAX),
        ..record.clone()
    }
}

/// Returns how many bytes a record takes in a message.
fn encoded_bytes(record: &Record) -> usize {
    let config = bincode::config::standard();
    bincode::serde::encode_to_vec(record, config).map_or(usize::MAX / 2, |buf| buf.len())
}

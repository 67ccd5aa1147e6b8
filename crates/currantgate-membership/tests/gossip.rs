//! Merging of records and heartbeats from other entries.

mod common;

use std::time::Duration;

use common::{Cluster, HEADER_BYTES, announcement};
use currantgate_config::{EntryId, service_id};
use currantgate_membership::{EntryStage, LeaseStatus, Message, Presence, Record, Upstream};

const SECOND: Duration = Duration::from_secs(1);

fn record(name: &str, host: u16, sequence: u64, owner: EntryId, status: LeaseStatus) -> Record {
    let given = announcement(1, host, 0);
    Record {
        upstream: Upstream {
            name: name.into(),
            incarnation: given.incarnation,
            service: service_id("booking"),
            address: given.address,
            domain: given.domain,
            slots: given.slots,
            state: given.state,
        },
        sequence,
        owner,
        status,
        warmup_left_ms: 0,
    }
}

/// Delivers a record to entry 0 as sent by entry `from`.
fn deliver_record(cluster: &mut Cluster, from: EntryId, record: Record) {
    let now = cluster.now;
    let message = Message::Records(vec![record]);
    cluster.members(0).receive(now, from, message);
}

fn heartbeat(sequence: u64, stage: EntryStage) -> Message {
    Message::Heartbeat {
        incarnation: u64::MAX,
        sequence,
        stage,
        digest: 0,
        reports: Vec::new(),
        late: Vec::new(),
    }
}

#[test]
fn an_ended_incarnation_never_returns_whatever_its_sequence() {
    let mut cluster = Cluster::serving(4, 4, 1);
    deliver_record(&mut cluster, 1, record("up-1", 1, 2, 1, LeaseStatus::Gone));
    deliver_record(
        &mut cluster,
        2,
        record("up-1", 1, 9, 2, LeaseStatus::Leased),
    );
    assert_eq!(cluster.presence(0, "up-1"), Some(Presence::Gone));
}

#[test]
fn an_ended_incarnation_never_returns_after_its_tombstone_was_removed() {
    let mut cluster = Cluster::serving(4, 4, 2);
    deliver_record(&mut cluster, 1, record("up-1", 1, 2, 1, LeaseStatus::Gone));
    cluster.run(SECOND * 90);
    assert_eq!(cluster.presence(0, "up-1"), None);
    deliver_record(
        &mut cluster,
        2,
        record("up-1", 1, 9, 2, LeaseStatus::Leased),
    );
    assert_eq!(cluster.presence(0, "up-1"), Some(Presence::Gone));
}

#[test]
fn two_upstreams_at_one_address_are_never_listed_together() {
    let mut cluster = Cluster::serving(4, 4, 3);
    deliver_record(
        &mut cluster,
        1,
        record("up-1", 1, 1, 1, LeaseStatus::Leased),
    );
    deliver_record(
        &mut cluster,
        2,
        record("up-2", 1, 1, 2, LeaseStatus::Leased),
    );
    assert_eq!(cluster.presence(0, "up-1"), Some(Presence::Leased));
    assert_eq!(cluster.presence(0, "up-2"), None);
    deliver_record(&mut cluster, 1, record("up-1", 1, 2, 1, LeaseStatus::Gone));
    assert_eq!(cluster.presence(0, "up-2"), Some(Presence::Leased));
}

#[test]
fn a_live_owner_has_precedence_over_an_expiry_by_another_entry() {
    let mut cluster = Cluster::serving(4, 4, 4);
    deliver_record(
        &mut cluster,
        1,
        record("up-1", 1, 1, 1, LeaseStatus::Leased),
    );
    deliver_record(
        &mut cluster,
        2,
        record("up-1", 1, 2, 2, LeaseStatus::Expired),
    );
    assert_eq!(cluster.presence(0, "up-1"), Some(Presence::Leased));
    deliver_record(
        &mut cluster,
        1,
        record("up-1", 1, 3, 1, LeaseStatus::Expired),
    );
    assert_eq!(cluster.presence(0, "up-1"), Some(Presence::Expired));
}

#[test]
fn a_delayed_heartbeat_does_not_restore_an_earlier_stage() {
    let mut cluster = Cluster::serving(2, 2, 5);
    let now = cluster.now;
    let members = cluster.members(0);
    members.receive(now, 1, heartbeat(5, EntryStage::Leaving));
    members.receive(now, 1, heartbeat(4, EntryStage::Serving));
    assert_eq!(members.entries()[1].stage, EntryStage::Leaving);
}

#[test]
fn renewals_at_another_entry_are_forwarded_to_the_owner() {
    let mut cluster = Cluster::serving(8, 4, 6);
    let given = announcement(1, 1, 0);
    cluster
        .announce(0, "booking", "up-1", given.clone())
        .unwrap();
    cluster.run(SECOND);
    for tenth in 0..200 {
        if tenth % 10 == 0 {
            // Others renew at the owner, so that it would expire a silent upstream.
            for host in 2..=4 {
                let (name, other) = (format!("up-{host}"), announcement(1, host, 0));
                cluster.announce(0, "booking", &name, other).unwrap();
            }
            let given = given.clone();
            cluster.announce(4, "booking", "up-1", given).unwrap();
        }
        for _ in 0..20 {
            cluster.run(common::STEP);
            assert_eq!(cluster.presence(0, "up-1"), Some(Presence::Leased));
        }
    }
}

#[test]
fn a_large_set_is_sent_to_a_new_entry_in_small_messages() {
    let mut cluster = Cluster::serving(2, 1, 7);
    for host in 0..300 {
        let name = format!("{}-{host}", "u".repeat(50));
        let given = announcement(1, host, 0);
        cluster.announce(0, "booking", &name, given).unwrap();
    }
    cluster.start(1);
    cluster.run(SECOND * 5);
    assert!(
        cluster.largest_message <= 1_200,
        "{} bytes",
        cluster.largest_message
    );
    assert!(
        cluster.largest_message > 900,
        "{} bytes",
        cluster.largest_message
    );
}

#[test]
fn the_budget_is_overdrawn_by_at_most_one_message() {
    let mut cluster = Cluster::new(8, 4, 8);
    cluster.budget.bytes_per_second = 300;
    cluster.budget.burst_bytes = 600;
    (0..8).for_each(|id| cluster.start(id));
    for second in 1..=60 {
        cluster.run(SECOND);
        let one_message = (cluster.largest_message + HEADER_BYTES) as u64;
        for entry in cluster.entries.values() {
            assert!(entry.sent <= 600 + 300 * second + one_message);
        }
    }
}

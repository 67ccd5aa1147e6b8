//! Malformed and hostile messages: state and message sizes stay within their bounds.

mod common;

use std::time::Instant;

use common::{Cluster, announcement, encode};
use currantgate_config::service_id;
use currantgate_membership::{
    EntryStage, LeaseStatus, LivenessReport, Members, Message, Record, Upstream, UpstreamState,
};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, RngSeed};

const MAX_UPSTREAMS: usize = 16;

fn upstream() -> impl Strategy<Value = Upstream> {
    let parts = ("[a-c]{1,3}|.{0,70}", 0..4u64, 0..6u16, 0..5usize, 0..5u32);
    parts.prop_map(|(name, incarnation, host, domain, slots)| {
        let given = announcement(incarnation, host, domain);
        Upstream {
            name: name.into(),
            incarnation: if incarnation == 3 {
                u64::MAX
            } else {
                incarnation
            },
            service: service_id(["booking", "calendar", "ballots"][domain % 3]),
            address: given.address,
            domain: given.domain,
            slots,
            state: UpstreamState::Ready,
        }
    })
}

fn record() -> impl Strategy<Value = Record> {
    let sequence = prop_oneof![0..3u64, Just(u64::MAX)];
    let status = prop_oneof![
        Just(LeaseStatus::Leased),
        Just(LeaseStatus::Expired),
        Just(LeaseStatus::Gone)
    ];
    (upstream(), sequence, 0..6u16, status, any::<u32>()).prop_map(
        |(upstream, sequence, owner, status, warmup_left_ms)| Record {
            upstream,
            sequence,
            owner,
            status,
            warmup_left_ms,
        },
    )
}

fn message() -> impl Strategy<Value = Message> {
    let records = || prop::collection::vec(record(), 0..12);
    let keys = || prop::collection::vec(any::<u64>(), 0..100);
    let reports = (any::<u16>(), any::<u8>(), any::<u8>());
    let reports = reports.prop_map(|(id, age, tag)| LivenessReport { id, age, tag });
    let heartbeat = (
        any::<u64>(),
        any::<u64>(),
        prop::collection::vec(reports, 0..90),
        keys(),
    );
    prop_oneof![
        heartbeat.prop_map(|(sequence, digest, reports, late)| Message::Heartbeat {
            incarnation: sequence % 3,
            sequence,
            stage: EntryStage::Serving,
            digest,
            reports,
            late,
        }),
        records().prop_map(Message::Records),
        keys().prop_map(Message::Ack),
        any::<[u32; 16]>().prop_map(|digests| Message::Pull { digests }),
        (any::<u8>(), any::<u64>(), any::<u64>(), records()).prop_map(
            |(bucket, from, to, records)| Message::Slice {
                bucket,
                from,
                to,
                records
            }
        ),
        prop::collection::vec(any::<(u64, u64)>(), 0..100).prop_map(Message::Renewed),
        keys().prop_map(Message::Suspect),
        keys().prop_map(Message::ConfirmSuspect),
    ]
}

fn cluster_with_small_table() -> (Cluster, Instant) {
    let mut cluster = Cluster::new(4, 4, 1);
    cluster.max_upstreams = MAX_UPSTREAMS;
    cluster.start(0);
    let now = cluster.now;
    (cluster, now)
}

fn is_bounded(members: &Members) -> bool {
    let is_valid =
        |u: &Upstream| (1..=64).contains(&u.name.len()) && (1..=65_536).contains(&u.slots);
    members.upstreams().all(|(u, _)| is_valid(u))
        && members.upstreams().count() <= 2 * MAX_UPSTREAMS
        && members.entries().len() <= 4
}

fn decode(buf: &[u8]) -> Option<Message> {
    let config = bincode::config::standard().with_limit::<65_536>();
    let (message, _) = bincode::serde::decode_from_slice(buf, config).ok()?;
    Some(message)
}

fn config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(20_818))]

    #[test]
    fn hostile_messages_cause_no_panic_and_no_unbounded_state(
        messages in prop::collection::vec((0..6u16, message()), 1..40),
    ) {
        let (mut cluster, _) = cluster_with_small_table();
        for (from, message) in messages {
            let now = cluster.now;
            cluster.members(0).receive(now, from, message);
            cluster.run(common::STEP * 20);
            prop_assert!(is_bounded(cluster.members(0)));
            prop_assert!(cluster.largest_message <= 1_200, "{} bytes", cluster.largest_message);
        }
    }

    #[test]
    fn corrupted_bytes_cause_no_panic_and_no_unbounded_state(
        random_bytes in prop::collection::vec(any::<u8>(), 0..200),
        messages in prop::collection::vec((message(), any::<(u16, u8)>()), 1..10),
    ) {
        let (mut cluster, now) = cluster_with_small_table();
        let corrupted = messages.iter().map(|(message, (at, byte))| {
            let mut buf = encode(message);
            let at = usize::from(*at) % buf.len();
            buf[at] = *byte;
            buf
        });
        let corrupted: Vec<_> = corrupted.chain([random_bytes]).collect();
        for message in corrupted.iter().filter_map(|buf| decode(buf)) {
            cluster.members(0).receive(now, 1, message);
        }
        cluster.run(common::STEP * 100);
        prop_assert!(is_bounded(cluster.members(0)));
    }
}

//! Invariants of the detector for any order of reads, sends and new flows.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use currantgate_token::{CapacityLimit, CapacityLimitSettings, LimitAdmission, LimitCause};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, RngSeed};

use crate::first_packet;

/// Longest time for which a state may outlast its cause.
const MAX_PERSISTENCE: Duration = Duration::from_secs(2);

#[derive(Clone, Debug)]
enum Step {
    Pass(Duration),
    /// Packets that are read in a row, 50 us apart.
    Packets(u32),
    Empty,
    Sent(u32),
    Full,
    /// A first packet of a caller, with a number of retransmissions.
    First(u32, u32),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0_u64..120).prop_map(|ms| Step::Pass(Duration::from_millis(ms))),
        (0_u64..3_000).prop_map(|ms| Step::Pass(Duration::from_millis(ms))),
        (1_u32..400).prop_map(Step::Packets),
        Just(Step::Empty),
        (1_u32..100).prop_map(Step::Sent),
        Just(Step::Full),
        (0_u32..30, 0_u32..3).prop_map(|(caller, copy)| Step::First(caller, copy)),
        (0_u32..30, 0_u32..3).prop_map(|(caller, copy)| Step::First(caller, copy)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against refusals without a cause or long after it, against resets for
    /// retransmissions, and against too many resets.
    #[test]
    fn new_flows_are_limited_only_for_a_recent_cause(
        steps in proptest::collection::vec(step(), 1..200),
    ) {
        let settings = CapacityLimitSettings::default();
        let mut now = Instant::now();
        let mut limit = CapacityLimit::new(now, settings.clone());
        let mut busy_since = None;
        let mut last_sign: Option<Instant> = None;
        let (mut sends, mut resets) = (0, 0);
        let mut dropped = HashSet::new();
        for step in steps {
            match step {
                Step::Pass(time) => now += time,
                Step::Packets(packets) => {
                    let busy_since = *busy_since.get_or_insert(now);
                    for _ in 0..packets {
                        now += Duration::from_micros(50);
                        limit.record_packet(now);
                    }
                    if now >= busy_since + settings.busy_time {
                        last_sign = Some(now);
                    }
                }
                Step::Empty => {
                    limit.record_empty(now);
                    busy_since = None;
                }
                Step::Sent(packets) => {
                    (0..packets).for_each(|_| limit.record_sent());
                    sends += packets;
                }
                Step::Full => {
                    limit.record_full(now);
                    last_sign = Some(now);
                }
                Step::First(caller, copy) => {
                    let causes = LimitCause::ALL;
                    let is_limited = causes.into_iter().any(|c| limit.is_limited_by(now, c));
                    let has_sign = last_sign.is_some_and(|at| now < at + MAX_PERSISTENCE);
                    prop_assert!(!is_limited || has_sign, "the limit outlasts its cause");
                    let admission = limit.admit(now, &first_packet(caller, copy));
                    let is_taken = admission == LimitAdmission::Admit;
                    prop_assert!(is_taken || is_limited, "refused without a cause");
                    prop_assert!(
                        is_taken || copy == 0 || dropped.contains(&caller),
                        "a retransmission of an unknown flow was not taken"
                    );
                    if admission == LimitAdmission::Refuse {
                        prop_assert_eq!(copy, 0, "a retransmission was refused");
                        resets += 1;
                        let max = f64::from(sends) * settings.resets_per_send;
                        prop_assert!(f64::from(resets) <= max, "too many resets");
                    } else if !is_taken {
                        dropped.insert(caller);
                    }
                }
            }
        }
    }
}

/// Guards against a limit that is not noticed or has the wrong cause, and against one for
/// packets that arrived while the process was stopped.
#[rstest::rstest]
#[case::paused(96, true)]
#[case::stopped(600, false)]
fn a_queue_that_is_not_emptied_shows_a_limit_of_the_processor(
    #[case] pause_ms: u64,
    #[case] is_limited: bool,
) {
    let mut now = Instant::now();
    let mut limit = CapacityLimit::new(now, CapacityLimitSettings::default());
    for _ in 0..4 {
        for _ in 0..100 {
            now += Duration::from_micros(38);
            limit.record_packet(now);
        }
        now += Duration::from_millis(pause_ms);
    }
    assert_eq!(limit.is_limited_by(now, LimitCause::Processor), is_limited);
    assert!(!limit.is_limited_by(now, LimitCause::Link));
    limit.record_full(now);
    assert!(limit.is_limited_by(now, LimitCause::Link));
}

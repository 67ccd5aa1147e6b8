//! Tests of the queue of flows that wait at the entry.

use std::time::{Duration, Instant};

use currantgate_placement::{Priority, WaitEstimate, WaitingFlow, WaitingQueue, WaitingSettings};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, RngSeed};

const SETTINGS: WaitingSettings = WaitingSettings {
    max_flows: 8,
    max_bytes: 600,
    max_wait: Duration::from_millis(450),
    expected_factor: 0.8,
    overload_expected_factor: 0.2,
    full_load: 1.1,
    overload: 1.3,
};

fn flow(key: u32, start: Instant, arrived_ms: u64, level: u32, bytes: usize) -> WaitingFlow<u32> {
    let arrived = start + Duration::from_millis(arrived_ms);
    WaitingFlow {
        key,
        service: if key.is_multiple_of(3) {
            "tariff"
        } else {
            "booking"
        }
        .into(),
        priority: Priority {
            is_idempotent: level > 0,
            level,
        },
        latency_target: Duration::from_millis(500),
        bytes,
        arrived,
        deadline: arrived + SETTINGS.max_wait,
        is_late: false,
        is_retransmitted: false,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    /// Guards against flows that are lost, held past their maximum wait, returned twice or
    /// out of order, and against a queue above its bounds.
    #[test]
    fn each_flow_leaves_once_in_order_and_in_time(
        steps in prop::collection::vec((0_u64..200, 0_u32..3, 40_usize..200, 0_u8..4), 1..120),
    ) {
        let start = Instant::now();
        let mut queue = WaitingQueue::default();
        let mut waiting: Vec<WaitingFlow<u32>> = Vec::new();
        let mut now_ms = 0;
        for (key, (pause_ms, level, bytes, action)) in (0..).zip(steps) {
            now_ms += pause_ms;
            let now = start + Duration::from_millis(now_ms);
            while let Some(expired) = queue.pop_expired(now) {
                prop_assert!(expired.deadline <= now);
                let index = waiting.iter().position(|f| f.key == expired.key);
                waiting.remove(index.expect("it waits"));
            }
            prop_assert!(waiting.iter().all(|f| f.deadline > now));
            if action == 0 {
                let first = waiting.iter().min_by_key(|f| (f.priority, f.arrived, f.key));
                let first = first.map(|f| f.key);
                let popped = queue.pop_first().map(|f| f.key);
                prop_assert_eq!(popped, first);
                waiting.retain(|f| Some(f.key) != first);
                continue;
            }
            let added = flow(key, start, now_ms, level, bytes);
            match queue.push(added.clone(), &SETTINGS) {
                Ok(displaced) => {
                    for lost in displaced {
                        prop_assert!(lost.priority > added.priority);
                        let last = waiting.iter().max_by_key(|f| (f.priority, f.key));
                        prop_assert_eq!(last.map(|f| f.key), Some(lost.key));
                        waiting.retain(|f| f.key != lost.key);
                    }
                    waiting.push(added);
                }
                Err(refused) => {
                    prop_assert_eq!(refused.key, key);
                    // There is no place even without all flows of lower priority.
                    let kept = waiting.iter().filter(|f| f.priority <= added.priority);
                    let (flows, sum) = kept.fold((1, bytes), |(n, b), f| (n + 1, b + f.bytes));
                    prop_assert!(flows > SETTINGS.max_flows || sum > SETTINGS.max_bytes);
                }
            }
            prop_assert_eq!(queue.len(), waiting.len());
            prop_assert_eq!(queue.bytes(), waiting.iter().map(|f| f.bytes).sum::<usize>());
            prop_assert!(queue.len() <= SETTINGS.max_flows);
            prop_assert!(queue.bytes() <= SETTINGS.max_bytes);
        }
    }
}

/// Guards against a flow that is queued twice, whose second copy would be placed, too.
#[test]
fn a_flow_is_queued_once() {
    let start = Instant::now();
    let mut queue = WaitingQueue::default();
    assert!(queue.push(flow(1, start, 0, 1, 60), &SETTINGS).is_ok());
    assert!(queue.push(flow(1, start, 5, 0, 60), &SETTINGS).is_err());
    assert_eq!(queue.len(), 1);
}

/// Guards against flows that keep being queued when upstreams stop completing any.
#[test]
fn the_expected_wait_rises_while_no_flow_ends() {
    let usual = WaitEstimate {
        interval: Duration::from_millis(10),
        since_last_end: Duration::from_millis(10),
        time_at_upstream: Duration::from_millis(80),
        higher_share: 0.5,
    };
    assert_eq!(usual.expected_wait(4), Duration::from_millis(100));
    let target = Duration::from_millis(400);
    assert!(usual.is_in_time(4, target));
    let stopped = WaitEstimate {
        since_last_end: Duration::from_millis(250),
        ..usual
    };
    assert!(!stopped.is_in_time(4, target));
    // A flow never waits when its target has passed at the upstream.
    let late = usual.max_wait(Duration::from_millis(70), &SETTINGS);
    assert_eq!(late, Duration::ZERO);
}

//! Which upstream takes a new flow.

use std::time::{Duration, Instant};

use currantgate_placement::{
    Placement, PlacementRequest, PlacementSettings, Priority, Refusal, Suspect, SuspicionChange,
    Target, TargetKey,
};

const SECOND: Duration = Duration::from_secs(1);

fn target(key: TargetKey, now: Instant) -> Target {
    Target {
        key,
        service: "booking".into(),
        is_local: true,
        slots: 3,
        warm_at: now,
        is_reporting: true,
        domain: "a".into(),
    }
}

const PRIORITY: Priority = Priority {
    is_idempotent: true,
    level: 1,
};

fn request(tried: &[TargetKey]) -> PlacementRequest<'_> {
    PlacementRequest {
        service: "booking",
        priority: PRIORITY,
        latency_target: SECOND / 4,
        may_refuse: true,
        tried,
    }
}

fn placement(targets: impl IntoIterator<Item = Target>) -> Placement {
    let mut placement = Placement::new(PlacementSettings::default());
    placement.set_targets(targets);
    placement
}

fn place(placement: &mut Placement, now: Instant) -> TargetKey {
    placement.place(now, &request(&[])).unwrap().key
}

/// Places `count` flows and returns how many each of `keys` upstreams got.
fn spread(placement: &mut Placement, now: Instant, count: u32, keys: u32) -> Vec<u32> {
    for _ in 0..count {
        let key = place(placement, now);
        placement.record_answer(now, key);
    }
    (1..=keys).map(|key| placement.open_flows(key)).collect()
}

#[test]
fn flows_are_evened_out() {
    let now = Instant::now();
    let mut placement = placement((1..=4).map(|key| target(key, now)));
    assert_eq!(spread(&mut placement, now, 8, 4), [2, 2, 2, 2]);
}

#[test]
fn more_slots_take_more_flows() {
    let now = Instant::now();
    let large = Target {
        slots: 9,
        ..target(1, now)
    };
    let mut placement = placement([large, target(2, now)]);
    assert_eq!(spread(&mut placement, now, 8, 2), [6, 2]);
}

#[test]
fn a_cold_upstream_takes_less_and_no_herd_goes_there() {
    let now = Instant::now();
    let cold = Target {
        warm_at: now + 2 * SECOND,
        ..target(1, now)
    };
    let mut placement = placement([cold, target(2, now), target(3, now)]);
    let flows = spread(&mut placement, now, 9, 3);
    assert!(flows[0] < flows[1] && flows[0] < flows[2], "{flows:?}");
    assert!(flows[0] > 0, "{flows:?}");
}

#[test]
fn the_own_domain_is_left_only_when_it_is_fuller() {
    let now = Instant::now();
    let far = Target {
        is_local: false,
        domain: "b".into(),
        ..target(2, now)
    };
    let mut placement = placement([target(1, now), far]);
    let first = place(&mut placement, now);
    assert_eq!(first, 1);
    assert_eq!(place(&mut placement, now), 2);
}

#[test]
fn without_upstreams_a_flow_is_refused() {
    let now = Instant::now();
    let mut placement = placement([]);
    let refused = placement.place(now, &request(&[]));
    assert_eq!(refused, Err(Refusal::NoUpstream));
}

#[test]
fn a_copy_goes_to_another_upstream() {
    let now = Instant::now();
    let mut placement = placement([target(1, now), target(2, now)]);
    for _ in 0..20 {
        let key = placement.place(now, &request(&[1])).unwrap().key;
        assert_eq!(key, 2);
        placement.record_end(now, key, PRIORITY, Duration::ZERO);
    }
}

#[test]
fn the_only_upstream_gets_the_copy_too() {
    let now = Instant::now();
    let mut placement = placement([target(1, now)]);
    assert_eq!(placement.place(now, &request(&[1])).unwrap().key, 1);
}

#[test]
fn an_upstream_that_does_not_answer_is_avoided_for_longer_each_time() {
    let start = Instant::now();
    let mut placement = placement([target(1, start), target(2, start)]);
    let mut now = start;
    let mut avoided = Vec::new();
    // With the other one full, this one is preferred when it is trusted.
    for _ in 0..9 {
        placement.place(now, &request(&[1])).unwrap();
    }
    for _ in 0..3 {
        assert_eq!(place(&mut placement, now), 1);
        placement.record_no_answer(now, 1, PRIORITY, now);
        let since = now;
        let returns = (1..200).find(|step| {
            now = since + Duration::from_millis(50) * *step;
            let key = place(&mut placement, now);
            placement.cancel(key, PRIORITY);
            key == 1
        });
        avoided.push(returns.expect("it is tried again some time"));
    }
    assert!(
        avoided.is_sorted() && avoided[0] < avoided[2],
        "{avoided:?}"
    );
}

/// Others were answered since, so that only this packet was lost.
#[test]
fn a_lost_packet_casts_no_doubt_on_an_upstream_that_answers() {
    let now = Instant::now();
    let mut placement = placement([target(1, now), target(2, now)]);
    placement.record_answer(now + SECOND, 1);
    placement.record_no_answer(now + SECOND, 1, PRIORITY, now);
    let keys: Vec<_> = (0..2)
        .map(|_| place(&mut placement, now + SECOND))
        .collect();
    assert!(keys.contains(&1), "{keys:?}");
}

/// One flow is enough to learn whether a suspect answers again.
#[test]
fn a_former_suspect_gets_one_flow_until_it_answers() {
    let now = Instant::now();
    let mut placement = placement([target(1, now), target(2, now)]);
    placement.record_no_answer(now, 1, PRIORITY, now);
    let later = now + 2 * SECOND;
    let flows = |placement: &mut Placement| {
        for _ in 0..6 {
            place(placement, later);
        }
        placement.open_flows(1)
    };
    assert_eq!(flows(&mut placement), 1);
    placement.record_answer(later, 1);
    assert!(flows(&mut placement) > 1);
}

/// A domain is cut off: its upstreams are not tried one after the other.
#[test]
fn two_silent_upstreams_cast_doubt_on_their_domain() {
    let now = Instant::now();
    let far = |key| Target {
        is_local: false,
        domain: "b".into(),
        ..target(key, now)
    };
    let mut placement = placement([target(1, now), far(2), far(3), far(4)]);
    placement.record_no_answer(now, 2, PRIORITY, now);
    placement.record_no_answer(now, 3, PRIORITY, now);
    for _ in 0..10 {
        assert_eq!(place(&mut placement, now), 1);
    }
    placement.record_answer(now, 4);
    let flows: Vec<_> = (0..3).map(|_| place(&mut placement, now)).collect();
    assert!(flows.contains(&4), "{flows:?}");
}

#[test]
fn an_unheard_upstream_is_the_last_resort() {
    let now = Instant::now();
    let unheard = Target {
        is_reporting: false,
        ..target(1, now)
    };
    let mut placement = placement([unheard.clone(), target(2, now)]);
    for _ in 0..10 {
        assert_eq!(place(&mut placement, now), 2);
    }
    placement.set_targets([unheard]);
    assert_eq!(place(&mut placement, now), 1);
}

#[test]
fn the_load_of_an_upstream_outlives_a_new_view() {
    let now = Instant::now();
    let mut placement = placement([target(1, now), target(2, now)]);
    spread(&mut placement, now, 6, 2);
    placement.set_targets([target(2, now)]);
    assert_eq!(placement.open_flows(1), 3, "it closes, and its flows go on");
    placement.set_targets([target(1, now), target(2, now)]);
    assert_eq!(placement.open_flows(1), 3);
}

#[test]
fn doubts_are_told_when_they_are_raised_and_when_they_end() {
    let now = Instant::now();
    let mut placement = placement((1..=3).map(|key| target(key, now)));
    for _ in 0..3 {
        place(&mut placement, now);
    }
    assert_eq!(placement.take_suspicion_changes(), []);
    let later = now + SECOND / 5;
    placement.record_no_answer(later, 1, PRIORITY, now);
    let until = later + PlacementSettings::default().base_suspicion_time;
    let told = |suspect, until| SuspicionChange { suspect, until };
    assert_eq!(
        placement.take_suspicion_changes(),
        [told(Suspect::Upstream(1), Some(until))]
    );
    placement.record_no_answer(later, 2, PRIORITY, now);
    assert_eq!(
        placement.take_suspicion_changes(),
        [
            told(Suspect::Upstream(2), Some(until)),
            told(Suspect::Domain("a".into()), Some(until)),
        ]
    );
    placement.record_answer(later, 1);
    assert_eq!(
        placement.take_suspicion_changes(),
        [
            told(Suspect::Upstream(1), None),
            told(Suspect::Domain("a".into()), None),
        ]
    );
}

/// Lets `count` flows of an upstream end that were open for `open_for`.
fn run(placement: &mut Placement, now: Instant, key: TargetKey, count: u32, open_for: Duration) {
    for _ in 0..count {
        placement.record_answer(now, key);
        placement.record_end(now, key, PRIORITY, open_for);
    }
}

#[test]
fn an_upstream_that_turned_slow_takes_fewer_flows() {
    let start = Instant::now();
    let mut placement = placement((1..=2).map(|key| target(key, start)));
    let usual = Duration::from_millis(50);
    run(&mut placement, start, 1, 50, usual);
    run(&mut placement, start, 2, 50, usual);
    place(&mut placement, start);
    // By now the entry has seen a whole window, and knows what is usual.
    let now = start + SECOND;
    run(&mut placement, now, 1, 20, usual);
    run(&mut placement, now, 2, 20, usual);
    place(&mut placement, now);
    run(&mut placement, now, 1, 30, 4 * usual);
    let flows = spread(&mut placement, now, 12, 2);
    assert!(2 * flows[0] <= flows[1], "{flows:?}");
    // After a while it is tried again like the other.
    let later = now + 20 * SECOND;
    let flows = spread(&mut placement, later, 20, 2);
    assert!(flows[0].abs_diff(flows[1]) <= 1, "{flows:?}");
}

/// Otherwise an upstream that fails each request at once would draw all.
#[test]
fn an_upstream_whose_flows_end_far_too_early_takes_fewer() {
    let start = Instant::now();
    let mut placement = placement((1..=2).map(|key| target(key, start)));
    let usual = Duration::from_millis(50);
    run(&mut placement, start, 2, 50, usual);
    place(&mut placement, start);
    let now = start + SECOND;
    run(&mut placement, now, 2, 20, usual);
    place(&mut placement, now);
    run(&mut placement, now, 1, 30, usual / 25);
    let flows = spread(&mut placement, now, 12, 2);
    assert!(2 * flows[0] <= flows[1], "{flows:?}");
}

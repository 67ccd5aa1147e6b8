//! Tests of the choice of an upstream for a new flow.

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

/// Returns a placement that limits no flows, so that any number of them shows its choices.
fn unlimited_placement(targets: impl IntoIterator<Item = Target>) -> Placement {
    let mut settings = PlacementSettings::default();
    settings.admission.is_enabled = false;
    let mut placement = Placement::new(settings);
    placement.set_targets(targets);
    placement
}

fn place(placement: &mut Placement, now: Instant) -> TargetKey {
    placement.place(now, &request(&[])).unwrap().key
}

/// Places and answers `count` flows, and returns the number of open flows at each of
/// the first `keys` upstreams.
fn place_flows(placement: &mut Placement, now: Instant, count: u32, keys: u32) -> Vec<u32> {
    for _ in 0..count {
        let key = place(placement, now);
        placement.record_answer(now, key);
    }
    (1..=keys).map(|key| placement.open_flows(key)).collect()
}

#[test]
fn flows_spread_evenly_over_equal_upstreams() {
    let now = Instant::now();
    let mut placement = placement((1..=4).map(|key| target(key, now)));
    assert_eq!(place_flows(&mut placement, now, 8, 4), [2, 2, 2, 2]);
}

#[test]
fn flows_spread_in_proportion_to_slots() {
    let now = Instant::now();
    let large = Target {
        slots: 9,
        ..target(1, now)
    };
    let mut placement = placement([large, target(2, now)]);
    assert_eq!(place_flows(&mut placement, now, 8, 2), [6, 2]);
}

#[test]
fn a_cold_upstream_gets_some_flows_but_fewer() {
    let now = Instant::now();
    let cold = Target {
        warm_at: now + 2 * SECOND,
        ..target(1, now)
    };
    let mut placement = placement([cold, target(2, now), target(3, now)]);
    let flows = place_flows(&mut placement, now, 9, 3);
    assert!(flows[0] < flows[1] && flows[0] < flows[2], "{flows:?}");
    assert!(flows[0] > 0, "{flows:?}");
}

#[test]
fn another_domain_is_chosen_only_when_the_local_load_is_higher() {
    let now = Instant::now();
    let remote = Target {
        is_local: false,
        domain: "b".into(),
        ..target(2, now)
    };
    let mut placement = placement([target(1, now), remote]);
    let first = place(&mut placement, now);
    assert_eq!(first, 1);
    assert_eq!(place(&mut placement, now), 2);
}

#[test]
fn a_flow_is_refused_without_upstreams() {
    let now = Instant::now();
    let mut placement = placement([]);
    let refused = placement.place(now, &request(&[]));
    assert_eq!(refused, Err(Refusal::NoUpstream));
}

#[test]
fn a_retransmission_goes_to_another_upstream() {
    let now = Instant::now();
    let mut placement = placement([target(1, now), target(2, now)]);
    for _ in 0..20 {
        let key = placement.place(now, &request(&[1])).unwrap().key;
        assert_eq!(key, 2);
        placement.record_end(now, key, PRIORITY, Duration::ZERO);
    }
}

#[test]
fn a_retransmission_goes_to_the_only_upstream_again() {
    let now = Instant::now();
    let mut placement = placement([target(1, now)]);
    assert_eq!(placement.place(now, &request(&[1])).unwrap().key, 1);
}

#[test]
fn consecutive_suspicions_of_an_upstream_last_longer() {
    let start = Instant::now();
    let mut placement = placement([target(1, start), target(2, start)]);
    let mut now = start;
    let mut avoided = Vec::new();
    // The load of the other upstream makes this one the first choice unless suspect.
    for _ in 0..9 {
        placement.place(now, &request(&[1])).unwrap();
    }
    for _ in 0..3 {
        assert_eq!(place(&mut placement, now), 1);
        placement.record_no_answer(now, 1, PRIORITY, now);
        let since = now;
        let retried = (1..200).find(|step| {
            now = since + Duration::from_millis(50) * *step;
            let key = place(&mut placement, now);
            placement.cancel(key, PRIORITY);
            key == 1
        });
        avoided.push(retried.expect("the upstream is chosen again within 10 s"));
    }
    assert!(
        avoided.is_sorted() && avoided[0] < avoided[2],
        "{avoided:?}"
    );
}

/// Another flow was answered after the unanswered packet was sent, so that only this
/// packet was lost.
#[test]
fn a_lost_packet_does_not_make_an_answering_upstream_suspect() {
    let now = Instant::now();
    let mut placement = placement([target(1, now), target(2, now)]);
    placement.record_answer(now + SECOND, 1);
    placement.record_no_answer(now + SECOND, 1, PRIORITY, now);
    let keys: Vec<_> = (0..2)
        .map(|_| place(&mut placement, now + SECOND))
        .collect();
    assert!(keys.contains(&1), "{keys:?}");
}

/// After the time of avoidance, a single flow shows whether a suspect answers again.
#[test]
fn a_former_suspect_is_probed_with_one_flow_until_it_answers() {
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

/// When a domain is unreachable, its upstreams must not be tried one after the other.
#[test]
fn two_upstreams_that_do_not_answer_make_their_domain_suspect() {
    let now = Instant::now();
    let remote = |key| Target {
        is_local: false,
        domain: "b".into(),
        ..target(key, now)
    };
    let mut placement = placement([target(1, now), remote(2), remote(3), remote(4)]);
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
fn an_upstream_that_does_not_report_is_the_last_choice() {
    let now = Instant::now();
    let not_reporting = Target {
        is_reporting: false,
        ..target(1, now)
    };
    let mut placement = placement([not_reporting.clone(), target(2, now)]);
    for _ in 0..10 {
        assert_eq!(place(&mut placement, now), 2);
    }
    placement.set_targets([not_reporting]);
    assert_eq!(place(&mut placement, now), 1);
}

#[test]
fn open_flows_are_kept_when_targets_are_replaced() {
    let now = Instant::now();
    let mut placement = placement([target(1, now), target(2, now)]);
    place_flows(&mut placement, now, 6, 2);
    placement.set_targets([target(2, now)]);
    assert_eq!(
        placement.open_flows(1),
        3,
        "a removed upstream keeps its flows"
    );
    placement.set_targets([target(1, now), target(2, now)]);
    assert_eq!(placement.open_flows(1), 3);
}

#[test]
fn suspicion_changes_are_returned_at_start_and_end() {
    let now = Instant::now();
    let mut placement = placement((1..=3).map(|key| target(key, now)));
    for _ in 0..3 {
        place(&mut placement, now);
    }
    assert_eq!(placement.take_suspicion_changes(), []);
    let later = now + SECOND / 5;
    placement.record_no_answer(later, 1, PRIORITY, now);
    let until = later + PlacementSettings::default().base_suspicion_time;
    let change = |suspect, until| SuspicionChange { suspect, until };
    assert_eq!(
        placement.take_suspicion_changes(),
        [change(Suspect::Upstream(1), Some(until))]
    );
    placement.record_no_answer(later, 2, PRIORITY, now);
    assert_eq!(
        placement.take_suspicion_changes(),
        [
            change(Suspect::Upstream(2), Some(until)),
            change(Suspect::Domain("a".into()), Some(until)),
        ]
    );
    placement.record_answer(later, 1);
    assert_eq!(
        placement.take_suspicion_changes(),
        [
            change(Suspect::Upstream(1), None),
            change(Suspect::Domain("a".into()), None),
        ]
    );
}

/// Records the answer and end of `count` flows of an upstream that lasted `duration`.
fn complete_flows(
    placement: &mut Placement,
    now: Instant,
    key: TargetKey,
    count: u32,
    duration: Duration,
) {
    for _ in 0..count {
        placement.record_answer(now, key);
        placement.record_end(now, key, PRIORITY, duration);
    }
}

#[test]
fn a_slow_upstream_gets_fewer_flows_until_its_slowness_decays() {
    let start = Instant::now();
    let mut placement = unlimited_placement((1..=2).map(|key| target(key, start)));
    let baseline = Duration::from_millis(50);
    complete_flows(&mut placement, start, 1, 50, baseline);
    complete_flows(&mut placement, start, 2, 50, baseline);
    place(&mut placement, start);
    // A full sample window has passed, so that there is a reference duration.
    let now = start + SECOND;
    complete_flows(&mut placement, now, 1, 20, baseline);
    complete_flows(&mut placement, now, 2, 20, baseline);
    place(&mut placement, now);
    complete_flows(&mut placement, now, 1, 30, 4 * baseline);
    let flows = place_flows(&mut placement, now, 12, 2);
    assert!(2 * flows[0] <= flows[1], "{flows:?}");
    // Once its slowness has decayed, both get the same number of flows.
    let later = now + 20 * SECOND;
    let flows = place_flows(&mut placement, later, 20, 2);
    assert!(flows[0].abs_diff(flows[1]) <= 1, "{flows:?}");
}

/// Otherwise an upstream that fails each request at once would attract all flows.
#[test]
fn an_upstream_whose_flows_end_far_too_early_gets_fewer() {
    let start = Instant::now();
    let mut placement = unlimited_placement((1..=2).map(|key| target(key, start)));
    let baseline = Duration::from_millis(50);
    complete_flows(&mut placement, start, 2, 50, baseline);
    place(&mut placement, start);
    let now = start + SECOND;
    complete_flows(&mut placement, now, 2, 20, baseline);
    place(&mut placement, now);
    complete_flows(&mut placement, now, 1, 30, baseline / 25);
    let flows = place_flows(&mut placement, now, 12, 2);
    assert!(2 * flows[0] <= flows[1], "{flows:?}");
}

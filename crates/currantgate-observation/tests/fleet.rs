//! Merged observations of slow, failing, busy and healthy upstreams.

use std::time::{Duration, Instant};

use currantgate_observation::{
    FleetObservations, FleetSettings, NORMAL_SLOWNESS, Observation, ObservationLog, ReporterId,
    SlowUpstream, UnansweredPackets, UpstreamKey, slowness_changes,
};
use proptest::prelude::*;
use rstest::rstest;

const SUSPECT: UpstreamKey = 1;
const OTHER: UpstreamKey = 2;

/// Interval at which reports are merged.
const TICK: Duration = Duration::from_millis(500);

/// Ticks in a second.
const SECOND: usize = 2;

fn observation(key: UpstreamKey, flows: u16, slowness: f32) -> Observation {
    Observation {
        key,
        flows,
        slowness_sum: slowness * f32::from(flows),
        busy_ms: 0,
    }
}

/// A fleet with ten upstreams that are as fast as usual, besides those of the test.
struct Fleet {
    now: Instant,
    observations: FleetObservations,
}

impl Fleet {
    fn new(settings: FleetSettings) -> Self {
        let now = Instant::now();
        Self {
            now,
            observations: FleetObservations::new(now, settings),
        }
    }

    fn report(&mut self, reporter: ReporterId, observation: Observation) {
        self.observations.record(self.now, reporter, &[observation]);
    }

    /// Reports one flow from each of the first `reporters` entries.
    fn report_from(&mut self, reporters: ReporterId, key: UpstreamKey, slowness: f32) {
        for reporter in 0..reporters {
            self.report(reporter, observation(key, 1, slowness));
        }
    }

    /// Reports first packets to the suspect that were not answered, and returns whether it is
    /// listed as slow a short time later, without a merge.
    fn report_unanswered(&mut self, reporter: ReporterId, count: u8) -> bool {
        let packets = UnansweredPackets {
            key: SUSPECT,
            count,
        };
        self.observations
            .record_unanswered(self.now, reporter, &[packets]);
        self.now += Duration::from_millis(100);
        let slow = self.observations.slow_upstreams(self.now);
        slow.iter().any(|upstream| upstream.key == SUSPECT)
    }

    /// Lets the time until the next merge pass, and returns the slow upstreams.
    fn tick(&mut self) -> Vec<UpstreamKey> {
        for healthy in 10..20 {
            self.report_from(3, healthy, 1.0);
        }
        self.now += TICK;
        let slow = self.observations.slow_upstreams(self.now);
        slow.iter().map(|upstream| upstream.key).collect()
    }
}

#[rstest]
#[case::four_times_as_slow(4.0, 4)]
#[case::failing(8.0, 2)]
fn an_upstream_is_slow_after_a_few_flows_of_several_entries(
    #[case] slowness: f32,
    #[case] flows: u64,
) {
    let mut fleet = Fleet::new(FleetSettings::default());
    fleet.report_from(flows, SUSPECT, slowness);
    assert_eq!(fleet.tick(), [SUSPECT]);
}

#[test]
fn a_single_entry_makes_no_upstream_slow() {
    let mut fleet = Fleet::new(FleetSettings::default());
    for tick in 0..100 {
        fleet.report(1, observation(SUSPECT, 50, 8.0));
        assert_eq!(fleet.tick(), [], "tick {tick}");
    }
}

#[test]
fn one_entry_with_a_bad_link_does_not_outweigh_the_others() {
    let mut fleet = Fleet::new(FleetSettings::default());
    for tick in 0..100 {
        fleet.report(100, observation(OTHER, 1, 8.0));
        fleet.report_from(8, OTHER, 1.0);
        assert_eq!(fleet.tick(), [], "tick {tick}");
    }
}

/// A slow upstream still gets a few flows, by which its recovery is noticed.
#[test]
fn an_upstream_that_has_recovered_is_used_again_within_half_a_minute() {
    let mut fleet = Fleet::new(FleetSettings::default());
    fleet.report_from(10, SUSPECT, 8.0);
    assert_eq!(fleet.tick(), [SUSPECT]);
    for tick in 0..30 * SECOND {
        if tick % (4 * SECOND) == 0 {
            fleet.report_from(1, SUSPECT, 1.0);
        }
        fleet.tick();
    }
    assert_eq!(fleet.tick(), []);
}

#[test]
fn an_upstream_that_stays_slow_is_avoided_as_long_as_flows_show_it() {
    let mut fleet = Fleet::new(FleetSettings::default());
    fleet.report_from(10, SUSPECT, 6.0);
    for tick in 0..300 * SECOND {
        assert_eq!(fleet.tick(), [SUSPECT], "tick {tick}");
        if tick % (6 * SECOND) == 0 {
            fleet.report_from(1, SUSPECT, 6.0);
        }
    }
}

#[test]
fn an_upstream_that_is_as_slow_as_most_is_not_avoided() {
    let mut fleet = Fleet::new(FleetSettings::default());
    for tick in 0..20 * SECOND {
        for key in 100..120 {
            fleet.report_from(4, key, 4.0);
        }
        fleet.report_from(4, SUSPECT, 4.4);
        assert_eq!(fleet.tick(), [], "tick {tick}");
    }
}

/// Flows that wait for others say nothing about how fast their upstream is.
#[test]
fn a_queue_makes_no_upstream_slow() {
    let mut fleet = Fleet::new(FleetSettings::default());
    for tick in 0..100 {
        // 32 flows of 180 ms a second at 2 slots: three are open per slot, so that each
        // takes three times as long as alone.
        for reporter in 0..16 {
            let queued = Observation {
                busy_ms: 90,
                ..observation(OTHER, 1, 3.0)
            };
            fleet.report(reporter, queued);
        }
        assert_eq!(fleet.tick(), [], "tick {tick}");
    }
}

#[test]
fn the_slowest_are_listed_when_there_are_too_many() {
    let mut fleet = Fleet::new(FleetSettings {
        max_listed: 2,
        ..FleetSettings::default()
    });
    let mut slow = Vec::new();
    for _ in 0..20 * SECOND {
        for (key, slowness) in [(1, 5.0), (2, 8.0), (3, 4.0), (4, 7.0)] {
            fleet.report_from(4, key, slowness);
        }
        slow = fleet.tick();
    }
    assert_eq!(slow, [2, 4]);
}

#[test]
fn a_report_holds_the_sums_of_each_upstream_and_is_bounded() {
    let mut log = ObservationLog::default();
    let busy = Duration::from_millis(30);
    log.record(SUSPECT, 4.0, 4 * busy);
    log.record(OTHER, 1.0, Duration::ZERO);
    log.record(SUSPECT, 6.0, 6 * busy);
    let suspect = Observation {
        busy_ms: 300,
        ..observation(SUSPECT, 2, 5.0)
    };
    assert_eq!(log.take(), [suspect, observation(OTHER, 1, 1.0)]);
    assert_eq!(log.take(), []);
    for key in 0..1_000 {
        log.record(key, 1.0, busy);
    }
    assert_eq!(log.take().len(), 32);
}

/// Applies changes as an entry does.
fn apply(known: &mut Vec<SlowUpstream>, changes: &[SlowUpstream]) {
    for change in changes {
        known.retain(|slow| slow.key != change.key);
        if change.slowness > NORMAL_SLOWNESS {
            known.push(*change);
        }
    }
    known.sort_by_key(|slow| slow.key);
}

fn slow_list() -> impl Strategy<Value = Vec<SlowUpstream>> {
    proptest::collection::btree_map(0_u32..20, 2_u8..9, 0..10).prop_map(|slow| {
        let slow = slow.into_iter();
        slow.map(|(key, slowness)| SlowUpstream { key, slowness })
            .collect()
    })
}

proptest! {
    #[test]
    fn an_entry_that_applies_all_changes_knows_what_the_control_vm_knows(
        lists in proptest::collection::vec(slow_list(), 1..10),
    ) {
        let mut known = Vec::new();
        let mut sent = Vec::new();
        for list in lists {
            let changes = slowness_changes(&sent, &list);
            prop_assert_eq!(changes.is_empty(), sent == list);
            apply(&mut known, &changes);
            prop_assert_eq!(&known, &list);
            sent = list;
        }
    }

    /// Whatever entries report, nothing fails, nothing grows without bound, and no
    /// upstream is listed that no two entries found slow.
    #[test]
    fn reports_of_any_content_are_harmless(
        reports in proptest::collection::vec(
            (0_u64..4, 0_u32..8, any::<u16>(), any::<f32>(), any::<u32>(), 0_u64..20_000),
            1..200,
        ),
    ) {
        let settings = FleetSettings { max_upstreams: 5, ..FleetSettings::default() };
        let finding_slowness = settings.finding_slowness;
        let mut fleet = Fleet::new(settings);
        let mut found: Vec<(UpstreamKey, ReporterId)> = Vec::new();
        for (reporter, key, flows, slowness_sum, busy_ms, wait_ms) in reports {
            fleet.now += Duration::from_millis(wait_ms);
            fleet.report(reporter, Observation { key, flows, slowness_sum, busy_ms });
            if f64::from(slowness_sum) / f64::from(flows) >= finding_slowness
                && !found.contains(&(key, reporter))
            {
                found.push((key, reporter));
            }
            let slow = fleet.observations.slow_upstreams(fleet.now);
            prop_assert!(slow.len() <= 5);
            for upstream in slow.iter() {
                let by = found.iter().filter(|(key, _)| *key == upstream.key).count();
                prop_assert!(by >= 2, "{upstream:?} was found by {by}");
            }
        }
    }
}

/// Guards against a fleet that finds no dead upstream when the median one is dead. The
/// default settings find none, as before.
#[rstest]
#[case::default_settings(FleetSettings::default(), 0)]
#[case::with_demand(FleetSettings::with_demand(), 12)]
fn dead_upstreams_are_found_when_half_of_all_are_dead(
    #[case] settings: FleetSettings,
    #[case] expected: usize,
) {
    let mut fleet = Fleet::new(settings);
    let mut slow = Vec::new();
    for _ in 0..2 * SECOND {
        for dead in 100..112 {
            fleet.report_from(3, dead, 8.0);
        }
        slow = fleet.tick();
    }
    assert_eq!(slow.len(), expected, "{slow:?}");
}

/// Guards against flows that are sent to an unresponsive upstream until the next merge, and
/// against one that is avoided although it answers again.
#[test]
fn an_unresponsive_upstream_is_listed_until_answers_are_reported() {
    let mut fleet = Fleet::new(FleetSettings::with_demand());
    fleet.report_from(8, SUSPECT, 1.0);
    assert_eq!(fleet.tick(), []);
    assert!(!fleet.report_unanswered(1, 1));
    assert!(fleet.report_unanswered(2, 1));
    // These flows were answered before the upstream became unresponsive.
    fleet.report_from(8, SUSPECT, 1.0);
    assert_eq!(fleet.tick(), [SUSPECT]);
    fleet.now += Duration::from_millis(600);
    fleet.report_from(2, SUSPECT, 1.0);
    assert_eq!(fleet.tick(), []);
}

/// Guards against upstreams that are avoided for the bad link of one entry, or for single
/// packets that were lost on the network.
#[rstest]
#[case::single_entry(&[1], 20)]
#[case::lost_packets(&[1, 2, 3], 1)]
fn a_few_unanswered_packets_make_no_upstream_slow(
    #[case] reporters: &[ReporterId],
    #[case] count: u8,
) {
    let mut fleet = Fleet::new(FleetSettings::with_demand());
    fleet.report_from(20, SUSPECT, 1.0);
    assert_eq!(fleet.tick(), []);
    for reporter in reporters {
        assert!(!fleet.report_unanswered(*reporter, count));
    }
}

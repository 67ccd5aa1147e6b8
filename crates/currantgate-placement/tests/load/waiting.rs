//! Load tests of flows that wait for a slot at the entry. The bounds are those of
//! `docs/design/overload.md`.

use std::ops::Range;

use crate::simulation::{Policy, Report, Scenario, simulate};

/// Slots of the site of the hard loads.
const SLOTS: f64 = 240.0;

/// Returns the idempotent work in target from the given second on, as a part of what the
/// slots can do that requests which must run once leave.
fn idempotent_goodput(report: &Report, scenario: &Scenario, start: usize) -> f64 {
    let window = start..start + 2;
    let run_once = report.select(|second, _, kind| window.contains(&second) && !kind);
    let run_once_ms = f64::from(run_once.requested) * scenario.site.non_idempotent.work_ms;
    let remaining = SLOTS - run_once_ms / 2_000.0;
    let work_ms: f64 = report.idempotent_work_ms[10 * start..10 * start + 20]
        .iter()
        .sum();
    work_ms / 2_000.0 / remaining
}

/// Returns the flows that entries refused in a range of tenths of a second.
fn refused(report: &Report, tenths: Range<usize>) -> u32 {
    let refusals = report.refusals.iter().take(tenths.end);
    refusals.skip(tenths.start).sum()
}

/// Returns the longest wait that ended from a time on, in milliseconds.
fn longest_wait_ms(report: &Report, from_ms: f64) -> f64 {
    let waits = report
        .waits
        .iter()
        .filter(|(ended_ms, _)| *ended_ms >= from_ms);
    waits.map(|(_, wait_ms)| *wait_ms).fold(0.0, f64::max)
}

/// Returns the part of all flows that entries refused after a wait.
fn refused_after_wait_share(report: &Report) -> f64 {
    f64::from(report.refused_after_wait) / f64::from(report.attempts.max(1))
}

/// Prints what callers get of both kinds of requests.
fn describe(report: &Report) {
    let kinds = [report.non_idempotent, report.idempotent];
    let [once, idempotent] = kinds.map(|k| (k.share_in_target(), k.share_served()));
    let all = report.all();
    // Worth of each response as the users count it: late ones 0.3, run-once ones double.
    let worth = |in_target: f64, served: f64| in_target + 0.3 * (served - in_target);
    let weights = [2.0, 1.0].into_iter().zip(kinds);
    let (sum, most) = weights.fold((0.0, 0.0), |(sum, most), (weight, kind)| {
        let requested = weight * f64::from(kind.requested);
        let part = worth(kind.share_in_target(), kind.share_served());
        (sum + requested * part, most + requested)
    });
    let mean_wait =
        report.waits.iter().map(|(_, wait)| wait).sum::<f64>() / report.waits.len().max(1) as f64;
    println!(
        "worth {:.4}, run once {once:.4?}, idempotent {idempotent:.4?}, never served {}, refused \
         {}, shed {:.4}, after wait {}, waits {} mean {mean_wait:.0} ms longest {:.0} ms",
        sum / most,
        all.requested - all.served,
        all.refused,
        report.shed_share(),
        report.refused_after_wait,
        report.waits.len(),
        longest_wait_ms(report, 0.0),
    );
}

/// Guards against refusals that use up the retries of callers while a wait of a part of
/// their latency target would have been enough, and against waits that take slots from
/// requests in target.
#[test]
fn callers_of_a_hard_burst_are_better_off_with_waiting_flows() {
    let scenario = Scenario::hard_burst();
    let refusing = simulate(&scenario, Policy::DemandWithoutQueue);
    describe(&refusing);
    let report = simulate(&scenario, Policy::Demand);
    describe(&report);
    for start in [4, 5, 10, 11] {
        let run_once = report.select(|s, _, kind| (start..start + 2).contains(&s) && !kind);
        let run_once = run_once.share_in_target();
        assert!(run_once >= 0.97, "{run_once} from second {start}");
    }
    let [before, after] = [&refusing, &report].map(|r| r.all().share_served());
    assert!(
        after > before,
        "{after} of the requests are served, {before} without"
    );
    let refused_late = refused_after_wait_share(&report);
    assert!(
        refused_late <= 0.01,
        "{refused_late} are refused after a wait"
    );
    assert!(!report.waits.is_empty(), "no flow waits");
    for end in [70, 130] {
        let longest = longest_wait_ms(&report, 100.0 * end as f64);
        assert!(longest <= 500.0, "{longest} ms after the load");
        let refused = refused(&report, end + 10..end + 20);
        assert_eq!(refused, 0, "refused from 1 s after the load on");
    }
}

/// Guards against refusals by estimates of a fleet that has slots for nearly all requests, and
/// against short waits that go on since refused callers return.
#[test]
fn a_burst_near_capacity_is_served() {
    let scenario = Scenario::full_burst();
    let [before, after] = [Policy::DemandWithoutQueue, Policy::Demand].map(|policy| {
        let report = simulate(&scenario, policy);
        describe(&report);
        report.select(|second, _, _| (3..13).contains(&second))
    });
    let in_target = after.share_in_target();
    assert!(in_target >= 0.9, "{in_target} in target");
    let [before, after] = [before, after].map(|outcome| outcome.requested - outcome.served);
    assert!(
        after < before,
        "{after} are never served, {before} with refusal on arrival"
    );
}

/// Guards against waits that make retries of idempotent requests miss their target.
#[test]
fn waiting_flows_keep_the_goodput_of_idempotent_requests() {
    let scenario = Scenario::hard_burst();
    let reports =
        [Policy::DemandWithoutQueue, Policy::Demand].map(|policy| simulate(&scenario, policy));
    let starts = [4, 5, 10, 11];
    let [refusing, waiting] = reports
        .each_ref()
        .map(|report| starts.map(|start| idempotent_goodput(report, &scenario, start)));
    println!("from seconds {starts:?}: {waiting:.3?}, {refusing:.3?} with refusal on arrival");
    for (start, goodput) in starts.into_iter().zip(waiting) {
        assert!(goodput >= 0.95, "{goodput} from second {start}");
    }
}

/// Guards against entries that take a burst of their own domain for one of the fleet, and
/// refuse flows while other domains have free slots.
#[test]
fn a_burst_of_one_domain_is_not_refused() {
    for policy in [Policy::DemandWithoutQueue, Policy::Demand] {
        let report = simulate(&Scenario::uneven_domain(), policy);
        describe(&report);
        let refused = refused(&report, 30..40);
        println!("{refused} refusals in the first second");
        if policy == Policy::Demand {
            assert!(refused <= 10, "{refused} refusals in the first second");
        }
    }
}

/// Guards against waits that end in a refusal when upstreams end fewer flows than expected.
#[test]
fn few_flows_of_disturbed_fleets_are_refused_after_a_wait() {
    for scenario in [Scenario::half_dark(), Scenario::uneven_upstreams()] {
        describe(&simulate(&scenario, Policy::DemandWithoutQueue));
        let report = simulate(&scenario, Policy::Demand);
        describe(&report);
        let refused_late = refused_after_wait_share(&report);
        assert!(
            refused_late <= 0.01,
            "{refused_late} are refused after a wait"
        );
        let longest = longest_wait_ms(&report, 9_000.0);
        assert!(longest <= 500.0, "{longest} ms after the load");
    }
}

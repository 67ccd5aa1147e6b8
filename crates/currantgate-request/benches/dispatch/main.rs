//! Waiting time, goodput, retries and duplicated requests of the dispatcher in
//! virtual time, compared with round robin with immediate retries and with least
//! connections.

mod policy;
mod sim;

use std::time::{Duration, Instant};

use policy::{Algorithm, Baseline, DispatcherPolicy, Policy};
use sim::{Behaviour, MEAN_WORK, Report, SLOTS, Scenario, Sim, UPSTREAMS};

/// Minimum goodput at twice the capacity in load, as a share of capacity.
const MIN_GOODPUT: f64 = 0.9;

/// Maximum mean number of attempts for each request that is sent during an outage.
const MAX_ATTEMPTS: f64 = 1.2;

/// Indexes of the faulty upstreams in the runs that measure waiting times: one is
/// permanently slow, one announces more slots than it has, one is slow after its start.
const SLOW: usize = 0;
const OVERSTATED: usize = 1;
const WARMING: usize = 2;

fn main() {
    let mut missed = Vec::new();
    println!("{:<44} | {:>12} | target", "figure", "measured");
    for load in [0.7, 0.95] {
        compare_waits(load, &mut missed);
    }
    measure_overload(&mut missed);
    measure_outage(&mut missed);
    assert!(missed.is_empty(), "bounds broken: {}", missed.join("; "));
}

/// Runs a scenario with the dispatcher and both baselines, in this order.
fn run_all(scenario: &Scenario, warming: Option<usize>) -> Vec<(&'static str, Report)> {
    let start = Instant::now();
    let mut dispatcher = DispatcherPolicy::new(start, warming);
    let mut round_robin = Baseline::new(Algorithm::RoundRobin);
    let mut least_connections = Baseline::new(Algorithm::LeastConnections);
    let policies: [&mut dyn Policy; 3] =
        [&mut dispatcher, &mut round_robin, &mut least_connections];
    policies
        .into_iter()
        .map(|policy| (policy.name(), Sim::new(scenario, start).run(policy)))
        .collect()
}

fn row(figure: &str, measured: &str, target: &str) {
    println!("{figure:<44} | {measured:>12} | {target}");
}

fn compare_waits(load: f64, missed: &mut Vec<String>) {
    let mut upstreams = [Behaviour::default(); UPSTREAMS];
    upstreams[SLOW].slowness = 10.0;
    upstreams[OVERSTATED].slots = 1;
    upstreams[WARMING].slowness = 5.0;
    upstreams[WARMING].slow_until = Duration::from_secs(10);
    let capacity: f64 = upstreams.iter().map(|u| u.slots as f64 / u.slowness).sum();
    let scenario = Scenario {
        upstreams,
        rate: load * capacity / MEAN_WORK.as_secs_f64(),
        duration: Duration::from_secs(10),
        timeout: Duration::from_secs(2),
        outage: None,
        seed: 1,
    };
    let reports = run_all(&scenario, Some(WARMING));
    for (quantile, bounded) in [(0.5, false), (0.99, true)] {
        let percent = quantile * 100.0;
        let wait = |report: &Report| report.wait.value_at_quantile(quantile) as f64 / 1_000.0;
        let best = reports[1..]
            .iter()
            .map(|(_, r)| wait(r))
            .fold(f64::MAX, f64::min);
        for (i, (name, report)) in reports.iter().enumerate() {
            let figure = format!("p{percent} wait, {:.0} % load, {name}", load * 100.0);
            let target = match i {
                0 if bounded => format!("<= {best:.1} ms, the better baseline"),
                0 => "none: compare the baselines".to_string(),
                _ => "baseline".to_string(),
            };
            row(&figure, &format!("{:.1} ms", wait(report)), &target);
        }
        if bounded && wait(&reports[0].1) > best {
            missed.push(format!("p{percent} wait at {load} of capacity"));
        }
    }
}

fn measure_overload(missed: &mut Vec<String>) {
    let capacity = (UPSTREAMS * SLOTS) as f64 / MEAN_WORK.as_secs_f64();
    let scenario = Scenario {
        upstreams: [Behaviour::default(); UPSTREAMS],
        rate: 2.0 * capacity,
        duration: Duration::from_secs(10),
        timeout: Duration::from_millis(250),
        outage: None,
        seed: 2,
    };
    for (i, (name, report)) in run_all(&scenario, None).iter().enumerate() {
        let share = report.goodput / capacity;
        let figure = format!("goodput at 2x overload, {name}");
        let target = if i == 0 {
            ">= 90 % of capacity"
        } else {
            "baseline"
        };
        row(&figure, &format!("{:.1} %", share * 100.0), target);
        if i == 0 && share < MIN_GOODPUT {
            missed.push(figure);
        }
    }
}

fn measure_outage(missed: &mut Vec<String>) {
    let capacity = (UPSTREAMS * SLOTS) as f64 / MEAN_WORK.as_secs_f64();
    let scenario = Scenario {
        upstreams: [Behaviour::default(); UPSTREAMS],
        rate: 0.5 * capacity,
        duration: Duration::from_secs(15),
        timeout: Duration::from_secs(1),
        outage: Some((Duration::from_secs(3), Duration::from_secs(9))),
        seed: 3,
    };
    for (i, (name, report)) in run_all(&scenario, None).iter().enumerate() {
        let target = |text| if i == 0 { text } else { "baseline" };
        let attempts = report.attempts_in_outage;
        let figure = format!("attempts a request in an outage, {name}");
        row(&figure, &format!("{attempts:.2}"), target("<= 1.2"));
        let duplicated = format!("doubled non-repeatable requests, {name}");
        row(&duplicated, &report.duplicated.to_string(), target("0"));
        if i == 0 && attempts > MAX_ATTEMPTS {
            missed.push(figure);
        }
        if i == 0 && report.duplicated > 0 {
            missed.push(duplicated);
        }
    }
}

//! Wait, goodput, retries and doubled requests in virtual time, beside round
//! robin with naive retries and least connections.

mod policy;
mod sim;

use std::time::{Duration, Instant};

use policy::{Baseline, Choice, Ours, Policy};
use sim::{Behaviour, Report, SLOTS, Scenario, Sim, UPSTREAMS, WORK};

/// The least share of capacity that is answered in time at twice the load.
const MIN_GOODPUT: f64 = 0.9;

/// The most attempts of each request that is sent during an outage.
const MAX_ATTEMPTS: f64 = 1.2;

/// Upstreams with a fault of their own in the runs that measure waits.
const SLOW: usize = 0;
const LYING: usize = 1;
const COLD: usize = 2;

fn main() {
    let mut broken = Vec::new();
    println!("{:<44} | {:>12} | target", "figure", "measured");
    for load in [0.7, 0.95] {
        compare_waits(load, &mut broken);
    }
    measure_overload(&mut broken);
    measure_outage(&mut broken);
    assert!(broken.is_empty(), "bounds broken: {}", broken.join("; "));
}

/// Runs a scenario under the dispatcher and both baselines, in this order.
fn run_all(scenario: &Scenario, cold: Option<usize>) -> Vec<(&'static str, Report)> {
    let start = Instant::now();
    let mut ours = Ours::new(start, cold);
    let mut turns = Baseline::new(Choice::RoundRobin);
    let mut least = Baseline::new(Choice::LeastConnections);
    let policies: [&mut dyn Policy; 3] = [&mut ours, &mut turns, &mut least];
    policies
        .into_iter()
        .map(|policy| (policy.name(), Sim::new(scenario, start).run(policy)))
        .collect()
}

fn row(figure: &str, measured: &str, target: &str) {
    println!("{figure:<44} | {measured:>12} | {target}");
}

fn compare_waits(load: f64, broken: &mut Vec<String>) {
    let mut upstreams = [Behaviour::default(); UPSTREAMS];
    upstreams[SLOW].slowness = 10.0;
    upstreams[LYING].slots = 1;
    upstreams[COLD].slowness = 5.0;
    upstreams[COLD].slow_until = Duration::from_secs(10);
    let capacity: f64 = upstreams.iter().map(|u| u.slots as f64 / u.slowness).sum();
    let scenario = Scenario {
        upstreams,
        rate: load * capacity / WORK.as_secs_f64(),
        length: Duration::from_secs(10),
        patience: Duration::from_secs(2),
        outage: None,
        seed: 1,
    };
    let reports = run_all(&scenario, Some(COLD));
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
            broken.push(format!("p{percent} wait at {load} of capacity"));
        }
    }
}

fn measure_overload(broken: &mut Vec<String>) {
    let capacity = (UPSTREAMS * SLOTS) as f64 / WORK.as_secs_f64();
    let scenario = Scenario {
        upstreams: [Behaviour::default(); UPSTREAMS],
        rate: 2.0 * capacity,
        length: Duration::from_secs(10),
        patience: Duration::from_millis(250),
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
            broken.push(figure);
        }
    }
}

fn measure_outage(broken: &mut Vec<String>) {
    let capacity = (UPSTREAMS * SLOTS) as f64 / WORK.as_secs_f64();
    let scenario = Scenario {
        upstreams: [Behaviour::default(); UPSTREAMS],
        rate: 0.5 * capacity,
        length: Duration::from_secs(15),
        patience: Duration::from_secs(1),
        outage: Some((Duration::from_secs(3), Duration::from_secs(9))),
        seed: 3,
    };
    for (i, (name, report)) in run_all(&scenario, None).iter().enumerate() {
        let target = |text| if i == 0 { text } else { "baseline" };
        let attempts = report.attempts_in_outage;
        let figure = format!("attempts a request in an outage, {name}");
        row(&figure, &format!("{attempts:.2}"), target("<= 1.2"));
        let doubled = format!("doubled non-repeatable requests, {name}");
        row(&doubled, &report.doubled.to_string(), target("0"));
        if i == 0 && attempts > MAX_ATTEMPTS {
            broken.push(figure);
        }
        if i == 0 && report.doubled > 0 {
            broken.push(doubled);
        }
    }
}

//! An entry at its own limit, in virtual time.

mod properties;
mod simulation;

use std::ops::Range;
use std::time::{Duration, Instant};

use currantgate_token::{CapacityLimit, CapacityLimitSettings};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use simulation::{PACKET_BYTES, READ_TIME, SEND_TIME, Simulation};

/// 2 Mbit/s, in bytes per second.
const SLOW_LINK: f64 = 250_000.0;
const FAST_LINK: f64 = 1e9;

/// 2.8 Mbit/s, that of the page's entries.
const USUAL_LINK: f64 = 350_000.0;

/// Parts of a core.
const SMALL_CORE: f64 = 0.038;
const WHOLE_CORE: f64 = 1.0;

/// Seconds of the hard load, without the first one, in which the entry has to notice it.
const HARD: Range<f64> = 3.0..8.0;

/// From 2 s after the end of the hard load.
const AFTER: Range<f64> = 10.0..14.0;

/// The page's target for the goodput of an entry at its limit, as a part of what its link or
/// processor carries.
const MIN_GOODPUT: f64 = 0.9;

const LATENCY_TARGET: Duration = Duration::from_millis(500);

/// Plays 20 requests per second, and `hard` ones from second 2 to 8, at an entry with a part
/// of a core and a link.
fn play(part: f64, link: f64, hard: f64, has_detector: bool, seed: u64) -> Simulation {
    let start = Instant::now();
    let limit = CapacityLimit::new(start, CapacityLimitSettings::default());
    let limit = has_detector.then_some((start, limit));
    let mut simulation = Simulation::new(part, link, limit);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut at = 0.0;
    while at < AFTER.end {
        let per_second = if (2.0..8.0).contains(&at) { hard } else { 20.0 };
        at -= (1.0 - rng.random::<f64>()).ln() / per_second;
        simulation.add_request(Duration::from_secs_f64(at));
    }
    simulation.run();
    simulation
}

/// Returns the requests per second that are answered in time within the hard load.
fn goodput(played: &Simulation) -> f64 {
    let answers = played.requests.iter().filter_map(|(at, answered)| {
        let answered = answered.filter(|answered| *answered < *at + LATENCY_TARGET)?;
        HARD.contains(&answered.as_secs_f64()).then_some(())
    });
    answers.count() as f64 / (HARD.end - HARD.start)
}

/// Returns the flows per second that the link or the processor carries, while the latter also
/// reads the first packets that are not taken.
fn capacity(part: f64, link: f64, played: &Simulation) -> f64 {
    let is_not_taken =
        |&&(at, is_taken): &&(Duration, bool)| !is_taken && HARD.contains(&at.as_secs_f64());
    let not_taken = played.first_packets.iter().filter(is_not_taken).count() as f64;
    let read_part = not_taken / (HARD.end - HARD.start) * READ_TIME.as_secs_f64();
    let flow_time = (READ_TIME + SEND_TIME).as_secs_f64() * PACKET_BYTES.len() as f64;
    ((part - read_part) / flow_time).min(link / PACKET_BYTES.iter().sum::<f64>())
}

fn assert_all_served(played: &Simulation, seconds: Range<f64>) {
    for (at, is_taken) in &played.first_packets {
        assert!(*is_taken || !seconds.contains(&at.as_secs_f64()), "{at:?}");
    }
    for (at, answered) in &played.requests {
        let is_in_time = answered.is_some_and(|answered| answered < *at + LATENCY_TARGET);
        assert!(is_in_time || !seconds.contains(&at.as_secs_f64()), "{at:?}");
    }
}

/// Guards against an entry that fills its link with resets and with packets of flows that it
/// can't serve in time, or its processor with packets that have waited too long.
#[rstest]
#[case::link_somewhat_above(WHOLE_CORE, SLOW_LINK, 530.0)]
#[case::link_five_times(WHOLE_CORE, SLOW_LINK, 1_600.0)]
#[case::processor_somewhat_above(SMALL_CORE, FAST_LINK, 530.0)]
#[case::processor_twice(SMALL_CORE, FAST_LINK, 800.0)]
#[case::smallest_entry(SMALL_CORE, USUAL_LINK, 800.0)]
#[case::smallest_entry_more(SMALL_CORE, USUAL_LINK, 1_000.0)]
fn an_entry_at_its_limit_serves_what_it_can(
    #[case] part: f64,
    #[case] link: f64,
    #[case] hard: f64,
    #[values(7, 8, 9)] seed: u64,
) {
    let played = play(part, link, hard, true, seed);
    let goodput = goodput(&played) / capacity(part, link, &played);
    println!("goodput {goodput:.3}");
    assert!(goodput >= MIN_GOODPUT, "{goodput}");
    let max_resets = played.sends as f64 * CapacityLimitSettings::default().resets_per_send;
    assert!((played.resets as f64) <= max_resets, "{}", played.resets);
    assert_all_served(&played, AFTER);
}

/// Guards against a simulated load that an entry could serve without a detector.
#[rstest]
#[case::link(WHOLE_CORE, SLOW_LINK)]
#[case::processor(SMALL_CORE, FAST_LINK)]
fn without_a_detector_goodput_collapses(#[case] part: f64, #[case] link: f64) {
    let played = play(part, link, 530.0, false, 7);
    let goodput = goodput(&played) / capacity(part, link, &played);
    println!("goodput {goodput:.3}");
    assert!(goodput < MIN_GOODPUT, "{goodput}");
}

/// Guards against pauses of the process that look like an overload: at 90 % of what the
/// processor carries, packets wait for a pause of 96 ms in each 100 ms.
#[rstest]
fn pauses_of_the_process_are_no_limit(#[values(7, 8, 9)] seed: u64) {
    let flow_time = (READ_TIME + SEND_TIME).as_secs_f64() * PACKET_BYTES.len() as f64;
    let played = play(
        SMALL_CORE,
        FAST_LINK,
        0.9 * SMALL_CORE / flow_time,
        true,
        seed,
    );
    assert_all_served(&played, 0.0..AFTER.end);
}

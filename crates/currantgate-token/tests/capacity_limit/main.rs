//! An entry at its own limit, in virtual time.

mod properties;
mod simulation;

use std::net::{Ipv4Addr, SocketAddrV4};
use std::ops::Range;
use std::time::{Duration, Instant};

use currantgate_token::{CapacityLimit, CapacityLimitSettings, FirstPacket, FlowId};
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

pub(crate) fn first_packet(caller: u32, retransmissions: u32) -> FirstPacket {
    let flow = FlowId {
        caller: SocketAddrV4::new(caller.into(), 1_024),
        service: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 443),
    };
    FirstPacket {
        flow,
        retransmissions,
    }
}

/// Returns an entry with a part of a core and a link.
fn entry(part: f64, link: f64, has_detector: bool) -> Simulation {
    let start = Instant::now();
    let limit = || CapacityLimit::new(start, CapacityLimitSettings::default());
    Simulation::new(part, link, has_detector.then(|| (start, limit())))
}

/// Plays 20 requests per second, and `hard` ones from second 2 to 8.
fn play(mut played: Simulation, hard: f64, seed: u64) -> Simulation {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut at = 0.0;
    while at < AFTER.end {
        let per_second = if (2.0..8.0).contains(&at) { hard } else { 20.0 };
        at -= (1.0 - rng.random::<f64>()).ln() / per_second;
        played.add_request(Duration::from_secs_f64(at));
    }
    played.run();
    played
}

/// Returns the flows per second that a part of a core carries.
fn processor_capacity(part: f64) -> f64 {
    part / (READ_TIME + SEND_TIME).as_secs_f64() / PACKET_BYTES.len() as f64
}

/// Returns the requests that are answered in time within the hard load, as a part of what the
/// link carries, or the processor while it also reads the first packets that are not taken.
fn goodput(played: &Simulation) -> f64 {
    let is_hard = |at: Duration| HARD.contains(&at.as_secs_f64());
    let answers = played.requests.iter().filter(|(at, answered)| {
        answered.is_some_and(|answered| answered < *at + LATENCY_TARGET && is_hard(answered))
    });
    let not_admitted = played.first_packets.iter();
    let not_admitted = not_admitted.filter(|(at, is_taken)| !is_taken && is_hard(*at));
    let seconds = HARD.end - HARD.start;
    let read_part = not_admitted.count() as f64 / seconds * READ_TIME.as_secs_f64();
    let link_capacity = played.link / PACKET_BYTES.iter().sum::<f64>();
    let capacity = processor_capacity(played.part - read_part).min(link_capacity);
    let goodput = answers.count() as f64 / seconds / capacity;
    println!("goodput {goodput:.3}");
    goodput
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
    let played = play(entry(part, link, true), hard, seed);
    let goodput = goodput(&played);
    assert!(goodput >= MIN_GOODPUT, "{goodput}");
    assert_all_served(&played, AFTER);
}

/// Guards against a simulated load that an entry could serve without a detector.
#[rstest]
#[case::link(WHOLE_CORE, SLOW_LINK)]
#[case::processor(SMALL_CORE, FAST_LINK)]
fn without_a_detector_goodput_collapses(#[case] part: f64, #[case] link: f64) {
    let goodput = goodput(&play(entry(part, link, false), 530.0, 7));
    assert!(goodput < MIN_GOODPUT, "{goodput}");
}

/// Guards against pauses of the process that look like an overload: at 90 % of what the
/// processor carries, packets wait for a pause of 96 ms in each 100 ms; and a longer stop of
/// the process fills the queue for longer than it lasts.
#[rstest]
#[case::slices(SMALL_CORE, 0.9, 0)]
#[case::stop(0.1, 0.7, 300)]
fn pauses_of_the_process_are_no_limit(
    #[case] part: f64,
    #[case] load: f64,
    #[case] stop_ms: u64,
    #[values(7, 8, 9)] seed: u64,
) {
    let mut entry = entry(part, FAST_LINK, true);
    entry.stop = Some((Duration::from_secs(4), Duration::from_millis(stop_ms)));
    let played = play(entry, load * processor_capacity(part), seed);
    assert_all_served(&played, 0.0..AFTER.end);
}

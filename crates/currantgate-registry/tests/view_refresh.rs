//! How often an entry works its view into its routing.

use std::time::{Duration, Instant};

use currantgate_registry::ViewRefreshTimer;
use rstest::rstest;

/// Plays ten seconds with news each `gap`, and returns the rounds and the longest
/// wait of any news.
fn play(upstreams: usize, gap: Duration) -> (u32, Duration) {
    let start = Instant::now();
    let mut pace = ViewRefreshTimer::new(start);
    let (mut rounds, mut longest) = (0, Duration::ZERO);
    let mut waiting_since: Option<Instant> = None;
    let mut next_news = start;
    for ms in 0..10_000 {
        let now = start + Duration::from_millis(ms);
        if now >= next_news {
            next_news = now + gap;
            pace.mark_changed();
            waiting_since.get_or_insert(now);
        }
        if pace.is_due(now) {
            pace.record_refresh(now, upstreams);
            rounds += 1;
            if let Some(since) = waiting_since.take() {
                longest = longest.max(now - since);
            }
        }
    }
    (rounds, longest)
}

/// A round over the upstreams takes about 1 us for each; a hundredth of a core is
/// 100 ms in ten seconds. Drains must be known in 3 s.
#[rstest]
#[case(18)]
#[case(150)]
#[case(3_000)]
#[case(40_000)]
fn a_storm_of_news_leaves_time_for_packets(#[case] upstreams: usize) {
    let (rounds, longest) = play(upstreams, Duration::from_millis(2));
    let work = Duration::from_micros(u64::from(rounds) * upstreams.min(10_000) as u64);
    assert!(
        work <= Duration::from_millis(100),
        "{rounds} rounds take {work:?}"
    );
    assert!(
        longest <= Duration::from_millis(1_500),
        "news waited {longest:?}"
    );
}

/// It may come right after a round that only time asked for.
#[test]
fn a_single_piece_of_news_is_worked_in_within_a_tenth_of_a_second() {
    let (_, longest) = play(150, Duration::from_secs(2));
    assert!(
        longest <= Duration::from_millis(100),
        "news waited {longest:?}"
    );
}

/// Upstreams also fall out of use by time alone.
#[test]
fn without_news_there_is_a_round_some_time() {
    let (rounds, _) = play(150, Duration::from_secs(3_600));
    assert!(rounds >= 10_000 / 1_500, "{rounds} rounds");
}

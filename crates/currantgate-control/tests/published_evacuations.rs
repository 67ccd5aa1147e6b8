//! What a control VM publishes of evacuations, in virtual time.

use std::time::{Duration, Instant};

use currantgate_control::PublishedEvacuations;

fn names(published: &PublishedEvacuations) -> Vec<&str> {
    published.evacuated().map(|(domain, _)| domain).collect()
}

fn returned(published: &PublishedEvacuations, now: Instant) -> Vec<(&str, u64)> {
    let returned = published.returned(now);
    returned
        .map(|(domain, ago)| (domain, ago.as_secs()))
        .collect()
}

/// Guards against upstreams that count as cold for too short after a finish, and against
/// ends that are listed for ever or for a domain that is evacuated again.
#[test]
fn an_end_is_published_for_a_minute_unless_the_domain_is_evacuated_again() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut published = PublishedEvacuations::default();
    assert!(published.update(at(0), 3, ["a", "b"].into_iter()));
    assert!(published.update(at(10), 4, [].into_iter()));
    assert_eq!(returned(&published, at(69)), [("a", 59), ("b", 59)]);
    assert_eq!(returned(&published, at(70)), []);
    assert!(published.update(at(20), 5, ["b"].into_iter()));
    assert_eq!(returned(&published, at(30)), [("a", 20)]);
    // An order that changes nothing does not count as an end.
    assert!(published.update(at(40), 6, ["b"].into_iter()));
    assert_eq!(returned(&published, at(40)), [("a", 30)]);
    assert_eq!(published.evacuated().next(), Some(("b", Some(at(20)))));
}

/// Guards against a control VM that resumes with an old state, or has one on disk, and
/// publishes it again.
#[test]
fn a_lower_revision_is_never_published_again() {
    let now = Instant::now();
    let mut published = PublishedEvacuations::default();
    published.restore(7, ["a"].into_iter());
    let change = published.change();
    published.restore(6, ["b"].into_iter());
    assert!(!published.update(now, 7, [].into_iter()));
    assert!(!published.update(now, 5, ["c"].into_iter()));
    published.add_returned(now, 5, [("a", Duration::ZERO)].into_iter());
    assert_eq!((names(&published), published.change()), (vec!["a"], change));
    assert!(published.update(now, 8, [].into_iter()));
    assert_eq!(returned(&published, now), [("a", 0)]);
}

/// Guards against a VM that has restarted and no longer tells entries that a domain has
/// returned, although another VM does.
#[test]
fn a_restarted_vm_lists_no_ends_until_another_one_tells_it() {
    let now = Instant::now() + Duration::from_secs(100);
    let mut published = PublishedEvacuations::default();
    published.restore(7, [].into_iter());
    assert_eq!(returned(&published, now), []);
    let change = published.change();
    let known = [
        ("a", Duration::from_secs(12)),
        ("b", Duration::from_secs(60)),
    ];
    published.add_returned(now, 7, known.into_iter());
    assert_eq!(returned(&published, now), [("a", 12)]);
    assert!(published.change() > change, "feeds send it");
}

/// Guards against a VM that learns of a start and an end together and keeps the end of the
/// evacuation before, and against two VMs that send each other the same end without end.
#[test]
fn the_later_end_replaces_an_older_one_beyond_the_tolerance() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut published = PublishedEvacuations::default();
    published.update(at(0), 3, ["a"].into_iter());
    published.update(at(10), 4, [].into_iter());
    // Revision 5 evacuates the domain again, revision 6 ends that.
    published.update(at(50), 6, [].into_iter());
    published.add_returned(at(50), 6, [("a", Duration::from_secs(2))].into_iter());
    assert_eq!(returned(&published, at(50)), [("a", 2)]);
    let change = published.change();
    for seconds_ago in [0, 1, 2, 30] {
        let ago = Duration::from_secs(seconds_ago);
        published.add_returned(at(50), 6, [("a", ago)].into_iter());
    }
    assert_eq!(returned(&published, at(50)), [("a", 2)]);
    assert_eq!(published.change(), change, "nothing is sent again");
}

/// Guards against upstreams that are withheld for ever without a quorum.
#[test]
fn upstreams_are_withheld_until_confirmed_or_for_five_seconds() {
    let now = Instant::now();
    let mut published = PublishedEvacuations::default();
    assert!(!published.holds_upstreams(now));
    published.hold_upstreams(now);
    assert!(published.holds_upstreams(now + Duration::from_millis(4_999)));
    assert!(!published.holds_upstreams(now + Duration::from_secs(5)));
    assert!(published.confirm());
    assert!(!published.holds_upstreams(now));
}

//! Lists of slow upstreams of several control VMs, merged.

use currantgate_observation::{NORMAL_SLOWNESS, SlowUpstream, SlownessView};

fn slow(key: u32, slowness: u8) -> SlowUpstream {
    SlowUpstream { key, slowness }
}

fn is_remote(_: u32) -> bool {
    false
}

/// Guards against a lower slowness of one control VM that hides a higher one of another.
#[test]
fn the_highest_slowness_of_all_lists_is_used() {
    let mut view = SlownessView::default();
    assert_eq!(
        view.apply(1, &[slow(7, 3), slow(8, 2)], is_remote),
        [slow(7, 3), slow(8, 2)]
    );
    assert_eq!(
        view.apply(2, &[slow(7, 2), slow(8, 8)], is_remote),
        [slow(8, 8)]
    );
    assert_eq!(
        view.apply(1, &[slow(7, NORMAL_SLOWNESS)], is_remote),
        [slow(7, 2)]
    );
    assert_eq!(
        view.apply(2, &[slow(7, NORMAL_SLOWNESS)], is_remote),
        [slow(7, NORMAL_SLOWNESS)]
    );
}

/// Guards against upstreams that are avoided forever since the control VM that listed them is
/// gone.
#[test]
fn the_list_of_a_lost_control_vm_is_dropped() {
    let mut view = SlownessView::default();
    view.apply(1, &[slow(7, 3), slow(8, 2)], is_remote);
    view.apply(2, &[slow(8, 4), slow(9, 4)], is_remote);
    assert_eq!(view.remove(&1, is_remote), [slow(7, NORMAL_SLOWNESS)]);
    assert_eq!(view.remove(&1, is_remote), []);
    let last = [slow(8, NORMAL_SLOWNESS), slow(9, NORMAL_SLOWNESS)];
    assert_eq!(view.remove(&2, is_remote), last);
}

/// Guards against a domain whose entries avoid all of its upstreams since another domain is cut
/// off from it.
#[test]
fn an_upstream_of_the_own_domain_counts_as_its_collector_lists_it() {
    let is_local = |key| key < 10;
    let mut view = SlownessView::default();
    assert_eq!(view.set_collector(Some(1), is_local), []);
    assert_eq!(
        view.apply(2, &[slow(7, 8), slow(11, 8)], is_local),
        [slow(11, 8)]
    );
    assert_eq!(view.apply(1, &[slow(8, 3)], is_local), [slow(8, 3)]);
    let moved = view.set_collector(Some(2), is_local);
    assert_eq!(moved, [slow(7, 8), slow(8, NORMAL_SLOWNESS)]);
}

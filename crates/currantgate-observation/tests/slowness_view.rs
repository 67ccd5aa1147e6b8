//! Lists of slow upstreams of several control VMs, merged.

use currantgate_observation::{NORMAL_SLOWNESS, SlowUpstream, SlownessView};

fn slow(key: u32, slowness: u8) -> SlowUpstream {
    SlowUpstream { key, slowness }
}

/// Guards against a lower slowness of one control VM that hides a higher one of another.
#[test]
fn the_highest_slowness_of_all_lists_is_used() {
    let mut view = SlownessView::default();
    assert_eq!(
        view.apply(1, &[slow(7, 3), slow(8, 2)]),
        [slow(7, 3), slow(8, 2)]
    );
    assert_eq!(view.apply(2, &[slow(7, 2), slow(8, 8)]), [slow(8, 8)]);
    assert_eq!(view.apply(1, &[slow(7, NORMAL_SLOWNESS)]), [slow(7, 2)]);
    assert_eq!(
        view.apply(2, &[slow(7, NORMAL_SLOWNESS)]),
        [slow(7, NORMAL_SLOWNESS)]
    );
}

/// Guards against upstreams that are avoided forever since the control VM that listed them is
/// gone.
#[test]
fn the_list_of_a_lost_control_vm_is_dropped() {
    let mut view = SlownessView::default();
    view.apply(1, &[slow(7, 3), slow(8, 2)]);
    view.apply(2, &[slow(8, 4), slow(9, 4)]);
    assert_eq!(view.remove(&1), [slow(7, NORMAL_SLOWNESS)]);
    assert_eq!(view.remove(&1), []);
    let last = [slow(8, NORMAL_SLOWNESS), slow(9, NORMAL_SLOWNESS)];
    assert_eq!(view.remove(&2), last);
}

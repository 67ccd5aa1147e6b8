//! The evacuated domains that a receiver of feeds holds.

use std::time::{Duration, Instant};

use currantgate_registry::{EvacuationUpdate, EvacuationView};
use proptest::prelude::*;

fn update(revision: u64, evacuated: &[&str], returned: &[(&str, u64)]) -> EvacuationUpdate {
    EvacuationUpdate {
        revision,
        evacuated: evacuated.iter().map(|d| (*d).into()).collect(),
        returned: returned
            .iter()
            .map(|(d, ms)| ((*d).into(), Duration::from_millis(*ms)))
            .collect(),
    }
}

proptest! {
    /// Guards against a state that an older control VM sends after a reconnect, or that
    /// several control VMs send out of order, replacing a newer one.
    #[test]
    fn the_highest_revision_is_held_whatever_the_order(
        revisions in prop::collection::vec(1_u64..20, 1..40)
    ) {
        let now = Instant::now();
        let mut view = EvacuationView::default();
        for (n, revision) in revisions.iter().enumerate() {
            // The domain stands for the state that belongs to the revision.
            let domain = format!("domain-{revision}");
            let newest = revisions[..=n].iter().max().unwrap();
            let change = view.apply(now, update(*revision, &[&domain], &[]));
            let is_newer = !revisions[..n].iter().any(|earlier| earlier >= revision);
            prop_assert_eq!(change.is_some(), is_newer);
            prop_assert_eq!(view.revision(), *newest);
            let expected = format!("domain-{newest}");
            prop_assert!(view.is_evacuated(&expected));
            prop_assert_eq!(view.evacuated().len(), 1);
        }
    }
}

/// Guards against upstreams that count as warm before flows return to their domain: an
/// entry that learns of the end late must count from then.
#[test]
fn an_end_that_was_seen_counts_from_when_it_was_learned() {
    let now = Instant::now() + Duration::from_secs(100);
    let mut view = EvacuationView::default();
    view.apply(now, update(1, &["a", "b"], &[]));
    let change = view.apply(now, update(2, &["b"], &[("a", 5_000)])).unwrap();
    assert_eq!(change.finished, ["a".into()]);
    assert_eq!(view.returned_at("a"), Some(now));
    assert_eq!(view.returned_at("b"), None);
}

/// Guards against an entry that starts after the end of an evacuation and takes the
/// domain's cold upstreams for warm ones.
#[test]
fn an_end_that_was_not_seen_counts_from_when_control_learned_of_it() {
    let now = Instant::now() + Duration::from_secs(100);
    let mut view = EvacuationView::default();
    view.apply(now, update(2, &[], &[("a", 5_000)]));
    assert_eq!(view.returned_at("a"), Some(now - Duration::from_secs(5)));
    // Another control VM has learned of it later.
    let changes = view.returned_changes();
    assert_eq!(view.apply(now, update(2, &[], &[("a", 3_000)])), None);
    assert_eq!(view.returned_at("a"), Some(now - Duration::from_secs(3)));
    assert_eq!(view.returned_changes(), changes + 1, "routing must change");
    view.apply(now, update(2, &[], &[("a", 4_000)]));
    assert_eq!(view.returned_changes(), changes + 1, "an earlier end");
    view.apply(now, update(3, &["a"], &[]));
    assert_eq!(view.returned_at("a"), None);
}

/// Guards against an end that is ignored since this VM's clock can't represent it.
#[test]
fn an_end_that_cannot_be_represented_counts_as_just_now() {
    let now = Instant::now();
    let mut view = EvacuationView::default();
    let mut state = update(2, &[], &[("a", 0)]);
    state.returned[0].1 = Duration::MAX;
    view.apply(now, state);
    assert_eq!(view.returned_at("a"), Some(now));
}

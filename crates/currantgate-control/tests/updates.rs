//! The updates that a control VM sends for a newer revision.

use std::sync::Arc;

use currantgate_control::{Change, Digest, RecentChanges, RevisionId, Update};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, RngSeed};

fn change(revision: u64, text: &str) -> Arc<Change> {
    Arc::new(Change {
        revision,
        digest: Digest::of(text),
        base: RevisionId::empty(),
        text: text.into(),
    })
}

/// Returns a configuration in the form that operators send: a line of JSON.
fn configuration(routes: u32, timeout_ms: u32) -> String {
    let routes: Vec<_> = (0..routes)
        .map(|n| {
            let timeout = if n == 7 { timeout_ms } else { 1_500 };
            format!(
                r#"{{"name":"r-{n:x}","host":"198.18.{}.{}","path-prefix":"/8080/","kind":"safe","timeout-ms":{timeout},"target-latency-ms":150,"priority":1,"service":"huvo11a","attempts":2}}"#,
                n / 250,
                n % 250,
            )
        })
        .collect();
    format!(r#"{{"version":7,"routes":[{}]}}"#, routes.join(","))
}

/// Guards against updates that are too large for a link of 2 Mbit/s, which
/// transfers 250 kB per second, when feeds time out after 1.5 s. The change of a
/// route must take less than a hundredth of a second, and the complete file of a
/// large site less than half a second.
#[test]
fn an_update_for_a_change_of_one_route_is_small() {
    let before = change(7, &configuration(1_534, 1_500));
    let after = change(8, &configuration(1_534, 900));
    let mut changes = RecentChanges::default();
    changes.publish(Arc::clone(&before));
    changes.publish(Arc::clone(&after));
    let delta = changes.update_from(before.revision_id()).unwrap().pack();
    assert!(delta.len() < 2_500, "{} bytes", delta.len());
    let full = changes.update_from(RevisionId::empty()).unwrap().pack();
    assert!(full.len() < 125_000, "{} bytes", full.len());
    let rebuilt = Update::unpack(&delta).unwrap().rebuild(Some(&before));
    assert_eq!(rebuilt, Some(Arc::clone(&after)));
    let rebuilt = Update::unpack(&full).unwrap().rebuild(None);
    assert_eq!(rebuilt, Some(after));
}

#[test]
fn a_delta_from_another_revision_is_not_applied() {
    let mut changes = RecentChanges::default();
    let before = change(7, "a\nb\n");
    changes.publish(Arc::clone(&before));
    changes.publish(change(8, "a\nc\n"));
    let delta = changes.update_from(before.revision_id()).unwrap();
    assert_eq!(delta.rebuild(Some(&change(7, "another"))), None);
    assert_eq!(delta.rebuild(None), None);
}

#[test]
fn a_subscriber_with_an_old_revision_gets_a_full_update() {
    let mut changes = RecentChanges::default();
    let first = change(1, "file 1");
    changes.publish(Arc::clone(&first));
    for revision in 2..40 {
        changes.publish(change(revision, &format!("file {revision}")));
    }
    let update = changes.update_from(first.revision_id()).unwrap();
    assert!(matches!(*update, Update::Full(_)));
}

#[test]
fn an_older_revision_is_never_published() {
    let mut changes = RecentChanges::default();
    assert!(changes.publish(change(9, "nine")));
    assert!(!changes.publish(change(8, "eight")));
    assert_eq!(changes.newest().revision, 9);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(13),
        ..ProptestConfig::default()
    })]

    #[test]
    fn an_update_between_any_two_texts_results_in_the_new_one(old in "[ab}\\n{,]{0,60}", new in "[ab}\\n{,]{0,60}") {
        let mut changes = RecentChanges::default();
        let (before, after) = (change(1, &old), change(2, &new));
        changes.publish(Arc::clone(&before));
        changes.publish(Arc::clone(&after));
        let packed = changes.update_from(before.revision_id()).unwrap().pack();
        let update = Update::unpack(&packed).unwrap();
        prop_assert_eq!(update.rebuild(Some(&before)), Some(after));
    }

    #[test]
    fn unpacking_any_bytes_never_panics(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = Update::unpack(&bytes);
    }
}

//! Publishers and subscribers: subscribers adopt complete revisions, each newer
//! than the previous one.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use common::fake_disk::FakeDisk;
use currantgate_control::{
    AdoptedFile, Change, Delta, Digest, PUBLISHER_HEARTBEAT_INTERVAL, PUBLISHER_TIMEOUT, Publisher,
    PublisherMessage, PublisherOutput, PublisherSettings, RevisionId, Subscriber,
    SubscriberMessage, SubscriberOutput, SubscriberSettings, Update,
};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, RngSeed};

fn change(previous: Option<&Change>, text: &str) -> Arc<Change> {
    let base = previous.map_or(RevisionId::empty(), Change::revision_id);
    Arc::new(Change {
        revision: base.revision + 1,
        digest: Digest::of(text),
        base,
        text: text.into(),
    })
}

fn subscriber(now: Instant) -> Subscriber {
    let settings = SubscriberSettings {
        name: "entry-1".into(),
        servers: vec![common::net::address(1), common::net::address(2)],
        seed: 7,
    };
    Subscriber::new(settings, None, now)
}

/// Delivers messages in both directions until there are no more. `apply_fault`
/// maps each message of the publisher to the messages that the subscriber gets.
fn exchange(
    now: Instant,
    publisher: &mut Publisher,
    subscriber: &mut Subscriber,
    mut apply_fault: impl FnMut(PublisherMessage) -> Vec<PublisherMessage>,
) {
    loop {
        let mut idle = true;
        while let Some(output) = subscriber.poll_output() {
            if let SubscriberOutput::Send(message) = output {
                publisher.receive(now, 1, message);
                idle = false;
            }
        }
        while let Some(output) = publisher.poll_output() {
            if let PublisherOutput::Send { message, .. } = output {
                for message in apply_fault(message) {
                    subscriber.receive(now, message);
                }
                idle = false;
            }
        }
        if idle {
            return;
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn lost_duplicate_and_late_updates_never_revert_a_subscriber(
        texts in prop::collection::vec("([abü]{0,3}\n){0,6}[ab]?", 1..40),
        faults in prop::collection::vec(0..4_u8, 200),
    ) {
        let now = Instant::now();
        let mut publisher = Publisher::new(PublisherSettings::default(), now);
        let mut subscriber = subscriber(now);
        subscriber.tick(now);
        subscriber.connected(now);
        let mut faults = faults.into_iter();
        let mut late = Vec::new();
        let mut newest: Option<Arc<Change>> = None;
        let mut last_revision = 0;
        for text in &texts {
            let next = change(newest.as_deref(), text);
            publisher.publish(now, Arc::clone(&next));
            newest = Some(next);
            exchange(now, &mut publisher, &mut subscriber, |message| match faults.next() {
                Some(0) => vec![],
                Some(1) => vec![message.clone(), message],
                Some(2) => {
                    late.push(message);
                    if late.len() > 3 { vec![late.remove(0)] } else { vec![] }
                }
                _ => vec![message],
            });
            let have = subscriber.have();
            prop_assert!(have.revision >= last_revision);
            last_revision = have.revision;
            if let Some(adopted) = subscriber.adopted() {
                prop_assert_eq!(&*adopted.text, &texts[adopted.revision as usize - 1]);
            }
        }
        // The next heartbeat makes the subscriber request what was lost, and the
        // rate limit allows a full update again.
        let now = now + PUBLISHER_HEARTBEAT_INTERVAL;
        publisher.tick(now);
        exchange(now, &mut publisher, &mut subscriber, |message| vec![message]);
        prop_assert_eq!(subscriber.have(), publisher.newest());
    }

    #[test]
    fn applying_a_delta_returns_the_new_text(old in "([abü]{0,2}\n){0,9}[ab]?", new in "([abü]{0,2}\n){0,9}[ab]?") {
        prop_assert_eq!(Delta::between(&old, &new).apply(&old), Some(new));
    }
}

#[test]
fn an_update_with_a_wrong_digest_is_requested_again() {
    let now = Instant::now();
    let mut subscriber = subscriber(now);
    let mut forged = Change::clone(&change(None, "right"));
    forged.text = "wrong".into();
    let update = Update::Full(Arc::new(forged));
    subscriber.receive(now, PublisherMessage::Update(Arc::new(update)));
    let have = RevisionId::empty();
    let pull = SubscriberOutput::Send(SubscriberMessage::Pull { have });
    assert_eq!(subscriber.poll_output(), Some(pull));
    assert_eq!(subscriber.adopted(), None);
}

#[test]
fn a_late_full_update_is_not_adopted() {
    let now = Instant::now();
    let mut subscriber = subscriber(now);
    let old = change(None, "old");
    let new = change(Some(&old), "new");
    for change in [Arc::clone(&new), old] {
        let update = Update::Full(change);
        subscriber.receive(now, PublisherMessage::Update(Arc::new(update)));
    }
    assert_eq!(subscriber.have(), new.revision_id());
}

#[test]
fn a_subscriber_switches_to_another_publisher_within_four_seconds() {
    let start = Instant::now();
    let mut subscriber = subscriber(start);
    let mut connects = Vec::new();
    let mut now = start;
    while connects.len() < 2 {
        now = now.max(subscriber.next_deadline());
        subscriber.tick(now);
        while let Some(output) = subscriber.poll_output() {
            if let SubscriberOutput::Connect(server) = output {
                connects.push(server);
                subscriber.connected(now);
            }
        }
    }
    assert_ne!(connects[0], connects[1]);
    let waited = now - start;
    assert!(
        waited >= PUBLISHER_TIMEOUT && waited < Duration::from_secs(4),
        "{waited:?}"
    );
}

#[test]
fn a_crash_at_any_write_leaves_the_old_or_the_new_adopted_file() {
    let old = change(None, "old");
    let new = change(Some(&old), "new");
    for seed in 0..50 {
        for crash_at in 0..4 {
            let disk = FakeDisk::new(seed);
            let mut file = AdoptedFile::new(disk.clone());
            file.save(&old).unwrap();
            disk.crash_at(disk.operations() + crash_at);
            file.save(&new).unwrap_err();
            disk.restart();
            let found = AdoptedFile::new(disk).load().unwrap().unwrap();
            assert!(found == *old || found == *new);
        }
    }
}

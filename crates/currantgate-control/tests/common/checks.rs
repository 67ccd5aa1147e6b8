//! Invariants that must hold at every step.

use std::collections::{BTreeMap, HashMap};

use currantgate_control::{
    ApplyAnswer, ApplyRequest, Change, Command, Entry, EvacuationAction, EvacuationAnswer,
    EvacuationOrder, Evacuations, Freshness, Index, LocalRead, Message, Revision, RevisionId, Term,
};

/// All that was committed and answered, to check the invariants against.
#[derive(Debug, Default)]
pub struct Checks {
    entries: HashMap<Index, Entry>,
    revisions: HashMap<Revision, Change>,
    /// The revision that was accepted on top of each base.
    successors: HashMap<Revision, RevisionId>,
    newest: Revision,
    pub accepted: Vec<(ApplyRequest, Revision)>,
    /// The number of reads that were labelled present.
    pub present_reads: usize,
    /// Whether files have their own versions, which need not be consecutive.
    pub versioned: bool,
    /// The accepted orders by revision, each with the term of its leader.
    accepted_orders: BTreeMap<Index, Term>,
    /// The evacuations at each revision.
    evacuations: HashMap<Index, Evacuations>,
    /// The number of requests with an unknown outcome.
    pub unknown_answers: usize,
}

impl Checks {
    /// Checks that each log index has a single committed value.
    pub fn committed_entry(&mut self, entry: &Entry) {
        let known = self.entries.entry(entry.index).or_insert(entry.clone());
        assert_eq!(known, entry, "two values at index {}", entry.index);
    }

    /// Checks that voters change one at a time: a leader appends a change only
    /// when it knows the previous one to be committed. Changes of earlier leaders
    /// may be sent together, as a new leader learns of the first one's commit
    /// only later.
    pub fn sent_message(&self, message: &Message) {
        if let Message::Append {
            term,
            entries,
            commit,
            ..
        } = message
        {
            let changes = entries.iter().filter(|entry| {
                entry.index > *commit && matches!(entry.command, Command::Members(_))
            });
            let terms: Vec<_> = changes.map(|entry| entry.term).collect();
            assert!(
                terms.len() <= 1 || !terms.contains(term),
                "a leader changes voters twice at once"
            );
        }
    }

    /// Checks that each revision has a single value, based on the previous
    /// revision.
    pub fn committed_change(&mut self, change: &Change) {
        let known = self
            .revisions
            .entry(change.revision)
            .or_insert(change.clone());
        assert_eq!(known, change, "revision {} has two values", change.revision);
        if self.versioned {
            let base = change.base.revision;
            assert!(
                base < change.revision,
                "{} is based on {base}",
                change.revision
            );
        } else {
            assert_eq!(change.base.revision + 1, change.revision);
        }
        self.newest = self.newest.max(change.revision);
    }

    /// Checks that a read labelled present returns the newest accepted revision.
    pub fn read(&mut self, read: &LocalRead) {
        if read.freshness == Freshness::Stale {
            return;
        }
        self.present_reads += 1;
        let revision = read.change.as_ref().map_or(0, |change| change.revision);
        assert!(
            revision >= self.newest,
            "read labelled present is revision {revision}, but {} was accepted",
            self.newest
        );
    }

    /// Checks that at most one change is accepted per base, and that answers are
    /// correct.
    pub fn answer(&mut self, request: &ApplyRequest, answer: &ApplyAnswer) {
        match answer {
            ApplyAnswer::Accepted(revision) => {
                let change = &self.revisions[revision];
                assert_eq!(
                    (change.base, change.digest),
                    (request.base, request.digest())
                );
                let successor = self
                    .successors
                    .insert(request.base.revision, change.revision_id());
                assert_eq!(
                    successor, None,
                    "two changes accepted on top of {:?}",
                    request.base
                );
                self.accepted.push((request.clone(), *revision));
            }
            ApplyAnswer::AlreadyAccepted(revision) => {
                let change = &self.revisions[revision];
                assert_eq!(
                    (change.base, change.digest),
                    (request.base, request.digest())
                );
            }
            ApplyAnswer::Superseded(revision) => {
                assert!(
                    self.revisions.contains_key(revision),
                    "revision {revision} was never committed"
                );
            }
            ApplyAnswer::Conflict(successor) => {
                if successor.revision > 0 {
                    assert_eq!(
                        self.revisions[&successor.revision].revision_id(),
                        *successor
                    );
                }
                assert!(
                    successor.revision > request.base.revision
                        || successor.digest != request.base.digest
                );
            }
            ApplyAnswer::Unknown => self.unknown_answers += 1,
            ApplyAnswer::Refused(_) => {}
        }
    }

    /// Checks that the evacuations at a revision are the same on all VMs.
    pub fn committed_evacuations(&mut self, evacuations: &Evacuations) {
        let revision = evacuations.revision();
        let known = self.evacuations.entry(revision);
        let known = known.or_insert(evacuations.clone());
        assert_eq!(known, evacuations, "evacuations {revision} have two values");
    }

    /// Checks that an accepted order is in force at its revision, and that no other
    /// order has the same one.
    pub fn order_answer(&mut self, order: &EvacuationOrder, answer: EvacuationAnswer, term: Term) {
        let EvacuationAnswer::Accepted(revision) = answer else {
            return;
        };
        let is_evacuated = self.evacuations[&revision].contains(&order.domain);
        assert_eq!(is_evacuated, order.action == EvacuationAction::Start);
        let earlier = self.accepted_orders.insert(revision, term);
        assert_eq!(earlier, None, "two orders have revision {revision}");
    }

    /// Returns the revision of the newest order that was acknowledged in a term before
    /// the given one, or 0 if there is none.
    pub fn newest_acknowledged_before(&self, term: Term) -> Index {
        let orders = self.accepted_orders.iter().rev();
        let mut earlier = orders.filter(|(_, acknowledged)| **acknowledged < term);
        earlier.next().map_or(0, |(revision, _)| *revision)
    }

    /// Returns the revision of the newest acknowledged order up to a commit index, or 0 if
    /// there is none.
    pub fn newest_acknowledged_up_to(&self, commit: Index) -> Index {
        let mut orders = self.accepted_orders.range(..=commit).rev();
        orders.next().map_or(0, |(revision, _)| *revision)
    }

    /// Returns the evacuations after the newest order that was committed anywhere.
    pub fn newest_evacuations(&self) -> Evacuations {
        let newest = self.evacuations.values().max_by_key(|e| e.revision());
        newest.cloned().unwrap_or_default()
    }

    pub fn newest(&self) -> RevisionId {
        self.revisions
            .get(&self.newest)
            .map_or(RevisionId::empty(), Change::revision_id)
    }

    pub fn contains(&self, id: &RevisionId) -> bool {
        self.revisions
            .get(&id.revision)
            .is_some_and(|c| c.digest == id.digest)
    }
}

//! What must hold at every step, whatever happens.

use std::collections::HashMap;

use currantgate_control::{
    ApplyAnswer, ApplyRequest, Change, Command, Entry, Freshness, Index, LocalRead, Message,
    Revision, RevisionId,
};

/// Everything that was ever committed or answered.
#[derive(Debug, Default)]
pub struct Checks {
    entries: HashMap<Index, Entry>,
    revisions: HashMap<Revision, Change>,
    winners: HashMap<Revision, RevisionId>,
    newest: Revision,
    pub accepted: Vec<(ApplyRequest, Revision)>,
    pub presents: usize,
    /// Whether files carry their own versions, which may leave some out.
    pub versioned: bool,
    pub unknowns: usize,
}

impl Checks {
    /// One value per log index.
    pub fn committed_entry(&mut self, entry: &Entry) {
        let known = self.entries.entry(entry.index).or_insert(entry.clone());
        assert_eq!(known, entry, "two values at index {}", entry.index);
    }

    /// Voters change one at a time: a leader that makes a change knows the one
    /// before as committed. Changes of earlier leaders may come together, as a
    /// new leader learns late that the first is committed.
    pub fn sent(&self, message: &Message) {
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

    /// One value per revision, each upon the one before.
    pub fn committed_change(&mut self, change: &Change) {
        let known = self
            .revisions
            .entry(change.revision)
            .or_insert(change.clone());
        assert_eq!(known, change, "revision {} has two values", change.revision);
        if self.versioned {
            let base = change.base.revision;
            assert!(base < change.revision, "{} is upon {base}", change.revision);
        } else {
            assert_eq!(change.base.revision + 1, change.revision);
        }
        self.newest = self.newest.max(change.revision);
    }

    /// A read labelled present is so.
    pub fn read(&mut self, read: &LocalRead) {
        if read.freshness == Freshness::Stale {
            return;
        }
        self.presents += 1;
        let revision = read.change.as_ref().map_or(0, |change| change.revision);
        assert!(
            revision >= self.newest,
            "read labelled present is revision {revision}, but {} was accepted",
            self.newest
        );
    }

    /// One winner per base, and truthful answers.
    pub fn answer(&mut self, request: &ApplyRequest, answer: &ApplyAnswer) {
        match answer {
            ApplyAnswer::Accepted(revision) => {
                let made = &self.revisions[revision];
                assert_eq!((made.base, made.digest), (request.base, request.digest()));
                let winner = self
                    .winners
                    .insert(request.base.revision, made.revision_id());
                assert_eq!(winner, None, "two winners upon {:?}", request.base);
                self.accepted.push((request.clone(), *revision));
            }
            ApplyAnswer::AlreadyAccepted(revision) => {
                let made = &self.revisions[revision];
                assert_eq!((made.base, made.digest), (request.base, request.digest()));
            }
            ApplyAnswer::Superseded(revision) => {
                assert!(
                    self.revisions.contains_key(revision),
                    "{revision} was never made"
                );
            }
            ApplyAnswer::Conflict(winner) => {
                if winner.revision > 0 {
                    assert_eq!(self.revisions[&winner.revision].revision_id(), *winner);
                }
                assert!(
                    winner.revision > request.base.revision || winner.digest != request.base.digest
                );
            }
            ApplyAnswer::Unknown => self.unknowns += 1,
            ApplyAnswer::Refused(_) => {}
        }
    }

    pub fn newest(&self) -> RevisionId {
        self.revisions
            .get(&self.newest)
            .map_or(RevisionId::empty(), Change::revision_id)
    }

    pub fn has(&self, base: &RevisionId) -> bool {
        self.revisions
            .get(&base.revision)
            .is_some_and(|c| c.digest == base.digest)
    }
}

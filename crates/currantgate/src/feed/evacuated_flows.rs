//! The open flows of entries in evacuated failure domains, and their sums over all entries.

use std::collections::BTreeMap;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::status::EvacuationStatus;

/// Open flows of one entry in the evacuated failure domains.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuatedFlows {
    /// Revision of the evacuations that the entry holds. The entry has no open flows in the
    /// domains that are evacuated at this revision and not listed here.
    pub evacuations: u64,
    /// Number of open flows by domain, without the domains that have none.
    pub open: Vec<(Box<str>, u32)>,
}

/// An entry with a feed, with what it has reported on that feed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryFlows {
    /// Name of the entry.
    pub name: Box<str>,
    /// The last report; nothing if there was none, as with entries of earlier builds.
    pub report: Option<EvacuatedFlows>,
}

/// Open flows of all entries in one evacuated failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct OpenFlows {
    /// Name of the domain.
    pub domain: Box<str>,
    /// Sum of the numbers that entries have reported.
    pub flows: u64,
    /// Number of entries that have reported.
    pub reported: usize,
    /// Number of entries with a feed that have not reported. Their flows are unknown.
    pub unknown: usize,
}

impl OpenFlows {
    /// Sums the open flows in the evacuated domains over the entries that all control VMs know,
    /// each of which counts once. Which domains are evacuated is taken from the control VM with
    /// the newest revision.
    ///
    /// A report counts only if it was made at that revision. An earlier one may lack flows that
    /// were placed in a domain between two evacuations of it. The highest number counts where
    /// reports of one entry differ, so that no domain seems empty too early.
    pub fn sum<'a>(
        statuses: impl IntoIterator<Item = &'a EvacuationStatus>,
        entries: impl IntoIterator<Item = &'a EntryFlows>,
    ) -> Vec<Self> {
        let newest = statuses.into_iter().max_by_key(|status| status.revision);
        let Some(newest) = newest else {
            return Vec::new();
        };
        let entries = merge_reports(newest.revision, entries);
        let reports: Vec<_> = entries.values().flatten().collect();
        let domains = newest.evacuated.iter().map(|evacuated| {
            let domain = &evacuated.domain;
            let open = reports.iter().filter_map(|flows| flows.get(&**domain));
            Self {
                domain: domain.clone(),
                flows: open.map(|open| u64::from(*open)).sum(),
                reported: reports.len(),
                unknown: entries.len() - reports.len(),
            }
        });
        domains.collect()
    }
}

/// Returns for each entry the highest number of open flows by domain of its reports at
/// `revision`, or nothing if there is no such report.
fn merge_reports<'a>(
    revision: u64,
    entries: impl IntoIterator<Item = &'a EntryFlows>,
) -> BTreeMap<&'a str, Option<IndexMap<&'a str, u32>>> {
    let mut merged: BTreeMap<&str, Option<IndexMap<&str, u32>>> = BTreeMap::new();
    for entry in entries {
        let flows = merged.entry(&entry.name).or_default();
        let report = entry.report.as_ref();
        let Some(report) = report.filter(|report| report.evacuations == revision) else {
            continue;
        };
        let flows = flows.get_or_insert_default();
        for (domain, open) in &report.open {
            let highest = flows.entry(&**domain).or_default();
            *highest = (*highest).max(*open);
        }
    }
    merged
}

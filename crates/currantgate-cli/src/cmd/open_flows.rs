//! The open flows of evacuated failure domains, summed over all control VMs.

use std::net::SocketAddr;

use currantgate::{ClientError, EntryFlows, EvacuationStatus, OpenFlows};

/// Answers of all control VMs, or why they were not received.
type Answers<T> = [(SocketAddr, Result<T, ClientError>)];

/// Sums what the control VMs that answered know of open flows in evacuated domains.
pub(super) fn sum(
    evacuations: &Answers<EvacuationStatus>,
    flows: &Answers<Vec<EntryFlows>>,
) -> Vec<OpenFlows> {
    let statuses = evacuations.iter().flat_map(|(_, status)| status);
    let entries = flows.iter().flat_map(|(_, entries)| entries).flatten();
    OpenFlows::sum(statuses, entries)
}

/// Prints the open flows of evacuated domains, if there are any such domains, and which
/// control VMs may know further entries.
pub(super) fn print(open_flows: &[OpenFlows], flows: &Answers<Vec<EntryFlows>>) {
    if open_flows.is_empty() {
        return;
    }
    println!();
    println!(
        "{:<21} {:<20} {:>12} {:>8} {:>8}",
        "of all control VMs", "domain", "open flows", "reported", "unknown"
    );
    for open in open_flows {
        println!(
            "{:<21} {:<20} {:>12} {:>8} {:>8}",
            "evacuated", open.domain, open.flows, open.reported, open.unknown
        );
    }
    for (server, flows) in flows {
        if let Err(e) = flows {
            println!("entries that only {server} feeds are not counted: {e}");
        }
    }
}

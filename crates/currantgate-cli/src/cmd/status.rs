//! `currantgate status`: prints the status of each control VM.

use std::net::SocketAddr;

use clap::{ArgMatches, Command};
use currantgate::{ClientError, EvacuationStatus, FleetStatus, NodeStatus};
use currantgate_control::{Freshness, RolloutStatus, VoterSpread};
use serde_json::{Value, json};

use super::{open_flows, operator};
use crate::error::CommandError;

/// Number of hexadecimal digits of a digest in the table.
const DIGEST_DIGITS: usize = 12;

/// Returns the `status` subcommand.
pub(crate) fn make_subcommand() -> Command {
    operator::with_options(
        Command::new("status").about("Prints the status of each control VM, and which VMs lag"),
    )
}

/// Runs the `status` subcommand.
pub(crate) fn execute(matches: &ArgMatches) -> Result<(), CommandError> {
    let client = operator::client(matches)?;
    let (statuses, evacuations, flows, spreads) = operator::run(async {
        tokio::join!(
            client.status(),
            client.evacuations(),
            client.evacuated_flows(),
            client.voter_spread()
        )
    });
    let open_flows = open_flows::sum(&evacuations, &flows);
    if matches.get_flag("json") {
        let mut answers: Vec<_> = statuses.iter().map(to_json).collect();
        for (answer, (_, evacuations)) in answers.iter_mut().zip(&evacuations) {
            answer["evacuations"] = json!(evacuations.as_ref().ok());
            answer["open_flows"] = json!(open_flows);
        }
        for (answer, (_, flows)) in answers.iter_mut().zip(&flows) {
            let error = flows.as_ref().err().map(ClientError::to_string);
            answer["open_flows_error"] = json!(error);
        }
        for (answer, (_, spread)) in answers.iter_mut().zip(&spreads) {
            answer["voter_spread"] = json!(spread.as_ref().ok());
        }
        println!("{}", Value::from(answers));
    } else {
        print_table(&statuses);
        print_voter_spread(&spreads);
        print_evacuations(&evacuations);
        open_flows::print(&open_flows, &flows);
    }
    let is_present = statuses.iter().any(|(_, status)| {
        let consensus = status.as_ref().ok().and_then(|s| s.consensus.as_ref());
        consensus.is_some_and(|c| c.freshness == Freshness::Present)
    });
    if is_present {
        Ok(())
    } else {
        Err(CommandError::NoLeaseHolder)
    }
}

fn to_json((server, status): &(SocketAddr, Result<NodeStatus, ClientError>)) -> Value {
    match status {
        Err(e) => json!({ "server": server, "error": e.to_string() }),
        Ok(status) => json!({
            "server": server,
            "revision": status.accepted.revision,
            "digest": status.accepted.digest.to_string(),
            "consensus": status.consensus.as_ref().map(|c| json!({
                "id": c.id,
                "role": c.role,
                "term": c.term,
                "leader": c.leader,
                "freshness": c.freshness,
                "commit": c.commit,
                "last_index": c.last_index,
                "voters": c.members.ids().collect::<Vec<_>>(),
                "matched": c.matched,
            })),
            "reach": reach_to_json(&status.rollout),
            "subscribers": status.subscribers.iter().map(|(name, reach)| {
                json!({ "name": name, "reach": reach_to_json(reach) })
            }).collect::<Vec<_>>(),
            "fleet": status.fleet,
        }),
    }
}

fn reach_to_json(reach: &RolloutStatus) -> Value {
    json!({ "nodes": reach.nodes, "lowest": reach.lowest, "laggard": reach.laggard })
}

fn print_table(statuses: &[(SocketAddr, Result<NodeStatus, ClientError>)]) {
    println!(
        "{:<21} {:>4} {:<9} {:>5} {:<8} {:>8} {:<12} {:>6} {:>6} laggard",
        "server", "id", "role", "term", "state", "revision", "digest", "nodes", "lowest"
    );
    for (server, status) in statuses {
        match status {
            Ok(status) => print_row(*server, status),
            Err(e) => println!("{e}"),
        }
    }
    for (server, status) in statuses {
        if let Some(fleet) = status.as_ref().ok().and_then(|s| s.fleet.as_ref()) {
            print_fleet(*server, fleet);
        }
    }
}

fn print_fleet(server: SocketAddr, fleet: &FleetStatus) {
    println!();
    println!(
        "{:<21} {:<20} {:<12} {:>8} {:>12} {:>7}",
        "fed by", "listener", "domain", "revision", "heard ms ago", "behind"
    );
    for listener in &fleet.listeners {
        println!(
            "{:<21} {:<20} {:<12} {:>8} {:>12} {:>7}",
            server.to_string(),
            listener.name,
            listener.domain,
            listener.revision,
            listener.heard_ms_ago,
            listener.upstream_changes_behind
        );
    }
    println!();
    println!(
        "{:<21} {:<20} {:>8} {:>8} {:>8}",
        "heard by", "service", "ready", "draining", "silent"
    );
    for service in &fleet.services {
        println!(
            "{:<21} {:<20} {:>8} {:>8} {:>8}",
            server.to_string(),
            service.name,
            service.ready,
            service.draining,
            service.silent
        );
    }
}

/// Prints whether the voters outlast a tolerated loss, as the leader reports it. Control VMs
/// of earlier builds don't know the call, and their table has been printed.
fn print_voter_spread(spreads: &[(SocketAddr, Result<Option<VoterSpread>, ClientError>)]) {
    for (server, spread) in spreads {
        if let Ok(Some(spread)) = spread {
            println!();
            println!("voters, by {server}: {spread}");
        }
    }
}

/// Prints the evacuations on each control VM, unless there never were any, and whose are
/// unknown.
fn print_evacuations(evacuations: &[(SocketAddr, Result<EvacuationStatus, ClientError>)]) {
    for (server, status) in evacuations {
        if let Err(e) = status {
            println!("evacuations on {server} are unknown: {e}");
        }
    }
    let known = evacuations.iter().filter_map(|(server, status)| {
        let status = status.as_ref().ok().filter(|status| status.revision > 0);
        status.map(|status| (server, status))
    });
    for (server, status) in known {
        println!();
        println!(
            "{:<21} {:<20} {:>12}",
            format!("evacuated, {}", status.revision),
            "domain",
            "since s"
        );
        for domain in &status.evacuated {
            // The control VM has no record of the time before its own start.
            let since = domain.since_ms.map(|ms| (ms / 1_000).to_string());
            println!(
                "{:<21} {:<20} {:>12}",
                server.to_string(),
                domain.domain,
                since.unwrap_or_else(|| "its start".into())
            );
        }
        let lagging = status
            .listeners
            .iter()
            .filter(|l| l.revision < status.revision);
        let lagging: Vec<_> = lagging.map(|listener| &*listener.name).collect();
        let listeners = status.listeners.len();
        let held = listeners - lagging.len();
        if lagging.is_empty() {
            println!("held by {held} of {listeners} listeners");
        } else {
            let lagging = lagging.join(", ");
            println!("held by {held} of {listeners} listeners; not by: {lagging}");
        }
    }
}

fn print_row(server: SocketAddr, status: &NodeStatus) {
    let digest = status.accepted.digest.to_string();
    let (id, role, term, state) = match &status.consensus {
        Some(c) => (
            c.id.to_string(),
            c.role.to_string(),
            c.term.to_string(),
            c.freshness.to_string(),
        ),
        None => ("-".into(), "fan-out".into(), "-".into(), "stale".into()),
    };
    println!(
        "{:<21} {id:>4} {role:<9} {term:>5} {state:<8} {:>8} {:<12} {:>6} {:>6} {}",
        server.to_string(),
        status.accepted.revision,
        &digest[..DIGEST_DIGITS],
        status.rollout.nodes,
        status.rollout.lowest,
        status.rollout.laggard
    );
}

//! `currantgate evacuate`: keeps new flows out of a failure domain, or ends that.

use std::collections::{BTreeMap, BTreeSet};

use clap::{Arg, ArgAction, ArgMatches, Command};
use currantgate::{EvacuationStatus, UpstreamSlots};
use currantgate_control::{EvacuationAction, EvacuationOrder};
use serde_json::{Value, json};

use super::operator;
use crate::error::CommandError;

/// Returns the `evacuate` subcommand.
pub(crate) fn make_subcommand() -> Command {
    Command::new("evacuate")
        .about("Keeps new flows out of a failure domain")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(make_action("start", "Keeps new flows out of a domain"))
        .subcommand(make_action("finish", "Lets new flows into a domain again"))
}

fn make_action(name: &'static str, about: &'static str) -> Command {
    operator::with_options(
        Command::new(name)
            .about(about)
            .arg(
                Arg::new("domain")
                    .value_name("DOMAIN")
                    .required(true)
                    .help("The failure domain"),
            )
            .arg(
                Arg::new("dry-run")
                    .long("dry-run")
                    .action(ArgAction::SetTrue)
                    .help("Changes nothing, and prints whether the remaining slots suffice"),
            ),
    )
}

/// Runs the `evacuate` subcommand.
pub(crate) fn execute(matches: &ArgMatches) -> Result<(), CommandError> {
    let (action, matches) = match matches.subcommand() {
        Some(("start", matches)) => (EvacuationAction::Start, matches),
        Some(("finish", matches)) => (EvacuationAction::Finish, matches),
        _ => unreachable!("clap requires one of the two"),
    };
    let domain = matches
        .get_one::<String>("domain")
        .expect("clap requires the domain");
    let order = EvacuationOrder {
        domain: domain.as_str().into(),
        action,
    };
    if matches.get_flag("dry-run") {
        return print_plan(matches, &order);
    }
    let client = operator::client(matches)?;
    let deadline = operator::deadline(matches);
    let revision = operator::run(client.order_evacuation(order, deadline))?;
    if matches.get_flag("json") {
        let answer = json!({
            "domain": domain,
            "action": action.to_string(),
            "revision": revision,
        });
        println!("{answer}");
        return Ok(());
    }
    match action {
        EvacuationAction::Start => println!("{domain} is evacuated, revision {revision}"),
        EvacuationAction::Finish => println!("{domain} gets new flows again, revision {revision}"),
    }
    Ok(())
}

/// The slots of one service without and with an order.
#[derive(Default)]
struct ServicePlan {
    slots_now: u32,
    slots_after: u32,
    /// Average number of slots in use, if entries report it.
    busy: Option<f32>,
}

impl ServicePlan {
    /// Returns whether the remaining slots can carry the present load, if that is known.
    fn suffices(&self) -> Option<bool> {
        self.busy
            .map(|busy| f64::from(busy) <= f64::from(self.slots_after))
    }
}

/// Computes the effect of an order on each service from what all control VMs report.
///
/// # Errors
///
/// Returns an error if no control VM knows of the domain: it may be a typing error.
fn plan_services(
    statuses: &[EvacuationStatus],
    order: &EvacuationOrder,
) -> Result<BTreeMap<Box<str>, ServicePlan>, CommandError> {
    let newest = statuses.iter().max_by_key(|status| status.revision);
    let evacuated = newest.iter().flat_map(|status| &status.evacuated);
    let before: BTreeSet<&str> = evacuated.map(|evacuated| &*evacuated.domain).collect();
    let mut upstreams: BTreeMap<&str, &UpstreamSlots> = BTreeMap::new();
    for reported in statuses.iter().flat_map(|status| &status.slots) {
        let newest = upstreams.entry(&reported.id).or_insert(reported);
        if newest.version < reported.version {
            *newest = reported;
        }
    }
    let has_upstream = upstreams.values().any(|u| u.domain == order.domain);
    if !has_upstream && !before.contains(&*order.domain) {
        return Err(CommandError::NoSuchDomain(order.domain.clone()));
    }
    let mut after = before.clone();
    match order.action {
        EvacuationAction::Start => after.insert(&order.domain),
        EvacuationAction::Finish => after.remove(&*order.domain),
    };
    let mut plans: BTreeMap<Box<str>, ServicePlan> = BTreeMap::new();
    for slots in upstreams.into_values() {
        let plan = plans.entry(slots.service.clone()).or_default();
        let in_use = |domains: &BTreeSet<&str>| !domains.contains(&*slots.domain);
        plan.slots_now += if in_use(&before) { slots.slots } else { 0 };
        plan.slots_after += if in_use(&after) { slots.slots } else { 0 };
    }
    for load in statuses.iter().flat_map(|status| &status.load) {
        let plan = plans.entry(load.service.clone()).or_default();
        *plan.busy.get_or_insert(0.0) += load.busy_slots;
    }
    Ok(plans)
}

fn print_plan(matches: &ArgMatches, order: &EvacuationOrder) -> Result<(), CommandError> {
    let client = operator::client(matches)?;
    let mut statuses = Vec::new();
    let mut missing = 0;
    for (server, status) in operator::run(client.evacuations()) {
        match status {
            Ok(status) => statuses.push(status),
            Err(e) => {
                missing += 1;
                eprintln!("the upstreams that report to {server} are unknown: {e}");
            }
        }
    }
    if missing > 0 {
        return Err(CommandError::PartialData(missing));
    }
    let plans = plan_services(&statuses, order)?;
    if matches.get_flag("json") {
        let plans = plans.iter().map(|(service, plan)| {
            json!({
                "service": service,
                "slots_now": plan.slots_now,
                "slots_after": plan.slots_after,
                "busy": plan.busy,
                "suffices": plan.suffices(),
            })
        });
        println!("{}", Value::from_iter(plans));
        return Ok(());
    }
    println!(
        "{:<20} {:>9} {:>11} {:>8} suffices",
        "service", "slots now", "slots after", "busy"
    );
    for (service, plan) in &plans {
        let busy = plan
            .busy
            .map_or_else(|| "unknown".into(), |b| format!("{b:.1}"));
        let suffices = match plan.suffices() {
            Some(true) => "yes",
            Some(false) => "no",
            None => "unknown",
        };
        println!(
            "{service:<20} {:>9} {:>11} {busy:>8} {suffices}",
            plan.slots_now, plan.slots_after
        );
    }
    Ok(())
}

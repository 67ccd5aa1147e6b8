//! Case 9: an entry whose seeds were all replaced forgets the control VMs that it learnt of
//! while they are out of reach, and never hears of a configuration again.

mod harness;

use std::net::{SocketAddr, SocketAddrV4};
use std::process::ExitCode;
use std::thread;
use std::time::Instant;

use harness::*;

/// Time for which the core is out of reach.
const OUTAGE_MS: u64 = 33_000;

fn main() -> ExitCode {
    // 1: replacements and outage; 0: neither; 2: the replacements only; 3: the outage only.
    let trouble = std::env::var("TROUBLE").unwrap_or_else(|_| "1".into());
    let (has_replacements, has_outage) = (
        trouble == "1" || trouble == "2",
        trouble == "1" || trouble == "3",
    );
    let record = Record::create();
    let net = Net::choose(&record);
    let folder = Folder::create();
    let is_broken = run(&record, net, &folder, has_replacements, has_outage);
    record.line(if is_broken {
        "CONFIG is broken"
    } else {
        "the rule held"
    });
    println!(
        "{}",
        if is_broken {
            "CONFIG is broken"
        } else {
            "the rule held"
        }
    );
    ExitCode::from(u8::from(is_broken))
}

fn run(
    record: &Record,
    net: Net,
    folder: &Folder,
    has_replacements: bool,
    has_outage: bool,
) -> bool {
    let zones = ["a", "b", "c"];
    let seeds: Vec<SocketAddr> = (1..=3).map(|n| net.control_address(n)).collect();
    let mut core: Vec<(u8, Machine)> = (1..=3)
        .map(|n| {
            (
                n,
                Machine::control(net, n, zones[usize::from(n) - 1], &folder.0, record),
            )
        })
        .collect();
    let mut entry = Machine::entry(net, 1, "a", &folder.0, record);
    for machine in core
        .iter_mut()
        .map(|(_, machine)| machine)
        .chain([&mut entry])
    {
        machine.write_settings(&seeds, true);
        machine.start();
    }
    let old = Endpoint::start(record, net, 1, "old-service", "a", seeds.clone());
    let new = Endpoint::start(record, net, 2, "new-service", "a", seeds.clone());
    let client = Client::new(record, net, 1);
    let host = net.ip(8, 1);
    let address = SocketAddrV4::new(host, 8_080);
    let services = ["old-service", "new-service"];
    let first = configuration(3, host, &[(8_080, "old-service")], &services);
    order(record, &seeds, &first);
    wait_until(record, "the entry is not ready", millis(10_000), || {
        entry.is_ready()
    });
    thread::sleep(millis(1_500));
    let answer = client.request(entry.packet_address(), address, "before", millis(1_500));
    if answer != Outcome::Answered("old-service before".into()) {
        cannot_run(record, "the first request is not served");
    }

    // Each core machine is replaced by another one at a new address with an empty disk, which
    // starts first. The settings that are written from now on name the machines in use.
    for n in 1..=3_u8 {
        if !has_replacements {
            thread::sleep(millis(6_000));
            continue;
        }
        let zone = zones[usize::from(n) - 1];
        let in_use = addresses(net, &core);
        let mut successor = Machine::control(net, n + 3, zone, &folder.0, record);
        successor.write_settings(&in_use, false);
        successor.start();
        core.push((n + 3, successor));
        let in_use = addresses(net, &core);
        set_controls(&[&old, &new], &in_use);
        thread::sleep(CATCH_UP + millis(500));
        let (_, mut replaced) = core.remove(0);
        replaced.stop();
        set_controls(&[&old, &new], &addresses(net, &core));
        thread::sleep(millis(500));
    }
    let in_use = addresses(net, &core);
    let answer = client.request(entry.packet_address(), address, "replaced", millis(1_500));
    if answer != Outcome::Answered("old-service replaced".into()) {
        cannot_run(record, "a request after the replacements is not served");
    }

    // All core machines are down for a while, and are back with their disks.
    if has_outage {
        core.iter_mut().for_each(|(_, machine)| machine.kill());
    }
    thread::sleep(millis(OUTAGE_MS));
    if has_outage {
        for (_, machine) in &mut core {
            machine.write_settings(&in_use, false);
            machine.start();
        }
    }
    // The core is stable, and the entry in touch, well before this time has passed.
    thread::sleep(RECOVERY_TIMEOUT);
    let second = configuration(7, host, &[(8_080, "new-service")], &services);
    let acknowledged = order(record, &in_use, &second);
    while acknowledged.elapsed() < CONFIG_PROPAGATION + STABLE_WINDOW {
        thread::sleep(millis(20));
    }
    record.line(&format!("the entry is ready: {}", entry.is_ready()));
    for n in 0..5 {
        client.request(
            entry.packet_address(),
            address,
            &format!("after-{n}"),
            millis(1_500),
        );
    }
    let is_after = |attempt: &&String| attempt.starts_with("after-");
    let by_old = old.runs.lock().unwrap().iter().filter(is_after).count();
    let by_new = new.runs.lock().unwrap().iter().filter(is_after).count();
    let read = operator_call(
        record,
        &in_use,
        "GET",
        "/-/Configuration.Read",
        "",
        Instant::now() + millis(5_000),
    );
    let is_read = read.is_some_and(|read| read.body == second);
    record.line(&format!(
        "of 5 requests, {by_old} ran at the old service and {by_new} at the new one; \
         the new configuration is read back: {is_read}"
    ));
    by_old > 0
}

/// Sends a configuration until it is acknowledged, and returns when it was.
fn order(record: &Record, controls: &[SocketAddr], text: &str) -> Instant {
    let deadline = Instant::now() + millis(12_000);
    let answer = operator_call(
        record,
        controls,
        "POST",
        "/-/Configuration.Replace",
        text,
        deadline,
    );
    match answer {
        Some(answer) if answer.status == 200 => Instant::now(),
        other => cannot_run(
            record,
            &format!("a configuration is not acknowledged: {other:?}"),
        ),
    }
}

fn addresses(net: Net, core: &[(u8, Machine)]) -> Vec<SocketAddr> {
    core.iter().map(|(n, _)| net.control_address(*n)).collect()
}

/// Tells endpoints which core machines there are, as the platform's list does.
fn set_controls(endpoints: &[&Endpoint], in_use: &[SocketAddr]) {
    for endpoint in endpoints {
        *endpoint.controls.lock().unwrap() = in_use.to_vec();
    }
}

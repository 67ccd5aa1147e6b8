//! Case 8: three control machines whose successors run are removed one after the other without
//! notice. The quorum is gone for good.

mod harness;

use std::net::SocketAddr;
use std::process::ExitCode;
use std::thread;
use std::time::Instant;

use harness::*;

/// Time for which the configuration is read after the last removal.
const WATCHED_MS: u64 = 60_000;

fn main() -> ExitCode {
    let has_trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let gap = std::env::var("GAP_MS").map_or(1_500, |ms| ms.parse().expect("a number"));
    let record = Record::create();
    let net = Net::choose(&record);
    let folder = Folder::create();
    let is_broken = run(&record, net, &folder, has_trouble, gap);
    record.line(if is_broken { "CONFIG is broken" } else { "the rule held" });
    println!("{}", if is_broken { "CONFIG is broken" } else { "the rule held" });
    ExitCode::from(u8::from(is_broken))
}

fn run(record: &Record, net: Net, folder: &Folder, has_trouble: bool, gap: u64) -> bool {
    let zones = ["a", "b", "c", "a", "b", "c"];
    let seeds: Vec<SocketAddr> = (1..=3).map(|n| net.control_address(n)).collect();
    let all: Vec<SocketAddr> = (1..=6).map(|n| net.control_address(n)).collect();
    let mut core: Vec<Machine> = (1..=6)
        .map(|n| Machine::control(net, n, zones[usize::from(n) - 1], &folder.0, record))
        .collect();
    let mut entry = Machine::entry(net, 1, "a", &folder.0, record);
    for machine in core[..3].iter_mut().chain([&mut entry]) {
        machine.write_settings(&seeds, true);
        machine.start();
    }
    let host = net.ip(8, 1);
    let text = |version| configuration(version, host, &[(8_080, "booking")], &["booking"]);
    change(record, &seeds, &text(3));

    // A successor of each machine starts, and runs for longer than `catch-up-s`.
    for machine in &mut core[3..] {
        machine.write_settings(&seeds, false);
        machine.start();
    }
    thread::sleep(CATCH_UP + millis(6_000));
    change(record, &all, &text(7));
    thread::sleep(millis(1_000));
    if !is_read(record, &all, &text(7), 2_000) {
        cannot_run(record, "the configuration is not read back before the removals");
    }

    let left = if has_trouble { &all[3..] } else { &all[..] };
    if has_trouble {
        for machine in &mut core[..3] {
            record.line(&format!("{} is removed for good", machine.name));
            machine.kill();
            thread::sleep(millis(gap));
        }
    }
    let started = Instant::now();
    let mut is_back = false;
    while started.elapsed() < millis(WATCHED_MS) && !is_back {
        is_back = is_read(record, left, &text(7), 4_000);
    }
    for machine in &mut core[3..] {
        let is_running = machine.is_running();
        record.line(&format!("{} runs: {is_running}", machine.name));
    }
    let seconds = started.elapsed().as_secs_f64();
    record.line(&format!("the configuration is read back: {is_back}, after {seconds:.1} s"));
    let deadline = Instant::now() + millis(6_000);
    let answer =
        operator_call(record, left, "POST", "/-/Configuration.Replace", &text(9), deadline);
    let status = answer.map_or(0, |answer| answer.status);
    record.line(&format!("a change is answered with {status} (0 for no clear answer)"));
    !is_back
}

/// Sends a configuration until it is acknowledged.
fn change(record: &Record, controls: &[SocketAddr], text: &str) {
    let deadline = Instant::now() + millis(12_000);
    let answer =
        operator_call(record, controls, "POST", "/-/Configuration.Replace", text, deadline);
    if answer.is_none_or(|answer| answer.status != 200) {
        cannot_run(record, "a configuration is not acknowledged");
    }
}

/// Tells whether a read is answered with `text` within `limit` ms.
fn is_read(record: &Record, controls: &[SocketAddr], text: &str, limit: u64) -> bool {
    let deadline = Instant::now() + millis(limit);
    let read = operator_call(record, controls, "GET", "/-/Configuration.Read", "", deadline);
    read.is_some_and(|read| read.status == 200 && read.body == text)
}

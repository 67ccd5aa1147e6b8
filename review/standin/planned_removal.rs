//! Case: two control machines are replaced by planned work, successors first.

#[path = "site.rs"]
mod site;

use std::net::SocketAddr;
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

use site::{Machine, Ports, Record, call, call_followed, fail_to_run};

const REPLACE: &str = "/-/Configuration.Replace";
const READ: &str = "/-/Configuration.Read";

/// Time between the start of the successors and the first removal: `catch-up-s` (4) and
/// `seed-lag-s` (3) and three seconds more.
const SUCCESSORS_UP: Duration = Duration::from_secs(10);

/// Time between the two removals. `PAUSE_S` sets another one.
const PAUSE: Duration = Duration::from_secs(3);

/// Time after the last removal for which the operator asks: far more than
/// `outer-bound-ms` (12,000), `recovery-timeout-s` (12) and `ack-timeout-ms` (5,000) together.
const WATCH: Duration = Duration::from_secs(60);

/// The end of that time, in which the configuration is read back.
const READ_BACK: Duration = Duration::from_secs(10);

fn configuration(version: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-1","host":"198.18.0.1","path-prefix":"/8080/","kind":"unsafe","timeout-ms":1500,"target-latency-ms":150,"priority":1,"service":"board","attempts":2}}],"services":[{{"name":"board","health-check-path":"/health","max-connections":2000,"protocol":"h1","tls":false}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}}}"#
    )
}

/// Sends a configuration to one node after the other until it is acknowledged or the time
/// has passed.
fn replace(record: &mut Record, nodes: &[SocketAddr], version: u64, limit: Duration) -> bool {
    let until = Instant::now() + limit;
    let mut last = String::new();
    loop {
        for node in nodes {
            let answer = call_followed(*node, "POST", REPLACE, &configuration(version));
            let seen = format!("{:?}", answer.as_ref().map(|a| a.status));
            if seen != last {
                record.line(&format!("operator: version {version} to {node}: {seen}"));
                last = seen;
            }
            if answer.is_some_and(|answer| answer.status == 200) {
                return true;
            }
            if Instant::now() >= until {
                return false;
            }
            sleep(Duration::from_millis(100));
        }
    }
}

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(record), Some(folder)) = (args.next(), args.next()) else {
        fail_to_run("usage: planned_removal RECORD FOLDER");
    };
    let is_troubled = std::env::var("TROUBLE").as_deref() != Ok("0");
    let pause = std::env::var("PAUSE_S").ok().and_then(|s| s.parse().ok());
    let pause = pause.map_or(PAUSE, Duration::from_secs);
    let mut record = Record::create(Path::new(&record));
    let folder = Path::new(&folder);
    let ports = Ports::free();
    let zones = ["lhr-a", "lhr-b", "lhr-c"];
    let new = |n: u8, zone| Machine::new(folder, ports, "control", (1, n), zone);
    let mut machines: Vec<_> = (1..).zip(zones).map(|(n, zone)| new(n, zone)).collect();
    let seeds: Vec<_> = machines.iter().map(Machine::control_address).collect();
    for machine in &mut machines {
        machine.start(&seeds, true);
    }
    record.line(&format!("3 control machines are started: {seeds:?}"));
    if !replace(&mut record, &seeds, 7, Duration::from_secs(15)) {
        fail_to_run("the first configuration is not acknowledged");
    }

    // The one that answers itself leads. Its successor and that of another one are in the
    // zones of the machines that they replace.
    let leads = |machine: &Machine| {
        let answer = call(machine.control_address(), "GET", READ, "");
        answer.is_some_and(|answer| answer.status == 200)
    };
    let Some(leader) = machines.iter().position(leads) else {
        fail_to_run("no node answers a read itself");
    };
    let second = (leader + 1) % 3;
    let mut successors = vec![new(4, zones[leader]), new(5, zones[second])];
    for successor in &mut successors {
        successor.start(&seeds, false);
        let (name, address) = (&successor.name, successor.control_address());
        record.line(&format!("{name} at {address} is started with an empty disk"));
    }
    machines.extend(successors);
    let all: Vec<_> = machines.iter().map(Machine::control_address).collect();
    sleep(SUCCESSORS_UP);
    for node in &all {
        let answer = call_followed(*node, "GET", READ, "");
        record.line(&format!("read at {node}: {:?}", answer.map(|a| a.status)));
    }
    if !replace(&mut record, &all, 9, Duration::from_secs(5)) {
        fail_to_run("version 9 is not acknowledged before the disruption");
    }

    let mut left = all.clone();
    if is_troubled {
        if !leads(&machines[leader]) {
            fail_to_run("another node leads by now");
        }
        for (index, pause) in [(leader, pause), (second, Duration::ZERO)] {
            let since = Instant::now();
            let machine = &mut machines[index];
            left.retain(|node| *node != machine.control_address());
            record.line(&format!("{} gets SIGTERM and is removed for good", machine.name));
            let took = machine.stop();
            record.line(&format!("{} has ended after {took:?}", machine.name));
            sleep(pause.saturating_sub(since.elapsed()));
        }
    }

    let since = Instant::now();
    let mut is_acknowledged = false;
    let mut read_back = Vec::new();
    while since.elapsed() < WATCH {
        if !is_acknowledged {
            is_acknowledged = replace(&mut record, &left, 12, Duration::from_secs(2));
        }
        for node in &left {
            let answer = call_followed(*node, "GET", READ, "");
            let status = answer.as_ref().map(|answer| answer.status);
            record.line(&format!("read at {node}: {status:?}"));
            if since.elapsed() >= WATCH - READ_BACK {
                read_back.push(answer.filter(|answer| answer.status == 200));
            }
        }
        sleep(Duration::from_millis(500));
        if is_acknowledged && since.elapsed() > READ_BACK {
            read_back.push(call_followed(left[0], "GET", READ, ""));
            break;
        }
    }
    let alive = machines.iter_mut().filter_map(|m| m.is_running().then(|| m.name.clone()));
    record.line(&format!("still running: {:?}", alive.collect::<Vec<_>>()));
    let newest = if is_acknowledged { 12 } else { 9 };
    let is_read = read_back
        .iter()
        .flatten()
        .any(|answer| answer.body == configuration(newest));
    record.line(&format!(
        "version 12 acknowledged: {is_acknowledged}; the newest acknowledged version, {newest}, \
         is read back: {is_read} ({} reads at the end)",
        read_back.len()
    ));
    let is_held = is_read && is_acknowledged;
    record.line(if is_held { "held" } else { "BROKEN: CONFIG" });
    drop(machines);
    std::process::exit(i32::from(!is_held));
}

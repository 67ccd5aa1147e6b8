//! A control machine that has a successor is removed for good, like one without power: its
//! connections stay open and silent. A second later another control machine loses its disk.

mod common;

use common::*;
use std::path::Path;
use std::time::Duration;

const ZONES: [&str; 4] = ["a", "b", "c", "d"];

fn configuration(version: u64, timeout_ms: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"host\":\"198.18.0.1\",\
         \"path-prefix\":\"/8080/\",\"kind\":\"safe\",\"timeout-ms\":{timeout_ms},\
         \"target-latency-ms\":150,\"priority\":1,\"service\":\"booking\",\"attempts\":2}}],\
         \"services\":[{{\"name\":\"booking\",\"health-check-path\":\"/health\",\
         \"max-connections\":2000,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":262144,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}}}"
    )
}

fn main() {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    let record = Record::create(Path::new(&folder));
    let code = run(&record);
    record.line(&format!("exit {code}"));
    std::process::exit(code);
}

fn run(record: &Record) -> i32 {
    let gap_ms = std::env::var("GAP_MS")
        .ok()
        .and_then(|gap| gap.parse().ok());
    let gap = Duration::from_millis(gap_ms.unwrap_or(1_000));
    let scratch = Scratch::new();
    let net = free_network();
    let mut cores: Vec<_> = (0..3)
        .map(|n| {
            let zone = ZONES[usize::from(n)];
            Machine::new(
                &scratch,
                &format!("core-{zone}-1"),
                ip(net, 10 + n),
                zone,
                true,
            )
        })
        .collect();
    let seeds: Vec<_> = cores.iter().map(Machine::control).collect();
    for core in &mut cores {
        core.start(&seeds, true, &ZONES);
    }
    let v1 = configuration(11, 1500);
    if !replace(
        record,
        &seeds,
        &v1,
        "configuration 11",
        Duration::from_secs(10),
    ) {
        return CANNOT_RUN;
    }
    let mut successor = Machine::new(&scratch, "core-d-1", ip(net, 20), ZONES[3], true);
    successor.start(&seeds, false, &ZONES);
    record.line("core-d-1 is added, with an empty disk");
    std::thread::sleep(Duration::from_secs(11));
    let v2 = configuration(15, 1600);
    if !replace(
        record,
        &seeds,
        &v2,
        "configuration 15",
        Duration::from_secs(10),
    ) {
        return CANNOT_RUN;
    }
    std::thread::sleep(Duration::from_secs(1));
    let mut nodes = seeds.clone();
    nodes.push(successor.control());
    let Some(leader) = find_leader(&nodes, Duration::from_secs(5)) else {
        return CANNOT_RUN;
    };
    record.line(&format!("{leader} leads"));
    let mut others = (0..3).filter(|n| seeds[*n] != leader);
    let (removed, wiped) = (others.next().unwrap(), others.next().unwrap());
    nodes.remove(removed);
    if is_trouble() {
        // It is never continued, and killed at the end of the case.
        cores[removed].signal(SIGSTOP);
        record.line(&format!("{} is removed for good", cores[removed].name));
        std::thread::sleep(gap);
        cores[wiped].kill();
        cores[wiped].lose_disk();
        record.line(&format!("{} loses its disk", cores[wiped].name));
        std::thread::sleep(Duration::from_millis(500));
        cores[wiped].start(&nodes, false, &ZONES);
        record.line(&format!("{} is back with an empty disk", cores[wiped].name));
    }
    // recovery-timeout-s after all are back.
    std::thread::sleep(Duration::from_secs(12));
    let read_back = read(
        record,
        &nodes,
        "read of the configuration",
        Duration::from_secs(20),
    );
    let v3 = configuration(18, 1700);
    let is_changed = replace(
        record,
        &nodes,
        &v3,
        "configuration 18",
        Duration::from_secs(10),
    );
    let is_held = read_back.as_deref() == Some(&*v2);
    record.line(&format!(
        "read back as acknowledged: {is_held}; next change acknowledged: {is_changed}"
    ));
    i32::from(!is_held)
}

//! A control machine is removed for good; its successor loses its disk while another control
//! machine stands still.

mod common;

use common::*;
use std::path::Path;
use std::time::Duration;

const ZONES: [&str; 3] = ["a", "b", "c"];

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
    let is_trouble = is_trouble();
    let scratch = Scratch::new();
    let net = free_network();
    let mut cores: Vec<_> = (0..3)
        .map(|n| {
            let address = ip(net, 10 + n);
            let zone = ZONES[usize::from(n)];
            Machine::new(&scratch, &format!("core-{zone}-1"), address, zone, true)
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
    // Longer than stable-window-ms, so that all machines are in touch.
    std::thread::sleep(Duration::from_secs(5));
    let Some(leader) = find_leader(&seeds, Duration::from_secs(5)) else {
        return CANNOT_RUN;
    };
    let leader = cores.iter().position(|c| c.control() == leader).unwrap();
    let removed = (leader + 1) % 3;
    let frozen = (leader + 2) % 3;
    record.line(&format!("{} leads", cores[leader].name));
    let start = record.seconds();
    let mut nodes = seeds.clone();
    let mut successor = None;
    if is_trouble {
        cores[removed].kill();
        record.line(&format!("{} is removed for good", cores[removed].name));
        record.sleep_until(start + 0.7);
        cores[frozen].signal(SIGSTOP);
        record.line(&format!("{} is frozen", cores[frozen].name));
        record.sleep_until(start + 1.0);
        let zone = ZONES[removed];
        let address = ip(net, 20);
        let mut fresh = Machine::new(&scratch, &format!("core-{zone}-2"), address, zone, true);
        fresh.start(&seeds, false, &ZONES);
        record.line(&format!(
            "{} is added in its place, with an empty disk",
            fresh.name
        ));
        nodes[removed] = fresh.control();
        // catch-up-s after its start, the removed machine has stopped to count.
        record.sleep_until(start + 5.5);
        fresh.kill();
        fresh.lose_disk();
        record.line(&format!("{} loses its disk", fresh.name));
        record.sleep_until(start + 6.5);
        fresh.start(&seeds, false, &ZONES);
        record.line(&format!("{} is back with an empty disk", fresh.name));
        record.sleep_until(start + 7.7);
        cores[frozen].signal(SIGCONT);
        record.line(&format!(
            "{} wakes: all machines are back",
            cores[frozen].name
        ));
        successor = Some(fresh);
    } else {
        record.sleep_until(start + 7.7);
    }
    // recovery-timeout-s after all are back.
    record.sleep_until(start + 7.7 + 12.0);
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
    drop(successor);
    i32::from(!is_held)
}

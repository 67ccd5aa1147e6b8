//! Case 6: a heartbeat of another writer, with a service that no configuration names, takes the
//! endpoint at the same address out of use.

mod harness;

use std::net::{SocketAddr, SocketAddrV4};
use std::process::ExitCode;
use std::thread;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use harness::*;

/// Requests, one each half a second.
const REQUESTS: usize = 80;

fn main() -> ExitCode {
    // 0: none; 1: the addresses of the endpoints; 2: the numbers in their ids, other addresses;
    // 3: their ids and addresses.
    let trouble = std::env::var("TROUBLE").unwrap_or_else(|_| "1".into());
    let record = Record::create();
    let net = Net::choose(&record);
    let folder = Folder::create();
    let is_broken = run(&record, net, &folder, &trouble);
    record.line(if is_broken {
        "Fault: no request is served"
    } else {
        "the rule held"
    });
    println!(
        "{}",
        if is_broken {
            "Fault: no request is served"
        } else {
            "the rule held"
        }
    );
    ExitCode::from(u8::from(is_broken))
}

fn run(record: &Record, net: Net, folder: &Folder, trouble: &str) -> bool {
    let zones = ["a", "b", "c"];
    let seeds: Vec<SocketAddr> = (1..=3).map(|n| net.control_address(n)).collect();
    let mut core: Vec<Machine> = (1..=3)
        .map(|n| Machine::control(net, n, zones[usize::from(n) - 1], &folder.0, record))
        .collect();
    let mut entry = Machine::entry(net, 1, "a", &folder.0, record);
    for machine in core.iter_mut().chain([&mut entry]) {
        machine.write_settings(&seeds, true);
        machine.start();
    }
    let endpoints: Vec<Endpoint> = (1..=3)
        .map(|n| Endpoint::start(record, net, n, "booking", "a", seeds.clone()))
        .collect();
    let client = Client::new(record, net, 1);
    let host = net.ip(8, 1);
    let address = SocketAddrV4::new(host, 8_080);
    let text = configuration(3, host, &[(8_080, "booking")], &["booking"]);
    let deadline = Instant::now() + millis(12_000);
    let answer = operator_call(
        record,
        &seeds,
        "POST",
        "/-/Configuration.Replace",
        &text,
        deadline,
    );
    if answer.is_none_or(|answer| answer.status != 200) {
        cannot_run(record, "the configuration is not acknowledged");
    }
    wait_until(record, "the entry is not ready", millis(10_000), || {
        entry.is_ready()
    });
    thread::sleep(millis(4_000));

    // Another writer reports, once, an instance of a service that is not in the configuration
    // for each address at which an endpoint of `booking` is.
    if trouble != "0" {
        let is_same_address = trouble != "2";
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis();
        // An agent that shares the number of its instance was started an hour before it.
        let born = if is_same_address {
            now
        } else {
            now - 3_600_000
        };
        for n in 1..=3_u8 {
            let body = format!(
                "{{\"service\":\"inventory-agent\",\"address\":\"{}:{}\",\"zone\":\"a\",\
                 \"version\":\"v9\",\"slots\":1,\"state\":\"ready\",\"cold-remaining-ms\":0,\
                 \"sequence\":1,\"born\":{born}}}",
                net.ip(3, if is_same_address { n } else { n + 100 }),
                net.upstream,
            );
            let own_id = &endpoints[usize::from(n) - 1].id;
            let id = match trouble {
                "2" => own_id.replace("i-", "agent-"),
                "3" => own_id.clone(),
                _ => format!("x-00c0ffe{n}"),
            };
            let path = format!("/-/Instances.Heartbeat/{id}");
            let answer = http(seeds[0], "POST", &path, &body, millis(1_000));
            let status = answer.map_or(0, |answer| answer.status);
            record.line(&format!("another writer: POST {path} {body}: {status}"));
        }
    }
    thread::sleep(millis(1_000));
    let mut served = 0;
    for n in 0..REQUESTS {
        let outcome = client.request(
            entry.packet_address(),
            address,
            &format!("r-{n}"),
            millis(1_500),
        );
        served += usize::from(matches!(outcome, Outcome::Answered(_)));
        thread::sleep(millis(500));
    }
    let runs: usize = endpoints.iter().map(|e| e.runs.lock().unwrap().len()).sum();
    for endpoint in &endpoints {
        let acknowledged = *endpoint.acknowledged.lock().unwrap();
        if let Some((at, state, by)) = acknowledged {
            record.line(&format!(
                "endpoint {}: the last `{state}` was acknowledged by {by} {:.1} s ago",
                endpoint.id,
                at.elapsed().as_secs_f64()
            ));
        }
    }
    record.line(&format!(
        "of {REQUESTS} requests, {served} are served and {runs} have run"
    ));
    served == 0
}

//! Case: a heartbeat of another writer, with a field missing and one of another type.

#[path = "flow.rs"]
mod flow;
#[path = "site.rs"]
mod site;

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use flow::{Client, start_endpoint};
use site::{Machine, Ports, Record, call, call_followed, fail_to_run, unix_ms};

const BOOKING: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8_080);
const CALENDAR: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 8_443);

/// Time of traffic before and after the heartbeat of the other writer.
const TRAFFIC: Duration = Duration::from_secs(8);

fn configuration() -> String {
    let route = |name: &str, at: SocketAddrV4, kind: &str| {
        format!(
            r#"{{"name":"{name}","host":"{}","path-prefix":"/{}/","kind":"{kind}","timeout-ms":1500,"target-latency-ms":250,"priority":1,"service":"{name}","attempts":2}}"#,
            at.ip(),
            at.port()
        )
    };
    let service = |name: &str| {
        format!(
            r#"{{"name":"{name}","health-check-path":"/health","max-connections":2000,"protocol":"h1","tls":false}}"#
        )
    };
    format!(
        r#"{{"version":7,"routes":[{},{}],"services":[{},{}],"limits":{{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}}}"#,
        route("booking", BOOKING, "unsafe"),
        route("calendar", CALENDAR, "download"),
        service("booking"),
        service("calendar"),
    )
}

/// Sends an endpoint's heartbeats until the process ends.
fn send_heartbeats(
    id: &'static str,
    service: &'static str,
    address: SocketAddrV4,
    born: u64,
    nodes: Vec<SocketAddr>,
    acknowledged: Arc<AtomicU64>,
) {
    thread::spawn(move || {
        let mut node = 0;
        for sequence in 1_u64.. {
            let body = format!(
                r#"{{"service":"{service}","address":"{address}","zone":"lhr-a","version":"v1","slots":2,"state":"ready","cold-remaining-ms":0,"sequence":{sequence},"born":{born}}}"#
            );
            let path = format!("/-/Instances.Heartbeat/{id}");
            match call(nodes[node % nodes.len()], "POST", &path, &body) {
                Some(answer) if answer.status == 200 => {
                    acknowledged.store(sequence, Ordering::Relaxed);
                    thread::sleep(Duration::from_millis(1_200));
                }
                _ => node += 1,
            }
        }
    });
}

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(record), Some(folder)) = (args.next(), args.next()) else {
        fail_to_run("usage: foreign_heartbeat RECORD FOLDER");
    };
    let is_troubled = std::env::var("TROUBLE").as_deref() != Ok("0");
    let mut record = Record::create(Path::new(&record));
    let folder = Path::new(&folder);
    let ports = Ports::free();
    let zones = ["lhr-a", "lhr-b", "lhr-c"];
    let new = |n: u8, zone| Machine::new(folder, ports, "control", (1, n), zone);
    let mut machines: Vec<_> = (1..).zip(zones).map(|(n, zone)| new(n, zone)).collect();
    let nodes: Vec<_> = machines.iter().map(Machine::control_address).collect();
    machines.push(Machine::new(folder, ports, "entry", (2, 1), zones[0]));
    for machine in &mut machines {
        machine.start(&nodes, true);
    }
    let entry = SocketAddr::from((ports.machine(2, 1), ports.datagram));
    let ready = SocketAddr::from((ports.machine(2, 1), ports.ready));

    let endpoints = [
        ("i-0000000a", "booking", 0xa, SocketAddrV4::new(ports.machine(3, 1), ports.control)),
        ("i-0000000b", "calendar", 0xb, SocketAddrV4::new(ports.machine(3, 2), ports.control)),
    ];
    let born = unix_ms();
    let mut runs = Vec::new();
    let mut acknowledged = Vec::new();
    for (id, service, identity, address) in endpoints {
        match start_endpoint(service, identity, address, ports.datagram) {
            Ok(seen) => runs.push(seen),
            Err(e) => fail_to_run(&format!("endpoint {id}: {e}")),
        }
        let sequence = Arc::new(AtomicU64::new(0));
        acknowledged.push(Arc::clone(&sequence));
        send_heartbeats(id, service, address, born, nodes.clone(), sequence);
        record.line(&format!("endpoint {id} of {service} at {address}, born {born}"));
    }
    let since = Instant::now();
    while call_followed(nodes[0], "POST", "/-/Configuration.Replace", &configuration())
        .is_none_or(|answer| answer.status != 200)
        || call(ready, "GET", "/-/readiness", "").is_none_or(|answer| answer.status != 200)
    {
        if since.elapsed() > Duration::from_secs(20) {
            fail_to_run("the site is not ready after 20 s");
        }
        thread::sleep(Duration::from_millis(100));
    }
    record.line("version 7 is acknowledged and the entry is ready");

    let client = Client::bind(ports.machine(4, 1), ports.datagram);
    let mut client = client.unwrap_or_else(|e| fail_to_run(&format!("client: {e}")));
    let mut number = 0;
    for phase in ["before", "after"] {
        if phase == "after" && is_troubled {
            let (id, _, _, address) = endpoints[0];
            // `version` has another type, and `cold-remaining-ms` is missing.
            let body = format!(
                r#"{{"service":"calendar","address":"{address}","zone":"lhr-a","version":2,"slots":2,"state":"ready","sequence":100000,"born":{born}}}"#
            );
            let answer = call(nodes[1], "POST", &format!("/-/Instances.Heartbeat/{id}"), &body);
            record.line(&format!(
                "another writer's heartbeat for {id}: {body} -> {:?}",
                answer.map(|answer| (answer.status, answer.body))
            ));
        }
        let since = Instant::now();
        while since.elapsed() < TRAFFIC {
            for (service, at) in [("booking", BOOKING), ("calendar", CALENDAR)] {
                number += 1;
                let request = format!("{service} {number}");
                let outcome = client.request(entry, at, &request);
                record.line(&format!("{request} -> {outcome:?}"));
            }
            thread::sleep(Duration::from_millis(40));
        }
    }
    let mut wrong = 0;
    for ((id, service, ..), seen) in endpoints.iter().zip(&runs) {
        let seen = seen.lock().unwrap();
        let foreign = seen.iter().filter(|request| !request.starts_with(service)).count();
        let beats = &acknowledged[usize::from(*service == "calendar")];
        record.line(&format!(
            "endpoint {id} of {service} ran {} requests, {foreign} of another service; its last \
             acknowledged heartbeat has sequence {}",
            seen.len(),
            beats.load(Ordering::Relaxed)
        ));
        wrong += foreign;
    }
    if runs.iter().any(|seen| seen.lock().unwrap().is_empty()) {
        fail_to_run("an endpoint ran nothing");
    }
    record.line(if wrong > 0 { "BROKEN: ROUTE" } else { "held" });
    drop(machines);
    std::process::exit(i32::from(wrong > 0));
}

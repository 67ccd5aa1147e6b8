//! Case: one zone after the other is lost, each within the tolerance of one zone.

#[path = "site.rs"]
mod site;

use std::net::SocketAddr;
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

use site::{Machine, Ports, Record, call_followed, fail_to_run};

const REPLACE: &str = "/-/Configuration.Replace";
const READ: &str = "/-/Configuration.Read";
const ZONES: [&str; 3] = ["lhr-a", "lhr-b", "lhr-c"];

/// Time for which the first zone is lost.
const FIRST_LOSS: Duration = Duration::from_secs(5);

/// Time for which each of the others is lost, less than the longest loss of a zone in the site
/// file (`zone_cut` for 6.2 s).
const LOSS: Duration = Duration::from_millis(6_100);

/// The end of a loss, in which the operator reads the configuration back; longer than
/// `stable-window-ms` (4,000). Before it there is time for an election.
const READ_BACK: Duration = Duration::from_millis(4_200);

/// Time between two losses: `catch-up-s` (4) and `seed-lag-s` (3) and three seconds more.
const PAUSE: Duration = Duration::from_secs(10);

fn configuration(version: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-1","host":"198.18.0.1","path-prefix":"/8080/","kind":"unsafe","timeout-ms":1500,"target-latency-ms":150,"priority":1,"service":"board","attempts":2}}],"services":[{{"name":"board","health-check-path":"/health","max-connections":2000,"protocol":"h1","tls":false}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}}}"#
    )
}

/// What the operator has seen.
#[derive(Default)]
struct Operator {
    version: u64,
    acknowledged: u64,
}

impl Operator {
    /// Sends the next version to one node after the other until it is acknowledged or the time
    /// has passed; the same version is sent again next time if it was not.
    fn replace(&mut self, record: &mut Record, nodes: &[SocketAddr], limit: Duration) -> bool {
        if self.version == self.acknowledged {
            self.version += 2;
        }
        let since = Instant::now();
        let mut last = String::new();
        loop {
            for node in nodes {
                let body = configuration(self.version);
                let answer = call_followed(*node, "POST", REPLACE, &body);
                let seen = format!("{:?}", answer.as_ref().map(|a| a.status));
                if seen != last {
                    let version = self.version;
                    record.line(&format!("operator: version {version} to {node}: {seen}"));
                    last = seen;
                }
                if answer.is_some_and(|answer| answer.status == 200) {
                    self.acknowledged = self.version;
                    return true;
                }
                if since.elapsed() >= limit {
                    return false;
                }
                sleep(Duration::from_millis(100));
            }
        }
    }

    /// Reads at each node; returns whether one returned what was acknowledged last.
    fn read(&self, record: &mut Record, nodes: &[SocketAddr]) -> bool {
        let mut is_read = false;
        for node in nodes {
            let answer = call_followed(*node, "GET", READ, "");
            let status = answer.as_ref().map(|answer| answer.status);
            record.line(&format!("read at {node}: {status:?}"));
            // A version without a clear answer may be in force, too.
            is_read |= answer.filter(|a| a.status == 200).is_some_and(|a| {
                a.body == configuration(self.acknowledged) || a.body == configuration(self.version)
            });
        }
        is_read
    }
}

fn addresses(machines: &[Machine], without: Option<usize>) -> Vec<SocketAddr> {
    let machines = machines.iter().enumerate();
    let kept = machines.filter(|(index, _)| without.is_none_or(|zone| index % 3 != zone));
    kept.map(|(_, machine)| machine.control_address()).collect()
}

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(record), Some(folder)) = (args.next(), args.next()) else {
        fail_to_run("usage: zone_after_zone RECORD FOLDER");
    };
    let is_troubled = std::env::var("TROUBLE").as_deref() != Ok("0");
    let mut record = Record::create(Path::new(&record));
    let folder = Path::new(&folder);
    let ports = Ports::free();
    let mut operator = Operator::default();
    // The site's three core machines, and its spare one of each zone. The zone of a machine
    // is its index modulo 3.
    let new = |index: usize| {
        let zone = ZONES[index % 3];
        Machine::new(folder, ports, "control", (1, index as u8 + 1), zone)
    };
    let mut machines: Vec<_> = (0..3).map(new).collect();
    let seeds = addresses(&machines, None);
    for machine in &mut machines {
        machine.start(&seeds, true);
    }
    if !operator.replace(&mut record, &seeds, Duration::from_secs(15)) {
        fail_to_run("the first configuration is not acknowledged");
    }
    machines.extend((3..6).map(new));
    for machine in &mut machines[3..] {
        machine.start(&seeds, false);
        let (name, address) = (&machine.name, machine.control_address());
        record.line(&format!("{name} at {address} is added with an empty disk"));
    }
    sleep(PAUSE);
    let all = addresses(&machines, None);
    if !operator.replace(&mut record, &all, Duration::from_secs(5))
        || !operator.read(&mut record, &all)
    {
        fail_to_run("the site does not answer before the disruption");
    }

    let mut is_held = true;
    for (zone, loss) in [(0, FIRST_LOSS), (1, LOSS), (2, LOSS)] {
        let left = if is_troubled {
            for machine in machines.iter_mut().skip(zone).step_by(3) {
                record.line(&format!("{} is killed: {} is lost", machine.name, ZONES[zone]));
                machine.kill();
            }
            addresses(&machines, Some(zone))
        } else {
            all.clone()
        };
        let since = Instant::now();
        let mut is_acknowledged = false;
        let mut is_read = false;
        while since.elapsed() < loss {
            is_acknowledged |= operator.replace(&mut record, &left, Duration::from_millis(200));
            if loss == LOSS && since.elapsed() > loss - READ_BACK {
                is_read |= operator.read(&mut record, &left);
            }
            sleep(Duration::from_millis(200));
        }
        if loss == LOSS {
            record.line(&format!(
                "{} was lost for {loss:?}: a new version was acknowledged: {is_acknowledged}, the \
                 configuration was read back in the last {READ_BACK:?}: {is_read}",
                ZONES[zone]
            ));
            is_held &= is_read;
        }
        if !is_held {
            break;
        }
        for machine in machines.iter_mut().skip(zone).step_by(3) {
            if !machine.is_running() {
                machine.start(&seeds, false);
                record.line(&format!("{} is started again with its disk", machine.name));
            }
        }
        sleep(PAUSE);
        if !operator.replace(&mut record, &all, Duration::from_secs(12)) {
            record.line("no new version is acknowledged although all machines are back");
            is_held = false;
            break;
        }
    }
    let alive = machines.iter_mut().filter_map(|m| m.is_running().then(|| m.name.clone()));
    record.line(&format!("still running: {:?}", alive.collect::<Vec<_>>()));
    record.line(if is_held { "held" } else { "BROKEN: CONFIG" });
    drop(machines);
    std::process::exit(i32::from(!is_held));
}

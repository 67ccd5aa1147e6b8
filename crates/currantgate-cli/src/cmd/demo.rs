//! `currantgate demo`: a whole site on loopback, for a few seconds.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use currantgate::{Entry, EntrySockets};
use currantgate_config::{EntryId, EntrySettings, Listen, Peer, Site};
use currantgate_standin::{
    Caller, CallerSettings, Fabric, FabricHandle, FabricSettings, SprayTarget, Tally, Upstream,
    UpstreamSettings,
};

use crate::error::CommandError;

/// The site that the demonstration runs.
const SITE: &str = r#"
domains = ["riga-1", "riga-2", "riga-3", "riga-4"]

[[service]]
name = "booking"
address = "127.20.0.1:443"

[[service]]
name = "calendar"
address = "127.20.0.2:443"
"#;

/// Entries over the site's failure domains.
const ENTRIES: u16 = 8;

/// Upstreams of each service, in the order of the site file.
const UPSTREAMS: [u16; 2] = [15, 5];

/// New flows a second to each service.
const FLOWS_PER_SECOND: [u32; 2] = [400, 150];

/// How long upstreams and entries have to find each other.
const SETTLE: Duration = Duration::from_secs(3);

/// Returns the `demo` subcommand.
pub(crate) fn make_subcommand() -> Command {
    Command::new("demo")
        .about("Runs a whole site on loopback and prints what became of its flows")
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_name("SECONDS")
                .default_value("14")
                .value_parser(value_parser!(u64).range(4..=120))
                .help("How long callers keep opening flows"),
        )
}

/// Runs the `demo` subcommand.
pub(crate) fn execute(matches: &ArgMatches) -> Result<(), CommandError> {
    let seconds = *matches
        .get_one::<u64>("seconds")
        .expect("clap supplies the default");
    actix_rt::System::new().block_on(run(Duration::from_secs(seconds)))
}

async fn run(duration: Duration) -> Result<(), CommandError> {
    let site = Site::parse(SITE, "demo")?;
    let fabric = Fabric::start(FabricSettings {
        seed: 1,
        ..FabricSettings::default()
    })
    .await?;
    let entries = start_entries(&site, &fabric.handle())?;
    let upstreams = start_upstreams(&site, &entries).await?;
    actix_rt::time::sleep(SETTLE).await;

    let callers = start_callers(&site, &fabric.handle(), duration).await?;
    actix_rt::time::sleep(duration / 2).await;
    upstreams[0].drain().await;
    actix_rt::time::sleep(duration / 2).await;

    print_report(&callers, &upstreams, &entries, SETTLE + duration);
    for entry in entries {
        entry.stop().await;
    }
    Ok(())
}

fn start_entries(site: &Site, fabric: &FabricHandle) -> Result<Vec<Entry>, CommandError> {
    let mut bound = Vec::new();
    for id in 1..=ENTRIES {
        let any = SocketAddr::from(([127, 0, 1, id as u8], 0));
        let sockets = EntrySockets::bind(&Listen {
            fabric: any,
            tunnel: any,
            peer: any,
            announce: any,
            metrics: any,
        })?;
        let listen = sockets.addresses()?;
        let domain = &site.domains[usize::from(id - 1) % site.domains.len()];
        bound.push((
            Peer {
                id,
                domain: domain.clone(),
                address: listen.peer,
            },
            listen,
            sockets,
        ));
    }
    let peers: Vec<Peer> = bound.iter().map(|(peer, ..)| peer.clone()).collect();
    let targets = bound.iter().map(|(peer, listen, _)| SprayTarget {
        address: listen.fabric,
        domain: peer.domain.clone(),
        check: None,
    });
    fabric.set_entries(targets.collect());
    bound
        .into_iter()
        .map(|(own, listen, sockets)| {
            let settings = EntrySettings {
                id: own.id,
                domain: own.domain,
                site: "demo".into(),
                control: None,
                data: None,
                listen,
                fabric: fabric.entry_side(),
                peers: others(&peers, own.id),
                budget: Default::default(),
                flow: Default::default(),
            };
            Ok(Entry::start(&settings, site, sockets)?)
        })
        .collect()
}

fn others(peers: &[Peer], id: EntryId) -> Vec<Peer> {
    peers.iter().filter(|p| p.id != id).cloned().collect()
}

async fn start_upstreams(site: &Site, entries: &[Entry]) -> Result<Vec<Upstream>, CommandError> {
    let tunnels: Vec<_> = entries.iter().map(|e| e.addresses().tunnel).collect();
    let mut upstreams = Vec::new();
    for (s, service) in site.services.iter().enumerate() {
        for i in 0..UPSTREAMS[s] {
            let domain = usize::from(i) % site.domains.len();
            let in_domain = entries.iter().skip(domain).step_by(site.domains.len());
            let settings = UpstreamSettings {
                service: service.name.clone(),
                name: format!("{}-{i}", service.name).into(),
                domain: site.domains[domain].clone(),
                service_address: v4(service.address),
                listen: SocketAddrV4::new(Ipv4Addr::new(127, 0, 2, (s as u8) * 100 + i as u8), 0),
                announce: in_domain.map(|e| e.addresses().announce).collect(),
                entries: tunnels.clone(),
                seed: u64::from(i),
                ..UpstreamSettings::default()
            };
            upstreams.push(Upstream::start(settings).await?);
        }
    }
    Ok(upstreams)
}

async fn start_callers(
    site: &Site,
    fabric: &FabricHandle,
    duration: Duration,
) -> Result<Vec<Caller>, CommandError> {
    let mut callers = Vec::new();
    for (s, service) in site.services.iter().enumerate() {
        let settings = CallerSettings {
            ip: Ipv4Addr::new(127, 30, 0, s as u8 + 1),
            fabric: fabric.caller_side(),
            service: service.name.clone(),
            service_address: v4(service.address),
            flows_per_second: FLOWS_PER_SECOND[s],
            flows: FLOWS_PER_SECOND[s] * u32::try_from(duration.as_secs()).unwrap_or(u32::MAX),
            requests: 8,
            pause_ms: 1_000,
            ..CallerSettings::default()
        };
        callers.push(Caller::start(settings).await?);
    }
    Ok(callers)
}

fn v4(address: SocketAddr) -> SocketAddrV4 {
    match address {
        SocketAddr::V4(address) => address,
        SocketAddr::V6(_) => unreachable!("the demonstration's site has IPv4 addresses only"),
    }
}

fn print_report(callers: &[Caller], upstreams: &[Upstream], entries: &[Entry], time: Duration) {
    let mut total = Tally::default();
    for caller in callers {
        total += caller.tally();
    }
    let misrouted: u64 = upstreams.iter().map(Upstream::misrouted).sum();
    println!("flows opened       {:>8}", total.opened);
    println!("flows established  {:>8}", total.established);
    println!("flows finished     {:>8}", total.finished);
    println!("flows refused      {:>8}", total.refused);
    println!("flows broken       {:>8}", total.broken);
    println!("packets misrouted  {:>8}", total.misrouted + misrouted);
    println!();
    println!("upstream           accepted      open");
    for upstream in upstreams {
        println!(
            "{:<16} {:>10} {:>9}",
            upstream.name(),
            upstream.accepted(),
            upstream.open_flows()
        );
    }
    println!();
    println!("entry   control bytes/s");
    for entry in entries {
        let rate = entry.control_bytes() as f64 / time.as_secs_f64();
        println!("{:>5} {rate:>17.0}", entry.id());
    }
}

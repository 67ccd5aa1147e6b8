//! `currantgate run`: serves a small site from one process.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use clap::{Arg, ArgMatches, Command, value_parser};
use currantgate::{Control, ControlClient, ControlError, ControlStart, RelaySockets};
use currantgate_config::{
    ConfigError, ControlKey, ControlServers, ControlSettings, ControlVoter, DispatchSettings,
    Prefix, RelayListen, RelaySettings, Site,
};
use currantgate_control::{ApplyRequest, Change, Freshness, RevisionId};

use super::relay;
use crate::error::CommandError;

/// Default address of the control role.
const DEFAULT_CONTROL_ADDRESS: &str = "127.0.0.1:5570";

/// Id of the only voter.
const VOTER_ID: u64 = 1;

/// Maximum number of concurrent connections to the control role.
const MAX_CONNECTIONS: u32 = 64;

/// Time within which the control role must become ready for changes.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the `run` subcommand.
pub(crate) fn make_subcommand() -> Command {
    Command::new("run")
        .about("Serves a small site from one process")
        .long_about(
            "Serves a small site from one process: a relay on each service's address, \
             announcements from upstreams and, with --data, one control voter. The first \
             start applies the site file as revision 1. From then on the accepted revision \
             is in force, also after restarts: change it with `currantgate apply` and read \
             it with `show` and `status`; the file given here no longer has any effect. \
             Without --data there is no control role: the site file is read at the start, \
             a changed file needs a restart, and nothing is stored on disk.",
        )
        .arg(
            Arg::new("site")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("The site file"),
        )
        .arg(make_address_arg(
            "announce",
            "The address for announcements of upstreams",
        ))
        .arg(make_address_arg("metrics", "The address for metrics"))
        .arg(
            Arg::new("data")
                .long("data")
                .value_name("DIR")
                .value_parser(value_parser!(PathBuf))
                .help("The directory in which accepted revisions are stored"),
        )
        .arg(
            make_address_arg(
                "control",
                "The address for operators' commands such as `apply` and `show`",
            )
            .default_value(DEFAULT_CONTROL_ADDRESS)
            .requires("data"),
        )
}

fn make_address_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("ADDRESS")
        .value_parser(value_parser!(SocketAddr))
        .help(help)
}

/// Runs the `run` subcommand until SIGTERM or SIGINT.
pub(crate) fn execute(matches: &ArgMatches) -> Result<(), CommandError> {
    let file = matches
        .get_one::<PathBuf>("site")
        .expect("clap requires the site file");
    let address = |name| matches.get_one::<SocketAddr>(name).copied();
    let defaults = RelayListen::default();
    let listen = RelayListen {
        announce: address("announce").unwrap_or(defaults.announce),
        metrics: address("metrics").unwrap_or(defaults.metrics),
    };
    match matches.get_one::<PathBuf>("data") {
        None => {
            let site = Site::load(file)?;
            relay::serve(&make_settings(file, listen, &site), &site)
        }
        Some(data) => {
            let control = address("control").expect("the option has a default");
            serve_with_control(file, data, control, listen)
        }
    }
}

fn make_settings(file: &Path, listen: RelayListen, site: &Site) -> RelaySettings {
    RelaySettings {
        domain: site.domains.first().cloned().unwrap_or_default(),
        site: file.into(),
        control: None,
        data: None,
        listen,
        serves: Vec::new(),
        dispatch: DispatchSettings::default(),
    }
}

/// Returns the settings of the only voter. It accepts connections from loopback
/// addresses only, because it has no key.
fn control_settings(data: &Path, listen: SocketAddr) -> ControlSettings {
    let loopback = Box::<str>::from("127.0.0.0/8");
    ControlSettings {
        id: VOTER_ID,
        domain: "local".into(),
        data: data.join("control"),
        listen,
        metrics: None,
        key: ControlKey::default(),
        allow: vec![Prefix::try_from(loopback).expect("the prefix is valid")],
        max_connections: MAX_CONNECTIONS,
        voters: vec![ControlVoter {
            id: VOTER_ID,
            address: listen,
        }],
        fan_out_of: Vec::new(),
    }
}

/// Runs a voter, and a relay that subscribes to it.
fn serve_with_control(
    file: &Path,
    data: &Path,
    address: SocketAddr,
    listen: RelayListen,
) -> Result<(), CommandError> {
    let name = file.display().to_string();
    let text = read_file(file, &name);
    let bind_error = |source| ControlError::Listen { address, source };
    let listener = TcpListener::bind(address).map_err(bind_error)?;
    let address = listener.local_addr().map_err(bind_error)?;
    actix_rt::System::new().block_on(async {
        let settings = control_settings(data, address);
        let control = Control::start(&settings, ControlStart::InitOrResume, listener)?;
        let servers = ControlServers {
            servers: vec![control.address()],
            ..ControlServers::default()
        };
        let site = load_or_apply_site(&servers, text, &name).await?;
        let settings = RelaySettings {
            control: Some(servers),
            data: Some(data.join("relay")),
            ..make_settings(file, listen, &site)
        };
        let sockets = RelaySockets::bind(&settings, &site)?;
        let serving = relay::serve_until_stopped(&settings, &site, sockets);
        tokio::pin!(serving);
        tokio::select! {
            served = &mut serving => return served,
            () = control.wait_for_disk_failure() => {}
        }
        // Forwarding doesn't need the disk, so the relay keeps serving the revision in force.
        log::error!("{}", CommandError::DiskFailed);
        serving.await
    })
}

fn read_file(file: &Path, name: &str) -> Result<String, ConfigError> {
    std::fs::read_to_string(file).map_err(|source| ConfigError::Read {
        file: name.into(),
        source,
    })
}

/// Returns the last accepted site. If there is none, applies the file as the
/// first revision and returns that.
async fn load_or_apply_site(
    servers: &ControlServers,
    text: Result<String, ConfigError>,
    name: &str,
) -> Result<Site, CommandError> {
    let client = ControlClient::new(servers);
    let deadline = Instant::now() + READY_TIMEOUT;
    let shown = client.read_newest(deadline).await?;
    if let Some(change) = shown.read.change {
        warn_if_different(&change, text, name, shown.server);
        let name = format!("revision {}", change.revision);
        return Ok(Site::parse(&change.text, &name)?);
    }
    if shown.read.freshness != Freshness::Present {
        return Err(CommandError::NoLeaseHolder);
    }
    let text = text?;
    let site = Site::parse(&text, name)?;
    let request = ApplyRequest {
        base: RevisionId::empty(),
        text: text.into(),
    };
    let applied = client.apply(request, deadline).await?;
    log::info!("{name} was accepted as revision {}", applied.revision);
    Ok(site)
}

/// Logs a warning if the file differs from the revision in force.
fn warn_if_different(
    change: &Change,
    text: Result<String, ConfigError>,
    name: &str,
    server: SocketAddr,
) {
    let revision = change.revision;
    match text {
        Ok(text) if *text == *change.text => {}
        Ok(_) => log::warn!(
            "{name} differs from revision {revision}, which stays in force: \
             to put the file in force, run `currantgate apply {name} \
             --base {revision} --servers {server}`"
        ),
        Err(e) => log::warn!("{e}; revision {revision} is in force"),
    }
}

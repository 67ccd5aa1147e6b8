//! `currantgate apply`: replaces the accepted site file.

use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command};
use currantgate::{ApplyOutcome, ClientError, ControlClient};
use currantgate_config::{ConfigError, Site};
use currantgate_control::{ApplyRequest, Digest, RevisionId};

use super::operator;
use crate::error::CommandError;

/// Returns the `apply` subcommand.
pub(crate) fn make_subcommand() -> Command {
    operator::with_options(
        Command::new("apply")
            .about("Replaces the whole accepted site file if its revision is still the base")
            .arg(operator::make_file_arg())
            .arg(
                Arg::new("base")
                    .long("base")
                    .value_name("REVISION")
                    .required(true)
                    .value_parser(parse_base)
                    .help(
                        "The revision that the file is based on, as `3` or `3@DIGEST`; 0 for none",
                    ),
            ),
    )
}

/// The base revision, with its digest if the operator gave it.
#[derive(Clone, Copy, Debug)]
struct BaseArg {
    revision: u64,
    digest: Option<Digest>,
}

fn parse_base(text: &str) -> Result<BaseArg, String> {
    let (revision, digest) = text.split_once('@').unwrap_or((text, ""));
    let revision = revision
        .parse()
        .map_err(|_| "must be a number, or a number, `@` and a digest")?;
    let digest = match digest {
        "" => None,
        digest => Some(Digest::parse(digest).ok_or("the digest must be 64 hexadecimal digits")?),
    };
    Ok(BaseArg { revision, digest })
}

/// Runs the `apply` subcommand.
pub(crate) fn execute(matches: &ArgMatches) -> Result<(), CommandError> {
    let file = matches
        .get_one::<PathBuf>("file")
        .expect("clap requires the file");
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|source| ConfigError::Read {
        file: name.as_str().into(),
        source,
    })?;
    Site::parse(&text, &name)?;
    let base = *matches.get_one("base").expect("clap requires the base");
    let client = operator::client(matches)?;
    let deadline = operator::deadline(matches);
    let digest = Digest::of(&text);
    let applied = operator::run(async {
        let base = resolve_base(&client, base).await?;
        let text = text.into();
        client.apply(ApplyRequest { base, text }, deadline).await
    })?;
    print(applied, digest, matches.get_flag("json"));
    Ok(())
}

fn print(
    ApplyOutcome {
        revision,
        is_duplicate,
    }: ApplyOutcome,
    digest: Digest,
    json: bool,
) {
    if json {
        let answer = serde_json::json!({
            "revision": revision,
            "digest": digest.to_string(),
            "already": is_duplicate,
        });
        println!("{answer}");
    } else if is_duplicate {
        println!("revision {revision}@{digest} was accepted already");
    } else {
        println!("revision {revision}@{digest} is accepted");
    }
}

/// Returns the id of the base revision; fetches its digest from the control VMs
/// unless the operator gave it.
async fn resolve_base(client: &ControlClient, base: BaseArg) -> Result<RevisionId, ClientError> {
    match base.digest {
        Some(digest) => Ok(RevisionId {
            revision: base.revision,
            digest,
        }),
        None if base.revision == 0 => Ok(RevisionId::empty()),
        None => client.find_revision(base.revision).await,
    }
}

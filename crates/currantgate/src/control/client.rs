//! Requests of operators to the control VMs.

use std::future::Future;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use currantgate_config::ControlServers;
use currantgate_control::{
    ApplyAnswer, ApplyRequest, Client, FrameReader, FrameWriter, Freshness, LocalRead,
    RefuseReason, ReplaceAnswer, ReplaceRequest, Revision, RevisionId, Secret, TransportError,
};

use super::ClientError;
use super::call::{CALL_PATH, Call, NodeStatus, Reply};

/// How long one control VM may take to answer a change.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// How long one control VM may take to answer a question.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// How long to wait after all control VMs were asked in vain.
const RETRY_WAIT: Duration = Duration::from_millis(200);

/// Requests of operators to the control VMs.
#[derive(Clone, Debug)]
pub struct ControlClient {
    servers: Vec<SocketAddr>,
    secret: Secret,
}

/// What [`ControlClient::read_newest`] found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerRead {
    /// The newest revision that was found, and whether it is the present.
    pub read: LocalRead,
    /// The control VM that gave it.
    pub server: SocketAddr,
}

/// A change that is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ApplyOutcome {
    /// The revision that the change is.
    pub revision: Revision,
    /// Whether it was accepted by an earlier request and not applied again.
    pub is_duplicate: bool,
}

/// What became of a try at one control VM.
enum Tried {
    /// The outcome is known.
    Done(Result<ApplyOutcome, ClientError>),
    /// Nothing happened there; another one may do it.
    Next(Box<str>),
    /// It may have happened.
    Unknown,
}

impl ControlClient {
    /// Talks to the given control VMs.
    pub fn new(servers: &ControlServers) -> Self {
        Self {
            servers: servers.servers.clone(),
            secret: *servers.key.bytes(),
        }
    }

    /// Applies a change, and tries again until `until` while the outcome is
    /// not known: a change that was accepted is not applied twice.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError::OutcomeUnknown`] when the change may have been
    /// accepted, and any other error when it was not and will not be.
    pub async fn apply(
        &self,
        request: ApplyRequest,
        until: Instant,
    ) -> Result<ApplyOutcome, ClientError> {
        let call = Call::Apply(request);
        self.change(&call, until).await
    }

    /// Replaces a lost voter.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError::OutcomeUnknown`] when the replacement is under
    /// way; asking again carries on.
    pub async fn replace(
        &self,
        request: ReplaceRequest,
        until: Instant,
    ) -> Result<(), ClientError> {
        let call = Call::Replace(request);
        self.change(&call, until).await.map(|_| ())
    }

    async fn change(&self, call: &Call, until: Instant) -> Result<ApplyOutcome, ClientError> {
        let mut unknown = false;
        let mut why: Box<str> = "no control VM was asked".into();
        loop {
            for server in &self.servers {
                if Instant::now() >= until {
                    return Err(if unknown {
                        ClientError::OutcomeUnknown
                    } else {
                        ClientError::NoQuorum(why)
                    });
                }
                match self.try_change(*server, call).await {
                    Tried::Done(result) => return result,
                    Tried::Next(reason) => why = format!("{server}: {reason}").into(),
                    Tried::Unknown => unknown = true,
                }
            }
            actix_rt::time::sleep(RETRY_WAIT).await;
        }
    }

    async fn try_change(&self, server: SocketAddr, call: &Call) -> Tried {
        // Before the stream is open nothing was sent, so nothing can happen.
        let opening = async {
            let client = Client::connect(server, self.secret).await?;
            let stream = client.open(CALL_PATH).await?;
            Ok::<_, TransportError>((client, stream))
        };
        let (_client, (writer, reader)) = match within(READ_TIMEOUT, opening).await {
            Ok(opened) => opened,
            Err(e) => return Tried::Next(e.to_string().into()),
        };
        match within(CALL_TIMEOUT, exchange(writer, reader, call)).await {
            Ok(reply) => judge(reply),
            Err(e) => {
                log::warn!("{server}: {e}");
                Tried::Unknown
            }
        }
    }

    /// Reads the accepted site file: the present one if a control VM that can
    /// tell is found before `until`, else the newest that any of them knows.
    ///
    /// # Errors
    ///
    /// Returns an error when no control VM answers.
    pub async fn read_newest(&self, until: Instant) -> Result<ServerRead, ClientError> {
        let mut newest: Option<ServerRead> = None;
        let mut error = None;
        loop {
            for server in &self.servers {
                match self.ask(*server, &Call::Read).await {
                    Ok(Reply::Read(read)) => {
                        let found = ServerRead {
                            read,
                            server: *server,
                        };
                        if found.read.freshness == Freshness::Present {
                            return Ok(found);
                        }
                        if newest
                            .as_ref()
                            .is_none_or(|n| revision(n) < revision(&found))
                        {
                            newest = Some(found);
                        }
                    }
                    Ok(_) => {}
                    Err(e) => error = Some(e),
                }
            }
            if Instant::now() >= until {
                let none = || ClientError::NoQuorum("no control VM answers".into());
                return newest.ok_or_else(|| error.unwrap_or_else(none));
            }
            actix_rt::time::sleep(RETRY_WAIT).await;
        }
    }

    /// Returns revision and digest of a revision, for [`ApplyRequest::base`].
    ///
    /// # Errors
    ///
    /// Returns an error when no control VM knows the revision: it is no
    /// longer in the known history, or does not exist.
    pub async fn find_revision(&self, revision: Revision) -> Result<RevisionId, ClientError> {
        let mut error = ClientError::UnknownRevision(revision);
        for server in &self.servers {
            match self.ask(*server, &Call::FindRevision(revision)).await {
                Ok(Reply::FoundRevision(Some(base))) => return Ok(base),
                Ok(_) => {}
                Err(e) => error = e,
            }
        }
        Err(error)
    }

    /// Asks each control VM for its status.
    pub async fn status(&self) -> Vec<(SocketAddr, Result<NodeStatus, ClientError>)> {
        let mut found = Vec::new();
        for server in &self.servers {
            let status = match self.ask(*server, &Call::Status).await {
                Ok(Reply::Status(status)) => Ok(*status),
                Ok(_) => Err(ClientError::Transport {
                    server: *server,
                    source: TransportError::Truncated,
                }),
                Err(e) => Err(e),
            };
            found.push((*server, status));
        }
        found
    }

    async fn ask(&self, server: SocketAddr, call: &Call) -> Result<Reply, ClientError> {
        let asking = async {
            let client = Client::connect(server, self.secret).await?;
            let (writer, reader) = client.open(CALL_PATH).await?;
            exchange(writer, reader, call).await
        };
        within(READ_TIMEOUT, asking)
            .await
            .map_err(|source| ClientError::Transport { server, source })
    }
}

/// Sends one request and returns its answer.
async fn exchange(
    mut writer: FrameWriter,
    mut reader: FrameReader,
    call: &Call,
) -> Result<Reply, TransportError> {
    writer.send(call).await?;
    writer.finish()?;
    reader.next().await?.ok_or(TransportError::Truncated)
}

async fn within<T>(
    limit: Duration,
    work: impl Future<Output = Result<T, TransportError>>,
) -> Result<T, TransportError> {
    let done = tokio::time::timeout(limit, work).await;
    done.map_err(|_| TransportError::Timeout)?
}

fn revision(found: &ServerRead) -> Revision {
    found
        .read
        .change
        .as_ref()
        .map_or(0, |change| change.revision)
}

fn judge(reply: Reply) -> Tried {
    match reply {
        Reply::Apply(ApplyAnswer::Accepted(revision)) => Tried::Done(Ok(ApplyOutcome {
            revision,
            is_duplicate: false,
        })),
        Reply::Apply(ApplyAnswer::AlreadyAccepted(revision)) => Tried::Done(Ok(ApplyOutcome {
            revision,
            is_duplicate: true,
        })),
        Reply::Apply(ApplyAnswer::Superseded(revision)) => Tried::Done(Ok(ApplyOutcome {
            revision,
            is_duplicate: true,
        })),
        Reply::Apply(ApplyAnswer::Conflict(winner)) => {
            Tried::Done(Err(ClientError::Conflict(winner)))
        }
        Reply::InvalidFile(problem) => Tried::Done(Err(ClientError::InvalidFile(problem))),
        Reply::Replace(ReplaceAnswer::Done) => Tried::Done(Ok(ApplyOutcome {
            revision: 0,
            is_duplicate: false,
        })),
        Reply::Replace(ReplaceAnswer::WrongMembers) => Tried::Done(Err(ClientError::WrongMembers)),
        Reply::Apply(ApplyAnswer::Refused(RefuseReason::TooLarge)) => {
            Tried::Done(Err(ClientError::TooLarge))
        }
        Reply::Apply(ApplyAnswer::Refused(reason))
        | Reply::Replace(ReplaceAnswer::Refused(reason)) => Tried::Next(reason.to_string().into()),
        Reply::Apply(ApplyAnswer::Unknown) | Reply::Replace(ReplaceAnswer::Unknown) => {
            Tried::Unknown
        }
        Reply::NotAVoter => Tried::Next("it does not vote".into()),
        Reply::Read(_) | Reply::Confirmed(_) | Reply::FoundRevision(_) | Reply::Status(_) => {
            Tried::Next("its answer is to another question".into())
        }
    }
}

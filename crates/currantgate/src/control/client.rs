//! Client for requests of operators to the control VMs.

use std::future::Future;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use currantgate_config::ControlServers;
use currantgate_control::{
    ApplyAnswer, ApplyRequest, Client, EvacuationAnswer, EvacuationOrder, FrameReader, FrameWriter,
    Freshness, LocalRead, RefuseReason, ReplaceAnswer, ReplaceRequest, Revision, RevisionId,
    Secret, TransportError, VoterSpread,
};

use super::ClientError;
use super::call::{CALL_PATH, Call, NodeStatus, Reply};
use super::evacuation::EvacuationReply;
use crate::feed::{EntryFlows, EvacuationStatus};

/// Time within which a control VM must reply to a change.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(3);

/// Time within which a control VM must accept a connection or reply to a read.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay before the next round of requests after all control VMs failed one.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// A client for requests of operators to the control VMs.
#[derive(Clone, Debug)]
pub struct ControlClient {
    servers: Vec<SocketAddr>,
    secret: Secret,
}

/// The result of [`ControlClient::read_newest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerRead {
    /// The newest revision found, and whether it is known to be the current one.
    pub read: LocalRead,
    /// The control VM that returned it.
    pub server: SocketAddr,
}

/// The outcome of an accepted change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ApplyOutcome {
    /// The revision of the change.
    pub revision: Revision,
    /// Whether an earlier request was accepted with the same change, which was not
    /// applied again.
    pub is_duplicate: bool,
}

/// The result of an attempt at one control VM.
enum Attempt {
    /// The outcome is known.
    Done(Result<ApplyOutcome, ClientError>),
    /// The control VM did nothing, for the given reason; another one may succeed.
    Failed(Box<str>),
    /// The control VM may have carried out the request.
    Unknown,
}

impl ControlClient {
    /// Returns a client of the given control VMs.
    pub fn new(servers: &ControlServers) -> Self {
        Self {
            servers: servers.servers.clone(),
            secret: *servers.key.bytes(),
        }
    }

    /// Applies a change, and retries until `deadline` while the outcome is unknown:
    /// applying is idempotent.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError::OutcomeUnknown`] if the change may have been accepted or
    /// may be later, and any other error if it was not and will not be.
    pub async fn apply(
        &self,
        request: ApplyRequest,
        deadline: Instant,
    ) -> Result<ApplyOutcome, ClientError> {
        let call = Call::Apply(request);
        self.change(&call, deadline).await
    }

    /// Replaces a lost voter.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError::OutcomeUnknown`] if the replacement may be in progress; a
    /// repeated request continues it.
    pub async fn replace(
        &self,
        request: ReplaceRequest,
        deadline: Instant,
    ) -> Result<(), ClientError> {
        let call = Call::Replace(request);
        self.change(&call, deadline).await.map(|_| ())
    }

    /// Has an order on a failure domain executed, and retries until `deadline` while the
    /// outcome is unknown: orders are idempotent. Returns the log index of the order.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError::OutcomeUnknown`] if the order may have been accepted or may
    /// be later, and any other error if it was not and will not be.
    pub async fn order_evacuation(
        &self,
        order: EvacuationOrder,
        deadline: Instant,
    ) -> Result<Revision, ClientError> {
        let call = Call::Evacuate(order);
        let outcome = self.change(&call, deadline).await?;
        Ok(outcome.revision)
    }

    /// Returns the status of the evacuations on each control VM, or why it was not
    /// received.
    pub async fn evacuations(&self) -> Vec<(SocketAddr, Result<EvacuationStatus, ClientError>)> {
        self.request_all(&Call::Evacuations, |reply| match reply {
            Reply::Evacuations(status) => Some(status),
            _ => None,
        })
        .await
    }

    /// Returns the entries that each control VM feeds, with their open flows in evacuated
    /// domains, or why they were not received.
    pub async fn evacuated_flows(&self) -> Vec<(SocketAddr, Result<Vec<EntryFlows>, ClientError>)> {
        self.request_all(&Call::EvacuatedFlows, |reply| match reply {
            Reply::EvacuatedFlows(flows) => Some(flows),
            _ => None,
        })
        .await
    }

    /// Returns whether the voters outlast the loss that the site tolerates, from each control
    /// VM that leads, or why it was not received.
    pub async fn voter_spread(
        &self,
    ) -> Vec<(SocketAddr, Result<Option<VoterSpread>, ClientError>)> {
        self.request_all(&Call::VoterSpread, |reply| match reply {
            Reply::VoterSpread(spread) => Some(spread),
            _ => None,
        })
        .await
    }

    /// Sends a change to one control VM after the other until one decides or `deadline`
    /// passes.
    async fn change(&self, call: &Call, deadline: Instant) -> Result<ApplyOutcome, ClientError> {
        let mut unknown = false;
        let mut failure: Box<str> = "no control VM was contacted".into();
        loop {
            for server in &self.servers {
                if Instant::now() >= deadline {
                    return Err(if unknown {
                        ClientError::OutcomeUnknown
                    } else {
                        ClientError::NoQuorum(failure)
                    });
                }
                match self.try_change(*server, call).await {
                    Attempt::Done(result) => return result,
                    Attempt::Failed(reason) => failure = format!("{server}: {reason}").into(),
                    Attempt::Unknown => unknown = true,
                }
            }
            actix_rt::time::sleep(RETRY_DELAY).await;
        }
    }

    async fn try_change(&self, server: SocketAddr, call: &Call) -> Attempt {
        // A failure before the stream is open proves that nothing was sent.
        let opening = async {
            let client = Client::connect(server, self.secret).await?;
            let stream = client.open(CALL_PATH).await?;
            Ok::<_, TransportError>((client, stream))
        };
        let (_client, (writer, reader)) = match with_timeout(READ_TIMEOUT, opening).await {
            Ok(opened) => opened,
            Err(e) => return Attempt::Failed(e.to_string().into()),
        };
        match with_timeout(CHANGE_TIMEOUT, exchange(writer, reader, call)).await {
            Ok(reply) => classify(reply),
            Err(e) => {
                log::warn!("{server}: {e}");
                Attempt::Unknown
            }
        }
    }

    /// Reads the accepted site file: the current one if a control VM that holds the
    /// lease replies before `deadline`, else the newest that any of them has.
    ///
    /// # Errors
    ///
    /// Returns an error if no control VM replies.
    pub async fn read_newest(&self, deadline: Instant) -> Result<ServerRead, ClientError> {
        let mut newest: Option<ServerRead> = None;
        let mut error = None;
        loop {
            for server in &self.servers {
                match self.request(*server, &Call::Read).await {
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
            if Instant::now() >= deadline {
                let none = || ClientError::NoQuorum("no control VM replies".into());
                return newest.ok_or_else(|| error.unwrap_or_else(none));
            }
            actix_rt::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Returns the number and digest of a revision, for [`ApplyRequest::base`].
    ///
    /// # Errors
    ///
    /// Returns an error if no control VM has the revision: it is no longer in the
    /// retained history, or does not exist.
    pub async fn find_revision(&self, revision: Revision) -> Result<RevisionId, ClientError> {
        let mut error = ClientError::UnknownRevision(revision);
        for server in &self.servers {
            match self.request(*server, &Call::FindRevision(revision)).await {
                Ok(Reply::FoundRevision(Some(base))) => return Ok(base),
                Ok(_) => {}
                Err(e) => error = e,
            }
        }
        Err(error)
    }

    /// Returns the status of each control VM, or why it was not received.
    pub async fn status(&self) -> Vec<(SocketAddr, Result<NodeStatus, ClientError>)> {
        let mut found = Vec::new();
        for server in &self.servers {
            let status = match self.request(*server, &Call::Status).await {
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

    /// Sends a read to each control VM. Returns the content of each reply, or why it was not
    /// received; `content` returns nothing for a reply to another call.
    async fn request_all<T>(
        &self,
        call: &Call,
        content: impl Fn(Reply) -> Option<T>,
    ) -> Vec<(SocketAddr, Result<T, ClientError>)> {
        let mut found = Vec::new();
        for server in &self.servers {
            let reply = self.request(*server, call).await;
            let received =
                reply.and_then(|reply| content(reply).ok_or(ClientError::UnexpectedReply(*server)));
            found.push((*server, received));
        }
        found
    }

    /// Sends a read to one control VM and returns its reply.
    async fn request(&self, server: SocketAddr, call: &Call) -> Result<Reply, ClientError> {
        let reply = async {
            let client = Client::connect(server, self.secret).await?;
            let (writer, reader) = client.open(CALL_PATH).await?;
            exchange(writer, reader, call).await
        };
        with_timeout(READ_TIMEOUT, reply)
            .await
            .map_err(|source| ClientError::Transport { server, source })
    }
}

/// Sends one request on a stream and returns its reply.
async fn exchange(
    mut writer: FrameWriter,
    mut reader: FrameReader,
    call: &Call,
) -> Result<Reply, TransportError> {
    writer.send(call).await?;
    writer.finish()?;
    reader.next().await?.ok_or(TransportError::Truncated)
}

/// Limits the time of `work`.
async fn with_timeout<T>(
    limit: Duration,
    work: impl Future<Output = Result<T, TransportError>>,
) -> Result<T, TransportError> {
    let result = tokio::time::timeout(limit, work).await;
    result.map_err(|_| TransportError::Timeout)?
}

/// Returns the number of the revision read, 0 if there is none.
fn revision(found: &ServerRead) -> Revision {
    found
        .read
        .change
        .as_ref()
        .map_or(0, |change| change.revision)
}

/// Returns what the reply says of the outcome of a change.
fn classify(reply: Reply) -> Attempt {
    match reply {
        Reply::Apply(ApplyAnswer::Accepted(revision)) => Attempt::Done(Ok(ApplyOutcome {
            revision,
            is_duplicate: false,
        })),
        Reply::Apply(ApplyAnswer::AlreadyAccepted(revision)) => Attempt::Done(Ok(ApplyOutcome {
            revision,
            is_duplicate: true,
        })),
        Reply::Apply(ApplyAnswer::Superseded(revision)) => Attempt::Done(Ok(ApplyOutcome {
            revision,
            is_duplicate: true,
        })),
        Reply::Apply(ApplyAnswer::Conflict(winner)) => {
            Attempt::Done(Err(ClientError::Conflict(winner)))
        }
        Reply::InvalidFile(problem) => Attempt::Done(Err(ClientError::InvalidFile(problem))),
        Reply::Replace(ReplaceAnswer::Done) => Attempt::Done(Ok(ApplyOutcome {
            revision: 0,
            is_duplicate: false,
        })),
        Reply::Replace(ReplaceAnswer::WrongMembers) => {
            Attempt::Done(Err(ClientError::WrongMembers))
        }
        Reply::Apply(ApplyAnswer::Refused(RefuseReason::TooLarge)) => {
            Attempt::Done(Err(ClientError::TooLarge))
        }
        Reply::Apply(ApplyAnswer::Refused(reason))
        | Reply::Replace(ReplaceAnswer::Refused(reason)) => {
            Attempt::Failed(reason.to_string().into())
        }
        Reply::Apply(ApplyAnswer::Unknown) | Reply::Replace(ReplaceAnswer::Unknown) => {
            Attempt::Unknown
        }
        Reply::NotAVoter => Attempt::Failed("it is not a voter".into()),
        Reply::Evacuation(reply) => classify_order(reply),
        Reply::Read(_)
        | Reply::Confirmed(_)
        | Reply::FoundRevision(_)
        | Reply::Status(_)
        | Reply::Evacuations(_)
        | Reply::EvacuatedFlows(_)
        | Reply::VoterSpread(_) => Attempt::Failed("its reply does not match the request".into()),
    }
}

/// Returns what the reply says of the outcome of an order.
fn classify_order(reply: EvacuationReply) -> Attempt {
    match reply {
        EvacuationReply::Decided(EvacuationAnswer::Accepted(revision)) => {
            Attempt::Done(Ok(ApplyOutcome {
                revision,
                is_duplicate: false,
            }))
        }
        EvacuationReply::Decided(EvacuationAnswer::Refused(reason)) => {
            Attempt::Failed(reason.to_string().into())
        }
        EvacuationReply::Decided(EvacuationAnswer::Unknown) => Attempt::Unknown,
        EvacuationReply::InvalidOrder(problem) => {
            Attempt::Done(Err(ClientError::InvalidOrder(problem)))
        }
        EvacuationReply::Unsupported => Attempt::Done(Err(ClientError::FeedsNoEntries)),
    }
}

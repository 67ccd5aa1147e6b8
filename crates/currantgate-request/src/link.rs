//! The connection to one upstream.

use std::time::Instant;

use currantgate_config::UpstreamId;

use crate::{ConnectionId, Settings};

/// The stage of the connection to one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Link {
    /// There is none.
    Idle,
    /// It was asked for and must be open by the deadline.
    Opening(ConnectionId, Instant),
    /// It is open.
    Open(Connection),
}

impl Link {
    /// Returns the connection's id, if there is one.
    pub(crate) fn id(&self) -> Option<ConnectionId> {
        match self {
            Self::Idle => None,
            Self::Opening(id, _) => Some(*id),
            Self::Open(connection) => Some(connection.id),
        }
    }

    /// Tells whether a PING on it waits for its answer.
    pub(crate) fn is_suspect(&self) -> bool {
        matches!(self, Self::Open(connection) if connection.pinged)
    }
}

/// What is kept of a connection for as long as it carries attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Carrier {
    pub(crate) upstream: UpstreamId,
    /// Whether an answer has come on it.
    pub(crate) answered: bool,
}

/// An open connection, watched for silence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Connection {
    pub(crate) id: ConnectionId,
    /// When the next step against silence is due.
    deadline: Instant,
    /// Whether a PING waits for its answer.
    pinged: bool,
    /// Requests that expired in a row.
    overdue: u32,
}

/// What silence asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Silence {
    /// Nothing yet.
    Wait,
    /// Send a PING.
    Ping,
    /// Nothing passes any more.
    Dead,
}

impl Connection {
    /// Returns a connection that was opened now.
    pub(crate) fn new(id: ConnectionId, now: Instant, settings: &Settings) -> Self {
        Self {
            id,
            deadline: now + settings.ping_after,
            pinged: false,
            overdue: 0,
        }
    }

    /// Notes that something came from the upstream.
    pub(crate) fn heard(&mut self, now: Instant, settings: &Settings) {
        self.deadline = now + settings.ping_after;
        self.pinged = false;
    }

    /// Notes an answer, which also shows that requests pass.
    pub(crate) fn answered(&mut self, now: Instant, settings: &Settings) {
        self.heard(now, settings);
        self.overdue = 0;
    }

    /// Notes that a request expired; tells whether too many did in a row.
    pub(crate) fn expired(&mut self, settings: &Settings) -> bool {
        self.overdue += 1;
        self.overdue >= settings.max_consecutive_timeouts
    }

    /// Notes that work starts on a connection that carried none.
    pub(crate) fn wake(&mut self, now: Instant, settings: &Settings) {
        if !self.pinged {
            self.deadline = now + settings.ping_after;
        }
    }

    /// Returns when [`Connection::check`] is next wanted.
    pub(crate) fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Does what silence asks for at `now`.
    pub(crate) fn check(&mut self, now: Instant, settings: &Settings) -> Silence {
        if now < self.deadline {
            return Silence::Wait;
        }
        if self.pinged {
            return Silence::Dead;
        }
        self.pinged = true;
        self.deadline = now + settings.ping_timeout;
        Silence::Ping
    }
}

//! Connection to one upstream and its keepalive.

use std::time::Instant;

use currantgate_config::UpstreamId;

use crate::{ConnectionId, Settings};

/// State of the connection that new attempts at an upstream use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionState {
    /// No connection exists.
    Idle,
    /// The connection was requested and must be open by the deadline.
    Opening(ConnectionId, Instant),
    /// The connection is open.
    Open(OpenConnection),
}

impl ConnectionState {
    /// Returns the id of the connection that is opening or open.
    pub(crate) fn id(&self) -> Option<ConnectionId> {
        match self {
            Self::Idle => None,
            Self::Opening(id, _) => Some(*id),
            Self::Open(connection) => Some(connection.id),
        }
    }

    /// Returns whether a PING is outstanding.
    pub(crate) fn awaits_pong(&self) -> bool {
        matches!(self, Self::Open(connection) if connection.awaiting_pong)
    }
}

/// State of a connection, kept until its last attempt has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ConnectionRecord {
    pub(crate) upstream: UpstreamId,
    /// Whether a response was received on it.
    pub(crate) answered: bool,
}

/// Open connection with its keepalive timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OpenConnection {
    pub(crate) id: ConnectionId,
    /// When the next PING is due or the outstanding one times out.
    deadline: Instant,
    /// Whether a PING is outstanding.
    awaiting_pong: bool,
    /// Number of consecutive requests that timed out with an overdue response.
    consecutive_timeouts: u32,
}

/// Action that the keepalive timer requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KeepaliveAction {
    /// No action: no timer is due.
    None,
    /// Send a PING.
    Ping,
    /// Close the connection: the PING timed out.
    Close,
}

impl OpenConnection {
    /// Returns a connection that was opened at `now`.
    pub(crate) fn new(id: ConnectionId, now: Instant, settings: &Settings) -> Self {
        Self {
            id,
            deadline: now + settings.ping_after,
            awaiting_pong: false,
            consecutive_timeouts: 0,
        }
    }

    /// Records that something was received from the upstream.
    pub(crate) fn on_received(&mut self, now: Instant, settings: &Settings) {
        self.deadline = now + settings.ping_after;
        self.awaiting_pong = false;
    }

    /// Records a response, which also resets the count of timeouts.
    pub(crate) fn on_response(&mut self, now: Instant, settings: &Settings) {
        self.on_received(now, settings);
        self.consecutive_timeouts = 0;
    }

    /// Records a request that timed out with an overdue response; returns whether the
    /// limit of consecutive ones is reached.
    pub(crate) fn on_timeout(&mut self, settings: &Settings) -> bool {
        self.consecutive_timeouts += 1;
        self.consecutive_timeouts >= settings.max_consecutive_timeouts
    }

    /// Restarts the keepalive timer when the first attempt starts on an unused connection.
    pub(crate) fn restart_keepalive(&mut self, now: Instant, settings: &Settings) {
        if !self.awaiting_pong {
            self.deadline = now + settings.ping_after;
        }
    }

    /// Returns when [`OpenConnection::check_keepalive`] is next due.
    pub(crate) fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Returns the keepalive action that is due at `now`, and marks a PING as sent.
    pub(crate) fn check_keepalive(&mut self, now: Instant, settings: &Settings) -> KeepaliveAction {
        if now < self.deadline {
            return KeepaliveAction::None;
        }
        if self.awaiting_pong {
            return KeepaliveAction::Close;
        }
        self.awaiting_pong = true;
        self.deadline = now + settings.ping_timeout;
        KeepaliveAction::Ping
    }
}

//! Opening, keepalive and closing of connections.

use std::time::Instant;

use currantgate_config::UpstreamId;

use super::Dispatcher;
use crate::attempt::{Attempt, Failure};
use crate::connection::{ConnectionRecord, ConnectionState, KeepaliveAction, OpenConnection};
use crate::{AttemptId, ConnectionId, Output};

impl Dispatcher {
    /// Returns the id of the upstream's connection, and requests one if there is none.
    pub(super) fn ensure_connection(&mut self, now: Instant, id: UpstreamId) -> ConnectionId {
        let upstream = &mut self.upstreams[&id];
        if let Some(connection) = upstream.connection.id() {
            return connection;
        }
        self.last_connection += 1;
        let connection = self.last_connection;
        upstream.connection =
            ConnectionState::Opening(connection, now + self.settings.connect_timeout);
        let record = ConnectionRecord {
            upstream: id,
            answered: false,
        };
        self.connections.insert(connection, record);
        self.outputs.push_back(Output::Open {
            connection,
            upstream: id,
        });
        connection
    }

    pub(super) fn on_connected(&mut self, now: Instant, id: ConnectionId) {
        let Some(upstream) = self.upstream_of_current(id) else {
            return;
        };
        let state = &mut self.upstreams[&upstream].connection;
        if matches!(state, ConnectionState::Open(_)) {
            return;
        }
        *state = ConnectionState::Open(OpenConnection::new(id, now, &self.settings));
        for attempt in self.attempts_on(upstream, id) {
            self.send_attempt(now, attempt);
        }
    }

    pub(super) fn on_connect_failed(&mut self, now: Instant, id: ConnectionId) {
        let Some(upstream) = self.upstream_of_current(id) else {
            return;
        };
        let state = &mut self.upstreams[&upstream];
        state.circuit.on_connect_failure(now, &self.settings);
        self.drop_connection(now, upstream, id, Failure::NotProcessed);
    }

    pub(super) fn on_connection_lost(&mut self, now: Instant, id: ConnectionId) {
        let Some(upstream) = self.connections.get(&id).map(|c| c.upstream) else {
            return;
        };
        let state = &mut self.upstreams[&upstream];
        if !state.attempts.is_empty() {
            state.circuit.on_failure(now, &self.settings);
            state.limit.start_cooldown(now, &self.settings);
        }
        self.drop_connection(now, upstream, id, Failure::ConnectionLost);
    }

    pub(super) fn on_pong(&mut self, now: Instant, id: ConnectionId) {
        let Some(upstream) = self.upstream_of_current(id) else {
            return;
        };
        if let ConnectionState::Open(connection) = &mut self.upstreams[&upstream].connection {
            connection.on_received(now, &self.settings);
        }
    }

    /// Sends no new attempts on a connection; it is closed after its last attempt.
    pub(super) fn drain_connection(&mut self, id: ConnectionId) {
        if let Some(upstream) = self.upstream_of_current(id) {
            self.upstreams[&upstream].connection = ConnectionState::Idle;
            self.close_if_unused(upstream, id);
        }
    }

    /// Handles connect timeouts and keepalive timers that are due at `now`.
    pub(super) fn check_connections(&mut self, now: Instant) {
        let ids: Vec<_> = self.upstreams.keys().copied().collect();
        for id in ids {
            let Some(upstream) = self.upstreams.get_mut(&id) else {
                continue;
            };
            let is_monitored = upstream.monitors_connection();
            match &mut upstream.connection {
                ConnectionState::Opening(connection, deadline) if *deadline <= now => {
                    let connection = *connection;
                    self.outputs.push_back(Output::Close { connection });
                    self.on_connect_failed(now, connection);
                }
                ConnectionState::Open(connection) if is_monitored => {
                    let action = connection.check_keepalive(now, &self.settings);
                    let connection = connection.id;
                    self.apply_keepalive(now, connection, action);
                }
                ConnectionState::Idle | ConnectionState::Opening(..) | ConnectionState::Open(_) => {
                }
            }
        }
    }

    fn apply_keepalive(&mut self, now: Instant, connection: ConnectionId, action: KeepaliveAction) {
        match action {
            KeepaliveAction::None => {}
            KeepaliveAction::Ping => self.outputs.push_back(Output::Ping { connection }),
            KeepaliveAction::Close => {
                self.outputs.push_back(Output::Close { connection });
                self.on_connection_lost(now, connection);
            }
        }
    }

    /// Records a response on the attempt's connection.
    pub(super) fn record_response(&mut self, now: Instant, attempt: &Attempt) {
        if let Some(record) = self.connections.get_mut(&attempt.connection) {
            record.answered = true;
        }
        let state = &mut self.upstreams[&attempt.upstream].connection;
        if let ConnectionState::Open(connection) = state
            && connection.id == attempt.connection
        {
            connection.on_response(now, &self.settings);
        }
    }

    /// Records an overdue response on the attempt's connection; drains the connection
    /// after too many consecutive ones.
    pub(super) fn record_overdue(&mut self, attempt: &Attempt) {
        let state = &mut self.upstreams[&attempt.upstream].connection;
        if let ConnectionState::Open(connection) = state
            && connection.id == attempt.connection
            && connection.on_timeout(&self.settings)
        {
            self.drain_connection(attempt.connection);
        }
    }

    /// Closes a connection that gets no new attempts and has none left.
    pub(super) fn close_if_unused(&mut self, id: UpstreamId, connection: ConnectionId) {
        let Some(upstream) = self.upstreams.get_mut(&id) else {
            return;
        };
        if upstream.draining && upstream.connection.id() == Some(connection) {
            upstream.connection = ConnectionState::Idle;
        }
        let current = upstream.connection.id() == Some(connection);
        let draining = upstream.draining;
        if !current
            && self.attempts_on(id, connection).is_empty()
            && self.connections.swap_remove(&connection).is_some()
        {
            self.outputs.push_back(Output::Close { connection });
        }
        if draining && self.upstreams[&id].attempts.is_empty() {
            self.upstreams.swap_remove(&id);
        }
    }

    /// Removes a connection and fails all attempts on it.
    fn drop_connection(
        &mut self,
        now: Instant,
        id: UpstreamId,
        connection: ConnectionId,
        failure: Failure,
    ) {
        let upstream = &mut self.upstreams[&id];
        if upstream.connection.id() == Some(connection) {
            upstream.connection = ConnectionState::Idle;
        }
        self.connections.swap_remove(&connection);
        let service = upstream.service;
        for attempt in self.attempts_on(id, connection) {
            self.finish_failed(now, attempt, failure);
        }
        self.remove_if_drained(id);
        self.dispatch_queued(now, service);
    }

    /// Returns the upstream whose current connection has this id.
    fn upstream_of_current(&self, id: ConnectionId) -> Option<UpstreamId> {
        let upstream = self.connections.get(&id)?.upstream;
        let current = self.upstreams[&upstream].connection.id() == Some(id);
        current.then_some(upstream)
    }

    pub(super) fn attempts_on(&self, id: UpstreamId, connection: ConnectionId) -> Vec<AttemptId> {
        let Some(upstream) = self.upstreams.get(&id) else {
            return Vec::new();
        };
        let on_connection = |id: &AttemptId| self.attempts[id].connection == connection;
        let mut ids: Vec<_> = upstream
            .attempts
            .iter()
            .copied()
            .filter(on_connection)
            .collect();
        ids.sort_unstable();
        ids
    }
}

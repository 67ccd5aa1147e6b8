//! The life of connections.

use std::time::Instant;

use currantgate_config::UpstreamId;

use super::Dispatcher;
use crate::attempt::{Attempt, Failure};
use crate::link::{Carrier, Connection, Link, Silence};
use crate::{AttemptId, ConnectionId, Output};

impl Dispatcher {
    /// Returns the upstream's connection, asking for one if there is none.
    pub(super) fn open_link(&mut self, now: Instant, id: UpstreamId) -> ConnectionId {
        let upstream = &mut self.upstreams[&id];
        if let Some(connection) = upstream.link.id() {
            return connection;
        }
        self.last_connection += 1;
        let connection = self.last_connection;
        upstream.link = Link::Opening(connection, now + self.settings.connect_timeout);
        let carrier = Carrier {
            upstream: id,
            answered: false,
        };
        self.connections.insert(connection, carrier);
        self.outputs.push_back(Output::Open {
            connection,
            upstream: id,
        });
        connection
    }

    pub(super) fn connected(&mut self, now: Instant, id: ConnectionId) {
        let Some(upstream) = self.link_of(id) else {
            return;
        };
        let link = &mut self.upstreams[&upstream].link;
        if matches!(link, Link::Open(_)) {
            return;
        }
        *link = Link::Open(Connection::new(id, now, &self.settings));
        for attempt in self.attempts_on(upstream, id) {
            self.send(now, attempt);
        }
    }

    pub(super) fn connect_failed(&mut self, now: Instant, id: ConnectionId) {
        let Some(upstream) = self.link_of(id) else {
            return;
        };
        let known = &mut self.upstreams[&upstream];
        known.circuit.on_connect_failure(now, &self.settings);
        self.lose(now, upstream, id, Failure::NotProcessed);
    }

    pub(super) fn connection_lost(&mut self, now: Instant, id: ConnectionId) {
        let Some(upstream) = self.connections.get(&id).map(|c| c.upstream) else {
            return;
        };
        let known = &mut self.upstreams[&upstream];
        if !known.attempts.is_empty() {
            known.circuit.on_failure(now, &self.settings);
            known.limit.start_cooldown(now, &self.settings);
        }
        self.lose(now, upstream, id, Failure::ConnectionLost);
    }

    pub(super) fn pong(&mut self, now: Instant, id: ConnectionId) {
        let Some(upstream) = self.link_of(id) else {
            return;
        };
        if let Link::Open(connection) = &mut self.upstreams[&upstream].link {
            connection.heard(now, &self.settings);
        }
    }

    /// Sends nothing more on a connection; it closes with its last attempt.
    pub(super) fn leave_connection(&mut self, id: ConnectionId) {
        if let Some(upstream) = self.link_of(id) {
            self.upstreams[&upstream].link = Link::Idle;
            self.close_if_unused(upstream, id);
        }
    }

    /// Does what silence on connections asks for.
    pub(super) fn check_links(&mut self, now: Instant) {
        let ids: Vec<_> = self.upstreams.keys().copied().collect();
        for id in ids {
            let Some(upstream) = self.upstreams.get_mut(&id) else {
                continue;
            };
            let watched = upstream.watches_link();
            match &mut upstream.link {
                Link::Opening(connection, deadline) if *deadline <= now => {
                    let connection = *connection;
                    self.outputs.push_back(Output::Close { connection });
                    self.connect_failed(now, connection);
                }
                Link::Open(connection) if watched => {
                    let silence = connection.check(now, &self.settings);
                    let connection = connection.id;
                    self.act_on_silence(now, connection, silence);
                }
                Link::Idle | Link::Opening(..) | Link::Open(_) => {}
            }
        }
    }

    fn act_on_silence(&mut self, now: Instant, connection: ConnectionId, silence: Silence) {
        match silence {
            Silence::Wait => {}
            Silence::Ping => self.outputs.push_back(Output::Ping { connection }),
            Silence::Dead => {
                self.outputs.push_back(Output::Close { connection });
                self.connection_lost(now, connection);
            }
        }
    }

    /// Notes on the attempt's connection that an answer came.
    pub(super) fn note_answer(&mut self, now: Instant, attempt: &Attempt) {
        if let Some(carrier) = self.connections.get_mut(&attempt.connection) {
            carrier.answered = true;
        }
        let link = &mut self.upstreams[&attempt.upstream].link;
        if let Link::Open(connection) = link
            && connection.id == attempt.connection
        {
            connection.answered(now, &self.settings);
        }
    }

    /// Notes on the attempt's connection that its answer is overdue; leaves
    /// the connection when that has happened too often.
    pub(super) fn note_overdue(&mut self, attempt: &Attempt) {
        let link = &mut self.upstreams[&attempt.upstream].link;
        if let Link::Open(connection) = link
            && connection.id == attempt.connection
            && connection.expired(&self.settings)
        {
            self.leave_connection(attempt.connection);
        }
    }

    /// Closes a connection that takes no more work and has none left.
    pub(super) fn close_if_unused(&mut self, id: UpstreamId, connection: ConnectionId) {
        let Some(upstream) = self.upstreams.get_mut(&id) else {
            return;
        };
        if upstream.leaving && upstream.link.id() == Some(connection) {
            upstream.link = Link::Idle;
        }
        let current = upstream.link.id() == Some(connection);
        let leaving = upstream.leaving;
        if !current
            && self.attempts_on(id, connection).is_empty()
            && self.connections.swap_remove(&connection).is_some()
        {
            self.outputs.push_back(Output::Close { connection });
        }
        if leaving && self.upstreams[&id].attempts.is_empty() {
            self.upstreams.swap_remove(&id);
        }
    }

    /// Ends a connection and all attempts on it.
    fn lose(&mut self, now: Instant, id: UpstreamId, connection: ConnectionId, failure: Failure) {
        let upstream = &mut self.upstreams[&id];
        if upstream.link.id() == Some(connection) {
            upstream.link = Link::Idle;
        }
        self.connections.swap_remove(&connection);
        let service = upstream.service;
        for attempt in self.attempts_on(id, connection) {
            self.end_failed(now, attempt, failure);
        }
        self.remove_if_left(id);
        self.pump(now, service);
    }

    /// Returns the upstream whose current connection has this id.
    fn link_of(&self, id: ConnectionId) -> Option<UpstreamId> {
        let upstream = self.connections.get(&id)?.upstream;
        let current = self.upstreams[&upstream].link.id() == Some(id);
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

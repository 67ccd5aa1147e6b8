//! Upstreams by token.

use std::net::SocketAddrV4;

use foldhash::fast::RandomState;
use indexmap::IndexMap;
use log::Level;

use crate::{NextHop, Token};

/// An upstream that packets can be forwarded to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenUpstream {
    /// Unique id.
    pub id: Box<str>,
    /// Time of its start, in milliseconds since 1970.
    pub started_ms: u64,
    /// Address at which it receives packets.
    pub address: SocketAddrV4,
    /// Identity within packets, from which its token is derived.
    pub identity: u64,
    /// Whether the configuration in force names its service.
    pub is_named: bool,
}

/// Upstreams by token.
#[derive(Debug, Default)]
pub(crate) struct TokenMap {
    /// Tokens come from upstreams' identities, not from callers, so that a fast hasher does.
    hops: IndexMap<Token, NextHop, RandomState>,
    ids: IndexMap<Token, Box<str>>,
}

impl TokenMap {
    /// Replaces the upstreams, and returns the token of each by id.
    ///
    /// When tokens collide, the upstream that was started first keeps the token, and
    /// the other one gets no token and no flows. One of a service that is not named has a
    /// token, for the flows that are open from before, only if no other one needs it. All
    /// entries decide this alike.
    pub(crate) fn replace(
        &mut self,
        mut upstreams: Vec<TokenUpstream>,
    ) -> IndexMap<Box<str>, Token> {
        let rank = |u: &TokenUpstream| (!u.is_named, u.started_ms);
        upstreams.sort_by(|a, b| rank(a).cmp(&rank(b)).then_with(|| a.id.cmp(&b.id)));
        self.hops.clear();
        self.ids.clear();
        let mut tokens = IndexMap::with_capacity(upstreams.len());
        for upstream in upstreams {
            let token = token_of(upstream.identity);
            if let Some(holder) = self.ids.get(&token) {
                // Any number of upstreams of other services may have it.
                let level = if upstream.is_named {
                    Level::Error
                } else {
                    Level::Debug
                };
                log::log!(
                    level,
                    "upstream {} gets no flows: its token collides with that of {holder}",
                    upstream.id
                );
                continue;
            }
            let hop = NextHop {
                token,
                address: upstream.address,
                identity: upstream.identity,
            };
            self.hops.insert(token, hop);
            self.ids.insert(token, upstream.id.clone());
            tokens.insert(upstream.id, token);
        }
        tokens
    }

    /// Returns the id of the upstream with the given token.
    pub(crate) fn id(&self, token: Token) -> Option<&str> {
        self.ids.get(&token).map(|id| &**id)
    }

    /// Returns the token of the upstream with the given id and identity. Others may have the
    /// same identity.
    pub(crate) fn token(&self, id: &str, identity: u64) -> Option<Token> {
        let token = token_of(identity);
        (self.id(token)? == id).then_some(token)
    }

    /// Returns the next hop for the given token.
    pub(crate) fn get(&self, token: Token) -> Option<NextHop> {
        self.hops.get(&token).copied()
    }
}

/// Returns the token of an upstream. It depends on the identity alone, so that entries
/// agree on it without coordination.
fn token_of(identity: u64) -> Token {
    match Token::try_from(identity) {
        Ok(token) if token != 0 => token,
        _ => {
            // Fibonacci hashing: the upper bits differ for identities that differ in few
            // bits.
            let mixed = identity.wrapping_mul(0x9e37_79b9_7f4a_7c15);
            Token::try_from(mixed >> 32).map_or(1, |token| token.max(1))
        }
    }
}

//! The upstreams that tokens name.

use std::net::SocketAddrV4;

use ahash::RandomState;
use indexmap::IndexMap;

use crate::{NextHop, Token};

/// An upstream as packets reach it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenUpstream {
    /// Its name, which is unique.
    pub id: Box<str>,
    /// When it was started, in milliseconds since 1970.
    pub started_ms: u64,
    /// Where it takes packets.
    pub address: SocketAddrV4,
    /// Names it within packets.
    pub identity: u64,
}

/// Which upstream each token names.
#[derive(Debug, Default)]
pub(crate) struct TokenMap {
    hops: IndexMap<Token, NextHop, RandomState>,
    ids: IndexMap<Token, Box<str>>,
}

impl TokenMap {
    /// Replaces the upstreams; returns the token of each that has one.
    ///
    /// Two upstreams whose tokens are the same are told apart alike on all
    /// entries: the older one has the token and the other gets no flows.
    pub(crate) fn replace(
        &mut self,
        mut upstreams: Vec<TokenUpstream>,
    ) -> IndexMap<Box<str>, Token> {
        upstreams.sort_by(|a, b| (a.started_ms, &a.id).cmp(&(b.started_ms, &b.id)));
        self.hops.clear();
        self.ids.clear();
        let mut tokens = IndexMap::with_capacity(upstreams.len());
        for upstream in upstreams {
            let token = token_of(upstream.identity);
            if let Some(holder) = self.ids.get(&token) {
                log::error!(
                    "upstream {} gets no flows: its token is {holder}'s",
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

    /// Returns the name of the upstream that a token names.
    pub(crate) fn id(&self, token: Token) -> Option<&str> {
        self.ids.get(&token).map(|id| &**id)
    }

    pub(crate) fn get(&self, token: Token) -> Option<NextHop> {
        self.hops.get(&token).copied()
    }
}

/// Returns the token of an upstream: it depends on nothing but its identity,
/// so that entries agree on it without a word.
fn token_of(identity: u64) -> Token {
    match Token::try_from(identity) {
        Ok(token) if token != 0 => token,
        _ => {
            // The odd factor spreads identities that differ in few bits.
            let mixed = identity.wrapping_mul(0x9e37_79b9_7f4a_7c15);
            Token::try_from(mixed >> 32).map_or(1, |token| token.max(1))
        }
    }
}

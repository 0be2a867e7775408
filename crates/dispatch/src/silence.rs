//! Which connections to an upstream may be dead, judged by the exchanges on other ones.
//!
//! A network device that forgets connections drops their packets without a reset, and usually forgets
//! many at once, while new ones work. An idle connection does not show this. An exchange does, if
//! nothing arrives any more on a connection that worked before: then whatever has not delivered since
//! may be dead too. Silence has other causes, such as a slow upstream. So the doubt ends when the
//! exchange goes on, and stays only if the exchange is given up.

use std::{collections::HashMap, hash::Hash};

use base::{Moment, Span, derive_copy};
use smallvec::SmallVec;

derive_copy! {
    /// Key of an exchange that is in progress.
    pub struct ExchangeKey<K> {
        upstream: K,
        number: u64,
    }

    /// How a connection was when an exchange began on it.
    pub enum ConnectionAge {
        /// It was opened for the exchange.
        New,
        /// It had delivered before, or was opened, at this moment.
        Reused(Moment),
    }

    struct OpenExchange {
        number: u64,
        /// When the connection was opened or last delivered before the exchange began.
        established_at: Moment,
        /// When the connection last delivered, if it ever has.
        delivered_at: Option<Moment>,
        /// Since when this node has waited for bytes in vain, if it waits.
        waiting_since: Option<Moment>,
        /// Silence from which the connection may be dead.
        limit: Span,
    }
}

/// Exchanges in progress with one upstream, and what given up ones have shown.
#[derive(Debug, Clone, Default)]
struct UpstreamSilence {
    exchanges: SmallVec<[OpenExchange; 8]>,
    /// Connections that have not delivered since then are not used again.
    trusted_since: Moment,
}

/// Exchanges of one node by upstream.
#[derive(Debug, Clone)]
pub struct SilenceTracker<K> {
    upstreams: HashMap<K, UpstreamSilence>,
    next_number: u64,
}

impl OpenExchange {
    /// Returns since when the connection has been silent, if it may be dead.
    fn silent_since(&self, now: Moment) -> Option<Moment> {
        self.delivered_at?;
        self.waiting_since.filter(|since| now.since(*since) >= self.limit)
    }
}

impl<K> Default for SilenceTracker<K> {
    fn default() -> Self {
        Self { upstreams: HashMap::new(), next_number: 0 }
    }
}

impl<K: Copy + Eq + Hash> SilenceTracker<K> {
    /// Records that an exchange begins. The connection may be dead if nothing arrives on it for
    /// `limit`, unless it is new: then the silence has another cause.
    pub fn begin(
        &mut self,
        now: Moment,
        upstream: K,
        age: ConnectionAge,
        limit: Span,
    ) -> ExchangeKey<K> {
        let number = self.next_number;
        self.next_number += 1;
        let (established_at, delivered_at) = match age {
            ConnectionAge::New => (now, None),
            ConnectionAge::Reused(since) => (since, Some(since)),
        };
        let exchange =
            OpenExchange { number, established_at, delivered_at, waiting_since: None, limit };
        self.upstreams.entry(upstream).or_default().exchanges.push(exchange);
        ExchangeKey { upstream, number }
    }

    /// Records that this node begins to wait for bytes. While it does not, because the caller reads
    /// slowly, silence says nothing.
    pub fn record_wait(&mut self, now: Moment, exchange: ExchangeKey<K>) {
        if let Some(open) = self.get_mut(exchange) {
            open.waiting_since = Some(now);
        }
    }

    /// Records that bytes of the upstream have arrived.
    pub fn record_bytes(&mut self, now: Moment, exchange: ExchangeKey<K>) {
        if let Some(open) = self.get_mut(exchange) {
            open.waiting_since = None;
            open.delivered_at = Some(now);
        }
    }

    /// Records that an exchange has ended, by a complete response or a failure of the connection
    /// that shows by itself.
    pub fn finish(&mut self, exchange: ExchangeKey<K>) {
        self.remove(exchange);
    }

    /// Records that an exchange was given up before its end. Returns since when its connection has
    /// been silent, if it may be dead: connections that have not delivered since are not used again.
    pub fn give_up(&mut self, now: Moment, exchange: ExchangeKey<K>) -> Option<Moment> {
        let since = self.remove(exchange)?.silent_since(now)?;
        let upstream = self.upstreams.get_mut(&exchange.upstream)?;
        upstream.trusted_since = upstream.trusted_since.max(since);
        Some(since)
    }

    /// Returns the moment since which a connection to the upstream must have delivered to be used
    /// again.
    #[must_use]
    pub fn trusted_since(&self, now: Moment, upstream: K) -> Moment {
        let Some(upstream) = self.upstreams.get(&upstream) else { return Moment(0) };
        let silent = upstream.exchanges.iter().filter_map(|exchange| exchange.silent_since(now));
        silent.fold(upstream.trusted_since, Moment::max)
    }

    /// Returns whether an exchange that began at `sent_at` has probably met a dead connection: it may
    /// have, and no connection of the upstream that is as old has delivered since.
    #[must_use]
    pub fn is_alone_silent(&self, now: Moment, upstream: K, sent_at: Moment) -> bool {
        let Some(silence) = self.upstreams.get(&upstream) else { return false };
        let delivers = |exchange: &OpenExchange| {
            exchange.established_at <= sent_at
                && exchange.delivered_at.is_some_and(|at| at > sent_at)
        };
        self.trusted_since(now, upstream) >= sent_at && !silence.exchanges.iter().any(delivers)
    }

    fn get_mut(&mut self, exchange: ExchangeKey<K>) -> Option<&mut OpenExchange> {
        let exchanges = &mut self.upstreams.get_mut(&exchange.upstream)?.exchanges;
        exchanges.iter_mut().find(|open| open.number == exchange.number)
    }

    fn remove(&mut self, exchange: ExchangeKey<K>) -> Option<OpenExchange> {
        let exchanges = &mut self.upstreams.get_mut(&exchange.upstream)?.exchanges;
        let index = exchanges.iter().position(|open| open.number == exchange.number)?;
        Some(exchanges.swap_remove(index))
    }
}

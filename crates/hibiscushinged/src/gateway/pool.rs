//! Pool of idle connections to upstreams.

use std::{cell::RefCell, collections::HashMap, hash::Hash};

use actix_http::ServiceConfig;
use base::{Moment, Span};

use crate::gateway::channel::UpstreamChannel;

/// Idle timeout of a connection if the upstream states none.
const DEFAULT_IDLE_TIMEOUT: Span = Span::from_secs(4);

/// Fraction of the idle timeout after which a connection is no longer reused, so that a request is
/// not sent while the upstream closes the connection.
const IDLE_TIMEOUT_FRACTION: f64 = 0.8;

/// Maximum number of idle connections per upstream. An engine runs 6 to 8 requests at once.
const MAX_IDLE_PER_UPSTREAM: usize = 16;

/// Idle connections of one thread, by upstream or node.
pub(crate) struct ChannelPool<K> {
    config: ServiceConfig,
    idle: RefCell<HashMap<K, Vec<IdleChannel>>>,
}

struct IdleChannel {
    channel: UpstreamChannel,
    expires_at: Moment,
}

impl<K: Copy + Eq + Hash> ChannelPool<K> {
    pub(crate) fn new() -> Self {
        Self { config: ServiceConfig::default(), idle: RefCell::default() }
    }

    /// Settings of the HTTP codec. They are shared, because each new `ServiceConfig` starts a
    /// timer.
    pub(crate) fn config(&self) -> ServiceConfig {
        self.config.clone()
    }

    /// Takes the most recently used connection that is still open and on which no request with this
    /// identifier was sent.
    pub(crate) fn take(&self, now: Moment, upstream: K, id: &str) -> Option<UpstreamChannel> {
        let mut idle = self.idle.borrow_mut();
        let channels = idle.get_mut(&upstream)?;
        for index in (0..channels.len()).rev() {
            if channels[index].channel.has_sent(id) {
                continue;
            }
            let IdleChannel { channel, expires_at } = channels.remove(index);
            if now < expires_at && channel.is_reusable() {
                return Some(channel);
            }
        }
        None
    }

    /// Adds a connection after a complete exchange, unless it is used up or the upstream has enough
    /// idle ones.
    pub(crate) fn keep(
        &self,
        now: Moment,
        upstream: K,
        channel: UpstreamChannel,
        idle_timeout: Option<Span>,
    ) {
        if channel.is_used_up() {
            return;
        }
        let lifetime =
            idle_timeout.unwrap_or(DEFAULT_IDLE_TIMEOUT).0 as f64 * IDLE_TIMEOUT_FRACTION;
        let mut idle = self.idle.borrow_mut();
        let channels = idle.entry(upstream).or_default();
        if channels.len() < MAX_IDLE_PER_UPSTREAM {
            channels.push(IdleChannel { channel, expires_at: now + Span(lifetime as u64) });
        }
    }

    /// Returns how many idle connections are open to each upstream or node.
    pub(crate) fn idle_counts<C: FromIterator<(K, u32)>>(&self, now: Moment) -> C {
        let idle = self.idle.borrow();
        let counts = idle.iter().map(|(key, channels)| {
            let usable = channels.iter().filter(|idle| now < idle.expires_at).count();
            (*key, u32::try_from(usable).unwrap_or(u32::MAX))
        });
        counts.collect()
    }

    /// Closes all idle connections of an upstream that has left or restarted.
    pub(crate) fn close(&self, upstream: K) {
        self.idle.borrow_mut().remove(&upstream);
    }

    /// Closes connections whose idle timeout has passed.
    pub(crate) fn close_expired(&self, now: Moment) {
        for channels in self.idle.borrow_mut().values_mut() {
            channels.retain(|idle| now < idle.expires_at);
        }
    }
}

//! Idle connections to upstreams.

use std::{cell::RefCell, collections::HashMap};

use actix_http::ServiceConfig;
use base::{Moment, Span, UpstreamKey};
use smallvec::SmallVec;

use crate::gateway::channel::UpstreamChannel;

/// Idle time after which a connection is not used again, where the upstream states none.
const DEFAULT_IDLE: Span = Span::from_secs(4);

/// Part of the stated idle time after which a connection is given up, so that a request does not
/// cross the upstream's close.
const IDLE_SHARE: f64 = 0.8;

/// Idle connections kept for one upstream. An engine runs 6 to 8 requests at once.
const MOST_IDLE: usize = 16;

/// Idle connections of one thread.
pub(crate) struct ChannelPool {
    config: ServiceConfig,
    idle: RefCell<HashMap<UpstreamKey, Vec<IdleChannel>>>,
}

struct IdleChannel {
    channel: UpstreamChannel,
    until: Moment,
}

impl ChannelPool {
    pub(crate) fn new() -> Self {
        Self { config: ServiceConfig::default(), idle: RefCell::default() }
    }

    /// Settings of the HTTP codec, shared because each new set starts a timer.
    pub(crate) fn config(&self) -> ServiceConfig {
        self.config.clone()
    }

    /// Takes the connection that was used last.
    pub(crate) fn take(&self, now: Moment, upstream: UpstreamKey) -> Option<UpstreamChannel> {
        let mut idle = self.idle.borrow_mut();
        let channels = idle.get_mut(&upstream)?;
        while let Some(IdleChannel { channel, until }) = channels.pop() {
            if now < until && channel.is_quiet() {
                return Some(channel);
            }
        }
        None
    }

    /// Keeps a connection after a complete exchange.
    pub(crate) fn keep(
        &self,
        now: Moment,
        upstream: UpstreamKey,
        channel: UpstreamChannel,
        idle_timeout: Option<Span>,
    ) {
        let life = idle_timeout.unwrap_or(DEFAULT_IDLE).0 as f64 * IDLE_SHARE;
        let mut idle = self.idle.borrow_mut();
        let channels = idle.entry(upstream).or_default();
        if channels.len() < MOST_IDLE {
            channels.push(IdleChannel { channel, until: now + Span(life as u64) });
        }
    }

    /// Returns the upstreams to which an idle connection is open.
    pub(crate) fn connected(&self) -> SmallVec<[UpstreamKey; 16]> {
        let idle = self.idle.borrow();
        idle.iter().filter(|(_, channels)| !channels.is_empty()).map(|(key, _)| *key).collect()
    }

    /// Closes all idle connections of an upstream that has gone or restarted.
    pub(crate) fn close(&self, upstream: UpstreamKey) {
        self.idle.borrow_mut().remove(&upstream);
    }

    /// Closes connections whose idle time has passed.
    pub(crate) fn sweep(&self, now: Moment) {
        for channels in self.idle.borrow_mut().values_mut() {
            channels.retain(|idle| now < idle.until);
        }
    }
}

//! Pool of idle connections to upstreams.

use std::{
    cell::{Ref, RefCell},
    collections::HashMap,
    rc::Rc,
};

use actix_http::ServiceConfig;
use base::{Moment, Span, UpstreamKey};
use dispatch::{ConnectionAge, ExchangeKey, SilenceTracker};

use crate::{
    gateway::{channel::UpstreamChannel, traffic_state::TrafficState},
    telemetry::log_event,
};

/// Idle timeout of a connection if the upstream states none.
const DEFAULT_IDLE_TIMEOUT: Span = Span::from_secs(4);

/// Fraction of the idle timeout after which a connection is no longer reused, so that a request is
/// not sent while the upstream closes the connection.
const IDLE_TIMEOUT_FRACTION: f64 = 0.8;

/// Maximum number of idle connections per upstream. An engine runs 6 to 8 requests at once.
const MAX_IDLE_PER_UPSTREAM: usize = 16;

/// Idle connections of the traffic thread, by upstream.
pub(crate) struct ChannelPool {
    config: ServiceConfig,
    /// Those of each upstream in the order in which they became idle.
    idle: RefCell<HashMap<UpstreamKey, Vec<IdleChannel>>>,
    silence: RefCell<SilenceTracker<UpstreamKey>>,
}

struct IdleChannel {
    channel: UpstreamChannel,
    /// When the connection last delivered, or was opened.
    idle_since: Moment,
    expires_at: Moment,
}

/// Reports what arrives on the connection of one exchange to the pool. A watch that is dropped
/// without [`finish`](Self::finish) records the exchange as given up.
pub(crate) struct ExchangeWatch {
    traffic: Rc<TrafficState>,
    upstream: UpstreamKey,
    exchange: ExchangeKey<UpstreamKey>,
}

impl ChannelPool {
    pub(crate) fn new() -> Self {
        Self {
            config: ServiceConfig::default(),
            idle: RefCell::default(),
            silence: RefCell::default(),
        }
    }

    /// Settings of the HTTP codec. They are shared, because each new `ServiceConfig` starts a
    /// timer.
    pub(crate) fn config(&self) -> ServiceConfig {
        self.config.clone()
    }

    /// Takes the most recently used connection that is still open and on which no request with this
    /// identifier was sent, and returns since when it was idle. It must have delivered since
    /// `trusted_since`, and since the upstream's other connections fell silent, if they have.
    pub(crate) fn take(
        &self,
        now: Moment,
        upstream: UpstreamKey,
        id: &str,
        trusted_since: Moment,
    ) -> Option<(UpstreamChannel, Moment)> {
        let trusted_since = trusted_since.max(self.trusted_since(now, upstream));
        let mut idle = self.idle.borrow_mut();
        let channels = idle.get_mut(&upstream)?;
        for index in (0..channels.len()).rev() {
            if channels[index].idle_since < trusted_since {
                return None;
            }
            if channels[index].channel.has_sent(id) {
                continue;
            }
            let IdleChannel { channel, idle_since, expires_at } = channels.remove(index);
            if now < expires_at && channel.is_reusable() {
                return Some((channel, idle_since));
            }
        }
        None
    }

    /// Adds a connection that was opened or has completed an exchange just now, unless it is used up.
    /// It takes the place of the oldest one if the upstream has enough idle ones.
    pub(crate) fn keep(
        &self,
        now: Moment,
        upstream: UpstreamKey,
        mut channel: UpstreamChannel,
        idle_timeout: Option<Span>,
    ) {
        channel.finish_watch();
        if channel.is_used_up() {
            return;
        }
        let lifetime =
            idle_timeout.unwrap_or(DEFAULT_IDLE_TIMEOUT).0 as f64 * IDLE_TIMEOUT_FRACTION;
        let mut idle = self.idle.borrow_mut();
        let channels = idle.entry(upstream).or_default();
        if channels.len() >= MAX_IDLE_PER_UPSTREAM {
            channels.remove(0);
        }
        let expires_at = now + Span(lifetime as u64);
        channels.push(IdleChannel { channel, idle_since: now, expires_at });
    }

    /// Returns how many idle connections to each upstream may be used.
    pub(crate) fn idle_counts<C: FromIterator<(UpstreamKey, u32)>>(&self, now: Moment) -> C {
        let idle = self.idle.borrow();
        let counts = idle.iter().map(|(key, channels)| {
            let trusted_since = self.trusted_since(now, *key);
            let is_usable =
                |idle: &&IdleChannel| now < idle.expires_at && idle.idle_since >= trusted_since;
            let usable = channels.iter().filter(is_usable).count();
            (*key, u32::try_from(usable).unwrap_or(u32::MAX))
        });
        counts.collect()
    }

    /// Returns the moment since which a connection to the upstream must have delivered to be used.
    fn trusted_since(&self, now: Moment, upstream: UpstreamKey) -> Moment {
        self.silence.borrow().trusted_since(now, upstream)
    }

    /// Returns the moment since which a connection must have delivered to be used by a request that
    /// was sent to the upstream at `sent_at`, if the connection that it met there may be dead.
    pub(crate) fn silence_of(
        &self,
        now: Moment,
        upstream: UpstreamKey,
        sent_at: Moment,
    ) -> Option<Moment> {
        Some(self.trusted_since(now, upstream)).filter(|since| *since >= sent_at)
    }

    pub(crate) fn silence(&self) -> Ref<'_, SilenceTracker<UpstreamKey>> {
        self.silence.borrow()
    }

    /// Closes all idle connections of an upstream that has left or restarted.
    pub(crate) fn close(&self, upstream: UpstreamKey) {
        self.idle.borrow_mut().remove(&upstream);
    }

    /// Closes the idle connections of an upstream that have not delivered since `since`, and returns
    /// their number.
    fn close_older(&self, upstream: UpstreamKey, since: Moment) -> usize {
        let mut idle = self.idle.borrow_mut();
        let Some(channels) = idle.get_mut(&upstream) else { return 0 };
        let before = channels.len();
        channels.retain(|idle| idle.idle_since >= since);
        before - channels.len()
    }

    /// Closes connections whose idle timeout has passed.
    pub(crate) fn close_expired(&self, now: Moment) {
        for channels in self.idle.borrow_mut().values_mut() {
            channels.retain(|idle| now < idle.expires_at);
        }
    }
}

impl ExchangeWatch {
    /// Watches an exchange that begins on a connection. The connection may be dead if it is not new
    /// and nothing arrives for `limit`.
    pub(crate) fn begin(
        traffic: &Rc<TrafficState>,
        upstream: UpstreamKey,
        age: ConnectionAge,
        limit: Span,
    ) -> Self {
        let now = traffic.node.now();
        let exchange = traffic.pool.silence.borrow_mut().begin(now, upstream, age, limit);
        Self { traffic: Rc::clone(traffic), upstream, exchange }
    }

    pub(crate) fn record_wait(&self) {
        let now = self.traffic.node.now();
        self.traffic.pool.silence.borrow_mut().record_wait(now, self.exchange);
    }

    pub(crate) fn record_bytes(&self) {
        let now = self.traffic.node.now();
        self.traffic.pool.silence.borrow_mut().record_bytes(now, self.exchange);
    }

    /// Records that the exchange is complete, or that its connection has broken.
    pub(crate) fn finish(self) {
        self.traffic.pool.silence.borrow_mut().finish(self.exchange);
    }
}

impl Drop for ExchangeWatch {
    fn drop(&mut self) {
        let (now, pool) = (self.traffic.node.now(), &self.traffic.pool);
        let Some(since) = pool.silence.borrow_mut().give_up(now, self.exchange) else { return };
        let closed = pool.close_older(self.upstream, since);
        self.traffic.node.metrics.silent_channels.inc();
        let silent_ms = now.since(since).as_millis();
        let balancer = self.traffic.balancer.try_borrow();
        let upstream = balancer.as_ref().map(|balancer| balancer.entry(self.upstream).id.as_str());
        log_event!(ConnectionSilent, upstream = upstream.ok(), silent_ms, closed);
    }
}

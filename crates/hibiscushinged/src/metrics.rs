//! Metrics in the StatsD format over UDP.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, UdpSocket},
    time::Duration,
};

use base::{Refusal, Span};
use cadence::{
    BufferedUdpMetricSink, Counted as _, Gauged as _, NopMetricSink, QueuingMetricSink,
    StatsdClient, Timed as _,
};

/// Metrics that wait for the sending thread. More are dropped, so that traffic never waits.
const QUEUE: usize = 4_096;

/// Metrics of one daemon. Without an address they go nowhere.
#[derive(Debug)]
pub(crate) struct DaemonMetrics {
    client: StatsdClient,
}

impl DaemonMetrics {
    /// Sends metrics to `address`.
    ///
    /// # Errors
    ///
    /// Returns an error when no socket can be opened.
    pub(crate) fn start(address: Option<SocketAddr>, vm: &str) -> io::Result<Self> {
        let Some(address) = address else {
            return Ok(Self { client: StatsdClient::from_sink(PREFIX, NopMetricSink) });
        };
        let socket = UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0))?;
        socket.set_nonblocking(true)?;
        let sink = BufferedUdpMetricSink::from(address, socket).map_err(io::Error::other)?;
        let sink = QueuingMetricSink::with_capacity(sink, QUEUE);
        let client = StatsdClient::builder(PREFIX, sink).with_tag("vm", vm).build();
        Ok(Self { client })
    }

    /// Counts an answered request with its time from arrival to the last byte.
    pub(crate) fn count_answered(&self, service: &str, took: Span, tokens: u64) {
        let took = Duration::from_micros(took.0);
        self.client.time_with_tags("request.time", took).with_tag("service", service).send();
        let tokens = i64::try_from(tokens).unwrap_or(i64::MAX);
        self.client.count_with_tags("request.tokens", tokens).with_tag("service", service).send();
    }

    /// Counts a refused request.
    pub(crate) fn count_refused(&self, refusal: &Refusal) {
        let counter = self.client.count_with_tags("request.refused", 1);
        counter
            .with_tag("code", refusal.code.as_str())
            .with_tag("ran", refusal.execution.as_str())
            .send();
    }

    /// Reports how much work this node has.
    pub(crate) fn gauge_load(&self, in_flight: usize, queued_tokens: u64) {
        self.client.gauge_with_tags("requests.in_flight", in_flight as u64).send();
        self.client.gauge_with_tags("requests.queued_tokens", queued_tokens).send();
    }

    /// Reports the state of the log as this node sees it.
    pub(crate) fn gauge_log(&self, silence: Span, buffered_records: usize) {
        self.client.gauge_with_tags("log.silence_ms", silence.as_millis()).send();
        self.client.gauge_with_tags("log.buffered_records", buffered_records as u64).send();
    }
}

const PREFIX: &str = "hibiscushinge";

//! Sends metrics in the StatsD format over UDP.

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

/// Bound on the metrics that wait for the sender thread. Further metrics are dropped, so that a
/// request never waits for them.
const MAX_QUEUED_METRICS: usize = 4_096;

/// Metrics of one daemon. They are discarded when the settings name no address for them.
#[derive(Debug)]
pub(crate) struct DaemonMetrics {
    client: StatsdClient,
}

impl DaemonMetrics {
    /// Starts the sender thread, which sends metrics to `address` tagged with the name of the VM.
    /// Without an address, metrics are discarded.
    ///
    /// # Errors
    ///
    /// Returns an error when the UDP socket cannot be opened.
    pub(crate) fn start(address: Option<SocketAddr>, vm: &str) -> io::Result<Self> {
        let Some(address) = address else {
            return Ok(Self { client: StatsdClient::from_sink(METRIC_PREFIX, NopMetricSink) });
        };
        let socket = UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0))?;
        socket.set_nonblocking(true)?;
        let sink = BufferedUdpMetricSink::from(address, socket).map_err(io::Error::other)?;
        let sink = QueuingMetricSink::with_capacity(sink, MAX_QUEUED_METRICS);
        let client = StatsdClient::builder(METRIC_PREFIX, sink).with_tag("vm", vm).build();
        Ok(Self { client })
    }

    /// Records a completed request: `took`, the time from its arrival to the last byte of the
    /// response, and its generated tokens.
    pub(crate) fn count_answered(&self, service: &str, took: Span, tokens: u64) {
        let took = Duration::from_micros(took.0);
        self.client.time_with_tags("request.time", took).with_tag("service", service).send();
        let tokens = i64::try_from(tokens).unwrap_or(i64::MAX);
        self.client.count_with_tags("request.tokens", tokens).with_tag("service", service).send();
    }

    /// Counts a refused request by refusal code and by whether it may have run.
    pub(crate) fn count_refused(&self, refusal: &Refusal) {
        let counter = self.client.count_with_tags("request.refused", 1);
        counter
            .with_tag("code", refusal.code.as_str())
            .with_tag("ran", refusal.execution.as_str())
            .send();
    }

    /// Counts a client's connection that was closed because of a limit.
    pub(crate) fn count_closed_connection(&self, reason: &'static str) {
        self.client.count_with_tags("connections.closed", 1).with_tag("reason", reason).send();
    }

    /// Sends the requests in flight on this node and the estimated tokens of those that are queued.
    pub(crate) fn gauge_load(&self, in_flight: usize, queued_tokens: u64) {
        self.client.gauge_with_tags("requests.in_flight", in_flight as u64).send();
        self.client.gauge_with_tags("requests.queued_tokens", queued_tokens).send();
    }

    /// Sends the time since the log last responded to this node and the records that wait to be
    /// appended.
    pub(crate) fn gauge_log(&self, silence: Span, buffered_records: usize) {
        self.client.gauge_with_tags("log.silence_ms", silence.as_millis()).send();
        self.client.gauge_with_tags("log.buffered_records", buffered_records as u64).send();
    }
}

const METRIC_PREFIX: &str = "hibiscushinge";

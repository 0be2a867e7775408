//! Load, speed and state of the upstreams, as one node knows them.

use base::{Arena, Moment, Span, UpstreamKey, WeightVersion, ZoneKey, derive_copy};

use crate::{
    InFlightRequest, LoadMeasurement, PriceClass, RequestOutcome, UpstreamProperties,
    UpstreamState, upstream::UpstreamRow,
};

derive_copy! {
    /// Initial estimates of the table.
    pub struct TableSettings {
        /// Speed assumed until an upstream has completed a request, in tokens per second.
        pub initial_speed: u32,
        /// Mean tokens of a request assumed until any has completed.
        pub initial_request_tokens: u32,
    }
}

/// Upper bound of the factor on the own work, in nodes. With more, the own work outweighs the load
/// reports in any case.
const MAX_OWN_WORK_FACTOR: u32 = 32;

/// Smoothing factor of the exponential moving averages over all upstreams.
const MEAN_SMOOTHING: f32 = 1.0 / 64.0;

/// State of the upstreams, addressed by [`UpstreamKey`].
#[derive(Debug, Clone)]
pub struct UpstreamTable {
    settings: TableSettings,
    rows: Arena<UpstreamKey, UpstreamRow>,
    zone_latencies: Vec<Span>,
    /// Mean tokens of a completed request.
    mean_request_tokens: f32,
    /// Mean seconds per token of a completed request, or 0 before the first one.
    mean_token_time: f32,
    /// Highest estimated speed of an upstream, in tokens per second.
    max_speed: f32,
    /// Factor on the own outstanding work, see [`UpstreamTable::set_node_count`].
    own_work_factor: f32,
}

impl Default for TableSettings {
    fn default() -> Self {
        Self { initial_speed: 1_000, initial_request_tokens: 200 }
    }
}

impl UpstreamTable {
    /// Creates an empty table. `zone_latencies` holds the one-way network latency from this node to
    /// each zone, indexed by [`ZoneKey`].
    #[must_use]
    pub fn new(settings: TableSettings, zone_latencies: Vec<Span>) -> Self {
        Self {
            settings,
            rows: Arena::new(),
            zone_latencies,
            mean_request_tokens: settings.initial_request_tokens as f32,
            mean_token_time: 0.0,
            max_speed: settings.initial_speed as f32,
            own_work_factor: 1.0,
        }
    }

    /// Sets how many nodes share the upstreams, this one included. The default is 1.
    ///
    /// The other nodes choose by the same rules, so each of them is assumed to have sent as much
    /// work to an upstream as this one, until load reports show it. Choices multiply the own
    /// outstanding work by this number.
    pub fn set_node_count(&mut self, nodes: u32) {
        self.own_work_factor = nodes.clamp(1, MAX_OWN_WORK_FACTOR) as f32;
    }

    /// Adds an upstream that takes work.
    pub fn add(&mut self, properties: UpstreamProperties) -> UpstreamKey {
        self.add_with_speed(properties, self.settings.initial_speed)
    }

    /// Adds an upstream that takes work, with an initial estimate of its speed in tokens per
    /// second, which completed requests replace.
    pub fn add_with_speed(&mut self, properties: UpstreamProperties, speed: u32) -> UpstreamKey {
        self.rows.push(UpstreamRow::new(properties, speed.max(1) as f32))
    }

    /// Changes whether an upstream may be chosen. A leaving upstream can only become
    /// [`UpstreamState::Down`]; other changes of it are ignored.
    pub fn set_state(&mut self, upstream: UpstreamKey, state: UpstreamState) {
        let Some(row) = self.rows.get_mut(upstream) else { return };
        if row.state == UpstreamState::Leaving && state != UpstreamState::Down {
            return;
        }
        row.state = state;
    }

    /// Keeps an upstream free for an isolated run: it takes no work until
    /// [`UpstreamTable::release`].
    pub fn reserve(&mut self, upstream: UpstreamKey) {
        if let Some(row) = self.rows.get_mut(upstream) {
            row.reserved = true;
        }
    }

    /// Ends the reservation of [`UpstreamTable::reserve`].
    pub fn release(&mut self, upstream: UpstreamKey) {
        if let Some(row) = self.rows.get_mut(upstream) {
            row.reserved = false;
        }
    }

    /// Records a load report. One that is not newer than the last is ignored.
    ///
    /// Reported work beyond the node's own at the time of measurement is that of other nodes. It is
    /// assumed to stay unchanged until the next report, as new requests of those nodes make up for
    /// completed ones. The node's own work is known exactly at all times.
    pub fn record_load(&mut self, now: Moment, upstream: UpstreamKey, load: LoadMeasurement) {
        let mean_request_tokens = self.mean_request_tokens;
        let Some(row) = self.rows.get_mut(upstream) else { return };
        if row.measured_at.is_some_and(|last| load.measured_at <= last) {
            return;
        }
        row.record_history(now);
        // Running requests count like queued ones, since each request in the batch gets the same
        // share of the speed as a new one.
        let requests = load.running.saturating_add(load.queued);
        let total_tokens = (requests as f32 * mean_request_tokens) as u32;
        let other_nodes_tokens = total_tokens.saturating_sub(row.outstanding_at(load.measured_at));
        row.smooth_other_nodes_backlog(now, load.measured_at, other_nodes_tokens as f32);
        row.measured_at = Some(load.measured_at);
        row.version = load.version;
    }

    /// Records that a request with `tokens` estimated work is sent to `upstream`. The returned
    /// value must be passed to [`UpstreamTable::finish`] when the request ends.
    pub fn start(&mut self, now: Moment, upstream: UpstreamKey, tokens: u32) -> InFlightRequest {
        let mut backlog = 0;
        if let Some(row) = self.rows.get_mut(upstream) {
            row.record_history(now);
            backlog = row.backlog();
            row.outstanding = row.outstanding.saturating_add(tokens);
            row.own_requests += 1;
        }
        InFlightRequest { upstream, started_at: now, tokens, backlog }
    }

    /// Records the end of a request. A completed one updates the estimates of speed and work.
    pub fn finish(&mut self, now: Moment, request: InFlightRequest, outcome: RequestOutcome) {
        let Some(row) = self.rows.get_mut(request.upstream) else { return };
        row.record_history(now);
        row.outstanding = row.outstanding.saturating_sub(request.tokens);
        row.own_requests = row.own_requests.saturating_sub(1);
        let RequestOutcome::Completed { tokens } = outcome else { return };
        self.mean_request_tokens += (tokens as f32 - self.mean_request_tokens) * MEAN_SMOOTHING;
        let seconds = now.since(request.started_at).0.max(1) as f32 / 1e6;
        let backlog = (request.backlog as f32 + row.backlog() as f32) / 2.0;
        row.record_completion(tokens as f32, seconds, backlog, self.mean_request_tokens);
        let token_time = seconds / tokens.max(1) as f32;
        let smoothing = if self.mean_token_time > 0.0 { MEAN_SMOOTHING } else { 1.0 };
        self.mean_token_time += (token_time - self.mean_token_time) * smoothing;
        self.max_speed = self.max_speed.max(row.speed);
    }

    /// Recomputes the highest speed of the upstreams that take work. To be called about every
    /// second; between two calls the value only rises.
    pub fn refresh_max_speed(&mut self) {
        let available = self.rows.iter().filter(|(_, row)| row.takes_work());
        let max_speed = available.map(|(_, row)| row.speed).fold(0.0, f32::max);
        self.max_speed =
            if max_speed > 0.0 { max_speed } else { self.settings.initial_speed as f32 };
    }

    /// Returns the number of upstreams, those that are down included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether the table is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the state of an upstream, or `None` when the table does not contain it.
    #[must_use]
    pub fn state(&self, upstream: UpstreamKey) -> Option<UpstreamState> {
        self.rows.get(upstream).map(|row| row.state)
    }

    /// Returns the estimated speed in tokens per second, over all requests that run at once.
    #[must_use]
    pub fn speed(&self, upstream: UpstreamKey) -> Option<f32> {
        self.rows.get(upstream).map(|row| row.speed)
    }

    /// Returns the estimated work on an upstream, by this node and the others, in tokens.
    #[must_use]
    pub fn backlog(&self, upstream: UpstreamKey) -> Option<u32> {
        self.rows.get(upstream).map(UpstreamRow::backlog)
    }

    /// Returns the smoothed work of other nodes on an upstream according to its load reports, in
    /// tokens.
    #[must_use]
    pub fn other_nodes_backlog(&self, upstream: UpstreamKey) -> Option<f32> {
        self.rows.get(upstream).map(|row| row.other_nodes_backlog)
    }

    /// Returns the number of requests that this node has in flight on an upstream.
    #[must_use]
    pub fn own_requests(&self, upstream: UpstreamKey) -> u32 {
        self.rows.get(upstream).map_or(0, |row| row.own_requests)
    }

    /// Returns the weight version of the last load report.
    #[must_use]
    pub fn version(&self, upstream: UpstreamKey) -> Option<WeightVersion> {
        self.rows.get(upstream).and_then(|row| row.version)
    }

    /// Returns the price class of an upstream, that is, whether it can be reclaimed.
    #[must_use]
    pub fn price_class(&self, upstream: UpstreamKey) -> Option<PriceClass> {
        self.rows.get(upstream).map(|row| row.properties.price_class)
    }

    /// Returns the time since the measurement of the last load report.
    #[must_use]
    pub fn report_age(&self, now: Moment, upstream: UpstreamKey) -> Option<Span> {
        let row = self.rows.get(upstream)?;
        row.measured_at.map(|measured_at| now.since(measured_at))
    }

    /// Returns the one-way network latency from this node to a zone, or zero for an unknown zone.
    #[must_use]
    pub fn zone_latency(&self, zone: ZoneKey) -> Span {
        self.zone_latencies.get(zone.0 as usize).copied().unwrap_or(Span::ZERO)
    }

    pub(crate) fn row(&self, upstream: UpstreamKey) -> Option<&UpstreamRow> {
        self.rows.get(upstream)
    }

    pub(crate) const fn own_work_factor(&self) -> f32 {
        self.own_work_factor
    }

    pub(crate) const fn mean_token_time(&self) -> f32 {
        self.mean_token_time
    }

    pub(crate) const fn max_speed(&self) -> f32 {
        self.max_speed
    }

    pub(crate) fn properties(&self, upstream: UpstreamKey) -> Option<UpstreamProperties> {
        self.rows.get(upstream).map(|row| row.properties)
    }
}

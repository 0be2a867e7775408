//! What the node knows about each upstream.

use base::{Arena, Moment, Span, UpstreamKey, WeightVersion, ZoneKey, derive_copy};

use crate::{
    InFlightRequest, LoadMeasurement, PriceClass, RequestOutcome, UpstreamProperties,
    UpstreamState, upstream::UpstreamRow,
};

derive_copy! {
    /// Starting values of the table.
    pub struct TableSettings {
        /// Speed assumed before an upstream has completed a request, in tokens per second.
        pub initial_speed: u32,
        /// Mean work of a request assumed before any has completed, in tokens.
        pub initial_request: u32,
    }
}

/// Own work counts at most for this many nodes. Beyond it, it outweighs the reports anyway.
const MAX_OWN_WEIGHT: u32 = 32;

/// Weight of one completed request in the means over all upstreams.
const MEAN_WEIGHT: f32 = 1.0 / 64.0;

/// State of the upstreams, addressed by [`UpstreamKey`].
#[derive(Debug, Clone)]
pub struct UpstreamTable {
    settings: TableSettings,
    rows: Arena<UpstreamKey, UpstreamRow>,
    zone_latencies: Vec<Span>,
    mean_request: f32,
    mean_token_time: f32,
    max_speed: f32,
    own_weight: f32,
}

impl Default for TableSettings {
    fn default() -> Self {
        Self { initial_speed: 1_000, initial_request: 200 }
    }
}

impl UpstreamTable {
    /// Creates an empty table. `zone_latencies` holds the one-way time from this node to each zone, by
    /// [`ZoneKey`].
    #[must_use]
    pub fn new(settings: TableSettings, zone_latencies: Vec<Span>) -> Self {
        Self {
            settings,
            rows: Arena::new(),
            zone_latencies,
            mean_request: settings.initial_request as f32,
            mean_token_time: 0.0,
            max_speed: settings.initial_speed as f32,
            own_weight: 1.0,
        }
    }

    /// Sets how many nodes share the upstreams, this one included. It is 1 until stated otherwise.
    ///
    /// The others choose by the same rules, so what this node has sent stands for as much from each
    /// of them until reports show it. Choices compare upstreams with that in mind.
    pub fn set_node_count(&mut self, nodes: u32) {
        self.own_weight = nodes.clamp(1, MAX_OWN_WEIGHT) as f32;
    }

    /// Adds an upstream that takes work.
    pub fn add(&mut self, properties: UpstreamProperties) -> UpstreamKey {
        self.add_with_speed(properties, self.settings.initial_speed)
    }

    /// Adds an upstream that takes work at an expected speed in tokens per second, which holds until
    /// completed requests show its true one.
    pub fn add_with_speed(&mut self, properties: UpstreamProperties, speed: u32) -> UpstreamKey {
        self.rows.push(UpstreamRow::new(properties, speed.max(1) as f32))
    }

    /// Changes whether an upstream may be chosen. Leaving is final, except that it can go down.
    pub fn set_state(&mut self, upstream: UpstreamKey, state: UpstreamState) {
        let Some(row) = self.rows.get_mut(upstream) else { return };
        if row.state == UpstreamState::Leaving && state != UpstreamState::Down {
            return;
        }
        row.state = state;
    }

    /// Keeps an upstream free for an isolated run.
    pub fn reserve(&mut self, upstream: UpstreamKey) {
        if let Some(row) = self.rows.get_mut(upstream) {
            row.reserved = true;
        }
    }

    /// Ends what [`UpstreamTable::reserve`] began.
    pub fn release(&mut self, upstream: UpstreamKey) {
        if let Some(row) = self.rows.get_mut(upstream) {
            row.reserved = false;
        }
    }

    /// Takes in a load report. One that is not newer than the last is ignored.
    ///
    /// What the report holds beyond the node's own work at the time of measurement belongs to
    /// other nodes and counts unchanged until the next report. Their arrivals make up for what the
    /// upstream completes meanwhile, and the node's own work is known exactly.
    pub fn record_load(&mut self, now: Moment, upstream: UpstreamKey, load: LoadMeasurement) {
        let mean_request = self.mean_request;
        let Some(row) = self.rows.get_mut(upstream) else { return };
        if row.measured_at.is_some_and(|last| load.measured_at <= last) {
            return;
        }
        row.keep_history(now);
        // While a new request runs, each one in the batch gets as much as it does, so those count
        // like the queued ones.
        let requests = load.running.saturating_add(load.queued);
        let total = (requests as f32 * mean_request) as u32;
        let others = total.saturating_sub(row.outstanding_at(load.measured_at));
        row.blend_others(now, load.measured_at, others as f32);
        row.measured_at = Some(load.measured_at);
        row.version = load.version;
    }

    /// Counts a request of `tokens` estimated work that is given to `upstream`.
    pub fn start(&mut self, now: Moment, upstream: UpstreamKey, tokens: u32) -> InFlightRequest {
        let mut backlog = 0;
        if let Some(row) = self.rows.get_mut(upstream) {
            row.keep_history(now);
            backlog = row.backlog();
            row.outstanding = row.outstanding.saturating_add(tokens);
            row.own_requests += 1;
        }
        InFlightRequest { upstream, started_at: now, tokens, backlog }
    }

    /// Ends a request and learns from it.
    pub fn finish(&mut self, now: Moment, request: InFlightRequest, outcome: RequestOutcome) {
        let Some(row) = self.rows.get_mut(request.upstream) else { return };
        row.keep_history(now);
        row.outstanding = row.outstanding.saturating_sub(request.tokens);
        row.own_requests = row.own_requests.saturating_sub(1);
        let RequestOutcome::Completed { tokens } = outcome else { return };
        self.mean_request += (tokens as f32 - self.mean_request) * MEAN_WEIGHT;
        let took = now.since(request.started_at).0.max(1) as f32 / 1e6;
        let backlog = (request.backlog as f32 + row.backlog() as f32) / 2.0;
        row.learn(tokens as f32, took, backlog, self.mean_request);
        let token_time = took / tokens.max(1) as f32;
        let weight = if self.mean_token_time > 0.0 { MEAN_WEIGHT } else { 1.0 };
        self.mean_token_time += (token_time - self.mean_token_time) * weight;
        self.max_speed = self.max_speed.max(row.speed);
    }

    /// Recomputes the highest speed, which only rises between two calls. Due about every second.
    pub fn refresh_max_speed(&mut self) {
        let live = self.rows.iter().filter(|(_, row)| row.takes_work());
        let highest = live.map(|(_, row)| row.speed).fold(0.0, f32::max);
        self.max_speed = if highest > 0.0 { highest } else { self.settings.initial_speed as f32 };
    }

    /// Returns the number of upstreams, those that are down included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Tells whether the table is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns whether an upstream may be chosen.
    #[must_use]
    pub fn state(&self, upstream: UpstreamKey) -> Option<UpstreamState> {
        self.rows.get(upstream).map(|row| row.state)
    }

    /// Returns the learned speed in tokens per second.
    #[must_use]
    pub fn speed(&self, upstream: UpstreamKey) -> Option<f32> {
        self.rows.get(upstream).map(|row| row.speed)
    }

    /// Returns the estimated work on an upstream, in tokens.
    #[must_use]
    pub fn backlog(&self, upstream: UpstreamKey) -> Option<u32> {
        self.rows.get(upstream).map(UpstreamRow::backlog)
    }

    /// Returns the work of other nodes on an upstream by its load reports, in tokens.
    #[must_use]
    pub fn other_nodes_backlog(&self, upstream: UpstreamKey) -> Option<f32> {
        self.rows.get(upstream).map(|row| row.other_nodes_backlog)
    }

    /// Returns the node's own requests on an upstream.
    #[must_use]
    pub fn own_requests(&self, upstream: UpstreamKey) -> u32 {
        self.rows.get(upstream).map_or(0, |row| row.own_requests)
    }

    /// Returns the weight version of the last load report.
    #[must_use]
    pub fn version(&self, upstream: UpstreamKey) -> Option<WeightVersion> {
        self.rows.get(upstream).and_then(|row| row.version)
    }

    /// Returns whether an upstream can be reclaimed.
    #[must_use]
    pub fn price_class(&self, upstream: UpstreamKey) -> Option<PriceClass> {
        self.rows.get(upstream).map(|row| row.properties.price_class)
    }

    /// Returns the age of the last load report.
    #[must_use]
    pub fn report_age(&self, now: Moment, upstream: UpstreamKey) -> Option<Span> {
        let row = self.rows.get(upstream)?;
        row.measured_at.map(|measured_at| now.since(measured_at))
    }

    /// Returns the one-way time from this node to a zone.
    #[must_use]
    pub fn zone_latency(&self, zone: ZoneKey) -> Span {
        self.zone_latencies.get(zone.0 as usize).copied().unwrap_or(Span::ZERO)
    }

    pub(crate) fn row(&self, upstream: UpstreamKey) -> Option<&UpstreamRow> {
        self.rows.get(upstream)
    }

    pub(crate) const fn own_weight(&self) -> f32 {
        self.own_weight
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

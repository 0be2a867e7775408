//! Time of one pick among many upstreams, measured on this machine.

use std::time::Instant;

use base::{Moment, Span, UpstreamKey, ZoneKey};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use routing::{
    LeastOutstanding, LoadMeasurement, PickPolicy, PickRequest, PriceClass, RandomPick,
    RequestOutcome, RoundRobin, RouteUpstreams, TableSettings, UpstreamPicker, UpstreamProperties,
    UpstreamTable,
};

use crate::{
    flags,
    report::{ReportTable, RunReport, TargetBound, TargetLine},
};

const ZONES: u32 = 11;
const TARGET_MICROS: f64 = 2.0;

pub(crate) fn run(flags: &flags::PickCost) -> RunReport {
    let upstreams = flags.upstreams.unwrap_or(600);
    let choices = flags.choices.unwrap_or(2_000_000);
    let mut table = ReportTable::new("policy", &["us per choice"]);
    let picker = mean_micros(&mut UpstreamPicker::default(), upstreams, choices);
    table.push("route picker", vec![picker]);
    // The baselines scan all upstreams, so each pick takes longer and fewer give a stable mean.
    let baseline_choices = (choices / 20).max(1);
    table.push(
        "least outstanding",
        vec![mean_micros(&mut LeastOutstanding, upstreams, baseline_choices)],
    );
    table.push("random", vec![mean_micros(&mut RandomPick, upstreams, baseline_choices)]);
    table.push(
        "round robin",
        vec![mean_micros(&mut RoundRobin::default(), upstreams, baseline_choices)],
    );
    let name = format!("microseconds per choice among {upstreams} upstreams");
    RunReport {
        title: format!("{choices} choices, prefix affinity and updates of the table included"),
        tables: vec![table],
        targets: vec![TargetLine::new(name, TargetBound::Below, TARGET_MICROS, picker)],
        plot: None,
    }
}

/// Returns the mean time of a pick in microseconds, including the table updates when the request
/// starts and finishes.
fn mean_micros(policy: &mut impl PickPolicy, upstreams: u32, choices: u64) -> f64 {
    let zone_latencies = (0..u64::from(ZONES)).map(Span::from_millis).collect();
    let mut table = UpstreamTable::new(TableSettings::default(), zone_latencies);
    for index in 0..upstreams {
        let zone = ZoneKey(index % ZONES);
        let price_class = PriceClass::Regular;
        let key = table.add(UpstreamProperties { name_hash: u64::from(index), zone, price_class });
        let running = index * 7 % 13;
        let load = LoadMeasurement { running, queued: 0, version: None, measured_at: Moment(1) };
        table.record_load(Moment(1), key, load);
    }
    let route_upstreams = RouteUpstreams::new(&table, ZoneKey(0), (0..upstreams).map(UpstreamKey));
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut now = Moment(2);
    let started = Instant::now();
    for number in 0..choices {
        now += Span(500);
        let request = PickRequest {
            tokens: 300,
            prompt_tokens: 500,
            prefix: Some(number.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            min_version: None,
            avoid: &[],
        };
        let Some(choice) = policy.pick(now, &table, &route_upstreams, &request, &mut rng) else {
            continue;
        };
        let work = table.start(now, choice.upstream, request.tokens);
        table.finish(now + Span::from_millis(300), work, RequestOutcome::Completed { tokens: 300 });
    }
    started.elapsed().as_secs_f64() * 1e6 / choices.max(1) as f64
}

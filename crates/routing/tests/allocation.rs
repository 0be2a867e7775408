//! Guards against heap allocations on the request path: a choice among 600 upstreams makes none.

use base::{Moment, Span, UpstreamKey, ZoneKey};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use routing::{
    PickPolicy as _, PickRequest, PriceClass, RequestOutcome, RouteUpstreams, TableSettings,
    UpstreamPicker, UpstreamProperties, UpstreamState, UpstreamTable,
};

#[test]
fn choice_among_600_upstreams_does_not_allocate() {
    let zone_latencies = (0..11).map(Span::from_millis).collect();
    let mut table = UpstreamTable::new(TableSettings::default(), zone_latencies);
    for index in 0..600 {
        let zone = ZoneKey(index % 11);
        let price_class = PriceClass::Regular;
        table.add(UpstreamProperties { name_hash: u64::from(index), zone, price_class });
    }
    let upstreams = RouteUpstreams::new(&table, ZoneKey(0), (0..600).map(UpstreamKey));
    let mut picker = UpstreamPicker::default();
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut now = Moment(0);
    let mut picked = 0;
    // The library's global allocator counts the calls of this thread only.
    let counted = allocation_counter::measure(|| {
        for number in 0..20_000_u64 {
            now += Span::from_millis(1);
            let request = PickRequest {
                tokens: 300,
                prompt_tokens: 500,
                prefix: Some(number % 50),
                min_version: None,
                avoid: &[],
            };
            let Some(result) = picker.pick(now, &table, &upstreams, &request, &mut rng) else {
                break;
            };
            picked += 1;
            let in_flight = table.start(now, result.upstream, request.tokens);
            table.finish(
                now + Span::from_millis(300),
                in_flight,
                RequestOutcome::Completed { tokens: 300 },
            );
            if number == 10_000 {
                // With one upstream left, sampling mostly fails and the full scan is used.
                for index in 1..600 {
                    table.set_state(UpstreamKey(index), UpstreamState::Leaving);
                }
            }
        }
    });
    assert_eq!((counted.count_total, picked), (0, 20_000));
    // Checks that the counter sees allocations.
    let counted = allocation_counter::measure(|| drop(Box::new(picked)));
    assert_eq!(counted.count_total, 1);
}

//! Search for the cheapest mix of regular and cheap upstreams that still serves live requests after
//! the loss of all cheap upstreams of one zone.

use crate::planner::ServiceSettings;

/// Bounds and price of one pool of upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Bounds {
    pub(crate) min: u32,
    pub(crate) max: u32,
    pub(crate) price: u32,
}

impl Bounds {
    pub(crate) const NONE: Self = Self { min: 0, max: 0, price: 0 };
}

/// Pools of one service in one zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ZonePools {
    pub(crate) regular: Bounds,
    pub(crate) cheap: Bounds,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Mix {
    /// Number of regular upstreams in all zones together.
    pub(crate) regular: u32,
    /// Number of cheap upstreams in each zone, in the order of the pools.
    pub(crate) cheap: Vec<u32>,
}

/// Chooses the cheapest mix for a demand of `total`, of which `live` is the demand of live
/// requests.
///
/// Each mix in the search serves `total` at `utilization`, and `live` at `utilization_after_loss`
/// when the cheap upstreams of any one zone are lost. When the pools are too small for that, the
/// mix that lacks the fewest regular upstreams is chosen. All zones have the same number of cheap
/// upstreams, within the bounds of their pools.
pub(crate) fn choose_mix(
    settings: &ServiceSettings,
    live: f64,
    total: f64,
    pools: &[ZonePools],
) -> Mix {
    let total_needed = upstreams(total, settings.capacity * settings.utilization);
    let live_needed = upstreams(live, settings.capacity * settings.utilization_after_loss);
    let min_regular_for_live = (f64::from(live_needed) * settings.min_regular_share).ceil() as u32;
    let regular_pool_min = pools.iter().map(|pool| pool.regular.min).sum();
    let regular_pool_max = pools.iter().map(|pool| pool.regular.max).fold(0, u32::saturating_add);
    let max_cheap_per_zone =
        pools.iter().map(|pool| pool.cheap.max).max().unwrap_or(0).min(total_needed);
    let mut best: Option<((u32, u64), Mix)> = None;
    for cheap_per_zone in 0..=max_cheap_per_zone {
        let clamped = |pool: &ZonePools| cheap_per_zone.min(pool.cheap.max).max(pool.cheap.min);
        let cheap: Vec<u32> = pools.iter().map(clamped).collect();
        let cheap_total: u32 = cheap.iter().sum();
        let largest = cheap.iter().copied().max().unwrap_or(0);
        let needed_after_loss = live_needed.saturating_sub(cheap_total - largest);
        let needed = min_regular_for_live
            .max(needed_after_loss)
            .max(total_needed.saturating_sub(cheap_total))
            .max(regular_pool_min);
        let regular = needed.min(regular_pool_max);
        let mix = Mix { regular, cheap };
        let rank = (needed - regular, price(&mix, pools));
        if best.as_ref().is_none_or(|(best_rank, _)| rank < *best_rank) {
            best = Some((rank, mix));
        }
    }
    best.map_or_else(|| Mix { regular: 0, cheap: Vec::new() }, |(_, mix)| mix)
}

fn price(mix: &Mix, pools: &[ZonePools]) -> u64 {
    let prices = pools.iter().filter(|pool| pool.regular.max > 0).map(|pool| pool.regular.price);
    let regular = u64::from(mix.regular) * u64::from(prices.max().unwrap_or(0));
    let cheap = mix.cheap.iter().zip(pools);
    regular + cheap.map(|(&n, pool)| u64::from(n) * u64::from(pool.cheap.price)).sum::<u64>()
}

fn upstreams(demand: f64, capacity: f64) -> u32 {
    (demand / capacity.max(1e-9)).ceil() as u32
}

/// Distributes `count` regular upstreams over the zones in proportion to `weights`, within the
/// bounds of the pools. Zones have equal parts when all weights are 0.
pub(crate) fn apportion(count: u32, weights: &[f64], pools: &[ZonePools]) -> Vec<u32> {
    let sum: f64 = weights.iter().sum();
    let even = 1.0 / weights.len().max(1) as f64;
    let share = |weight: f64| if sum > 0.0 { weight / sum } else { even };
    let quotas: Vec<f64> = weights.iter().map(|&w| f64::from(count) * share(w)).collect();
    let start = quotas.iter().zip(pools).map(|(_, pool)| pool.regular.min);
    let mut counts: Vec<u32> = start.collect();
    let deficit = |counts: &[u32], index: usize| quotas[index] - f64::from(counts[index]);
    while counts.iter().sum::<u32>() < count {
        let below_max = (0..counts.len()).filter(|&index| counts[index] < pools[index].regular.max);
        let largest_deficit = below_max
            .max_by(|&a, &b| deficit(&counts, a).total_cmp(&deficit(&counts, b)).then(b.cmp(&a)));
        let Some(index) = largest_deficit else { break };
        counts[index] += 1;
    }
    counts
}

//! The cheapest mix of regular and cheap upstreams that survives the loss of one zone's cheap ones.

use crate::planner::ServiceSettings;

/// Bounds and price of one pool.
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
    /// Regular upstreams in all zones together.
    pub(crate) regular: u32,
    /// Cheap upstreams in each zone.
    pub(crate) cheap: Vec<u32>,
}

/// Chooses the mix for a demand of `live` out of `total`.
///
/// Every mix considered serves `total` at the planned utilization, and `live` at the utilization
/// after a loss when any one zone's cheap upstreams are gone. When the pools are too small for
/// that, the mix that lacks least is chosen.
pub(crate) fn choose_mix(
    settings: &ServiceSettings,
    live: f64,
    total: f64,
    pools: &[ZonePools],
) -> Mix {
    let all = upstreams(total, settings.capacity * settings.utilization);
    let kept = upstreams(live, settings.capacity * settings.utilization_after_loss);
    let floor = (f64::from(kept) * settings.min_regular_share).ceil() as u32;
    let regular_min = pools.iter().map(|pool| pool.regular.min).sum();
    let regular_max = pools.iter().map(|pool| pool.regular.max).fold(0, u32::saturating_add);
    let highest_level = pools.iter().map(|pool| pool.cheap.max).max().unwrap_or(0).min(all);
    let mut best: Option<((u32, u64), Mix)> = None;
    for level in 0..=highest_level {
        let clamped = |pool: &ZonePools| level.min(pool.cheap.max).max(pool.cheap.min);
        let cheap: Vec<u32> = pools.iter().map(clamped).collect();
        let sum: u32 = cheap.iter().sum();
        let largest = cheap.iter().copied().max().unwrap_or(0);
        let for_loss = kept.saturating_sub(sum - largest);
        let needed = floor.max(for_loss).max(all.saturating_sub(sum)).max(regular_min);
        let regular = needed.min(regular_max);
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

/// Spreads `count` regular upstreams over zones in proportion to `weights`, within the bounds of
/// the pools.
pub(crate) fn apportion(count: u32, weights: &[f64], pools: &[ZonePools]) -> Vec<u32> {
    let sum: f64 = weights.iter().sum();
    let even = 1.0 / weights.len().max(1) as f64;
    let share = |weight: f64| if sum > 0.0 { weight / sum } else { even };
    let exact: Vec<f64> = weights.iter().map(|&w| f64::from(count) * share(w)).collect();
    let start = exact.iter().zip(pools).map(|(_, pool)| pool.regular.min);
    let mut parts: Vec<u32> = start.collect();
    let lacks = |parts: &[u32], index: usize| exact[index] - f64::from(parts[index]);
    while parts.iter().sum::<u32>() < count {
        let open = (0..parts.len()).filter(|&index| parts[index] < pools[index].regular.max);
        let most =
            open.max_by(|&a, &b| lacks(&parts, a).total_cmp(&lacks(&parts, b)).then(b.cmp(&a)));
        let Some(index) = most else { break };
        parts[index] += 1;
    }
    parts
}

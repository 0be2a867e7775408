//! The cheapest mix of regular and cheap upstreams that survives the loss of one zone's cheap ones.

use crate::plan::ServiceSettings;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Mix {
    /// Regular upstreams in all zones together.
    pub(crate) regular: u32,
    /// Cheap upstreams in each zone that has any.
    pub(crate) cheap_per_zone: u32,
}

/// Chooses the mix for a demand of `live` out of `total`.
///
/// Every mix considered serves `total` at the planned utilization, and `live` at the utilization
/// after a loss when any one zone's cheap upstreams are gone.
pub(crate) fn choose_mix(
    settings: &ServiceSettings,
    live: f64,
    total: f64,
    cheap_zones: u32,
) -> Mix {
    let all = upstreams(total, settings.capacity * settings.utilization);
    let kept = upstreams(live, settings.capacity * settings.utilization_after_loss);
    let floor = (f64::from(kept) * settings.min_regular_share).ceil() as u32;
    let mut best = Mix { regular: all.max(floor), cheap_per_zone: 0 };
    let mut best_price = price(settings, best, cheap_zones);
    for cheap_per_zone in 1..=all {
        if cheap_zones == 0 {
            break;
        }
        let without_one_zone = kept.saturating_sub((cheap_zones - 1) * cheap_per_zone);
        let in_all = all.saturating_sub(cheap_zones * cheap_per_zone);
        let mix = Mix { regular: floor.max(without_one_zone).max(in_all), cheap_per_zone };
        let mix_price = price(settings, mix, cheap_zones);
        if mix_price < best_price {
            (best, best_price) = (mix, mix_price);
        }
    }
    best
}

fn price(settings: &ServiceSettings, mix: Mix, cheap_zones: u32) -> u64 {
    u64::from(mix.regular) * u64::from(settings.regular_price)
        + u64::from(cheap_zones) * u64::from(mix.cheap_per_zone) * u64::from(settings.cheap_price)
}

fn upstreams(demand: f64, capacity: f64) -> u32 {
    (demand / capacity.max(1e-9)).ceil() as u32
}

/// Spreads `count` over zones in proportion to `weights` by largest remainder, with at least
/// `least` each.
pub(crate) fn apportion(count: u32, weights: &[f64], least: u32) -> Vec<u32> {
    let sum: f64 = weights.iter().sum();
    let even = 1.0 / weights.len().max(1) as f64;
    let share = |weight: f64| if sum > 0.0 { weight / sum } else { even };
    let exact: Vec<f64> = weights.iter().map(|&w| f64::from(count) * share(w)).collect();
    let mut parts: Vec<u32> = exact.iter().map(|part| part.floor() as u32).collect();
    let mut order: Vec<usize> = (0..weights.len()).collect();
    order.sort_by(|&a, &b| exact[b].fract().total_cmp(&exact[a].fract()).then(a.cmp(&b)));
    let missing = count.saturating_sub(parts.iter().sum());
    for &index in order.iter().take(missing as usize) {
        parts[index] += 1;
    }
    for part in &mut parts {
        *part = (*part).max(least);
    }
    parts
}

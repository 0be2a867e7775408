//! Conversion of the document's pools and the platform's list into inputs of the fleet planner.

use authority::PriceClass;
use base::ZoneKey;
use clients::{UpstreamInfo, UpstreamState};
use document::{EnvironmentDocument, PoolEntry};
use fleet::{PoolSettings, ServiceSettings, UpstreamCount};

/// Returns the planner settings of all services that have a pool without fixed addresses.
///
/// A pool with addresses gets equal minimum and maximum counts: its upstreams serve demand, but
/// none are ordered for it. Pools of the same zone and price class are merged into one.
pub(crate) fn service_settings(
    document: &EnvironmentDocument,
    mut zone_key: impl FnMut(&str) -> ZoneKey,
) -> Vec<ServiceSettings> {
    let mut all = Vec::new();
    for service in &document.services {
        let pools = document.pools.iter().filter(|pool| pool.service == service.name);
        let pools = pools.collect::<Vec<_>>();
        if pools.iter().all(|pool| !pool.addresses.is_empty()) {
            continue;
        }
        // The slowest pool sets the capacity, so that no upstream is planned for more than it can
        // serve.
        let capacity = pools.iter().map(|pool| pool.speed).min().unwrap_or(0);
        let mut merged = Vec::<PoolSettings>::new();
        for pool in pools {
            let settings = pool_settings(pool, zone_key(&pool.zone));
            let is_same_pool = |known: &&mut PoolSettings| {
                known.zone == settings.zone && known.price_class == settings.price_class
            };
            match merged.iter_mut().find(is_same_pool) {
                Some(known) => {
                    known.min += settings.min;
                    known.max += settings.max;
                    known.price = known.price.max(settings.price);
                    known.startup = known.startup.max(settings.startup);
                }
                None => merged.push(settings),
            }
        }
        let mut settings = ServiceSettings::new(service.name.as_str(), f64::from(capacity), merged);
        settings.stop_hold = document.stop_hold;
        all.push(settings);
    }
    all
}

fn pool_settings(pool: &PoolEntry, zone: ZoneKey) -> PoolSettings {
    let fixed = pool.addresses.len() as u32;
    let (min, max) = match fixed {
        0 => (pool.min_count, pool.max_count),
        _ => (fixed, fixed),
    };
    PoolSettings {
        zone,
        price_class: if pool.cheap { fleet::PriceClass::Cheap } else { fleet::PriceClass::Regular },
        min,
        max,
        price: pool.price_cents_per_hour,
        startup: pool.startup,
    }
}

/// Returns the listed upstreams of a zone that can be started and stopped by orders and that the
/// platform does not list as leaving.
pub(crate) fn orderable<'l>(
    document: &'l EnvironmentDocument,
    zone: &'l str,
    listed: &'l [UpstreamInfo],
) -> impl Iterator<Item = &'l UpstreamInfo> {
    let is_fixed = |info: &UpstreamInfo| {
        document.pools.iter().any(|pool| pool.addresses.contains(&info.address))
    };
    listed.iter().filter(move |info| {
        info.zone == zone && info.state != UpstreamState::Leaving && !is_fixed(info)
    })
}

/// Counts the upstreams of a zone that are not leaving, including those of pools with addresses.
pub(crate) fn upstream_counts(
    document: &EnvironmentDocument,
    zone: &str,
    key: ZoneKey,
    listed: &[UpstreamInfo],
    is_leaving: impl Fn(&str) -> bool,
) -> Vec<UpstreamCount> {
    let fixed = document.pools.iter().filter(|pool| pool.zone == zone).map(|pool| UpstreamCount {
        service: pool.service.clone(),
        zone: key,
        price_class: if pool.cheap { fleet::PriceClass::Cheap } else { fleet::PriceClass::Regular },
        count: pool.addresses.len() as u32,
    });
    let staying = orderable(document, zone, listed).filter(|info| !is_leaving(&info.name));
    let orderable = staying.map(|info| UpstreamCount {
        service: info.service.clone(),
        zone: key,
        price_class: if info.cheap { fleet::PriceClass::Cheap } else { fleet::PriceClass::Regular },
        count: 1,
    });
    fixed.chain(orderable).collect()
}

/// Converts the planner's price class to that of an order.
pub(crate) const fn price_class(class: fleet::PriceClass) -> PriceClass {
    match class {
        fleet::PriceClass::Regular => PriceClass::Regular,
        fleet::PriceClass::Cheap => PriceClass::Cheap,
    }
}

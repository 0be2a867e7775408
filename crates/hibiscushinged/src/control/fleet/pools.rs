//! What the document says about upstreams that can be ordered.

use authority::PriceClass;
use base::ZoneKey;
use clients::{UpstreamInfo, UpstreamState};
use document::{EnvironmentDocument, PoolEntry};
use fleet::{PoolSettings, ServiceSettings, UpstreamCount};

/// Returns the settings of all services that have a pool without addresses.
///
/// A pool with addresses is planned as one whose size is fixed. Its upstreams serve demand, and the
/// plan has nothing to order for it.
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
        // The slowest pool decides, so that no upstream is planned for more than it can serve.
        let capacity = pools.iter().map(|pool| pool.speed).min().unwrap_or(0);
        let mut merged = Vec::<PoolSettings>::new();
        for pool in pools {
            let settings = pool_settings(pool, zone_key(&pool.zone));
            let same = |known: &&mut PoolSettings| {
                known.zone == settings.zone && known.price_class == settings.price_class
            };
            match merged.iter_mut().find(same) {
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

/// Returns the listed upstreams of a zone that orders may concern and that are not about to stop.
pub(crate) fn ordered<'l>(
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

/// Counts the upstreams of a zone, those of pools with addresses included.
pub(crate) fn counts(
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
    let staying = ordered(document, zone, listed).filter(|info| !is_leaving(&info.name));
    let ordered = staying.map(|info| UpstreamCount {
        service: info.service.clone(),
        zone: key,
        price_class: if info.cheap { fleet::PriceClass::Cheap } else { fleet::PriceClass::Regular },
        count: 1,
    });
    fixed.chain(ordered).collect()
}

pub(crate) const fn price_class(kind: fleet::PriceClass) -> PriceClass {
    match kind {
        fleet::PriceClass::Regular => PriceClass::Regular,
        fleet::PriceClass::Cheap => PriceClass::Cheap,
    }
}

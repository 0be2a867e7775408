//! Which engines load which version of the weights.
//!
//! Engines are shared out over the models of a service: each model keeps its share of the engines at
//! the newest version. A step accepts the version before the newest, so an engine serves on while
//! others of its share load. An engine that is current for a model stays in its share, because it is
//! the one with the least lag when the next version is named.

use std::collections::HashMap;

use base::{Moment, Span, WeightVersion, plain};

plain! {
    /// An engine of one service, as the plan sees it.
    pub struct EngineLoad {
        /// Identifier of the engine.
        pub id: String,
        /// Versions by model.
        pub versions: Vec<(String, WeightVersion)>,
        /// Load in progress, with the moment at which it was ordered.
        pub loading: Option<(String, WeightVersion, Moment)>,
    }

    /// A load to be ordered.
    pub struct LoadOrder {
        /// Engine.
        pub engine: String,
        /// Model.
        pub model: String,
        /// Version.
        pub version: WeightVersion,
    }

    /// Bounds of a plan.
    pub struct LoadPlan {
        /// Engines that may load at once. The weight store slows down beyond.
        pub at_once: usize,
        /// Engines that each model keeps current.
        pub per_model: usize,
    }
}

/// Part of the engines that may load at once. On the sheets the store slows down beyond a fifth to a
/// quarter of them.
const AT_ONCE_SHARE: f64 = 0.24;

/// Time after which a load that shows no effect no longer counts as in progress.
const LOAD_LIFE: Span = Span::from_secs(4);

impl LoadPlan {
    /// Returns the bounds for a service with so many engines and models.
    #[must_use]
    pub fn of(engines: usize, models: usize) -> Self {
        let at_once = (engines as f64 * AT_ONCE_SHARE) as usize;
        Self { at_once: at_once.max(1), per_model: engines.div_ceil(models.max(1)) }
    }
}

/// Says which loads to order now. `named` holds the newest version of each model.
#[must_use]
pub fn plan_loads(
    now: Moment,
    engines: &[EngineLoad],
    named: &[(String, WeightVersion)],
    plan: &LoadPlan,
) -> Vec<LoadOrder> {
    let running = |engine: &EngineLoad| {
        engine.loading.as_ref().is_some_and(|(_, _, at)| now.since(*at) < LOAD_LIFE)
    };
    let mut free = plan.at_once.saturating_sub(engines.iter().filter(|e| running(e)).count());
    let mut chosen: HashMap<&str, LoadOrder> = HashMap::new();
    let mut wanted: Vec<_> = named.iter().map(|(model, version)| (model, *version)).collect();
    // The model with the fewest current engines comes first.
    wanted.sort_by_key(|(model, version)| current(engines, model, *version));
    for (model, version) in wanted {
        let mut have = current(engines, model, version);
        let mut behind: Vec<_> = engines.iter().filter(|e| lag(e, model, version) > 0).collect();
        behind.sort_by_key(|engine| {
            (lag(engine, model, version), other_current(engine, model, named), &engine.id)
        });
        for engine in behind {
            if free == 0 || have >= plan.per_model {
                break;
            }
            if running(engine) || chosen.contains_key(engine.id.as_str()) {
                continue;
            }
            chosen.insert(
                &engine.id,
                LoadOrder { engine: engine.id.clone(), model: model.clone(), version },
            );
            free -= 1;
            have += 1;
        }
    }
    let mut orders: Vec<_> = chosen.into_values().collect();
    orders.sort_by(|a, b| a.engine.cmp(&b.engine));
    orders
}

/// Engines that have a version or are loading it.
fn current(engines: &[EngineLoad], model: &str, version: WeightVersion) -> usize {
    engines.iter().filter(|engine| lag(engine, model, version) == 0).count()
}

fn lag(engine: &EngineLoad, model: &str, version: WeightVersion) -> u64 {
    if let Some((loading, to, _)) = &engine.loading
        && loading == model
        && *to >= version
    {
        return 0;
    }
    let known = engine.versions.iter().find(|(name, _)| name == model);
    known.map_or(u64::MAX, |(_, known)| version.0.saturating_sub(known.0))
}

/// Counts the other models for which an engine is current, which its share would lose.
fn other_current(engine: &EngineLoad, model: &str, named: &[(String, WeightVersion)]) -> usize {
    let others = named.iter().filter(|(name, _)| name != model);
    others.filter(|(name, version)| lag(engine, name, *version) <= 1).count()
}

//! Which engines load which version of the weights.
//!
//! A step accepts the newest version and the one before it, so an engine that has loaded a version
//! serves two steps. The plan keeps as many engines as possible within one version of the newest:
//! loads go to the model with the fewest usable engines, and there to an engine that is not usable.

use std::collections::HashSet;

use base::{Moment, Span, WeightVersion, derive_copy, derive_value};

derive_value! {
    /// An engine of one service, as the plan sees it.
    pub struct EngineWeights {
        /// Identifier of the engine.
        pub id: String,
        /// Versions by model.
        pub versions: Vec<(String, WeightVersion)>,
        /// Load in progress, with the moment at which it was ordered.
        pub loading: Option<(String, WeightVersion, Moment)>,
    }

    /// A load to be ordered.
    pub struct WeightLoad {
        /// Engine.
        pub engine: String,
        /// Model.
        pub model: String,
        /// Version.
        pub version: WeightVersion,
    }
}

derive_copy! {
    /// Bounds of a plan.
    pub struct WeightLoadLimits {
        /// Engines that may load at once. The weight store slows down beyond.
        pub max_concurrent: usize,
        /// Engines that each model keeps at the newest version.
        pub engines_per_model: usize,
    }
}

/// Part of the engines that may load at once. On the sheets the store slows down beyond about a fifth
/// of them.
const CONCURRENT_SHARE: f64 = 0.21;

/// Least number of engines that may load at once, also when few are left.
const MIN_CONCURRENT: usize = 2;

/// Versions behind the newest one that a step still accepts.
const ACCEPTED_LAG: u64 = 1;

/// Time after which a load that shows no effect no longer counts as in progress.
const LOAD_LIFE: Span = Span::from_secs(4);

impl WeightLoadLimits {
    /// Returns the bounds for a service with so many engines and models.
    #[must_use]
    pub fn for_service(engines: usize, models: usize) -> Self {
        let max_concurrent = (engines as f64 * CONCURRENT_SHARE).round() as usize;
        Self {
            max_concurrent: max_concurrent.max(MIN_CONCURRENT),
            engines_per_model: engines.div_ceil(models.max(1)),
        }
    }
}

/// What a model still needs.
#[derive(Debug)]
struct ModelState<'a> {
    model: &'a str,
    version: WeightVersion,
    /// Engines that a step accepts now or after their load.
    usable: usize,
    /// Engines that have the newest version or are loading it.
    current: usize,
}

/// Says which loads to order now. `newest_versions` holds the newest version of each model.
#[must_use]
pub fn plan_weight_loads(
    now: Moment,
    engines: &[EngineWeights],
    newest_versions: &[(String, WeightVersion)],
    limits: WeightLoadLimits,
) -> Vec<WeightLoad> {
    let loading = |engine: &&EngineWeights| engine.is_loading(now);
    let free = limits.max_concurrent.saturating_sub(engines.iter().filter(loading).count());
    let mut models: Vec<ModelState<'_>> = newest_versions
        .iter()
        .map(|(model, version)| ModelState::of(engines, model, *version))
        .collect();
    let mut taken: HashSet<&str> = HashSet::new();
    let mut orders = Vec::new();
    while orders.len() < free {
        models.sort_by_key(|state| (state.usable, state.current, state.model));
        let mut chosen = None;
        for (at, state) in models.iter().enumerate() {
            let idle = engines
                .iter()
                .filter(|engine| !engine.is_loading(now) && !taken.contains(engine.id.as_str()));
            if let Some(engine) = state.choose(idle, newest_versions, limits) {
                chosen = Some((at, engine));
                break;
            }
        }
        let Some((at, engine)) = chosen else { break };
        let state = &mut models[at];
        if engine.lag(state.model, state.version) > ACCEPTED_LAG {
            state.usable += 1;
        }
        state.current += 1;
        taken.insert(&engine.id);
        orders.push(WeightLoad {
            engine: engine.id.clone(),
            model: String::from(state.model),
            version: state.version,
        });
    }
    orders
}

impl<'a> ModelState<'a> {
    fn of(engines: &[EngineWeights], model: &'a str, version: WeightVersion) -> Self {
        let lags = engines.iter().map(|engine| engine.lag(model, version));
        let (mut usable, mut current) = (0, 0);
        for lag in lags {
            usable += usize::from(lag <= ACCEPTED_LAG);
            current += usize::from(lag == 0);
        }
        Self { model, version, usable, current }
    }

    /// Chooses the engine whose load helps most: one that is not usable yet, with the fewest other
    /// models, or else one that the next version would make unusable.
    fn choose<'e>(
        &self,
        engines: impl Iterator<Item = &'e EngineWeights>,
        newest_versions: &[(String, WeightVersion)],
        limits: WeightLoadLimits,
    ) -> Option<&'e EngineWeights> {
        let mut best: Option<((bool, usize, &str), &EngineWeights)> = None;
        for engine in engines {
            let lag = engine.lag(self.model, self.version);
            if lag == 0 || (lag <= ACCEPTED_LAG && self.current >= limits.engines_per_model) {
                continue;
            }
            let rank =
                (lag <= ACCEPTED_LAG, engine.usable_models(newest_versions), engine.id.as_str());
            if best.as_ref().is_none_or(|(least, _)| rank < *least) {
                best = Some((rank, engine));
            }
        }
        best.map(|(_, engine)| engine)
    }
}

impl EngineWeights {
    fn is_loading(&self, now: Moment) -> bool {
        self.loading.as_ref().is_some_and(|(_, _, at)| now.since(*at) < LOAD_LIFE)
    }

    /// Versions that the engine is behind, after the load in progress.
    fn lag(&self, model: &str, version: WeightVersion) -> u64 {
        if let Some((loading, to, _)) = &self.loading
            && loading == model
            && *to >= version
        {
            return 0;
        }
        let known = self.versions.iter().find(|(name, _)| name == model);
        known.map_or(u64::MAX, |(_, known)| version.0.saturating_sub(known.0))
    }

    fn usable_models(&self, newest_versions: &[(String, WeightVersion)]) -> usize {
        let usable = newest_versions
            .iter()
            .filter(|(name, version)| self.lag(name, *version) <= ACCEPTED_LAG);
        usable.count()
    }
}

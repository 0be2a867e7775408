//! Planning of weight loads: which engine loads which version of a model's weights next.
//!
//! A step accepts the newest version and the one before it, so an engine that has loaded a version
//! is usable for two steps. The plan keeps as many engines as possible within one version of the
//! newest: the next load goes to the model with the fewest usable engines, and there to an engine
//! that is not usable.

use std::collections::HashSet;

use base::{Moment, Span, WeightVersion, derive_copy, derive_value};

derive_value! {
    /// Weights of one engine of a service, as input of a plan.
    pub struct EngineWeights {
        /// Identifier of the engine.
        pub id: String,
        /// Loaded version of each model.
        pub versions: Vec<(String, WeightVersion)>,
        /// Load in progress: model, version, and when it was ordered.
        pub loading: Option<(String, WeightVersion, Moment)>,
    }

    /// A weight load to be ordered.
    pub struct WeightLoad {
        /// Identifier of the engine.
        pub engine: String,
        /// Name of the model.
        pub model: String,
        /// Version to load.
        pub version: WeightVersion,
    }
}

derive_copy! {
    /// Bounds of a plan.
    pub struct WeightLoadLimits {
        /// Engines that may load at the same time. The weight store slows down with more.
        pub max_concurrent: usize,
        /// Engines of each model to be kept at the newest version, even where an older one is still
        /// accepted.
        pub engines_per_model: usize,
    }
}

/// Part of a service's engines that may load at the same time. The weight store slows down when
/// more than about a fifth of them load.
const MAX_CONCURRENT_SHARE: f64 = 0.21;

/// Lower bound of the engines that may load at the same time, for services with few engines.
const MIN_CONCURRENT_LOADS: usize = 2;

/// Largest number of versions behind the newest one that a step accepts.
const MAX_ACCEPTED_LAG: u64 = 1;

/// Timeout of a load in progress. After it the load counts as lost, and the engine may get another.
const LOAD_TIMEOUT: Span = Span::from_secs(4);

impl WeightLoadLimits {
    /// Returns the bounds for a service with this number of engines and models.
    #[must_use]
    pub fn for_service(engines: usize, models: usize) -> Self {
        let max_concurrent = (engines as f64 * MAX_CONCURRENT_SHARE).round() as usize;
        Self {
            max_concurrent: max_concurrent.max(MIN_CONCURRENT_LOADS),
            engines_per_model: engines.div_ceil(models.max(1)),
        }
    }
}

/// Number of engines that have a model in a sufficient version, as the plan is built.
#[derive(Debug)]
struct ModelCoverage<'a> {
    model: &'a str,
    version: WeightVersion,
    /// Engines whose version a step accepts, now or after their load.
    usable: usize,
    /// Engines that have the newest version or are loading it.
    current: usize,
}

/// Returns the loads to be ordered now, within `limits` and less those in progress.
/// `newest_versions` holds the newest version of each model.
#[must_use]
pub fn plan_weight_loads(
    now: Moment,
    engines: &[EngineWeights],
    newest_versions: &[(String, WeightVersion)],
    limits: WeightLoadLimits,
) -> Vec<WeightLoad> {
    let loading = |engine: &&EngineWeights| engine.is_loading(now);
    let max_orders = limits.max_concurrent.saturating_sub(engines.iter().filter(loading).count());
    let mut models: Vec<ModelCoverage<'_>> = newest_versions
        .iter()
        .map(|(model, version)| ModelCoverage::of(engines, model, *version))
        .collect();
    let mut ordered_engines: HashSet<&str> = HashSet::new();
    let mut orders = Vec::new();
    while orders.len() < max_orders {
        models.sort_by_key(|state| (state.usable, state.current, state.model));
        let mut chosen = None;
        for (position, state) in models.iter().enumerate() {
            let idle = engines.iter().filter(|engine| {
                !engine.is_loading(now) && !ordered_engines.contains(engine.id.as_str())
            });
            if let Some(engine) = state.choose(idle, newest_versions, limits) {
                chosen = Some((position, engine));
                break;
            }
        }
        let Some((position, engine)) = chosen else { break };
        let state = &mut models[position];
        if engine.lag(state.model, state.version) > MAX_ACCEPTED_LAG {
            state.usable += 1;
        }
        state.current += 1;
        ordered_engines.insert(&engine.id);
        orders.push(WeightLoad {
            engine: engine.id.clone(),
            model: String::from(state.model),
            version: state.version,
        });
    }
    orders
}

impl<'a> ModelCoverage<'a> {
    fn of(engines: &[EngineWeights], model: &'a str, version: WeightVersion) -> Self {
        let lags = engines.iter().map(|engine| engine.lag(model, version));
        let (mut usable, mut current) = (0, 0);
        for lag in lags {
            usable += usize::from(lag <= MAX_ACCEPTED_LAG);
            current += usize::from(lag == 0);
        }
        Self { model, version, usable, current }
    }

    /// Chooses the engine to load the model next: one that is not usable for it, with the fewest
    /// usable models, or else one that the next version would make unusable. Returns `None` when no
    /// engine needs a load.
    fn choose<'e>(
        &self,
        engines: impl Iterator<Item = &'e EngineWeights>,
        newest_versions: &[(String, WeightVersion)],
        limits: WeightLoadLimits,
    ) -> Option<&'e EngineWeights> {
        let mut best: Option<((bool, usize, &str), &EngineWeights)> = None;
        for engine in engines {
            let lag = engine.lag(self.model, self.version);
            if lag == 0 || (lag <= MAX_ACCEPTED_LAG && self.current >= limits.engines_per_model) {
                continue;
            }
            let rank = (
                lag <= MAX_ACCEPTED_LAG,
                engine.usable_models(newest_versions),
                engine.id.as_str(),
            );
            if best.as_ref().is_none_or(|(best_rank, _)| rank < *best_rank) {
                best = Some((rank, engine));
            }
        }
        best.map(|(_, engine)| engine)
    }
}

impl EngineWeights {
    fn is_loading(&self, now: Moment) -> bool {
        self.loading
            .as_ref()
            .is_some_and(|(_, _, ordered_at)| now.since(*ordered_at) < LOAD_TIMEOUT)
    }

    /// Returns how many versions the engine will be behind `version` once its load in progress has
    /// ended, or `u64::MAX` when it does not have the model.
    fn lag(&self, model: &str, version: WeightVersion) -> u64 {
        if let Some((loading, to, _)) = &self.loading
            && loading == model
            && *to >= version
        {
            return 0;
        }
        let loaded = self.versions.iter().find(|(name, _)| name == model);
        loaded.map_or(u64::MAX, |(_, loaded)| version.0.saturating_sub(loaded.0))
    }

    /// Returns the number of models of which the engine has, or is loading, a version that is
    /// recent enough for a step.
    fn usable_models(&self, newest_versions: &[(String, WeightVersion)]) -> usize {
        let usable = newest_versions
            .iter()
            .filter(|(name, version)| self.lag(name, *version) <= MAX_ACCEPTED_LAG);
        usable.count()
    }
}

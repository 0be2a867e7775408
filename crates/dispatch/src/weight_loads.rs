//! Planning of weight loads: which engine loads which version of a model's weights next.
//!
//! A step accepts the newest version and the one before it, so an engine that has loaded a version
//! is usable for two steps. The plan keeps as many engines as possible within one version of the
//! newest: the next load goes to the model with the fewest usable engines for its demand, and there
//! to an engine that is not usable.

use std::{cmp::Ordering, collections::HashSet};

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

    /// A model whose trainer publishes weight versions.
    pub struct ModelTarget {
        /// Name of the model.
        pub model: String,
        /// Newest published version.
        pub newest: WeightVersion,
        /// Tokens that a step of its trainer generates, or 0 if that is not known.
        pub demand: u64,
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
        /// Usual time of a load, if it is known. Older ones in progress are about to end and do not
        /// count as concurrent: that an engine has ended a load is learned late.
        pub usual_load_time: Option<Span>,
    }
}

/// Divisor of the mean demand of the models: the quotient counts as the demand of a model with less,
/// so that it keeps some usable engines.
const MIN_DEMAND_DIVISOR: u64 = 4;

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
            usual_load_time: None,
        }
    }
}

/// Number of engines that have a model in a sufficient version, as the plan is built.
#[derive(Debug)]
struct ModelCoverage<'a> {
    model: &'a str,
    version: WeightVersion,
    /// Demand by which the model's engines are weighed, at least 1.
    weight: u64,
    /// Engines whose version a step accepts, now or after their load.
    usable: usize,
    /// Engines that have the newest version or are loading it.
    current: usize,
}

/// Returns the loads to be ordered now, within `limits` and less those in progress.
/// `targets` holds the models and their newest versions.
#[must_use]
pub fn plan_weight_loads(
    now: Moment,
    engines: &[EngineWeights],
    targets: &[ModelTarget],
    limits: WeightLoadLimits,
) -> Vec<WeightLoad> {
    let concurrent = engines.iter().filter(|engine| engine.is_concurrent(now, limits)).count();
    let max_orders = limits.max_concurrent.saturating_sub(concurrent);
    let total = targets.iter().fold(0, |sum, target| u64::saturating_add(sum, target.demand));
    let least = total / (targets.len().max(1) as u64 * MIN_DEMAND_DIVISOR);
    let mut models: Vec<ModelCoverage<'_>> = targets
        .iter()
        .map(|target| ModelCoverage::of(engines, target, target.demand.max(least).max(1)))
        .collect();
    let mut ordered_engines: HashSet<&str> = HashSet::new();
    let mut orders = Vec::new();
    while orders.len() < max_orders {
        models.sort_by(ModelCoverage::compare);
        let mut chosen = None;
        for (position, state) in models.iter().enumerate() {
            let idle = engines.iter().filter(|engine| {
                !engine.is_loading(now) && !ordered_engines.contains(engine.id.as_str())
            });
            if let Some(engine) = state.choose(idle, targets, limits) {
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
    fn of(engines: &[EngineWeights], target: &'a ModelTarget, weight: u64) -> Self {
        let (model, version) = (target.model.as_str(), target.newest);
        let lags = engines.iter().map(|engine| engine.lag(model, version));
        let (mut usable, mut current) = (0, 0);
        for lag in lags {
            usable += usize::from(lag <= MAX_ACCEPTED_LAG);
            current += usize::from(lag == 0);
        }
        Self { model, version, weight, usable, current }
    }

    /// Orders models by their usable engines for the demand, fewest first.
    fn compare(&self, other: &Self) -> Ordering {
        let weighed = |own: usize, weight: u64| own as u128 * u128::from(weight);
        weighed(self.usable, other.weight)
            .cmp(&weighed(other.usable, self.weight))
            .then_with(|| {
                weighed(self.current, other.weight).cmp(&weighed(other.current, self.weight))
            })
            .then_with(|| self.model.cmp(other.model))
    }

    /// Chooses the engine to load the model next: one that is not usable for it, with the fewest
    /// usable models, or else one that the next version would make unusable. Returns `None` when no
    /// engine needs a load.
    fn choose<'e>(
        &self,
        engines: impl Iterator<Item = &'e EngineWeights>,
        targets: &[ModelTarget],
        limits: WeightLoadLimits,
    ) -> Option<&'e EngineWeights> {
        let mut best: Option<((bool, usize, &str), &EngineWeights)> = None;
        for engine in engines {
            let lag = engine.lag(self.model, self.version);
            if lag == 0 || (lag <= MAX_ACCEPTED_LAG && self.current >= limits.engines_per_model) {
                continue;
            }
            let rank = (lag <= MAX_ACCEPTED_LAG, engine.usable_models(targets), engine.id.as_str());
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

    /// Returns whether the engine's load slows down others.
    fn is_concurrent(&self, now: Moment, limits: WeightLoadLimits) -> bool {
        let Some((_, _, ordered_at)) = &self.loading else { return false };
        let is_ending = limits.usual_load_time.is_some_and(|time| now.since(*ordered_at) >= time);
        self.is_loading(now) && !is_ending
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
    fn usable_models(&self, targets: &[ModelTarget]) -> usize {
        let usable = targets
            .iter()
            .filter(|target| self.lag(&target.model, target.newest) <= MAX_ACCEPTED_LAG);
        usable.count()
    }
}

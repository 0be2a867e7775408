//! Tests of the planning of weight loads.

use base::{Moment, Span, WeightVersion};
use dispatch::{EngineWeights, ModelTarget, WeightLoadLimits, plan_weight_loads};
use rstest::rstest;

const MODELS: [&str; 3] = ["a", "b", "c"];

fn engine(id: usize, versions: [u64; 3]) -> EngineWeights {
    let versions = MODELS.iter().zip(versions);
    EngineWeights {
        id: format!("e{id}"),
        versions: versions.map(|(m, v)| (String::from(*m), WeightVersion(v))).collect(),
        loading: None,
    }
}

fn targets(version: u64) -> Vec<ModelTarget> {
    let newest = WeightVersion(version);
    MODELS
        .iter()
        .map(|model| ModelTarget { model: String::from(*model), newest, demand: 0 })
        .collect()
}

fn usable(engines: &[EngineWeights], version: u64) -> [usize; 3] {
    let mut count = [0; 3];
    for engine in engines {
        for (model, (_, known)) in engine.versions.iter().enumerate() {
            count[model] += usize::from(known.0 + 1 >= version);
        }
    }
    count
}

/// Pattern: new versions of three models are published every 4 s. Two engines load at a time, in
/// 0.95 s each, so eight loads fit between two versions.
///
/// Guards against loads that all go to engines which are current already: three of eight engines
/// then got every load, and waiting items found only 24 of 64 slots usable.
#[test]
fn each_model_keeps_half_of_its_engines_usable() {
    let mut engines: Vec<_> = (0..8).map(|id| engine(id, [1; 3])).collect();
    for version in 2..12 {
        let usable_before = usable(&engines, version);
        assert!(
            usable_before.iter().all(|count| *count >= 2),
            "version {version}: {usable_before:?}"
        );
        for _ in 0..4 {
            let orders = plan_weight_loads(
                Moment(1),
                &engines,
                &targets(version),
                WeightLoadLimits::for_service(8, 3),
            );
            assert!(orders.len() <= 2);
            for order in orders {
                let engine = engines.iter_mut().find(|e| e.id == order.engine).unwrap();
                let loaded = engine.versions.iter_mut().find(|(m, _)| *m == order.model).unwrap();
                loaded.1 = order.version;
            }
        }
        let usable_after = usable(&engines, version);
        assert!(
            usable_after.iter().all(|count| *count >= 4),
            "version {version}: {usable_after:?}"
        );
    }
}

/// Guards against more concurrent loads than the weight store serves at full speed: loads in
/// progress count towards the bound.
#[test]
fn loads_in_progress_count_towards_the_bound() {
    let mut engines: Vec<_> = (0..8).map(|id| engine(id, [1; 3])).collect();
    for engine in &mut engines[..2] {
        engine.loading = Some((String::from("a"), WeightVersion(3), Moment(1)));
    }
    let orders =
        plan_weight_loads(Moment(2), &engines, &targets(3), WeightLoadLimits::for_service(8, 3));
    assert!(orders.is_empty(), "{orders:?}");
}

/// Guards against a lost load that counts as in progress forever.
#[test]
fn lost_load_no_longer_counts_after_its_timeout() {
    let mut engines: Vec<_> = (0..8).map(|id| engine(id, [1; 3])).collect();
    for engine in &mut engines[..2] {
        engine.loading = Some((String::from("a"), WeightVersion(3), Moment(1)));
    }
    let orders = plan_weight_loads(
        Moment(10_000_000),
        &engines,
        &targets(3),
        WeightLoadLimits::for_service(8, 3),
    );
    assert_eq!(orders.len(), 2);
}

/// Pattern: two trainers share the engines. The steps of one need three times the tokens of the
/// other's, and its trainer is behind, so that it publishes a version every 2.2 s. Five of 25 engines
/// load at a time, in 1.1 s each.
///
/// Guards against loads that are divided by models alone: the large step then waits for 5 to 10 usable
/// engines while the small one has 15.
#[test]
fn usable_engines_follow_the_demand() {
    let demands = [5_800, 1_900];
    let mut engines: Vec<EngineWeights> = (0..25).map(|id| engine(id, [1; 3])).collect();
    let mut usable_engines = [0, 0];
    for round in 0..40_u64 {
        let newest = [2 + round / 2, 2 + round / 4];
        let targets = [0, 1].map(|index| ModelTarget {
            model: String::from(MODELS[index]),
            newest: WeightVersion(newest[index]),
            demand: demands[index],
        });
        let limits = WeightLoadLimits::for_service(25, 2);
        for order in plan_weight_loads(Moment(1), &engines, &targets, limits) {
            let engine = engines.iter_mut().find(|engine| engine.id == order.engine).unwrap();
            let loaded = engine.versions.iter_mut().find(|(m, _)| *m == order.model).unwrap();
            loaded.1 = order.version;
        }
        for (index, total) in usable_engines.iter_mut().enumerate() {
            *total += usable(&engines, newest[index])[index];
        }
    }
    let [large, small] = usable_engines;
    assert!(
        large * 10 >= small * 15,
        "usable engines {large} for the large steps, {small} for others"
    );
    assert!(small >= 40 * 2, "the small steps have {small} usable engines in 40 rounds");
}

/// Guards against a model without known demand, or with little, for which no engine is usable.
#[rstest]
#[case::unknown([0, 0])]
#[case::one_unknown([1_000, 0])]
#[case::small([1_000_000, 1])]
#[case::huge([u64::MAX, u64::MAX])]
fn each_model_gets_loads(#[case] demands: [u64; 2]) {
    let engines: Vec<EngineWeights> = (0..25).map(|id| engine(id, [1; 3])).collect();
    let targets = [0, 1].map(|index| ModelTarget {
        model: String::from(MODELS[index]),
        newest: WeightVersion(9),
        demand: demands[index],
    });
    let limits = WeightLoadLimits { max_concurrent: 10, ..WeightLoadLimits::for_service(25, 2) };
    let orders = plan_weight_loads(Moment(1), &engines, &targets, limits);
    for model in &MODELS[..2] {
        assert!(orders.iter().any(|order| order.model == *model), "{model}: {orders:?}");
    }
}

/// Guards against a weight store that idles between the end of a load and the report that shows it.
#[rstest]
#[case::usual_time_unknown(None, 1_000, 0)]
#[case::still_loading(Some(900), 800, 0)]
#[case::about_to_end(Some(900), 950, 2)]
fn loads_that_are_about_to_end_let_the_next_begin(
    #[case] usual_ms: Option<u64>,
    #[case] age_ms: u64,
    #[case] expected: usize,
) {
    let mut engines: Vec<_> = (0..8).map(|id| engine(id, [1; 3])).collect();
    let ordered_at = Moment(10_000_000);
    for engine in &mut engines[..2] {
        engine.loading = Some((String::from("a"), WeightVersion(3), ordered_at));
    }
    let limits = WeightLoadLimits {
        usual_load_time: usual_ms.map(Span::from_millis),
        ..WeightLoadLimits::for_service(8, 3)
    };
    let now = ordered_at + Span::from_millis(age_ms);
    let orders = plan_weight_loads(now, &engines, &targets(3), limits);
    assert_eq!(orders.len(), expected, "{orders:?}");
    assert!(orders.iter().all(|order| order.engine != "e0" && order.engine != "e1"));
}

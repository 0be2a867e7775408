//! Tests of the planning of weight loads.

use base::{Moment, WeightVersion};
use dispatch::{EngineWeights, WeightLoadLimits, plan_weight_loads};

const MODELS: [&str; 3] = ["a", "b", "c"];

fn engine(id: usize, versions: [u64; 3]) -> EngineWeights {
    let versions = MODELS.iter().zip(versions);
    EngineWeights {
        id: format!("e{id}"),
        versions: versions.map(|(m, v)| (String::from(*m), WeightVersion(v))).collect(),
        loading: None,
    }
}

fn newest_versions(version: u64) -> Vec<(String, WeightVersion)> {
    MODELS.iter().map(|model| (String::from(*model), WeightVersion(version))).collect()
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
                &newest_versions(version),
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
    let orders = plan_weight_loads(
        Moment(2),
        &engines,
        &newest_versions(3),
        WeightLoadLimits::for_service(8, 3),
    );
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
        &newest_versions(3),
        WeightLoadLimits::for_service(8, 3),
    );
    assert_eq!(orders.len(), 2);
}

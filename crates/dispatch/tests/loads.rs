//! Plans of weight loads.

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

fn named(version: u64) -> Vec<(String, WeightVersion)> {
    MODELS.iter().map(|model| (String::from(*model), WeightVersion(version))).collect()
}

fn usable(engines: &[EngineWeights], version: u64) -> [usize; 3] {
    let mut count = [0; 3];
    for engine in engines {
        for (at, (_, known)) in engine.versions.iter().enumerate() {
            count[at] += usize::from(known.0 + 1 >= version);
        }
    }
    count
}

/// Pattern: versions of three models are named every four seconds, and two engines load at once in
/// 0.95 s, so eight loads fit between two namings.
///
/// Guards against loads that pile up on the engines that are current already: with the earlier plan
/// three of eight engines took every load of the day, and waiting items found 24 of 64 slots.
#[test]
fn each_model_keeps_half_of_its_engines_usable() {
    let mut engines: Vec<_> = (0..8).map(|id| engine(id, [1; 3])).collect();
    for version in 2..12 {
        let before = usable(&engines, version);
        assert!(before.iter().all(|count| *count >= 2), "version {version}: {before:?}");
        for _ in 0..4 {
            let orders = plan_weight_loads(
                Moment(1),
                &engines,
                &named(version),
                WeightLoadLimits::for_service(8, 3),
            );
            assert!(orders.len() <= 2);
            for order in orders {
                let engine = engines.iter_mut().find(|e| e.id == order.engine).unwrap();
                let loaded = engine.versions.iter_mut().find(|(m, _)| *m == order.model).unwrap();
                loaded.1 = order.version;
            }
        }
        let after = usable(&engines, version);
        assert!(after.iter().all(|count| *count >= 4), "version {version}: {after:?}");
    }
}

/// Guards against more loads at once than the weight store carries at full speed.
#[test]
fn loads_in_progress_count() {
    let mut engines: Vec<_> = (0..8).map(|id| engine(id, [1; 3])).collect();
    for engine in &mut engines[..2] {
        engine.loading = Some((String::from("a"), WeightVersion(3), Moment(1)));
    }
    let orders =
        plan_weight_loads(Moment(2), &engines, &named(3), WeightLoadLimits::for_service(8, 3));
    assert!(orders.is_empty(), "{orders:?}");
}

/// Guards against a load that got lost and keeps its place for good.
#[test]
fn lost_load_frees_its_place() {
    let mut engines: Vec<_> = (0..8).map(|id| engine(id, [1; 3])).collect();
    for engine in &mut engines[..2] {
        engine.loading = Some((String::from("a"), WeightVersion(3), Moment(1)));
    }
    let orders = plan_weight_loads(
        Moment(10_000_000),
        &engines,
        &named(3),
        WeightLoadLimits::for_service(8, 3),
    );
    assert_eq!(orders.len(), 2);
}

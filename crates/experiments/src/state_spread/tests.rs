use base::Span;

use super::{SpreadMode, SpreadSize, world::SpreadWorld};

const SIZE: SpreadSize = SpreadSize { nodes: 9, upstreams: 12, zones: 3 };

fn row(mode: SpreadMode) -> Vec<f64> {
    SpreadWorld::new(3, SIZE, mode).measure(Span::from_secs(20), Span::from_secs(10))
}

/// Guards against a comparison of modes in which load reports do not reach the nodes that a mode
/// covers.
#[test]
fn each_mode_reaches_the_nodes_that_it_covers() {
    for (mode, known) in [
        (SpreadMode::ToAll, 100.0),
        (SpreadMode::ZoneOnly, 100.0 / 3.0),
        (SpreadMode::ZoneSummaries, 100.0),
    ] {
        let row = row(mode);
        assert!((row[5] - known).abs() < 1e-6, "{mode:?}: {row:?}");
    }
}

/// Guards against results that differ between two runs with one seed.
#[test]
fn equal_seeds_give_equal_results() {
    assert_eq!(row(SpreadMode::ZoneSummaries), row(SpreadMode::ZoneSummaries));
}

//! Checks the text, JSON and SVG output of a report.

use super::{PlotFrame, PlotSeries, ReportTable, RunReport, TargetBound, TargetLine};

fn report() -> RunReport {
    let mut table = ReportTable::new("policy", &["p50 ms", "p99 ms"]);
    table.push("random", vec![12.5, 1_234.5]);
    table.push("picker", vec![9.0, 0.25]);
    let series = PlotSeries { name: String::from("random"), points: vec![(0.0, 1.0), (1.0, 3.0)] };
    RunReport {
        title: String::from("run"),
        tables: vec![table],
        targets: vec![TargetLine::new("lost", TargetBound::AtMost, 2.0, 3.0)],
        plot: Some(PlotFrame {
            title: String::from("p99"),
            series: vec![series],
            ..Default::default()
        }),
    }
}

#[test]
fn text_aligns_columns_and_marks_missed_targets() {
    let expected = "run\n\n\
                    policy  p50 ms  p99 ms\n\
                    random   12.50    1234\n\
                    picker       9   0.250\n\n\
                    targets\n  lost: 3 (at most 2): NOT MET\n";
    assert_eq!(report().to_text(), expected);
}

#[test]
fn json_contains_values_and_whether_targets_are_met() {
    let json = report().to_json().expect("the report is plain data");
    let value: serde_json::Value = serde_json::from_str(&json).expect("the text is JSON");
    assert_eq!(value["tables"][0]["rows"][0]["values"][1], 1_234.5);
    assert_eq!(value["targets"][0]["met"], false);
}

#[test]
fn svg_contains_the_line_and_the_name_of_a_series() {
    let svg = report().to_svg().expect("the report has a plot");
    assert!(svg.contains("<polyline") && svg.contains("random"), "{svg}");
    let without = RunReport { plot: None, ..report() };
    assert!(without.to_svg().is_err());
}

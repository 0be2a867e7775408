//! Result of an experiment: tables, targets and an optional plot, as text, JSON or SVG.

mod plot;
#[cfg(test)]
mod tests;

use std::fmt::Write as _;

use error_stack::ResultExt as _;
use serde::Serialize;

use crate::{RunFailed, RunResult};

/// Results of one subcommand. The field names are the keys of the JSON output.
#[derive(Debug, Clone, Default, Serialize)]
pub(crate) struct RunReport {
    pub(crate) title: String,
    pub(crate) tables: Vec<ReportTable>,
    pub(crate) targets: Vec<TargetLine>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) plot: Option<PlotFrame>,
}

/// A table of numbers. The title heads the column of row names.
#[derive(Debug, Clone, Default, Serialize)]
pub(crate) struct ReportTable {
    pub(crate) title: String,
    pub(crate) columns: Vec<String>,
    pub(crate) rows: Vec<ReportRow>,
}

#[derive(Debug, Clone, Serialize)]
pub(crate) struct ReportRow {
    pub(crate) name: String,
    pub(crate) values: Vec<f64>,
}

/// A target and the measured value that is compared with it.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct TargetLine {
    pub(crate) name: String,
    pub(crate) target: f64,
    pub(crate) bound: TargetBound,
    pub(crate) measured: f64,
    pub(crate) met: bool,
}

/// How the measured value must relate to the target to meet it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum TargetBound {
    AtLeast,
    AtMost,
    Below,
}

/// A plot with lines over a common axis.
#[derive(Debug, Clone, Default, Serialize)]
pub(crate) struct PlotFrame {
    pub(crate) title: String,
    pub(crate) x_label: String,
    pub(crate) y_label: String,
    pub(crate) series: Vec<PlotSeries>,
}

#[derive(Debug, Clone, Serialize)]
pub(crate) struct PlotSeries {
    pub(crate) name: String,
    pub(crate) points: Vec<(f64, f64)>,
}

impl ReportTable {
    pub(crate) fn new(title: impl Into<String>, columns: &[&str]) -> Self {
        let columns = columns.iter().map(|column| String::from(*column)).collect();
        Self { title: title.into(), columns, rows: Vec::new() }
    }

    pub(crate) fn push(&mut self, name: impl Into<String>, values: Vec<f64>) {
        self.rows.push(ReportRow { name: name.into(), values });
    }
}

impl TargetLine {
    pub(crate) fn new(
        name: impl Into<String>,
        bound: TargetBound,
        target: f64,
        measured: f64,
    ) -> Self {
        let met = match bound {
            TargetBound::AtLeast => measured >= target,
            TargetBound::AtMost => measured <= target,
            TargetBound::Below => measured < target,
        };
        Self { name: name.into(), target, bound, measured, met }
    }
}

impl TargetBound {
    const fn as_str(self) -> &'static str {
        match self {
            Self::AtLeast => "at least",
            Self::AtMost => "at most",
            Self::Below => "below",
        }
    }
}

impl RunReport {
    pub(crate) fn to_text(&self) -> String {
        let mut text = format!("{}\n", self.title);
        for table in &self.tables {
            text.push('\n');
            table.write_to(&mut text);
        }
        if !self.targets.is_empty() {
            text.push_str("\ntargets\n");
        }
        for line in &self.targets {
            let TargetLine { name, target, bound, measured, met } = line;
            let (bound, met) = (bound.as_str(), if *met { "met" } else { "NOT MET" });
            let (target, measured) = (format_number(*target), format_number(*measured));
            writeln!(text, "  {name}: {measured} ({bound} {target}): {met}")
                .expect("writing to a string succeeds");
        }
        text
    }

    /// # Errors
    ///
    /// Fails when the report cannot be serialized.
    pub(crate) fn to_json(&self) -> RunResult<String> {
        serde_json::to_string_pretty(self)
            .change_context_lazy(|| RunFailed(String::from("cannot serialize the report as JSON")))
    }

    /// # Errors
    ///
    /// Fails when the experiment has no plot, or the plot cannot be drawn.
    pub(crate) fn to_svg(&self) -> RunResult<String> {
        let Some(frame) = &self.plot else {
            return Err(
                RunFailed(String::from("this experiment has no plot; no SVG is written")).into()
            );
        };
        plot::draw(frame)
    }
}

impl ReportTable {
    fn write_to(&self, text: &mut String) {
        let names = self.rows.iter().map(|row| row.name.len());
        let name_width = names.chain([self.title.len()]).max().unwrap_or(0);
        let column_width = |column: usize| {
            let values = self.rows.iter().filter_map(|row| row.values.get(column));
            let widest = values.map(|value| format_number(*value).len()).max().unwrap_or(0);
            widest.max(self.columns[column].len())
        };
        let widths = (0..self.columns.len()).map(column_width).collect::<Vec<_>>();
        let mut push_line = |name: &str, cells: &mut dyn Iterator<Item = String>| {
            let mut line = format!("{name:name_width$}");
            for (cell, width) in cells.zip(&widths) {
                write!(line, "  {cell:>width$}").expect("writing to a string succeeds");
            }
            text.push_str(line.trim_end());
            text.push('\n');
        };
        push_line(&self.title, &mut self.columns.iter().cloned());
        for row in &self.rows {
            push_line(&row.name, &mut row.values.iter().map(|value| format_number(*value)));
        }
    }
}

/// Formats a value with three decimals below 10, two below 100 and one below 1,000. Whole numbers
/// and larger values have none.
fn format_number(value: f64) -> String {
    if value.fract() == 0.0 || value.abs() >= 1_000.0 {
        return format!("{value:.0}");
    }
    match value.abs() {
        100.0.. => format!("{value:.1}"),
        10.0.. => format!("{value:.2}"),
        _ => format!("{value:.3}"),
    }
}

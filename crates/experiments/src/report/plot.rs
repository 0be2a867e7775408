//! Draws a plot as SVG.

use error_stack::ResultExt as _;
use plotters::prelude::{
    ChartBuilder, Color as _, IntoDrawingArea as _, LineSeries, Palette as _, Palette99,
    PathElement, SVGBackend, WHITE,
};

use super::PlotFrame;
use crate::{RunFailed, RunResult};

/// Width and height of a plot.
const SIZE_PIXELS: (u32, u32) = (960, 540);

pub(super) fn draw(frame: &PlotFrame) -> RunResult<String> {
    let mut svg = String::new();
    draw_into(frame, &mut svg)
        .change_context_lazy(|| RunFailed(String::from("cannot draw the plot as SVG")))?;
    Ok(svg)
}

fn draw_into(
    frame: &PlotFrame,
    svg: &mut String,
) -> Result<(), plotters::drawing::DrawingAreaErrorKind<std::io::Error>> {
    let points = || frame.series.iter().flat_map(|series| &series.points);
    let (mut max_x, mut max_y) = (f64::MIN_POSITIVE, f64::MIN_POSITIVE);
    for (x, y) in points() {
        max_x = max_x.max(*x);
        max_y = max_y.max(*y);
    }
    let area = SVGBackend::with_string(svg, SIZE_PIXELS).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(&frame.title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..max_x, 0.0..max_y * 1.05)?;
    chart.configure_mesh().x_desc(&frame.x_label).y_desc(&frame.y_label).draw()?;
    for (index, series) in frame.series.iter().enumerate() {
        let color = Palette99::pick(index).mix(1.0);
        chart
            .draw_series(LineSeries::new(series.points.iter().copied(), color.stroke_width(2)))?
            .label(&series.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color));
    }
    chart.configure_series_labels().border_style(WHITE).draw()?;
    area.present()
}

//! Plot of the share of requests within their latency target over a run.

use std::error::Error;
use std::path::Path;

use plotters::prelude::*;

use crate::simulation::Report;

/// Width and height of a plot, in pixels.
const SIZE: (u32, u32) = (900, 400);

/// Draws the share within the latency target per second as one line for each named
/// report, into an SVG file.
pub(crate) fn plot(
    path: &Path,
    title: &str,
    reports: &[(&str, &Report)],
) -> Result<(), Box<dyn Error>> {
    if let Some(folder) = path.parent() {
        std::fs::create_dir_all(folder)?;
    }
    let seconds = reports.iter().map(|(_, report)| report.by_second.len());
    let end = seconds.max().unwrap_or(1) as f64;
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..end, 0.0..1.0)?;
    chart
        .configure_mesh()
        .x_desc("second")
        .y_desc("share in target")
        .draw()?;
    for (n, (name, report)) in reports.iter().enumerate() {
        let color = Palette99::pick(n).mix(0.9);
        let shares = report.by_second.iter().enumerate();
        let line = shares.map(|(second, outcome)| (second as f64, outcome.share_in_target()));
        chart
            .draw_series(LineSeries::new(line, color.stroke_width(2)))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}

//! Plots of the figures as SVG.

use super::{
    figures::{PolicyFigures, ScenarioFigures},
    report::Report,
};
use plotters::prelude::{
    BLUE, ChartBuilder, Color, IntoDrawingArea, IntoSegmentedCoord, RED, Rectangle, SVGBackend,
    SegmentValue, WHITE,
};
use std::{error::Error, fs, path::Path};

/// Size of a plot in pixels.
const SIZE: (u32, u32) = (720, 360);

/// Draws two plots a scenario: misses of the target and the 0.999 quantile, by policy.
///
/// # Errors
/// If a file can't be written.
pub fn draw_plots(report: &Report, directory: &Path) -> Result<(), Box<dyn Error>> {
    fs::create_dir_all(directory)?;
    for figures in &report.scenarios {
        let name = figures.scenario.name();
        draw_bars(
            &directory.join(format!("decisions-{name}-misses.svg")),
            &format!("{name}: calls not answered within target (%)"),
            figures,
            |policy| (1.0 - policy.all.on_target) * 100.0,
            &RED,
        )?;
        draw_bars(
            &directory.join(format!("decisions-{name}-p999.svg")),
            &format!("{name}: latency quantile 0.999 (ms)"),
            figures,
            |policy| policy.all.p999_ms,
            &BLUE,
        )?;
    }
    Ok(())
}

fn draw_bars(
    path: &Path,
    title: &str,
    figures: &ScenarioFigures,
    value: impl Fn(&PolicyFigures) -> f64,
    color: &impl Color,
) -> Result<(), Box<dyn Error>> {
    let names = figures
        .policies
        .iter()
        .map(|policy| format!("{:?}", policy.policy))
        .collect::<Vec<_>>();
    let values = figures.policies.iter().map(value).collect::<Vec<_>>();
    let top = values.iter().copied().fold(1e-3, f64::max) * 1.1;
    let backend = SVGBackend::new(path, SIZE);
    let area = backend.into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d((0..names.len()).into_segmented(), 0.0..top)?;
    let label = |position: &SegmentValue<usize>| match position {
        SegmentValue::CenterOf(index) => names.get(*index).cloned().unwrap_or_default(),
        SegmentValue::Exact(_) | SegmentValue::Last => String::new(),
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_label_formatter(&label)
        .draw()?;
    chart.draw_series(values.iter().enumerate().map(|(index, value)| {
        let corners = [
            (SegmentValue::Exact(index), 0.0),
            (SegmentValue::Exact(index + 1), *value),
        ];
        let mut bar = Rectangle::new(corners, color.filled());
        bar.set_margin(0, 0, 12, 12);
        bar
    }))?;
    area.present()?;
    Ok(())
}

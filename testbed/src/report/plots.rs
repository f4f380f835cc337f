//! Plots of the HTML report, as SVG text without external references.

use plotters::prelude::*;

/// Width and height of a plot, in pixels.
const SIZE: (u32, u32) = (690, 290);
/// Font family and size in pixels. The family is the default sans serif of the browser.
const FONT: (&str, i32) = ("sans-serif", 13);

/// Most lines for which a legend is drawn.
const MAX_LEGEND_ENTRIES: usize = 9;

/// A line of a plot.
#[derive(Clone, Debug)]
pub struct Line {
    /// Name in the legend.
    pub name: String,
    /// Points from left to right, as (x, y).
    pub points: Vec<(f64, f64)>,
}

/// A highlighted period, such as that of a fault.
#[derive(Clone, Debug)]
pub struct Mark {
    /// Label of the period.
    pub name: String,
    /// Start and end in seconds; equal for a single moment.
    pub span: (f64, f64),
}

/// Title and axes of a plot.
#[derive(Clone, Debug, Default)]
pub struct Frame<'a> {
    /// Title above the plot.
    pub title: &'a str,
    /// Labels of the horizontal and the vertical axis, with units.
    pub axes: (&'a str, &'a str),
    /// Upper end of the vertical axis; `None` fits it to the lines.
    pub top: Option<f64>,
    /// Whether the horizontal axis is logarithmic.
    pub log: bool,
}

/// A plot of lines with highlighted periods. If it cannot be drawn, the result is a paragraph with the reason.
pub fn lines(frame: &Frame<'_>, lines: &[Line], marks: &[Mark]) -> String {
    let mut svg = String::new();
    match draw(&mut svg, frame, lines, marks) {
        Ok(()) => svg,
        Err(error) => format!(
            "<p>{}: not drawn: {error}</p>",
            html_escape::encode_text(frame.title)
        ),
    }
}

type DrawError = Box<dyn std::error::Error>;

fn draw(
    svg: &mut String,
    frame: &Frame<'_>,
    lines: &[Line],
    marks: &[Mark],
) -> Result<(), DrawError> {
    // A logarithmic axis is drawn as a linear one of the logarithms, with the labels converted back.
    let to_axis = |x: f64| if frame.log { x.max(0.1).log10() } else { x };
    let points = || {
        lines
            .iter()
            .flat_map(|line| line.points.iter().map(|(x, y)| (to_axis(*x), *y)))
    };
    let min_x = points().map(|p| p.0).fold(f64::INFINITY, f64::min);
    let max_x = points().map(|p| p.0).fold(f64::NEG_INFINITY, f64::max);
    if !min_x.is_finite() || !max_x.is_finite() {
        return Err("there is nothing to show".into());
    }
    let max_x = if max_x > min_x { max_x } else { min_x + 1.0 };
    let max_y = points().map(|p| p.1).fold(0.0, f64::max);
    let top = frame
        .top
        .unwrap_or(if max_y > 0.0 { max_y * 1.05 } else { 1.0 });
    let root = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut builder = ChartBuilder::on(&root);
    builder
        .caption(frame.title, FONT)
        .margin(8)
        .x_label_area_size(36)
        .y_label_area_size(52);
    let mut chart = builder.build_cartesian_2d(min_x..max_x, 0.0..top)?;
    let label = |x: &f64| {
        if frame.log {
            format!("{:.0}", 10f64.powf(*x))
        } else {
            format!("{x:.0}")
        }
    };
    let mut mesh = chart.configure_mesh();
    mesh.x_desc(frame.axes.0)
        .y_desc(frame.axes.1)
        .x_label_formatter(&label);
    mesh.label_style(FONT).light_line_style(WHITE).draw()?;
    for mark in marks {
        let from = mark.span.0.clamp(min_x, max_x);
        let until = mark
            .span
            .1
            .max(mark.span.0 + (max_x - min_x) / 400.0)
            .clamp(from, max_x);
        chart.draw_series([Rectangle::new(
            [(from, 0.0), (until, top)],
            RED.mix(0.12).filled(),
        )])?;
        let font = ("sans-serif", 11).into_font().color(&RED);
        chart.draw_series([Text::new(mark.name.clone(), (from, top * 0.04), font)])?;
    }
    for (index, line) in lines.iter().enumerate() {
        let style = Palette99::pick(index).stroke_width(2);
        let points_on_axis = line.points.iter().map(|(x, y)| (to_axis(*x), *y));
        let series = chart.draw_series(LineSeries::new(points_on_axis, style))?;
        series
            .label(&line.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], style));
    }
    // A longer legend would cover the lines.
    if lines.len() <= MAX_LEGEND_ENTRIES {
        let mut labels = chart.configure_series_labels();
        labels
            .background_style(WHITE.mix(0.85))
            .border_style(BLACK.mix(0.3))
            .label_font(FONT);
        labels.position(SeriesLabelPosition::LowerRight).draw()?;
    }
    root.present()?;
    Ok(())
}

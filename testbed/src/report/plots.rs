//! Owns the plots of the HTML report, as SVG text that needs nothing from outside.

use plotters::prelude::*;

/// Width and height of a plot, in pixels.
const SIZE: (u32, u32) = (690, 290);
/// The plots' font; the reader's own sans serif.
const FONT: (&str, i32) = ("sans-serif", 13);

/// Lines that a legend names.
const LEGEND: usize = 9;

/// A line of a plot.
#[derive(Clone, Debug)]
pub struct Line {
    /// What it is.
    pub name: String,
    /// Its points, from left to right.
    pub points: Vec<(f64, f64)>,
}

/// A stretch of time in which something is wrong.
#[derive(Clone, Debug)]
pub struct Mark {
    /// What.
    pub name: String,
    /// Seconds from and until; the same for a moment.
    pub span: (f64, f64),
}

/// What stands round the lines.
#[derive(Clone, Debug, Default)]
pub struct Frame<'a> {
    /// Above.
    pub title: &'a str,
    /// Below and beside, with units.
    pub axes: (&'a str, &'a str),
    /// The top of the vertical axis; as high as the lines where there is none.
    pub top: Option<f64>,
    /// A logarithmic horizontal axis.
    pub log: bool,
}

/// A plot of lines over stretches of time. One that can't be drawn is its reason, as text.
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

type Fault = Box<dyn std::error::Error>;

fn draw(svg: &mut String, frame: &Frame<'_>, lines: &[Line], marks: &[Mark]) -> Result<(), Fault> {
    // A logarithmic axis is a plain one of logarithms with other labels.
    let place = |x: f64| if frame.log { x.max(0.1).log10() } else { x };
    let points = || {
        lines
            .iter()
            .flat_map(|line| line.points.iter().map(|(x, y)| (place(*x), *y)))
    };
    let least = points().map(|p| p.0).fold(f64::INFINITY, f64::min);
    let most = points().map(|p| p.0).fold(f64::NEG_INFINITY, f64::max);
    if !least.is_finite() || !most.is_finite() {
        return Err("there is nothing to show".into());
    }
    let most = if most > least { most } else { least + 1.0 };
    let high = points().map(|p| p.1).fold(0.0, f64::max);
    let top = frame
        .top
        .unwrap_or(if high > 0.0 { high * 1.05 } else { 1.0 });
    let root = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut builder = ChartBuilder::on(&root);
    builder
        .caption(frame.title, FONT)
        .margin(8)
        .x_label_area_size(36)
        .y_label_area_size(52);
    let mut chart = builder.build_cartesian_2d(least..most, 0.0..top)?;
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
        let from = mark.span.0.clamp(least, most);
        let until = mark
            .span
            .1
            .max(mark.span.0 + (most - least) / 400.0)
            .clamp(from, most);
        chart.draw_series([Rectangle::new(
            [(from, 0.0), (until, top)],
            RED.mix(0.12).filled(),
        )])?;
        let font = ("sans-serif", 11).into_font().color(&RED);
        chart.draw_series([Text::new(mark.name.clone(), (from, top * 0.04), font)])?;
    }
    for (nth, line) in lines.iter().enumerate() {
        let style = Palette99::pick(nth).stroke_width(2);
        let places = line.points.iter().map(|(x, y)| (place(*x), *y));
        let shown = chart.draw_series(LineSeries::new(places, style))?;
        shown
            .label(&line.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], style));
    }
    // A legend of more entries than this would hide the lines.
    if lines.len() <= LEGEND {
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

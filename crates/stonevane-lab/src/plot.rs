//! Panels of curves and of spans, as SVG.

use plotters::coord::Shift;
use plotters::prelude::*;

/// A curve.
pub struct Curve {
    /// Its name.
    pub name: String,
    /// Its colour.
    pub colour: RGBColor,
    /// Its points; `NaN` breaks it.
    pub points: Vec<(f64, f64)>,
}

/// Colours that differ in print too.
pub const COLOURS: [RGBColor; 6] = [
    RGBColor(26, 86, 168),
    RGBColor(199, 119, 0),
    RGBColor(25, 122, 62),
    RGBColor(106, 63, 160),
    RGBColor(179, 38, 30),
    RGBColor(110, 110, 110),
];
const BOUND_COLOUR: RGBColor = RGBColor(179, 38, 30);
const GRID_COLOUR: RGBColor = RGBColor(230, 230, 230);
const FONT: &str = "sans-serif";
const LABEL_SIZE: u32 = 10;
// Sizes in pixels.
const WIDTH: u32 = 900;
const TITLE_HEIGHT: u32 = 34;
const PANEL_HEIGHT: u32 = 170;
const SPANS_MARGIN: u32 = 30;
const ROW_HEIGHT: u32 = 15;
/// The width of a panel's labels at its left, its margin included.
const AXIS_WIDTH: u32 = 60;
const MARGIN: u32 = 6;
/// The width of a character of a span's label, about.
const CHARACTER_WIDTH: i32 = 6;
/// Characters of a span's label, at most.
const MAX_LABEL: usize = 60;
/// Free space above the highest point, as a factor.
const HEADROOM: f64 = 1.08;
/// The least range of an axis.
const MIN_RANGE: f64 = 1e-6;

/// A panel of curves.
pub struct Panel {
    /// What it shows.
    pub title: String,
    /// The label of its horizontal axis.
    pub x_label: &'static str,
    /// The label of its vertical axis.
    pub y_label: &'static str,
    /// Its curves.
    pub curves: Vec<Curve>,
    /// A bound that is drawn across.
    pub bound: Option<f64>,
}

/// Something that lasts, in seconds.
#[derive(Debug, Clone, PartialEq)]
pub struct Span {
    /// Its beginning.
    pub from_s: f64,
    /// Its end.
    pub until_s: f64,
    /// Its name.
    pub label: String,
}

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type DrawResult = Result<(), Box<dyn std::error::Error>>;

/// A picture of panels below one another, and of spans below them, each in a row of its own so that no labels overlap.
/// Empty where nothing can be drawn.
pub fn picture(title: &str, panels: &[Panel], spans: &[Span], seconds: f64) -> String {
    let rows = if spans.is_empty() { 0 } else { SPANS_MARGIN + ROW_HEIGHT * spans.len() as u32 };
    let size = (WIDTH, TITLE_HEIGHT + PANEL_HEIGHT * panels.len() as u32 + rows);
    let mut text = String::new();
    let root = SVGBackend::with_string(&mut text, size).into_drawing_area();
    let drawn = draw(&root, title, panels, spans, seconds);
    drop(root);
    if drawn.is_ok() { text } else { String::new() }
}

fn draw(root: &Area<'_>, title: &str, panels: &[Panel], spans: &[Span], seconds: f64) -> DrawResult {
    root.fill(&WHITE)?;
    let (head, mut rest) = root.split_vertically(TITLE_HEIGHT);
    head.draw_text(title, &(FONT, 16).into_font().color(&BLACK), (12, 8))?;
    for panel in panels {
        let (area, below) = rest.split_vertically(PANEL_HEIGHT);
        draw_panel(&area, panel)?;
        rest = below;
    }
    if !spans.is_empty() {
        draw_spans(&rest, spans, seconds)?;
    }
    root.present()?;
    Ok(())
}

fn draw_panel(area: &Area<'_>, panel: &Panel) -> DrawResult {
    let points = || {
        let all = panel.curves.iter().flat_map(|curve| &curve.points);
        all.filter(|(x, y)| x.is_finite() && y.is_finite())
    };
    let top = points().map(|point| point.1).chain(panel.bound).fold(0.0, f64::max).max(MIN_RANGE) * HEADROOM;
    let end = points().map(|point| point.0).fold(0.0, f64::max).max(MIN_RANGE);
    let mut chart = ChartBuilder::on(area)
        .caption(&panel.title, (FONT, 13))
        .margin(MARGIN)
        .x_label_area_size(28)
        .y_label_area_size(AXIS_WIDTH - MARGIN)
        .build_cartesian_2d(0.0..end, 0.0..top)?;
    let mut mesh = chart.configure_mesh();
    mesh.light_line_style(WHITE).bold_line_style(GRID_COLOUR).y_labels(5);
    mesh.x_desc(panel.x_label).y_desc(panel.y_label).label_style((FONT, LABEL_SIZE)).draw()?;
    if let Some(bound) = panel.bound {
        let line = DashedLineSeries::new([(0.0, bound), (end, bound)], 5, 3, BOUND_COLOUR.stroke_width(1));
        chart.draw_series(line)?;
    }
    for curve in &panel.curves {
        let colour = curve.colour;
        // Gaps stay empty: each stretch between them is a line of its own.
        let stretches = curve.points.split(|point| !point.1.is_finite());
        for (number, stretch) in stretches.enumerate() {
            let line = LineSeries::new(stretch.iter().copied(), colour.stroke_width(1));
            let drawn = chart.draw_series(line)?;
            if number == 0 {
                let legend =
                    move |(x, y)| PathElement::new(vec![(x, y), (x + 14, y)], colour.stroke_width(2));
                drawn.label(&curve.name).legend(legend);
            }
        }
    }
    let mut labels = chart.configure_series_labels();
    labels.position(SeriesLabelPosition::UpperRight).label_font((FONT, LABEL_SIZE));
    labels.background_style(WHITE.mix(0.6)).draw()?;
    Ok(())
}

fn draw_spans(area: &Area<'_>, spans: &[Span], seconds: f64) -> DrawResult {
    let (width, _) = area.dim_in_pixel();
    // In line with the panels' own axis.
    let axis_length = f64::from(width.saturating_sub(AXIS_WIDTH + MARGIN));
    let x =
        |at: f64| AXIS_WIDTH as i32 + (at.clamp(0.0, seconds) / seconds.max(MIN_RANGE) * axis_length) as i32;
    let font = (FONT, LABEL_SIZE).into_font().color(&BLACK);
    for (row, span) in spans.iter().enumerate() {
        let y = 14 + (row as u32 * ROW_HEIGHT) as i32;
        let (left, right) = (x(span.from_s), x(span.until_s).max(x(span.from_s) + 2));
        let corners = [(left, y), (right, y + ROW_HEIGHT as i32 - 4)];
        area.draw(&Rectangle::new(corners, BOUND_COLOUR.mix(0.45).filled()))?;
        let label: String = format!("{}, {:.1} s", span.label, span.from_s).chars().take(MAX_LABEL).collect();
        // Behind its bar, or before it where there is no space behind.
        let label_width = CHARACTER_WIDTH * label.len() as i32;
        let behind = right + 4;
        let label_x = if behind + label_width > width as i32 { left - label_width } else { behind };
        area.draw_text(&label, &font, (label_x.max(2), y))?;
    }
    Ok(())
}

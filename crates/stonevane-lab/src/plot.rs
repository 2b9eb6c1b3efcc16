//! Renders panels of curves, and rows of spans, as SVG.

use plotters::coord::Shift;
use plotters::prelude::*;

/// A curve in a panel.
pub struct Curve {
    /// Name in the legend.
    pub name: String,
    /// Colour of the line.
    pub colour: RGBColor,
    /// Points as (x, y). A `y` that is not finite leaves a gap.
    pub points: Vec<(f64, f64)>,
}

/// Line colours, distinguishable in print too.
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
/// Width of the vertical axis with its labels, the margin included.
const AXIS_WIDTH: u32 = 60;
const MARGIN: u32 = 6;
/// Estimated width of a character of a span's label.
const CHARACTER_WIDTH: i32 = 6;
/// Longest label of a span, in characters; longer ones are cut.
const MAX_LABEL_CHARS: usize = 60;
/// Ratio of the vertical range to the highest point, to leave space above it.
const HEADROOM: f64 = 1.08;
/// Smallest range of an axis, so that a chart without data has a valid one.
const MIN_RANGE: f64 = 1e-6;

/// A panel of curves.
pub struct Panel {
    /// Title above the panel.
    pub title: String,
    /// Label of the horizontal axis.
    pub x_label: &'static str,
    /// Label of the vertical axis.
    pub y_label: &'static str,
    /// Curves, drawn in this order.
    pub curves: Vec<Curve>,
    /// Value at which a dashed horizontal line is drawn.
    pub bound: Option<f64>,
}

/// A labelled span of time, drawn as a bar.
#[derive(Debug, Clone, PartialEq)]
pub struct Span {
    /// Beginning, in seconds.
    pub from_s: f64,
    /// End, in seconds; may be infinite.
    pub until_s: f64,
    /// Text beside the bar.
    pub label: String,
}

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type DrawResult = Result<(), Box<dyn std::error::Error>>;

/// Renders panels below one another, and below them the spans, each in its own row so that labels don't
/// overlap. Returns an empty string if drawing fails.
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
        // Draw each segment between gaps as a separate line.
        let segments = curve.points.split(|point| !point.1.is_finite());
        for (number, segment) in segments.enumerate() {
            let line = LineSeries::new(segment.iter().copied(), colour.stroke_width(1));
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
    // Aligned with the horizontal axis of the panels.
    let axis_length = f64::from(width.saturating_sub(AXIS_WIDTH + MARGIN));
    let x =
        |at: f64| AXIS_WIDTH as i32 + (at.clamp(0.0, seconds) / seconds.max(MIN_RANGE) * axis_length) as i32;
    let font = (FONT, LABEL_SIZE).into_font().color(&BLACK);
    for (row, span) in spans.iter().enumerate() {
        let y = 14 + (row as u32 * ROW_HEIGHT) as i32;
        let (left, right) = (x(span.from_s), x(span.until_s).max(x(span.from_s) + 2));
        let corners = [(left, y), (right, y + ROW_HEIGHT as i32 - 4)];
        area.draw(&Rectangle::new(corners, BOUND_COLOUR.mix(0.45).filled()))?;
        let label: String =
            format!("{}, {:.1} s", span.label, span.from_s).chars().take(MAX_LABEL_CHARS).collect();
        // To the right of the bar, or to its left if there is no space on the right.
        let label_width = CHARACTER_WIDTH * label.len() as i32;
        let right_of_bar = right + 4;
        let label_x =
            if right_of_bar + label_width > width as i32 { left - label_width } else { right_of_bar };
        area.draw_text(&label, &font, (label_x.max(2), y))?;
    }
    Ok(())
}

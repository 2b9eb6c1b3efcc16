//! HTML form of a report.

use std::fmt::Write as _;

use super::pictures::charts;
use super::{Report, Row, Section};
use crate::results::Build;
use crate::runner::Folder;

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// Renders a report as a self-contained HTML page with tables and charts.
pub fn html(report: &Report, folder: &Folder) -> String {
    let mut out = head(report);
    for (build, digest) in Build::ALL.iter().zip(&report.builds) {
        let _ = write!(out, "<p>Build {build}: {digest}</p>");
    }
    for result in &report.capacities {
        let setting = escape(&result.setting.to_string());
        let (build, capacity) = (result.build, &result.capacity);
        let _ = write!(out, "<p>{setting}, {build}: the load that it bears: {capacity}</p>");
    }
    for section in &report.sections {
        write_section(&mut out, section, folder);
    }
    out.push_str("</html>\n");
    out
}

fn head(report: &Report) -> String {
    format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{0}</title><style>body{{font:14px sans-serif;\
         max-width:960px;margin:2em auto}}table{{border-collapse:collapse}}td,th{{padding:2px 10px;text-align:right;\
         border-bottom:1px solid #ddd}}td:first-child,th:first-child{{text-align:left}}.differs{{font-weight:bold}}\
         code{{font-size:12px}}</style><h1>{0}</h1><p>{1} runs. Medians, in brackets the 95% interval of the \
         bootstrap; differences are paired by seed.</p>",
        escape(&report.name),
        report.played.runs
    )
}

fn write_section(out: &mut String, section: &Section, folder: &Folder) {
    let _ = write!(out, "<h2>{}</h2>", escape(&section.setting.to_string()));
    for (build, counts) in Build::ALL.iter().zip(&section.runs) {
        let _ = write!(out, "<p>{build}: {counts}</p>");
    }
    out.push_str("<table><tr><th>figure</th>");
    for (build, _) in Build::ALL.iter().zip(&section.runs) {
        let _ = write!(out, "<th>{build}</th>");
    }
    out.push_str(if section.runs.len() > 1 { "<th>B - A</th></tr>" } else { "</tr>" });
    for row in &section.rows {
        write_row(out, row);
    }
    out.push_str("</table>");
    out.push_str(&charts(section, folder));
    out.push_str("<ul>");
    for run in &section.worst {
        let (seed, build) = (run.seed, run.build);
        let (what, command) = (escape(&run.what), escape(&run.command));
        let _ = write!(out, "<li>seed {seed}, {build}: {what}<br><code>{command}</code></li>");
    }
    out.push_str("</ul>");
}

fn write_row(out: &mut String, row: &Row) {
    let _ = write!(out, "<tr><td>{}</td>", row.figure);
    for median in &row.builds {
        let _ = write!(out, "<td>{}</td>", median.map_or("-".into(), |median| median.to_string()));
    }
    if let Some(difference) = &row.difference {
        let class = if row.distinguishable { "differs" } else { "noise" };
        let _ = write!(out, "<td class=\"{class}\">{difference} {class}</td>");
    }
    out.push_str("</tr>");
}

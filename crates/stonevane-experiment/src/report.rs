//! What an experiment showed: a table, and one page of HTML with its pictures inside.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use serde::Serialize;
use stonevane_lab::chart::{curve, fault_spans, panel_over_time};
use stonevane_lab::plot::{COLOURS, Curve, Panel, picture};
use stonevane_lab::summary::{INTERVAL_US, Interval};

use crate::matrix::{Cell, Experiment, NO_OPERATOR, Setting};
use crate::results::{Build, Found};
use crate::runner::{Folder, bears, operator_path, scenario_path};
use crate::stats::{Capacity, Estimate, bisect, estimate, paired};

/// The figures that a report shows, in its order.
pub const SHOWN: [&str; 15] = [
    "served",
    "served_first",
    "served_after",
    "served_worst_10s",
    "served_reads",
    "served_edits",
    "refused",
    "failed",
    "recovery_ms",
    "p50_ms",
    "p99_ms",
    "attempts_per_request",
    "origin_peak",
    "origin_falls",
    "cold_peak",
];
/// Worst seeds that are named for each setting.
const WORST: usize = 3;
/// The bootstrap's seed: the same results give the same report.
const SEED: u64 = 95;

/// A median with its interval.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Shown {
    /// The median.
    pub median: f64,
    /// The interval's lower end.
    pub low: f64,
    /// Its upper end.
    pub high: f64,
    /// Runs that have the figure.
    pub runs: usize,
}

impl From<Estimate> for Shown {
    fn from(e: Estimate) -> Shown {
        Shown { median: e.median, low: e.low, high: e.high, runs: e.count }
    }
}

impl std::fmt::Display for Shown {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let digits = if self.median.abs() >= 100.0 { 0 } else { 3 };
        write!(f, "{:.digits$} [{:.digits$}, {:.digits$}]", self.median, self.low, self.high)
    }
}

/// One figure of one setting.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Row {
    /// Its name.
    pub figure: String,
    /// Of each build, A first; `None` where no run has it.
    pub builds: Vec<Option<Shown>>,
    /// B less A, seed by seed.
    pub difference: Option<Shown>,
    /// Whether that is more than noise.
    pub distinguishable: bool,
}

/// What one setting showed.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Section {
    /// The setting.
    pub setting: Setting,
    /// Runs of each build: played, with all rules and expectations kept, with rules broken, not run.
    pub runs: Vec<[usize; 4]>,
    /// The ways in which rules were broken.
    pub codes: Vec<String>,
    /// Its figures.
    pub rows: Vec<Row>,
    /// The worst seeds first, each with its build, what was found, and the command that plays it again.
    pub worst: Vec<(u64, Build, String, String)>,
}

/// A whole report.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// The experiment's name.
    pub name: String,
    /// Digests of the builds.
    pub builds: Vec<String>,
    /// Its settings.
    pub sections: Vec<Section>,
    /// What a search found: the setting, the build, and the load that holds, as a multiple of the scenario's.
    pub capacities: Vec<(Setting, Build, String)>,
    /// Runs that are there, and runs that there are to be (0 for a search).
    pub played: (usize, usize),
}

/// Makes a report of a folder.
pub fn report(experiment: &Experiment, folder: &Folder) -> Report {
    let mut settings: Vec<Setting> = Vec::new();
    for found in &folder.found {
        if !settings.contains(&found.cell.setting) {
            settings.push(found.cell.setting.clone());
        }
    }
    let builds: Vec<Build> = folder.builds.all().into_iter().map(|(build, _)| build).collect();
    let sections = settings.iter().map(|setting| section(experiment, folder, setting, &builds)).collect();
    let all = if experiment.search.is_some() { 0 } else { experiment.cells().len() * builds.len() };
    Report {
        name: experiment.name.clone(),
        builds: folder.builds.all().into_iter().map(|(_, built)| built.digest.clone()).collect(),
        sections,
        capacities: capacities(experiment, folder, &builds),
        played: (folder.found.len(), all),
    }
}

fn runs<'a>(folder: &'a Folder, setting: &Setting, build: Build) -> Vec<&'a Found> {
    let own = folder.found.iter().filter(|f| f.cell.setting == *setting && f.build == build);
    own.collect()
}

fn section(experiment: &Experiment, folder: &Folder, setting: &Setting, builds: &[Build]) -> Section {
    let of: Vec<Vec<&Found>> = builds.iter().map(|build| runs(folder, setting, *build)).collect();
    let count = |runs: &Vec<&Found>| {
        let number = |of: &dyn Fn(&Found) -> bool| runs.iter().filter(|f| of(f)).count();
        [
            runs.len(),
            number(&|f| f.holds),
            number(&|f| f.broken + f.faulty > 0),
            number(&|f| f.error.is_some()),
        ]
    };
    let rows = SHOWN.iter().map(|name| row(name, &of)).filter(|row| row.builds.iter().any(Option::is_some));
    let mut codes: Vec<String> = of.iter().flatten().flat_map(|f| f.codes.clone()).collect();
    codes.sort();
    codes.dedup();
    let mut worst: Vec<&Found> = of.iter().flatten().copied().collect();
    let served = |f: &Found| f.figures.get("served").copied().unwrap_or(-1.0);
    worst.sort_by(|a, b| {
        let rank = |f: &Found| (f.error.is_none(), f.broken + f.faulty == 0, f.holds);
        rank(a).cmp(&rank(b)).then(served(a).total_cmp(&served(b)))
    });
    let worst = worst.into_iter().take(WORST).map(|f| {
        let what = match &f.error {
            Some(e) => e.lines().next().unwrap_or_default().to_owned(),
            None if f.broken + f.faulty > 0 => format!("broken: {}", f.codes.join(", ")),
            None => {
                format!("served {:.3}{}", served(f), if f.holds { "" } else { ", an expectation is broken" })
            }
        };
        (f.cell.seed, f.build, what, command(experiment, folder, &f.cell, f.build))
    });
    Section {
        setting: setting.clone(),
        runs: of.iter().map(count).collect(),
        codes,
        rows: rows.collect(),
        worst: worst.collect(),
    }
}

fn row(name: &str, of: &[Vec<&Found>]) -> Row {
    let figures =
        |runs: &Vec<&Found>| runs.iter().filter_map(|f| f.figures.get(name).copied()).collect::<Vec<_>>();
    let builds = of.iter().map(|runs| estimate(&figures(runs), SEED).map(Shown::from)).collect();
    let mut difference = None;
    if let [a, b] = of {
        let seeds: BTreeMap<u64, f64> =
            a.iter().filter_map(|f| Some((f.cell.seed, *f.figures.get(name)?))).collect();
        let pairs = b.iter().filter_map(|f| Some((*seeds.get(&f.cell.seed)?, *f.figures.get(name)?)));
        difference = paired(&pairs.collect::<Vec<_>>(), SEED);
    }
    let distinguishable = difference.is_some_and(|d| d.distinguishable);
    let difference = difference.map(|d| Shown::from(d.estimate));
    Row { figure: name.into(), builds, difference, distinguishable }
}

/// The command that plays a run again.
fn command(experiment: &Experiment, folder: &Folder, cell: &Cell, build: Build) -> String {
    let name = &cell.setting.scenario;
    let file = experiment.files.iter().any(|(file, _)| file == name);
    let path = scenario_path(&folder.path, name).display().to_string();
    let scenario = if file { path } else { name.clone() };
    let mut words = format!("stonevane lab run {scenario} --seed {}", cell.seed);
    if let Some(nodes) = cell.setting.nodes {
        let _ = write!(words, " --nodes {nodes}");
    }
    if cell.setting.load_per_mille != 1_000 {
        let _ = write!(words, " --load {}", cell.setting.load_per_mille as f64 / 1e3);
    }
    if experiment.short {
        words.push_str(" --short");
    }
    let given =
        experiment.operators.iter().any(|(name, text)| *name == cell.setting.operator && !text.is_empty());
    if cell.setting.operator != NO_OPERATOR && given {
        let _ =
            write!(words, " --operator {}", operator_path(&folder.path, &cell.setting.operator).display());
    }
    if let Some((_, built)) = folder.builds.all().into_iter().find(|(other, _)| *other == build) {
        let _ = write!(words, " --node-program {}", built.path.display());
    }
    words
}

/// Searches anew through what was found, without playing anything.
fn capacities(experiment: &Experiment, folder: &Folder, builds: &[Build]) -> Vec<(Setting, Build, String)> {
    let Some(search) = &experiment.search else { return Vec::new() };
    let mut capacities = Vec::new();
    for setting in experiment.settings() {
        for build in builds {
            let asked = |load: f64| {
                let at = Setting { load_per_mille: crate::matrix::per_mille(load), ..setting.clone() };
                let runs = runs(folder, &at, *build);
                let whole = runs.len() >= experiment.seeds.len();
                let holds = runs.iter().filter(|f| bears(search, f)).count();
                whole.then_some(2 * holds > runs.len()).ok_or(())
            };
            let found: Result<Capacity, ()> = bisect(search.least, search.most, search.within, asked);
            let words = found.map_or("not searched to its end".into(), |found| found.to_string());
            capacities.push((setting.clone(), *build, words));
        }
    }
    capacities
}

impl std::fmt::Display for Report {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (played, all) = self.played;
        writeln!(
            f,
            "{}: {played} runs{}",
            self.name,
            if all > played { format!(" of {all}") } else { String::new() }
        )?;
        for (setting, build, words) in &self.capacities {
            writeln!(f, "{setting}, {build}: the load that it bears: {words}")?;
        }
        for section in &self.sections {
            writeln!(f, "\n{}", section.setting)?;
            for (build, [played, holds, broken, not_run]) in ["A", "B"].iter().zip(&section.runs) {
                writeln!(
                    f,
                    "  {build}: {played} runs, {holds} hold, {broken} break a rule, {not_run} not run"
                )?;
            }
            if !section.codes.is_empty() {
                writeln!(f, "  rules broken: {}", section.codes.join(", "))?;
            }
            for row in &section.rows {
                write!(f, "  {:<22}", row.figure)?;
                for shown in &row.builds {
                    write!(f, " {:>26}", shown.map_or("-".into(), |s| s.to_string()))?;
                }
                if let Some(difference) = &row.difference {
                    let word = if row.distinguishable { "differs" } else { "noise" };
                    write!(f, "   B - A {difference} {word}")?;
                }
                writeln!(f)?;
            }
            for (seed, build, what, command) in &section.worst {
                writeln!(f, "  worst: seed {seed}, {build}, {what}\n    {command}")?;
            }
        }
        Ok(())
    }
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// The page: tables and pictures, with nothing that is fetched from elsewhere.
pub fn html(report: &Report, folder: &Folder) -> String {
    let mut out = format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{0}</title><style>body{{font:14px sans-serif;\
         max-width:960px;margin:2em auto}}table{{border-collapse:collapse}}td,th{{padding:2px 10px;text-align:right;\
         border-bottom:1px solid #ddd}}td:first-child,th:first-child{{text-align:left}}.differs{{font-weight:bold}}\
         code{{font-size:12px}}</style><h1>{0}</h1><p>{1} runs. Medians, in brackets the 95% interval of the \
         bootstrap; differences are paired by seed.</p>",
        escaped(&report.name),
        report.played.0
    );
    for (number, digest) in report.builds.iter().enumerate() {
        let _ = write!(out, "<p>Build {}: {digest}</p>", ["A", "B"][number.min(1)]);
    }
    for (setting, build, words) in &report.capacities {
        let _ =
            write!(out, "<p>{}, {build}: the load that it bears: {words}</p>", escaped(&setting.to_string()));
    }
    for section in &report.sections {
        let _ = write!(out, "<h2>{}</h2>", escaped(&section.setting.to_string()));
        for (build, [played, holds, broken, not_run]) in ["A", "B"].iter().zip(&section.runs) {
            let _ = write!(
                out,
                "<p>{build}: {played} runs, {holds} hold, {broken} break a rule, {not_run} not run</p>"
            );
        }
        out.push_str("<table><tr><th>figure</th>");
        section.runs.iter().zip(["A", "B"]).for_each(|(_, build)| out.push_str(&format!("<th>{build}</th>")));
        out.push_str(if section.runs.len() > 1 { "<th>B - A</th></tr>" } else { "</tr>" });
        for row in &section.rows {
            let _ = write!(out, "<tr><td>{}</td>", row.figure);
            for shown in &row.builds {
                let _ = write!(out, "<td>{}</td>", shown.map_or("-".into(), |s| s.to_string()));
            }
            if let Some(difference) = &row.difference {
                let class = if row.distinguishable { "differs" } else { "noise" };
                let _ = write!(out, "<td class=\"{class}\">{difference} {class}</td>");
            }
            out.push_str("</tr>");
        }
        out.push_str("</table>");
        out.push_str(&pictures(section, folder));
        out.push_str("<ul>");
        for (seed, build, what, command) in &section.worst {
            let (what, command) = (escaped(what), escaped(command));
            let _ = write!(out, "<li>seed {seed}, {build}: {what}<br><code>{command}</code></li>");
        }
        out.push_str("</ul>");
    }
    out.push_str("</html>\n");
    out
}

/// The median of a figure of each step over all runs; where no run has it, nothing.
fn over_time(name: &str, colour: usize, runs: &[&Found], of: &dyn Fn(&Interval) -> f64) -> Curve {
    let longest = runs.iter().map(|f| f.steps.len()).max().unwrap_or(0);
    let at = |step: usize| {
        let figures: Vec<f64> = runs.iter().filter_map(|f| f.steps.get(step).map(of)).collect();
        crate::stats::median(&figures).unwrap_or(f64::NAN)
    };
    let middles: Vec<f64> = (0..longest).map(at).collect();
    let mut curve = curve(name, colour, &vec![Interval::default(); longest], &|_| 0.0);
    curve.points.iter_mut().zip(middles).for_each(|(point, middle)| point.1 = middle);
    curve
}

fn pictures(section: &Section, folder: &Folder) -> String {
    let builds = [Build::A, Build::B];
    let of: Vec<(Build, Vec<&Found>)> =
        builds.into_iter().take(section.runs.len()).map(|b| (b, runs(folder, &section.setting, b))).collect();
    let seconds = of.iter().flat_map(|(_, runs)| runs).map(|f| f.steps.len()).max().unwrap_or(1) as f64
        * INTERVAL_US as f64
        / 1e6;
    let curves = |of_step: &dyn Fn(&Interval) -> f64| {
        let each = of.iter().enumerate();
        each.map(|(at, (build, runs))| over_time(&build.to_string(), at, runs, of_step)).collect::<Vec<_>>()
    };
    let share = |s: &Interval| if s.asked > 0 { s.served as f64 / s.asked as f64 } else { f64::NAN };
    let panels = [
        panel_over_time("served, median over seeds", "part of what was asked", curves(&share), Some(1.0)),
        panel_over_time("origin, median over seeds", "sent / capacity", curves(&|s| s.origin), Some(1.0)),
        panel_over_time(
            "coldest server, median over seeds",
            "sent / limit",
            curves(&|s| s.coldest),
            Some(1.0),
        ),
    ];
    let first = of.first().and_then(|(_, runs)| runs.first());
    let spans = first.map(|f| fault_spans(&f.faults, seconds)).unwrap_or_default();
    let mut out = picture("over time", &panels, &spans, seconds);
    // Times by their rank: each mark's median over the seeds.
    let mut latencies = Vec::new();
    for (at, (build, runs)) in of.iter().enumerate() {
        let mut classes: Vec<&String> = runs.iter().flat_map(|f| f.marks_ms.keys()).collect();
        classes.sort();
        classes.dedup();
        for (number, class) in classes.into_iter().enumerate() {
            let marks = runs.iter().filter_map(|f| f.marks_ms.get(class)).map(Vec::len).max().unwrap_or(0);
            let point = |mark: usize| {
                let own: Vec<f64> =
                    runs.iter().filter_map(|f| f.marks_ms.get(class)?.get(mark).copied()).collect();
                let rank = 100.0 * mark as f64 / marks.saturating_sub(1).max(1) as f64;
                (rank, crate::stats::median(&own).unwrap_or(f64::NAN))
            };
            let colour = COLOURS[(2 * number + at) % COLOURS.len()];
            latencies.push(Curve {
                name: format!("{class} {build}"),
                colour,
                points: (0..marks).map(point).collect(),
            });
        }
    }
    let title = "time of served requests by rank, median over seeds".to_owned();
    let (x_label, y_label) = ("part of the requests, %", "ms");
    out.push_str(&picture(
        "latency",
        &[Panel { title, x_label, y_label, curves: latencies, bound: None }],
        &[],
        1.0,
    ));
    out
}

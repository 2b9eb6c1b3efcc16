//! `stonevane fleet measure`: detection time, false deaths and traffic of simulated fleets by loss and slow
//! members.

use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};

use clap::Args;
use stonevane_audit::MembershipMeasurements;
use stonevane_lab::plot::{COLOURS, Curve, Panel, picture};
use stonevane_sim::members::{MemberOptions, MemberPlan, MemberVerdict, run as run_simulation};

use super::seconds;
use crate::arguments::share;
use crate::error::{CommandError, write_file};
use crate::parallel;

/// Columns of the table.
const HEADER: &str = "members,loss,slow,health,deaths,first_s,first_most_s,all_s,all_most_s,seen_by_all,\
                      false_deaths_an_hour_and_member,datagrams_a_s,bytes_a_s";

/// Arguments of `stonevane fleet measure`.
#[derive(Args)]
pub struct Measure {
    /// Fleet sizes in members, separated by commas.
    #[arg(long, value_delimiter = ',', default_value = "16,64,300", value_parser = clap::value_parser!(u64).range(3..=2_000))]
    members: Vec<u64>,
    /// Shares of datagrams that are lost, each from 0 to 1, separated by commas.
    #[arg(long, value_delimiter = ',', default_value = "0,0.1,0.3,0.5", value_parser = share)]
    loss: Vec<f64>,
    /// Shares of members that are slow (running only a tenth of the time), each from 0 to 1, separated by
    /// commas.
    #[arg(long, value_delimiter = ',', default_value = "0,0.1,0.3", value_parser = share)]
    slow: Vec<f64>,
    /// Simulated time of each fleet, in seconds.
    #[arg(long, default_value_t = 200, value_parser = clap::value_parser!(u64).range(60..=36_000))]
    seconds: u64,
    /// Seed of the first fleet; each further fleet takes the next number.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Measure each fleet a second time without the Lifeguard extensions, which lengthen a member's timeouts,
    /// for example if its own health is poor.
    #[arg(long)]
    without_health: bool,
    /// Write the table to a CSV file as well.
    #[arg(long, value_name = "FILE")]
    csv: Option<PathBuf>,
    /// Write an SVG chart of detection time and false deaths over packet loss, with a curve for each size and
    /// share of slow members.
    #[arg(long, value_name = "FILE.svg")]
    chart: Option<PathBuf>,
}

/// The parameters that all points of a curve share.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
struct Setting {
    members: u64,
    slow: f64,
    heeds_health: bool,
}

/// Parameters of one simulated fleet.
#[derive(Debug, Clone, Copy)]
struct Cell {
    setting: Setting,
    loss: f64,
}

/// Figures of one simulated fleet.
struct Measured {
    cell: Cell,
    /// Median time until all members see a death, in microseconds.
    seen_by_all_us: Option<u64>,
    /// False deaths per member and hour.
    false_deaths: f64,
    /// The fleet's line of the table.
    line: String,
}

impl Measure {
    pub(super) fn run(self) -> Result<(), CommandError> {
        let cells = self.cells();
        let done = AtomicUsize::new(0);
        let measure = |number: u64| {
            let measured = self.measure(cells[number as usize], self.seed + number);
            errln!("  {} of {} done", done.fetch_add(1, Ordering::Relaxed) + 1, cells.len());
            measured
        };
        let measured: Vec<Measured> = match cells.len() {
            0 => Vec::new(),
            count => {
                let results = parallel::map(&(0..=count as u64 - 1), measure);
                results.into_iter().map(|(_, measured)| measured).collect()
            }
        };
        let lines = std::iter::once(HEADER).chain(measured.iter().map(|measured| measured.line.as_str()));
        let table = lines.collect::<Vec<_>>().join("\n");
        outln!("{table}");
        if let Some(file) = &self.csv {
            write_file(file, format!("{table}\n"))?;
        }
        if let Some(file) = &self.chart {
            write_file(file, chart(&measured))?;
        }
        Ok(())
    }

    fn cells(&self) -> Vec<Cell> {
        let health = if self.without_health { &[true, false][..] } else { &[true][..] };
        let mut cells = Vec::new();
        for members in &self.members {
            for loss in &self.loss {
                for slow in &self.slow {
                    cells.extend(health.iter().map(|heeds_health| Cell {
                        setting: Setting { members: *members, slow: *slow, heeds_health: *heeds_health },
                        loss: *loss,
                    }));
                }
            }
        }
        cells
    }

    fn measure(&self, cell: Cell, seed: u64) -> Measured {
        let Setting { members, slow, heeds_health } = cell.setting;
        let length_us = self.seconds * 1_000_000;
        let plan = MemberPlan::for_measurement(seed, members as usize, cell.loss, slow, length_us);
        let verdict =
            run_simulation(&MemberPlan { uses_local_health: heeds_health, ..plan }, MemberOptions::default());
        let member_hours = (verdict.member_seconds / 3_600.0).max(1e-9);
        let false_deaths = verdict.statistics.false_deaths as f64 / member_hours;
        Measured {
            cell,
            seen_by_all_us: MembershipMeasurements::quantile(&verdict.statistics.last_us, 0.5),
            false_deaths,
            line: line(cell, &verdict, false_deaths),
        }
    }
}

/// Formats a line of the table, in the order of [`HEADER`].
fn line(cell: Cell, verdict: &MemberVerdict, false_deaths: f64) -> String {
    let figures = &verdict.statistics;
    let quantile = |times: &[u64], quantile| seconds(MembershipMeasurements::quantile(times, quantile));
    let member_s = verdict.member_seconds.max(1e-9);
    let columns = [
        cell.setting.members.to_string(),
        cell.loss.to_string(),
        cell.setting.slow.to_string(),
        cell.setting.heeds_health.to_string(),
        figures.deaths.to_string(),
        quantile(&figures.first_us, 0.5),
        quantile(&figures.first_us, 1.0),
        quantile(&figures.last_us, 0.5),
        quantile(&figures.last_us, 1.0),
        figures.last_us.len().to_string(),
        format!("{false_deaths:.3}"),
        format!("{:.2}", verdict.datagrams as f64 / member_s),
        format!("{:.0}", verdict.bytes as f64 / member_s),
    ];
    columns.join(",")
}

fn chart(measured: &[Measured]) -> String {
    let panel = |title: &str, y_label, figure: &dyn Fn(&Measured) -> f64| Panel {
        title: title.into(),
        x_label: "datagrams lost, %",
        y_label,
        curves: curves(measured, figure),
        bound: None,
    };
    let seen_by_all = |measured: &Measured| measured.seen_by_all_us.map_or(f64::NAN, |us| us as f64 / 1e6);
    let panels = [
        panel("Time until all see a death, s (median)", "s", &seen_by_all),
        panel("False deaths per member and hour", "", &|measured| measured.false_deaths),
    ];
    let most_loss = measured.iter().map(|measured| measured.cell.loss * 100.0).fold(1.0, f64::max);
    picture("Membership, simulated", &panels, &[], most_loss)
}

/// Returns a curve over the loss for each setting.
fn curves(measured: &[Measured], figure: &dyn Fn(&Measured) -> f64) -> Vec<Curve> {
    let mut settings: Vec<Setting> = measured.iter().map(|measured| measured.cell.setting).collect();
    settings.sort_by(|one, other| one.partial_cmp(other).unwrap_or(std::cmp::Ordering::Equal));
    settings.dedup();
    let curve = |(index, setting): (usize, &Setting)| {
        let own = measured.iter().filter(|measured| measured.cell.setting == *setting);
        let mut points: Vec<(f64, f64)> =
            own.map(|measured| (measured.cell.loss * 100.0, figure(measured))).collect();
        points.sort_by(|one, other| one.0.total_cmp(&other.0));
        let health = if setting.heeds_health { "" } else { ", own health ignored" };
        Curve {
            name: format!("{}, {:.0} % slow{health}", setting.members, setting.slow * 100.0),
            colour: COLOURS[index % COLOURS.len()],
            points,
        }
    };
    settings.iter().enumerate().map(curve).collect()
}

//! `stonevane scale measure`: one role at several sizes, and how its figures grow.
//!
//! Each size has a process of its own, so that what one size leaves in the heap is not missing in the memory of the next.

use std::fs::OpenOptions;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

use clap::Args;
use stonevane_capacity::limits::MachineMemory;
use stonevane_capacity::roles::{Conditions, Measurement, MetricValue, Role};
use stonevane_capacity::{csv, report};
use stonevane_lab::plot::{COLOURS, Curve, Panel, picture};

use crate::error::{CommandError, NOT_RUN, write_file};

/// What is measured.
#[derive(Args)]
#[command(after_help = "Example: stonevane scale measure --role membership --sizes 300,1000,3000,18000 \
                        --csv docs/capacity/membership.csv --chart membership.svg")]
pub struct Measure {
    /// membership, server-list, node-state, server-connections, discovery, reload or passage.
    #[arg(long)]
    role: String,
    /// Sizes with commas between, rising: nodes, servers, tenants or bytes, as the role counts them.
    #[arg(long)]
    sizes: String,
    /// Writes every figure as CSV.
    #[arg(long, value_name = "FILE")]
    csv: Option<PathBuf>,
    /// Draws every figure over the sizes as SVG.
    #[arg(long, value_name = "FILE")]
    chart: Option<PathBuf>,
    /// The seed of all random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// A curve is straight while each point lies within this part of the line through the smaller sizes.
    #[arg(long, default_value = "0.1")]
    tolerance: String,
    /// Membership: the largest fleet in which every member is a real machine; above it a few real ones are measured among
    /// modelled peers.
    #[arg(long, default_value_t = 3_000, value_name = "MEMBERS")]
    full_up_to: u64,
    /// Measures in this process and writes CSV to standard output: what a size's own process is started with.
    #[arg(long, hide = true)]
    in_process: bool,
}

/// Why the arguments can't be used.
#[derive(Debug, thiserror::Error)]
enum OrderError {
    #[error("--role: there is no role {role:?}; one of {known}")]
    UnknownRole { role: String, known: String },
    #[error("--sizes: {0:?} is no size above 0")]
    NoSize(String),
    #[error("--sizes: {next} does not rise above {previous}")]
    SizeOrder { previous: u64, next: u64 },
    #[error("--tolerance: {0:?} is no number between 0 and 1")]
    Tolerance(String),
    #[error("the system does not tell how much memory there is")]
    UnknownMemory,
    /// A size that the role can't have.
    #[error("{0}")]
    Size(String),
    #[error("{}: {error}", .file.display())]
    Output { file: PathBuf, error: std::io::Error },
}

/// What the arguments ask for, checked.
struct Order {
    role: Role,
    sizes: Vec<u64>,
    tolerance: f64,
    conditions: Conditions,
}

/// Reads sizes, which must rise.
fn sizes(text: &str) -> Result<Vec<u64>, OrderError> {
    let size = |part: &str| {
        let number = part.trim().parse::<u64>().ok().filter(|size| *size > 0);
        number.ok_or_else(|| OrderError::NoSize(part.trim().to_owned()))
    };
    let sizes = text.split(',').map(size).collect::<Result<Vec<_>, _>>()?;
    match sizes.windows(2).find(|pair| pair[1] <= pair[0]) {
        Some(pair) => Err(OrderError::SizeOrder { previous: pair[0], next: pair[1] }),
        None => Ok(sizes),
    }
}

/// Reads a tolerance, a part of 1.
fn tolerance(text: &str) -> Result<f64, OrderError> {
    let value = text.parse::<f64>().ok().filter(|value| *value > 0.0 && *value < 1.0);
    value.ok_or_else(|| OrderError::Tolerance(text.to_owned()))
}

/// Whether a file can be written, before anything is measured.
fn check_writable(file: &Path) -> Result<(), OrderError> {
    let opened = OpenOptions::new().create(true).append(true).open(file);
    opened.map(drop).map_err(|error| OrderError::Output { file: file.into(), error })
}

/// Ends this process when its standard input does, which the process that started it holds open: nothing is left behind
/// by one that is killed.
fn end_with_parent() {
    let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
    std::process::exit(i32::from(NOT_RUN));
}

impl Measure {
    fn order(&self) -> Result<Order, OrderError> {
        let role = Role::from_name(&self.role).ok_or_else(|| {
            let known = Role::ALL.map(Role::name).join(", ");
            OrderError::UnknownRole { role: self.role.clone(), known }
        })?;
        let sizes = sizes(&self.sizes)?;
        let tolerance = tolerance(&self.tolerance)?;
        let memory = MachineMemory::read().ok_or(OrderError::UnknownMemory)?;
        let conditions = Conditions {
            seed: self.seed,
            memory_limit_bytes: memory.allowed_bytes(),
            full_up_to: self.full_up_to,
        };
        for size in &sizes {
            role.check(*size, &conditions).map_err(|error| OrderError::Size(error.to_string()))?;
        }
        for file in self.csv.iter().chain(&self.chart) {
            check_writable(file)?;
        }
        Ok(Order { role, sizes, tolerance, conditions })
    }

    pub fn run(self) -> Result<(), CommandError> {
        let order = self.order().map_err(CommandError::unusable)?;
        if self.in_process { measure_here(&order) } else { self.measure(&order) }
    }

    /// Measures a size in a process of its own.
    fn measure_size(&self, order: &Order, size: u64) -> Result<Measurement, CommandError> {
        let failed = |what: &str, error: std::io::Error| CommandError::not_run(format!("{what}: {error}"));
        let program = std::env::current_exe().map_err(|error| failed("this program", error))?;
        let mut child = Command::new(program)
            .args(["scale", "measure", "--in-process", "--role", order.role.name()])
            .args(["--sizes", &size.to_string(), "--seed", &self.seed.to_string()])
            .args(["--full-up-to", &self.full_up_to.to_string()])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .map_err(|error| failed(&format!("a process for size {size}"), error))?;
        // Open until it has ended: see `end_with_parent`.
        let held_open = child.stdin.take();
        let output = child.wait_with_output();
        drop(held_open);
        let output = output.map_err(|error| failed(&format!("the process for size {size}"), error))?;
        if !output.status.success() {
            return Err(CommandError::NotRun(failure(size, &output)));
        }
        let lines = csv::read(&String::from_utf8_lossy(&output.stdout));
        let measured = lines.and_then(|lines| csv::measurement(&lines));
        measured.map_err(|error| CommandError::not_run(format!("size {size}: {error}")))
    }

    fn measure(&self, order: &Order) -> Result<(), CommandError> {
        let mut measured = Vec::new();
        for size in &order.sizes {
            let measurement = self.measure_size(order, *size)?;
            say!("{}", report::size_line(&measurement));
            measured.push(measurement);
        }
        say!("straight within {} of the line through the smaller sizes:", order.tolerance);
        for line in report::growth_lines(&measured, order.tolerance) {
            say!("{line}");
        }
        if let Some(file) = &self.csv {
            let lines: Vec<_> = measured.iter().flat_map(csv::lines).collect();
            write_file(file, csv::write(&lines))?;
        }
        if let Some(file) = &self.chart {
            write_file(file, chart(order.role, &measured))?;
        }
        Ok(())
    }
}

/// Measures every size in this process, for as long as the one that started it lives.
fn measure_here(order: &Order) -> Result<(), CommandError> {
    std::thread::spawn(end_with_parent);
    let mut lines = Vec::new();
    for size in &order.sizes {
        let measured = order.role.measure(*size, &order.conditions);
        lines.extend(csv::lines(&measured.map_err(CommandError::not_run)?));
    }
    say!("{}", csv::write(&lines));
    Ok(())
}

/// Why a size's process failed: its own message, where it has printed one.
fn failure(size: u64, output: &Output) -> String {
    let message = String::from_utf8_lossy(&output.stderr);
    let message = message.trim().trim_start_matches("stonevane: ");
    match message.is_empty() {
        true => format!("size {size} ended: {}", output.status),
        false => message.to_owned(),
    }
}

/// A panel for each figure.
fn chart(role: Role, measured: &[Measurement]) -> String {
    let metrics = measured.first().map_or(&[][..], |first| &first.values);
    let panels: Vec<Panel> = metrics.iter().map(|figure| panel(role, figure, measured)).collect();
    picture(&format!("What {} costs", role.name()), &panels, &[], 0.0)
}

fn panel(role: Role, figure: &MetricValue, measured: &[Measurement]) -> Panel {
    let point = |measurement: &Measurement| {
        let same = measurement.values.iter().find(|other| other.metric == figure.metric)?;
        Some((measurement.size as f64, same.value))
    };
    let points = measured.iter().filter_map(point).collect();
    let curve = Curve { name: figure.metric.to_string(), colour: COLOURS[0], points };
    Panel {
        title: format!("{}, {}", figure.metric, figure.unit),
        x_label: role.size_unit(),
        y_label: "",
        curves: vec![curve],
        bound: None,
    }
}

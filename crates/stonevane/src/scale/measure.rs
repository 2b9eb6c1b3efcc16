//! `stonevane scale measure`: measures one role at several sizes, and how its figures grow.
//!
//! Each size is measured in a separate process: heap memory left over from one size would be reused for the
//! next size and be missing from that size's memory figure.

use std::fs::OpenOptions;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

use clap::Args;
use stonevane_capacity::limits::MachineMemory;
use stonevane_capacity::roles::{Conditions, Measurement, MetricValue, Role};
use stonevane_capacity::{csv, report};
use stonevane_lab::plot::{COLOURS, Curve, Panel, picture};

use crate::error::{CommandError, NOT_RUN, write_file};

/// Arguments of `stonevane scale measure`.
#[derive(Args)]
#[command(after_help = "Example: stonevane scale measure --role membership --sizes 300,1000,3000,18000 \
                        --csv docs/capacity/membership.csv --chart membership.svg")]
pub struct Measure {
    /// Role to measure: membership, server-list, node-state, server-connections, discovery, reload or
    /// passage.
    #[arg(long)]
    role: String,
    /// Sizes in increasing order, separated by commas, in the role's unit (nodes, servers, tenants or bytes).
    #[arg(long)]
    sizes: String,
    /// Write all figures to a CSV file.
    #[arg(long, value_name = "FILE")]
    csv: Option<PathBuf>,
    /// Write an SVG chart of all figures over the sizes.
    #[arg(long, value_name = "FILE")]
    chart: Option<PathBuf>,
    /// Seed of all random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Relative tolerance, between 0 and 1: a figure's growth counts as linear up to the size whose point
    /// still lies this close to the line through the smaller sizes.
    #[arg(long, default_value = "0.1")]
    tolerance: String,
    /// For role `membership`: largest fleet in which every member runs the real state machine. In larger
    /// fleets only a few members run it, and their peers are modelled.
    #[arg(long, default_value_t = 3_000, value_name = "MEMBERS")]
    full_up_to: u64,
    /// Measure in this process and write CSV to standard output; passed to the process that measures one
    /// size.
    #[arg(long, hide = true)]
    in_process: bool,
}

/// Invalid arguments, or an output file that can't be written.
#[derive(Debug, thiserror::Error)]
enum ArgumentsError {
    #[error("--role: there is no role {role:?}; one of {known}")]
    UnknownRole { role: String, known: String },
    #[error("--sizes: {0:?} is no size above 0")]
    InvalidSize(String),
    #[error("--sizes: {next} does not rise above {previous}")]
    SizeOrder { previous: u64, next: u64 },
    #[error("--tolerance: {0:?} is no number between 0 and 1")]
    Tolerance(String),
    #[error("the amount of this machine's memory is unknown")]
    UnknownMemory,
    /// The role can't be measured at this size.
    #[error("{0}")]
    Size(String),
    #[error("{}: {error}", .file.display())]
    Output { file: PathBuf, error: std::io::Error },
}

/// Validated arguments.
struct ValidatedArguments {
    role: Role,
    sizes: Vec<u64>,
    tolerance: f64,
    conditions: Conditions,
}

/// Parses sizes, which must increase.
fn sizes(text: &str) -> Result<Vec<u64>, ArgumentsError> {
    let size = |part: &str| {
        let number = part.trim().parse::<u64>().ok().filter(|size| *size > 0);
        number.ok_or_else(|| ArgumentsError::InvalidSize(part.trim().to_owned()))
    };
    let sizes = text.split(',').map(size).collect::<Result<Vec<_>, _>>()?;
    match sizes.windows(2).find(|pair| pair[1] <= pair[0]) {
        Some(pair) => Err(ArgumentsError::SizeOrder { previous: pair[0], next: pair[1] }),
        None => Ok(sizes),
    }
}

/// Parses a tolerance between 0 and 1, both excluded.
fn tolerance(text: &str) -> Result<f64, ArgumentsError> {
    let value = text.parse::<f64>().ok().filter(|value| *value > 0.0 && *value < 1.0);
    value.ok_or_else(|| ArgumentsError::Tolerance(text.to_owned()))
}

/// Checks that an output file can be written, before the first measurement; creates it if it does not exist.
fn check_writable(file: &Path) -> Result<(), ArgumentsError> {
    let opened = OpenOptions::new().create(true).append(true).open(file);
    opened.map(drop).map_err(|error| ArgumentsError::Output { file: file.into(), error })
}

/// Exits at the end of standard input. The parent holds it open, so this process also ends if the parent is
/// killed.
fn end_with_parent() {
    let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
    std::process::exit(i32::from(NOT_RUN));
}

impl Measure {
    fn validate(&self) -> Result<ValidatedArguments, ArgumentsError> {
        let role = Role::from_name(&self.role).ok_or_else(|| {
            let known = Role::ALL.map(Role::name).join(", ");
            ArgumentsError::UnknownRole { role: self.role.clone(), known }
        })?;
        let sizes = sizes(&self.sizes)?;
        let tolerance = tolerance(&self.tolerance)?;
        let memory = MachineMemory::read().ok_or(ArgumentsError::UnknownMemory)?;
        let conditions = Conditions {
            seed: self.seed,
            memory_limit_bytes: memory.allowed_bytes(),
            full_up_to: self.full_up_to,
        };
        for size in &sizes {
            role.check(*size, &conditions).map_err(|error| ArgumentsError::Size(error.to_string()))?;
        }
        for file in self.csv.iter().chain(&self.chart) {
            check_writable(file)?;
        }
        Ok(ValidatedArguments { role, sizes, tolerance, conditions })
    }

    pub fn run(self) -> Result<(), CommandError> {
        let arguments = self.validate().map_err(CommandError::unusable)?;
        if self.in_process { measure_in_process(&arguments) } else { self.measure(&arguments) }
    }

    /// Measures one size in a separate process.
    fn measure_size(&self, arguments: &ValidatedArguments, size: u64) -> Result<Measurement, CommandError> {
        let failed =
            |context: &str, error: std::io::Error| CommandError::not_run(format!("{context}: {error}"));
        let program = std::env::current_exe().map_err(|error| failed("this program", error))?;
        let mut child = Command::new(program)
            .args(["scale", "measure", "--in-process", "--role", arguments.role.name()])
            .args(["--sizes", &size.to_string(), "--seed", &self.seed.to_string()])
            .args(["--full-up-to", &self.full_up_to.to_string()])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .map_err(|error| failed(&format!("a process for size {size}"), error))?;
        // Held open until the child has ended; see `end_with_parent`.
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

    fn measure(&self, arguments: &ValidatedArguments) -> Result<(), CommandError> {
        let mut measured = Vec::new();
        for size in &arguments.sizes {
            let measurement = self.measure_size(arguments, *size)?;
            outln!("{}", report::size_line(&measurement));
            measured.push(measurement);
        }
        outln!("straight within {} of the line through the smaller sizes:", arguments.tolerance);
        for line in report::growth_lines(&measured, arguments.tolerance) {
            outln!("{line}");
        }
        if let Some(file) = &self.csv {
            let lines: Vec<_> = measured.iter().flat_map(csv::lines).collect();
            write_file(file, csv::write(&lines))?;
        }
        if let Some(file) = &self.chart {
            write_file(file, chart(arguments.role, &measured))?;
        }
        Ok(())
    }
}

/// Measures all sizes in this process, which ends with its parent.
fn measure_in_process(arguments: &ValidatedArguments) -> Result<(), CommandError> {
    std::thread::spawn(end_with_parent);
    let mut lines = Vec::new();
    for size in &arguments.sizes {
        let measured = arguments.role.measure(*size, &arguments.conditions);
        lines.extend(csv::lines(&measured.map_err(CommandError::not_run)?));
    }
    outln!("{}", csv::write(&lines));
    Ok(())
}

/// Describes why the process that measures a size failed: its error message, or its exit status if it printed
/// none.
fn failure(size: u64, output: &Output) -> String {
    let message = String::from_utf8_lossy(&output.stderr);
    let message = message.trim().trim_start_matches("stonevane: ");
    match message.is_empty() {
        true => format!("size {size} ended: {}", output.status),
        false => message.to_owned(),
    }
}

/// Returns an SVG chart with a panel for each figure, over the sizes.
fn chart(role: Role, measured: &[Measurement]) -> String {
    let metrics = measured.first().map_or(&[][..], |first| &first.values);
    let panels: Vec<Panel> = metrics.iter().map(|figure| panel(role, figure, measured)).collect();
    picture(&format!("Cost of {}", role.name()), &panels, &[], 0.0)
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

//! `stonevane scale measure`: one role at several sizes, and how its figures grow.
//!
//! Each size has a process of its own, so that what one size leaves in the heap is not missing in the memory of the next.

use std::fs::OpenOptions;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode, Stdio};

use clap::Args;
use stonevane_capacity::limits::MachineMemory;
use stonevane_capacity::roles::{Conditions, Figure, Measurement, Role};
use stonevane_capacity::{csv, report};
use stonevane_lab::plot::{COLOURS, Curve, Panel, picture};

use crate::{NOT_RUN, UNUSABLE, ended};

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

/// What the arguments ask for, checked.
struct Order {
    role: Role,
    sizes: Vec<u64>,
    tolerance: f64,
    conditions: Conditions,
}

/// Reads sizes, which must rise.
fn sizes(text: &str) -> Result<Vec<u64>, String> {
    let size = |part: &str| {
        let number = part.trim().parse::<u64>().ok().filter(|size| *size > 0);
        number.ok_or_else(|| format!("--sizes: {:?} is no size above 0", part.trim()))
    };
    let sizes = text.split(',').map(size).collect::<Result<Vec<_>, _>>()?;
    match sizes.windows(2).find(|pair| pair[1] <= pair[0]) {
        Some(pair) => Err(format!("--sizes: {} does not rise above {}", pair[1], pair[0])),
        None => Ok(sizes),
    }
}

/// Reads a tolerance, a part of 1.
fn tolerance(text: &str) -> Result<f64, String> {
    let value = text.parse::<f64>().ok().filter(|value| *value > 0.0 && *value < 1.0);
    value.ok_or_else(|| format!("--tolerance: {text:?} is no number between 0 and 1"))
}

/// Whether a file can be written, before anything is measured.
fn writable(file: &Path) -> Result<(), String> {
    let opened = OpenOptions::new().create(true).append(true).open(file);
    opened.map(drop).map_err(|e| format!("{}: {e}", file.display()))
}

fn write(file: &Path, text: &str) -> Result<(), (String, u8)> {
    std::fs::write(file, text).map_err(|e| (format!("{}: {e}", file.display()), NOT_RUN))
}

/// Ends this process when its standard input does, which the process that started it holds open: nothing is left behind
/// by one that is killed.
fn end_with_parent() {
    let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
    std::process::exit(i32::from(NOT_RUN));
}

impl Measure {
    fn order(&self) -> Result<Order, String> {
        let role = Role::named(&self.role).ok_or_else(|| {
            let names = Role::ALL.map(Role::name).join(", ");
            format!("--role: there is no role {:?}; one of {names}", self.role)
        })?;
        let sizes = sizes(&self.sizes)?;
        let tolerance = tolerance(&self.tolerance)?;
        let memory = MachineMemory::read().ok_or("the system does not tell how much memory there is")?;
        let conditions =
            Conditions { seed: self.seed, memory: memory.allowed(), full_up_to: self.full_up_to };
        for size in &sizes {
            role.check(*size, &conditions).map_err(|e| e.to_string())?;
        }
        self.csv.iter().chain(&self.chart).try_for_each(|file| writable(file))?;
        Ok(Order { role, sizes, tolerance, conditions })
    }

    /// Runs the command.
    pub fn run(self) -> ExitCode {
        let measure = if self.in_process { Measure::measure_here } else { Measure::measure };
        let done = self.order().map_err(|what| (what, UNUSABLE)).and_then(|order| measure(&self, &order));
        ended(done.map(|()| true))
    }

    /// Measures every size in this process, for as long as the one that started it lives.
    fn measure_here(&self, order: &Order) -> Result<(), (String, u8)> {
        std::thread::spawn(end_with_parent);
        let mut lines = Vec::new();
        for size in &order.sizes {
            let measured = order.role.measure(*size, &order.conditions);
            lines.extend(csv::lines(&measured.map_err(|e| (e.to_string(), NOT_RUN))?));
        }
        say!("{}", csv::write(&lines));
        Ok(())
    }

    /// Measures a size in a process of its own.
    fn measure_size(&self, order: &Order, size: u64) -> Result<Measurement, (String, u8)> {
        let program = std::env::current_exe().map_err(|e| (format!("this program: {e}"), NOT_RUN))?;
        let mut child = Command::new(program)
            .args(["scale", "measure", "--in-process", "--role", order.role.name()])
            .args(["--sizes", &size.to_string(), "--seed", &self.seed.to_string()])
            .args(["--full-up-to", &self.full_up_to.to_string()])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .map_err(|e| (format!("a process for size {size}: {e}"), NOT_RUN))?;
        // Open until it has ended: see `end_with_parent`.
        let held_open = child.stdin.take();
        let output = child.wait_with_output();
        drop(held_open);
        let output = output.map_err(|e| (format!("the process for size {size}: {e}"), NOT_RUN))?;
        if !output.status.success() {
            let said = String::from_utf8_lossy(&output.stderr);
            let said = said.trim().trim_start_matches("stonevane: ");
            let why =
                if said.is_empty() { format!("size {size} ended: {}", output.status) } else { said.into() };
            return Err((why, NOT_RUN));
        }
        let lines = csv::read(&String::from_utf8_lossy(&output.stdout));
        let measured = lines.and_then(|lines| csv::measurement(&lines));
        measured.map_err(|e| (format!("size {size}: {e}"), NOT_RUN))
    }

    fn measure(&self, order: &Order) -> Result<(), (String, u8)> {
        let mut measured = Vec::new();
        for size in &order.sizes {
            let measurement = self.measure_size(order, *size)?;
            say!("{}", report::size_line(&measurement));
            measured.push(measurement);
        }
        say!("straight within {} of the line through the smaller sizes:", order.tolerance);
        report::growth_lines(&measured, order.tolerance).iter().for_each(|line| say!("{line}"));
        if let Some(file) = &self.csv {
            let lines: Vec<_> = measured.iter().flat_map(csv::lines).collect();
            write(file, &csv::write(&lines))?;
        }
        if let Some(file) = &self.chart {
            write(file, &chart(order.role, &measured))?;
        }
        Ok(())
    }
}

/// A panel for each figure.
fn chart(role: Role, measured: &[Measurement]) -> String {
    let metrics = measured.first().map_or(&[][..], |first| &first.figures);
    let panels: Vec<Panel> = metrics.iter().map(|figure| panel(role, figure, measured)).collect();
    picture(&format!("What {} costs", role.name()), &panels, &[], 0.0)
}

fn panel(role: Role, figure: &Figure, measured: &[Measurement]) -> Panel {
    let point = |measurement: &Measurement| {
        let same = measurement.figures.iter().find(|other| other.metric == figure.metric)?;
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

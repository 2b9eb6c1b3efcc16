//! `stonevane fleet`: membership among the nodes, in simulation and as running nodes tell it.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use clap::{Args, Subcommand};
use serde_json::Value;
use stonevane_audit::MembershipFigures;
use stonevane_lab::plot::{COLOURS, Curve, Panel, picture};
use stonevane_membership::Mutant;
use stonevane_sim::members::{MemberOptions, MemberPlan, MemberVerdict, play, shrink_members};

use crate::sim::seeds;
use crate::{NOT_RUN, UNUSABLE, ended};

/// The longest answer of a node, in bytes.
const MOST_TOLD: u64 = 8 << 20;
/// Failing seeds that are told of one by one.
const TOLD: usize = 10;

/// The fleet's commands.
#[derive(Subcommand)]
pub enum Fleet {
    /// Plays simulated fleets of members with faults drawn from seeds; exit 1 where a rule is broken.
    #[command(after_help = "Examples:
  stonevane fleet simulate --seeds 1..2000
  stonevane fleet simulate --seeds 1..40 --mutant no-repair     a deliberate fault, to be found
  stonevane fleet simulate --seeds 17 --shrink                  the smallest plan that still fails so
  stonevane fleet simulate --plan smallest.json
  stonevane fleet simulate --seeds 1..5 --members 1000
  stonevane fleet simulate --mutants                            the deliberate faults, one a line")]
    Simulate(Simulate),
    /// Measures simulated fleets: time to detection and false deaths against loss and slow members, and what it costs.
    #[command(
        after_help = "Example: stonevane fleet measure --members 16,64,300,1000 --seconds 600 --csv fleet.csv"
    )]
    Measure(Measure),
    /// Asks a node what it knows of the others: a table, worst first.
    #[command(after_help = "Example: stonevane fleet status 127.0.0.1:7950")]
    Status(Ask),
    /// The same again and again: a line for each change.
    #[command(after_help = "Example: stonevane fleet watch 127.0.0.1:7950 --every-ms 500")]
    Watch {
        /// What is asked.
        #[command(flatten)]
        ask: Ask,
        /// The time between two looks.
        #[arg(long, default_value_t = 1_000, value_parser = clap::value_parser!(u64).range(50..=3_600_000))]
        every_ms: u64,
        /// Looks, and then the end; 0: until it is stopped.
        #[arg(long, default_value_t = 0)]
        looks: u64,
    },
    /// All that nodes know of one of them, in sentences: ask several, and each cut in one direction shows.
    #[command(after_help = "Example: stonevane fleet explain n7 127.0.0.1:7950 127.0.0.1:7951")]
    Explain {
        /// The member: its number, `n7`, or its address in `peers`.
        node: String,
        /// What is asked.
        #[command(flatten)]
        ask: Ask,
    },
}

/// What is measured.
#[derive(Args)]
pub struct Measure {
    /// Sizes of fleets.
    #[arg(long, value_delimiter = ',', default_value = "16,64,300", value_parser = clap::value_parser!(u64).range(3..=2_000))]
    members: Vec<u64>,
    /// Parts of all datagrams that are lost.
    #[arg(long, value_delimiter = ',', default_value = "0,0.1,0.3,0.5", value_parser = part)]
    loss: Vec<f64>,
    /// Parts of the members that run a tenth of their time.
    #[arg(long, value_delimiter = ',', default_value = "0,0.1,0.3", value_parser = part)]
    slow: Vec<f64>,
    /// How long each fleet is simulated.
    #[arg(long, default_value_t = 200, value_parser = clap::value_parser!(u64).range(60..=36_000))]
    seconds: u64,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Also members that do not heed their own health.
    #[arg(long)]
    without_health: bool,
    /// The table as CSV.
    #[arg(long, value_name = "FILE")]
    csv: Option<PathBuf>,
    /// Time to detection and false deaths against loss, a curve for each size and part of slow members.
    #[arg(long, value_name = "FILE.svg")]
    chart: Option<PathBuf>,
}

/// A cell of the table: members, loss, slow, whether they heed their health; and two of its figures.
type Measured = ((u64, f64, f64, bool), Option<u64>, f64);

fn chart(cells: &[Measured]) -> String {
    let mut lines: Vec<(u64, f64, bool)> =
        cells.iter().map(|((m, _, slow, health), ..)| (*m, *slow, *health)).collect();
    lines.dedup();
    lines.sort_by(|one, other| one.partial_cmp(other).unwrap_or(std::cmp::Ordering::Equal));
    lines.dedup();
    let curves = |figure: &dyn Fn(&Measured) -> f64| -> Vec<Curve> {
        let curve = |(at, line): (usize, &(u64, f64, bool))| {
            let (members, slow, health) = *line;
            let doubt = if health { "" } else { ", health unheeded" };
            let mut points: Vec<(f64, f64)> = cells
                .iter()
                .filter(|((m, _, s, h), ..)| (*m, *s, *h) == (members, slow, health))
                .map(|cell| (cell.0.1 * 100.0, figure(cell)))
                .collect();
            points.sort_by(|one, other| one.0.total_cmp(&other.0));
            Curve {
                name: format!("{members}, {:.0} % slow{doubt}", slow * 100.0),
                colour: COLOURS[at % COLOURS.len()],
                points,
            }
        };
        lines.iter().enumerate().map(curve).collect()
    };
    let panel = |title: &str, unit, figure: &dyn Fn(&Measured) -> f64| Panel {
        title: title.into(),
        x_label: "datagrams lost, %",
        y_label: unit,
        curves: curves(figure),
        bound: None,
    };
    let most = cells.iter().map(|cell| cell.0.1 * 100.0).fold(1.0, f64::max);
    let panels = [
        panel("A death is seen by all after, s (median)", "s", &|cell| {
            cell.1.map_or(f64::NAN, |us| us as f64 / 1e6)
        }),
        panel("False deaths an hour and member", "", &|cell| cell.2),
    ];
    picture("Membership, simulated", &panels, &[], most)
}

fn part(text: &str) -> Result<f64, String> {
    let part: Option<f64> = text.parse().ok().filter(|part| (0.0..=1.0).contains(part));
    part.ok_or_else(|| "a part from 0 to 1".into())
}

fn seconds(us: Option<u64>) -> String {
    us.map_or("-".into(), |us| format!("{:.1}", us as f64 / 1e6))
}

impl Measure {
    fn run(self) -> Result<bool, (String, u8)> {
        let mut cells = Vec::new();
        for (members, loss) in self.members.iter().flat_map(|m| self.loss.iter().map(move |loss| (*m, *loss)))
        {
            for slow in &self.slow {
                cells.extend(
                    [true, false][..=usize::from(self.without_health)]
                        .iter()
                        .map(|h| (members, loss, *slow, *h)),
                );
            }
        }
        let next = AtomicU64::new(0);
        let rows: Mutex<Vec<(usize, Vec<String>)>> = Mutex::default();
        let measured: Mutex<Vec<Measured>> = Mutex::default();
        let work = || {
            loop {
                let at = next.fetch_add(1, Ordering::Relaxed) as usize;
                let Some((members, loss, slow, heeds_health)) = cells.get(at).copied() else { return };
                let length = self.seconds * 1_000_000;
                let plan = MemberPlan::measured(self.seed + at as u64, members as usize, loss, slow, length);
                let verdict = play(&MemberPlan { heeds_health, ..plan }, MemberOptions::default());
                let figures = &verdict.figures;
                let took = |times: &[u64], part| seconds(MembershipFigures::quantile(times, part));
                let rate = figures.false_deaths as f64 / (verdict.member_s / 3_600.0).max(1e-9);
                if let Ok(mut measured) = measured.lock() {
                    measured.push((cells[at], MembershipFigures::quantile(&figures.last_us, 0.5), rate));
                }
                let row = vec![
                    members.to_string(),
                    loss.to_string(),
                    slow.to_string(),
                    heeds_health.to_string(),
                    figures.deaths.to_string(),
                    took(&figures.first_us, 0.5),
                    took(&figures.first_us, 1.0),
                    took(&figures.last_us, 0.5),
                    took(&figures.last_us, 1.0),
                    figures.last_us.len().to_string(),
                    format!("{rate:.3}"),
                    format!("{:.2}", verdict.datagrams as f64 / verdict.member_s.max(1e-9)),
                    format!("{:.0}", verdict.bytes as f64 / verdict.member_s.max(1e-9)),
                ];
                warn!("  {} of {} done", rows.lock().map_or(0, |rows| rows.len() + 1), cells.len());
                if let Ok(mut rows) = rows.lock() {
                    rows.push((at, row));
                }
            }
        };
        let jobs = std::thread::available_parallelism().map_or(1, std::num::NonZero::get);
        std::thread::scope(|scope| (0..jobs).for_each(|_| drop(scope.spawn(work))));
        let mut rows = rows.into_inner().unwrap_or_default();
        rows.sort();
        let head = "members,loss,slow,health,deaths,first_s,first_most_s,all_s,all_most_s,seen_by_all,\
                    false_deaths_an_hour_and_member,datagrams_a_s,bytes_a_s";
        let lines: Vec<String> =
            std::iter::once(head.to_owned()).chain(rows.into_iter().map(|(_, row)| row.join(","))).collect();
        say!("{}", lines.join("\n"));
        if let Some(file) = &self.csv {
            let text = lines.join("\n") + "\n";
            std::fs::write(file, text).map_err(|e| (format!("{}: {e}", file.display()), NOT_RUN))?;
        }
        if let Some(file) = &self.chart {
            let picture = chart(&measured.into_inner().unwrap_or_default());
            std::fs::write(file, picture).map_err(|e| (format!("{}: {e}", file.display()), NOT_RUN))?;
        }
        Ok(true)
    }
}

/// Whom to ask.
#[derive(Args)]
pub struct Ask {
    /// Second addresses (`mgmt`) of nodes.
    #[arg(required = true, value_name = "ADDRESS")]
    nodes: Vec<SocketAddr>,
    /// JSON as the nodes tell it.
    #[arg(long)]
    json: bool,
}

/// What a node tells of the fleet.
fn told(node: SocketAddr) -> Result<Value, String> {
    let limit = Duration::from_secs(2);
    let ask = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&node, limit)?;
        stream.set_read_timeout(Some(limit))?;
        stream.write_all(b"GET /fleet HTTP/1.1\r\nHost: fleet\r\n\r\n")?;
        let mut answer = String::new();
        stream.take(MOST_TOLD).read_to_string(&mut answer)?;
        Ok(answer)
    };
    let answer = ask().map_err(|e| format!("{node}: {e}"))?;
    let body = answer.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    if !answer.starts_with("HTTP/1.1 200 ") {
        return Err(format!("{node}: {}", body.lines().next().unwrap_or("no answer")));
    }
    serde_json::from_str(body).map_err(|e| format!("{node}: {e}"))
}

fn text<'v>(value: &'v Value, key: &str) -> &'v str {
    value[key].as_str().unwrap_or("")
}

/// A time of so many milliseconds ago, for people.
fn ago(value: &Value) -> String {
    match value.as_u64() {
        None => "never".into(),
        Some(ms) if ms < 10_000 => format!("{ms} ms"),
        Some(ms) if ms < 600_000 => format!("{} s", ms / 1_000),
        Some(ms) => format!("{} min", ms / 60_000),
    }
}

fn members(told: &Value) -> &[Value] {
    told["members"].as_array().map_or(&[], Vec::as_slice)
}

fn table(node: SocketAddr, told: &Value) {
    let count = |state: &str| members(told).iter().filter(|member| text(member, "state") == state).count();
    let states: Vec<_> = ["alive", "suspect", "dead", "left", "unknown"]
        .iter()
        .filter_map(|state| Some((count(state), state)).filter(|(count, _)| *count > 0))
        .map(|(count, state)| format!("{count} {state}"))
        .collect();
    let datagrams = &told["datagrams"];
    let refused: Vec<_> = datagrams["refused"]
        .as_object()
        .into_iter()
        .flatten()
        .map(|(cause, count)| format!("{count} {cause}"))
        .collect();
    say!("{node}: n{}, {}; own health {} (0 is well)", told["me"], states.join(", "), told["health"]);
    if !told["alone_ms"].is_null() {
        say!("  it hears nobody since {}: what it suspects may be its own cut", ago(&told["alone_ms"]));
    }
    say!(
        "  datagrams: {} sent ({} bytes), {} heard ({} bytes), refused: {}",
        datagrams["sent"],
        datagrams["sent_bytes"],
        datagrams["heard"],
        datagrams["heard_bytes"],
        refused.join(", ")
    );
    say!(
        "{:<6} {:<8} {:>9} {:>5} {:>9} {:>9}  {:<24} {}",
        "member",
        "state",
        "for",
        "by",
        "heard",
        "answered",
        "link",
        "address"
    );
    let grave = |member: &Value| match text(member, "state") {
        "dead" => 0,
        "suspect" => 1,
        "left" => 2,
        "unknown" => 3,
        _ => 4,
    };
    let mut sorted: Vec<&Value> = members(told).iter().collect();
    sorted.sort_by_key(|member| (grave(member), member["member"].as_u64()));
    for member in sorted {
        let by = member["by"].as_u64().map_or("-".into(), |by| format!("n{by}"));
        say!(
            "{:<6} {:<8} {:>9} {by:>5} {:>9} {:>9}  {:<24} {}",
            format!("n{}", member["member"]),
            text(member, "state"),
            ago(&member["for_ms"]),
            ago(&member["heard_ms"]),
            ago(&member["answered_ms"]),
            text(member, "link"),
            text(member, "address")
        );
    }
}

impl Ask {
    /// What each node tells; those that do not answer are told of on standard error.
    fn all(&self) -> Result<Vec<(SocketAddr, Value)>, (String, u8)> {
        let all: Vec<_> = self.nodes.iter().map(|node| (*node, told(*node))).collect();
        for (_, e) in &all {
            if let Err(e) = e {
                warn!("stonevane: {e}");
            }
        }
        let good: Vec<_> = all.into_iter().filter_map(|(node, told)| Some((node, told.ok()?))).collect();
        if good.is_empty() { Err(("nobody has told anything".into(), NOT_RUN)) } else { Ok(good) }
    }

    fn status(&self) -> Result<bool, (String, u8)> {
        for (node, told) in self.all()? {
            match self.json {
                true => say!("{told}"),
                false => table(node, &told),
            }
        }
        Ok(true)
    }

    fn watch(&self, every: Duration, looks: u64) -> Result<bool, (String, u8)> {
        let mut before: BTreeMap<(SocketAddr, u64), String> = BTreeMap::new();
        for look in 1u64.. {
            for (node, told) in self.all()? {
                for member in members(&told) {
                    let number = member["member"].as_u64().unwrap_or(0);
                    let now = format!("{}, {}", text(member, "state"), text(member, "link"));
                    let was = before.insert((node, number), now.clone());
                    if was.as_ref() == Some(&now) {
                        continue;
                    }
                    if self.json {
                        say!(
                            "{}",
                            serde_json::json!({"node": node.to_string(), "was": was, "member": member})
                        );
                    } else {
                        say!("{node}  n{number}: {} -> {now}", was.as_deref().unwrap_or("-"))
                    }
                }
            }
            if look == looks {
                break;
            }
            std::thread::sleep(every);
        }
        Ok(true)
    }

    fn explain(&self, name: &str) -> Result<bool, (String, u8)> {
        let all = self.all()?;
        let number: Option<u64> = name.strip_prefix('n').unwrap_or(name).parse().ok();
        let mut found = false;
        for (_, told) in &all {
            let own = told["me"].as_u64();
            let is = |member: &&Value| text(member, "address") == name || member["member"].as_u64() == number;
            let Some(member) = members(told).iter().find(is) else { continue };
            found = true;
            if self.json {
                say!("{member}");
                continue;
            }
            let (me, it) = (own.unwrap_or(0), member["member"].as_u64().unwrap_or(0));
            if me == it {
                say!(
                    "n{it} says of itself: life {} of generation {}, incarnation {}, health {}; it objected {} times, \
                     stood still {} times, accused {} times",
                    told["life"],
                    told["generation"],
                    told["incarnation"],
                    told["health"],
                    told["refuted"],
                    told["stood_still"],
                    told["accused"]
                );
                continue;
            }
            say!(
                "n{me} holds n{it} {} for {} by the word of {} ({} accusers), life {} of generation {}, incarnation {}",
                text(member, "state"),
                ago(&member["for_ms"]),
                member["by"].as_u64().map_or("nobody".into(), |by| format!("n{by}")),
                member["accusers"],
                member["life"],
                member["generation"],
                member["incarnation"]
            );
            say!(
                "  heard from it {} ago, it answered a probe {} ago, left one unanswered {} ago; its own health {}",
                ago(&member["heard_ms"]),
                ago(&member["answered_ms"]),
                ago(&member["unanswered_ms"]),
                member["health"]
            );
            match text(member, "link") {
                "does not hear this node" => say!("  n{me} hears n{it}, n{it} does not hear n{me}"),
                "is not heard" => say!("  n{me} does not hear n{it}, though others do"),
                _ => {}
            }
        }
        if found { Ok(true) } else { Err((format!("nobody knows a member `{name}`"), UNUSABLE)) }
    }
}

/// What is simulated.
#[derive(Args)]
pub struct Simulate {
    /// `A..B`, the last one included, or one seed.
    #[arg(long, value_parser = seeds, default_value = "1..200")]
    seeds: (u64, u64),
    /// Members, in the place of what is drawn.
    #[arg(long, value_parser = clap::value_parser!(u64).range(3..=2_000))]
    members: Option<u64>,
    /// A plan, in the place of those of the seeds.
    #[arg(long, value_name = "FILE")]
    plan: Option<PathBuf>,
    /// A deliberate fault.
    #[arg(long, value_parser = mutant)]
    mutant: Option<Mutant>,
    /// Members that do not heed their own health.
    #[arg(long)]
    without_health: bool,
    /// Cuts the first seed that fails down, and prints the plan.
    #[arg(long)]
    shrink: bool,
    /// Lists the deliberate faults, one a line, the name first.
    #[arg(long)]
    mutants: bool,
}

/// Reads the name of a deliberate fault.
pub fn mutant(name: &str) -> Result<Mutant, String> {
    Mutant::named(name)
        .ok_or_else(|| "no such mutant; `stonevane fleet simulate --mutants` lists them".into())
}

impl Fleet {
    /// Runs the command.
    pub fn run(self) -> ExitCode {
        let done = match self {
            Fleet::Simulate(simulate) => simulate.run(),
            Fleet::Measure(measure) => measure.run(),
            Fleet::Status(ask) => ask.status(),
            Fleet::Watch { ask, every_ms, looks } => ask.watch(Duration::from_millis(every_ms), looks),
            Fleet::Explain { node, ask } => ask.explain(&node),
        };
        ended(done)
    }
}

impl Simulate {
    fn plan(&self, seed: u64) -> Result<MemberPlan, String> {
        let plan = match (&self.plan, self.members) {
            (Some(file), _) => {
                let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
                MemberPlan::parse(&text).map_err(|e| format!("{}: {e}", file.display()))?
            }
            (None, Some(members)) => MemberPlan::generate_sized(seed, members as usize),
            (None, None) => MemberPlan::generate(seed),
        };
        Ok(MemberPlan { heeds_health: !self.without_health, ..plan })
    }

    fn run(self) -> Result<bool, (String, u8)> {
        if self.mutants {
            Mutant::ALL.iter().for_each(|(_, name, what)| say!("{name:<22} {what}"));
            return Ok(true);
        }
        let (first, last) = if self.plan.is_some() { (0, 0) } else { self.seeds };
        self.plan(first).map_err(|what| (what, UNUSABLE))?;
        let options = MemberOptions { mutant: self.mutant };
        let next = AtomicU64::new(first);
        let played: Mutex<Vec<(u64, MemberVerdict)>> = Mutex::default();
        let begun = Instant::now();
        let work = || {
            loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed > last {
                    return;
                }
                let Ok(plan) = self.plan(seed) else { return };
                let verdict = play(&plan, options);
                if let Ok(mut played) = played.lock() {
                    played.push((seed, verdict));
                }
            }
        };
        let jobs = std::thread::available_parallelism().map_or(1, std::num::NonZero::get);
        std::thread::scope(|scope| (0..jobs).for_each(|_| drop(scope.spawn(work))));
        let mut played = played.into_inner().unwrap_or_default();
        played.sort_by_key(|(seed, _)| *seed);
        let failed: Vec<_> = played.iter().filter(|(_, verdict)| !verdict.holds()).collect();
        for (seed, verdict) in failed.iter().take(TOLD) {
            let Some(broken) = verdict.breaches.first() else { continue };
            let breach = &broken.breach;
            let (observer, member) = (breach.observer, breach.member);
            let at = broken.at_us as f64 / 1e6;
            say!(
                "seed {seed} fails: {} at {at:.1} s, n{member} in n{observer}'s view: {}",
                breach.code,
                breach.what
            );
        }
        if self.shrink
            && let Some((seed, _)) = failed.first()
        {
            let plan = self.plan(*seed).map_err(|what| (what, UNUSABLE))?;
            if let Some((small, code)) = shrink_members(&plan, options, 1_000) {
                warn!(
                    "{code}: {} of {} faults, {} members",
                    small.faults.len(),
                    plan.faults.len(),
                    small.members
                );
                say!("{}", small.to_json());
            }
            return Ok(false);
        }
        let sum =
            |of: &dyn Fn(&MemberVerdict) -> f64| played.iter().map(|(_, verdict)| of(verdict)).sum::<f64>();
        let member_s = sum(&|v| v.member_s).max(1e-9);
        let deaths: Vec<u64> =
            played.iter().flat_map(|(_, verdict)| verdict.figures.last_us.iter().copied()).collect();
        let last = |part: f64| seconds(MembershipFigures::quantile(&deaths, part));
        warn!(
            "{member_s:.0} member-seconds in {:.1} s; {:.2} datagrams and {:.0} bytes a member and second; a death is \
             seen by all after {} s (median), {} s (95 in a hundred), {} s (all); {} false deaths seen",
            begun.elapsed().as_secs_f64(),
            sum(&|v| v.datagrams as f64) / member_s,
            sum(&|v| v.bytes as f64) / member_s,
            last(0.5),
            last(0.95),
            last(1.0),
            sum(&|v| v.figures.false_deaths as f64),
        );
        say!("{} seeds, {} failures", played.len(), failed.len());
        Ok(failed.is_empty())
    }
}

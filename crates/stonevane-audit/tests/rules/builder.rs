//! Builds histories and audits them.

use std::cell::Cell;
use std::collections::HashMap;

use stonevane_audit::{Auditor, Report, audit, history};

/// Microseconds in a millisecond.
pub const MS: u64 = 1_000;

/// The first record, with the rules: four classes and an origin with 1 s of work per second; all other limits
/// have their defaults, such as 500 ms of grace for drains and an overload at three times a server's
/// capacity.
pub const BEGIN: &str = r#"{"t":[0,0],"who":"lab","event":"begin","rules":{"classes":[{"name":"read"},{"name":"edit","kind":"keyed","scope":"all","window_us":200000},{"name":"near","kind":"keyed","scope":"zone","window_us":200000},{"name":"once","kind":"unsafe"}],"origin":{"capacity_us_per_s":1000000}}}"#;

/// Builder of a history.
#[derive(Default, Clone)]
pub struct History {
    /// Lines and the moments by which they are sorted, in microseconds.
    pub lines: Vec<(u64, String)>,
    /// Class of each request.
    pub classes: HashMap<String, String>,
    /// Number of the last attempt for each request and server.
    pub last_attempts: HashMap<String, usize>,
}

thread_local! {
    /// The auditor's check that is disabled, if any, and whether a test has seen unexpected findings since.
    pub static MUTATION: Cell<(Option<&'static str>, bool)> = const { Cell::new((None, false)) };
}

/// Audits the text of a history with the auditor, or with the mutant that [`MUTATION`] names.
pub fn audit_text(text: &str) -> Report {
    let Some(disabled_check) = MUTATION.get().0 else { return audit(text.as_bytes()).unwrap() };
    let mut auditor = None;
    let read = history::read(text.as_bytes(), |number, mut line| match &mut auditor {
        None => auditor = line.rules.take().map(|rules| Auditor::mutant(*rules, disabled_check)),
        Some(auditor) => auditor.handle_record(number, line),
    });
    read.unwrap();
    auditor.unwrap().finish()
}

impl History {
    pub fn new() -> Self {
        History::default()
    }

    /// Adds an event at an exact moment.
    pub fn at(mut self, t: u64, rest: &str) -> Self {
        self.lines.push((t, format!(r#"{{"t":[{t},{t}],"who":"x",{rest}}}"#)));
        self
    }

    /// Adds an event that happened at some moment within bounds.
    pub fn between(mut self, (earliest, latest): (u64, u64), rest: &str) -> Self {
        self.lines.push((latest, format!(r#"{{"t":[{earliest},{latest}],"who":"x",{rest}}}"#)));
        self
    }

    pub fn request(mut self, t: u64, r: &str, class: &str) -> Self {
        self.classes.insert(r.into(), class.into());
        let until = t + 1_000 * MS;
        let rest = format!(
            r#""event":"ask","request":"{r}","node":"n0","class":"{class}","key":"k","until":{until}"#
        );
        self.at(t, &rest)
    }

    pub fn attempt(self, t: u64, r: &str, server: &str, effect: &str) -> Self {
        self.sent((t, t), r, "n0", server, &format!(r#""effect":"{effect}","work_us":10000"#))
    }

    /// Adds an attempt that matches its request. `t` has the moments of the attempt's first and last byte,
    /// `rest` further keys of the JSON record.
    pub fn sent(mut self, t: (u64, u64), r: &str, node: &str, server: &str, rest: &str) -> Self {
        let number = self.lines.len() + 1;
        self.last_attempts.insert(format!("{r} {server}"), number);
        let class = self.classes.get(r).cloned().unwrap_or_default();
        let rest = format!(
            r#""event":"attempt","server":"{server}","request":"{r}","node":"{node}","class":"{class}","key":"k","number":{number},"first":[{0},{0}],{rest}"#,
            t.0
        );
        self.at(t.1, &rest)
    }

    /// Adds an event of the last attempt of a request at a server, such as its reply.
    pub fn then(self, t: u64, r: &str, server: &str, event: &str, rest: &str) -> Self {
        let number = self.last_attempts.get(&format!("{r} {server}")).copied().unwrap_or(999);
        let rest =
            format!(r#""event":"{event}","server":"{server}","request":"{r}","number":{number}{rest}"#);
        self.at(t, &rest)
    }

    pub fn reply(self, t: u64, r: &str, server: &str, value: &str, version: u64) -> Self {
        self.then(t, r, server, "reply", &format!(r#","value":"{value}","version":{version}"#))
    }

    pub fn node(self, t: u64, state: &str) -> Self {
        self.at(t, &format!(r#""event":"node","node":"n0","state":"{state}""#))
    }

    pub fn served(self, t: u64, r: &str, value: &str) -> Self {
        self.at(t, &format!(r#""event":"answer","request":"{r}","outcome":"served","value":"{value}""#))
    }

    pub fn answered(self, t: u64, r: &str, outcome: &str) -> Self {
        self.at(t, &format!(r#""event":"answer","request":"{r}","outcome":"{outcome}""#))
    }

    pub fn notified(self, t: u64, status: &str, server: &str) -> Self {
        self.at(t, &format!(r#""event":"told","node":"n0","server":"{server}","status":"{status}""#))
    }

    /// Adds a correct read: requested, a hit at a server, served.
    pub fn read(self, t: u64, r: &str) -> Self {
        let value = format!("v-{r}");
        self.request(t, r, "read").attempt(t + 10, r, "s1", "ran").reply(t + 20, r, "s1", &value, 0).served(
            t + 30,
            r,
            &value,
        )
    }

    pub fn text(&self) -> String {
        let mut lines = self.lines.clone();
        lines.sort_by_key(|(t, _)| *t);
        let last = lines.last().map_or(0, |(t, _)| *t) + 20_000 * MS;
        let lines: Vec<_> = lines.into_iter().map(|(_, line)| line).collect();
        format!(
            "{BEGIN}\n{}\n{{\"t\":[{last},{last}],\"who\":\"lab\",\"event\":\"end\"}}\n",
            lines.join("\n")
        )
    }

    pub fn report(&self) -> Report {
        audit_text(&self.text())
    }

    #[track_caller]
    pub fn has_findings(self, codes: &[&str]) {
        self.has_findings_and_faults(codes, &[]);
    }

    /// Asserts the codes of all findings, and of all faults of emulated servers. With a check disabled, it
    /// records whether the findings differ instead.
    #[track_caller]
    pub fn has_findings_and_faults(self, codes: &[&str], faults: &[&str]) {
        let report = self.report();
        let found: Vec<_> = report.findings.iter().map(|f| f.code).collect();
        let faulty: Vec<_> = report.faults.iter().map(|f| f.code).collect();
        if let (Some(disabled_check), differed) = MUTATION.get() {
            return MUTATION.set((Some(disabled_check), differed || found != codes));
        }
        assert_eq!((found, faulty), (codes.to_vec(), faults.to_vec()), "{report}");
        assert!(
            report.findings.iter().all(|f| !f.evidence.is_empty()),
            "each finding and fault needs evidence: {report}"
        );
        assert!(
            report.faults.iter().all(|f| !f.evidence.is_empty()),
            "each finding and fault needs evidence: {report}"
        );
    }
}

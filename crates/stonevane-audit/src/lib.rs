//! Audits the history of a run against the rules.
//!
//! Emulators and clients record the events that they observe in a [`history`]. The [`Auditor`] reads it once,
//! from the first record to the last, and proves violations from these records alone: it has no access to a
//! node's state and no clock. Each record carries the [`TimeInterval`] in which its event happened, and a
//! violation is a [`Finding`] only if it holds for every order of events that the intervals allow.
//!
//! ```
//! use stonevane_audit::{audit, Rule};
//!
//! let history = r#"
//! {"t":[0,0],"who":"lab","event":"begin","rules":{"answer_slack_us":50000}}
//! {"t":[10,20],"who":"client","event":"ask","request":"r1","node":"n0","class":"read","key":"k","until":1000}
//! {"t":[90000,90010],"who":"client","event":"answer","request":"r1","node":"n0","outcome":"failed"}
//! "#;
//! let report = audit(history.trim_start().as_bytes()).unwrap();
//! assert_eq!(report.findings[0].rule, Rule::FinalAnswer);
//! assert_eq!(report.findings[0].code, "late");
//! ```

mod audit;
mod auditor;
pub mod history;
mod interval;
pub mod membership;
mod report;
mod rules;

pub use audit::audit;
pub use auditor::Auditor;
pub use history::{Effect, Event, HistoryError, HistoryRecord, MalformedLine, Outcome};
pub use interval::TimeInterval;
pub use membership::{Membership, MembershipMeasurements, MembershipViolation};
pub use report::{EmulatorFault, Evidence, Finding, Report, Rule};
pub use rules::{ClassRule, DedupScope, Idempotency, MembershipRules, OriginRule, Rules, work_capacity};

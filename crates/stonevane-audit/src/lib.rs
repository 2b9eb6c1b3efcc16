//! The auditor of the four rules.
//!
//! Stand-ins and clients write down what they saw as a [`history`]; the [`Auditor`] reads it from its first
//! line to its last and proves breaches of the rules from these lines alone. It knows nothing of a node and
//! has no clock: each event carries the [`TimeInterval`] in which it must have happened, and a breach is a
//! [`Finding`] only where it holds for every order of events that the spans allow.
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

mod auditor;
pub mod history;
pub mod membership;
mod report;
mod rules;

pub use auditor::Auditor;
pub use history::{Effect, Event, HistoryError, HistoryRecord, Outcome, TimeInterval, audit};
pub use membership::{Breach, Membership, MembershipFigures, MembershipRules};
pub use report::{Evidence, Fault, Finding, Report, Rule};
pub use rules::{ClassRule, DedupScope, Idempotency, OriginRule, Rules, work_capacity};

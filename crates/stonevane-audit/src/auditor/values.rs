//! Checks of served values: a value was produced for its request or committed to the store of record, and it
//! is not older than an edit that was acknowledged before the request.

use std::collections::{HashMap, VecDeque};

use super::Auditor;
use super::evidence::{NumberedRecord, Violation};
use crate::history::HistoryRecord;
use crate::report::Rule;
use crate::rules::{ClassRule, Idempotency};

/// Maximum number of committed versions that are kept per key.
const MAX_VERSIONS_PER_KEY: usize = 256;
/// Maximum number of idempotency keys of committed edits that are kept.
const MAX_COMMITTED_KEYS: usize = 65_536;
/// Maximum number of acknowledged edits that are kept per key.
const MAX_ACKNOWLEDGED_EDITS: usize = 16;

/// An edit whose client has received the receipt.
#[derive(Clone)]
struct AcknowledgedEdit {
    /// Latest possible moment of the acknowledgement, in microseconds.
    acknowledged_at: u64,
    version: u64,
    record: NumberedRecord,
}

impl AcknowledgedEdit {
    /// Returns whether this edit makes the other redundant: it is newer and was acknowledged no later.
    fn supersedes(&self, other: &AcknowledgedEdit) -> bool {
        self.acknowledged_at <= other.acknowledged_at && self.version > other.version
    }
}

/// Values that servers produced, and edits that clients have receipts for.
#[derive(Default)]
pub(super) struct Values {
    /// Id of the request for which each value was produced, by value.
    request_by_value: HashMap<String, String>,
    /// Acknowledged edits by key.
    acknowledged: HashMap<String, Vec<AcknowledgedEdit>>,
}

impl Values {
    pub fn add(&mut self, value: &str, request: &str) {
        if !value.is_empty() {
            self.request_by_value.insert(value.to_owned(), request.to_owned());
        }
    }

    pub fn remove(&mut self, value: &str) {
        self.request_by_value.remove(value);
    }

    fn acknowledge(&mut self, key: &str, edit: AcknowledgedEdit) {
        let edits = self.acknowledged.entry(key.to_owned()).or_default();
        edits.push(edit);
        let all = std::mem::take(edits);
        let is_needed = |edit: &&AcknowledgedEdit| !all.iter().any(|other| other.supersedes(edit));
        let mut needed: Vec<_> = all.iter().filter(is_needed).cloned().collect();
        needed.sort_by_key(|edit| edit.version);
        let excess = needed.len().saturating_sub(MAX_ACKNOWLEDGED_EDITS);
        *edits = needed.split_off(excess);
    }

    /// Returns the newest edit of a key that is newer than `version` and was acknowledged before the moment
    /// `before`.
    fn newer_edit(&self, key: &str, version: u64, before: u64) -> Option<AcknowledgedEdit> {
        let edits = self.acknowledged.get(key).into_iter().flatten();
        let newer = edits.filter(|edit| edit.acknowledged_at < before && edit.version > version);
        newer.max_by_key(|edit| edit.version).cloned()
    }
}

/// Commits of the store of record.
#[derive(Default)]
pub(super) struct Commits {
    /// Commits of each key, the newest last.
    by_key: HashMap<String, VecDeque<NumberedRecord>>,
    /// Last commit of each idempotency key.
    by_idempotency_key: HashMap<String, NumberedRecord>,
    /// Keys of `by_idempotency_key`, the oldest first.
    idempotency_keys: VecDeque<String>,
}

impl Commits {
    /// Adds a commit; returns an earlier commit with the same idempotency key, if there is one.
    fn add(&mut self, commit: &NumberedRecord) -> Option<NumberedRecord> {
        let versions = self.by_key.entry(commit.key.clone()).or_default();
        versions.push_back(commit.clone());
        if versions.len() > MAX_VERSIONS_PER_KEY {
            versions.pop_front();
        }
        let key = &commit.idempotency_key;
        if key.is_empty() {
            return None;
        }
        let earlier = self.by_idempotency_key.insert(key.clone(), commit.clone());
        if earlier.is_some() {
            return earlier;
        }
        self.idempotency_keys.push_back(key.clone());
        if self.idempotency_keys.len() > MAX_COMMITTED_KEYS
            && let Some(oldest) = self.idempotency_keys.pop_front()
        {
            self.by_idempotency_key.remove(&oldest);
        }
        None
    }

    /// Returns the version that an answer shows, by its value or receipt; `None` if no such version can have
    /// been committed by the time of the answer.
    fn version_shown(&self, class: &ClassRule, sent: &HistoryRecord, answer: &HistoryRecord) -> Option<u64> {
        let in_time = |commit: &&NumberedRecord| commit.time.earliest <= answer.time.latest;
        if class.kind != Idempotency::Idempotent {
            let commit = self.by_idempotency_key.get(&sent.idempotency_key).filter(in_time)?;
            let is_receipt = commit.key == sent.key && commit.version.to_string() == answer.value;
            return is_receipt.then_some(commit.version);
        }
        // A key that was never edited has the empty value, at version 0.
        let never_edited = answer.value.is_empty().then_some(0);
        let versions = self.by_key.get(&sent.key).into_iter().flatten().rev();
        let shown = versions.filter(in_time).find(|commit| commit.value == answer.value);
        shown.map(|commit| commit.version).or(never_edited)
    }
}

impl Auditor {
    /// Handles a commit of the store of record; each idempotency key may be committed only once.
    pub(super) fn version_committed(&mut self, commit: NumberedRecord) {
        let Some(earlier) = self.commits.add(&commit) else { return };
        let (edit, first, second) = (&commit.idempotency_key, earlier.version, commit.version);
        let what = format!("the edit {edit} was committed twice, as versions {first} and {second}");
        self.report_violation(Violation::new(
            Rule::DuplicateEffects,
            "edit-twice",
            what,
            vec![earlier, commit],
        ));
    }

    /// Checks that a served value belongs to its request and is not stale.
    pub(super) fn check_value(&mut self, id: &str, class: &ClassRule, answer: NumberedRecord) {
        let Some(request) = self.requests.get(id) else { return };
        let sent = request.sends.first().cloned();
        let is_own = |reply: &&NumberedRecord| reply.value == answer.value && !reply.value.is_empty();
        let produced = request.replies.iter().find(is_own).map(|reply| reply.version);
        let committed = || {
            let sent = sent.as_ref().filter(|_| self.rules.store)?;
            self.commits.version_shown(class, sent, &answer)
        };
        let Some(version) = produced.or_else(committed) else { return self.report_foreign_value(id, answer) };
        let Some(sent) = sent else { return };
        if class.kind == Idempotency::Idempotent {
            self.check_staleness(id, version, &sent, answer);
        } else if version > 0 {
            let acknowledged_at = answer.time.latest;
            let edit = AcknowledgedEdit { acknowledged_at, version, record: answer };
            self.values.acknowledge(&sent.key, edit);
        }
    }

    fn report_foreign_value(&mut self, id: &str, answer: NumberedRecord) {
        let check = if self.rules.store { "store-value" } else { "value" };
        let what = match self.values.request_by_value.get(&answer.value) {
            Some(other) => format!("served with the value produced for request {other}"),
            None => "served with a value that no server produced".to_owned(),
        };
        let mut evidence = self.requests.get(id).map_or_else(Vec::new, |request| request.replies.clone());
        evidence.push(answer);
        let violation = Violation::new(Rule::FinalAnswer, "value", what, evidence);
        self.report_violation(violation.about(id).with_check(check));
    }

    fn check_staleness(&mut self, id: &str, version: u64, sent: &NumberedRecord, answer: NumberedRecord) {
        let visible_before = sent.time.earliest.saturating_sub(self.rules.write_visible_us);
        if let Some(edit) = self.values.newer_edit(&sent.key, version, visible_before) {
            let newer = edit.version;
            let what = format!(
                "served version {version} of a key whose version {newer} was acknowledged before the request"
            );
            let evidence = vec![edit.record, answer];
            self.report_violation(Violation::new(Rule::FinalAnswer, "stale", what, evidence).about(id));
        }
    }
}

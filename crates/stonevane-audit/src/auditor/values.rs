//! Values: an answer's is one that was made for its request, and no older than an edit that was acknowledged before.

use std::collections::{HashMap, VecDeque};

use super::Auditor;
use super::evidence::{Accusation, NumberedRecord};
use crate::history::HistoryRecord;
use crate::report::Rule;
use crate::rules::{ClassRule, Idempotency};

/// Versions of a key in the store of record that are remembered, at most.
const MAX_VERSIONS_PER_KEY: usize = 256;
/// Idempotency keys of committed edits that are remembered, at most.
const MAX_COMMITTED_KEYS: usize = 65_536;
/// Acknowledged edits of a key that are remembered, at most.
const MAX_ACKNOWLEDGED_EDITS: usize = 16;

/// An edit whose client has its receipt.
#[derive(Clone)]
struct AcknowledgedEdit {
    /// At the latest.
    acknowledged_at: u64,
    version: u64,
    record: NumberedRecord,
}

impl AcknowledgedEdit {
    /// Whether it says all that another does: newer, and acknowledged no later.
    fn supersedes(&self, other: &AcknowledgedEdit) -> bool {
        self.acknowledged_at <= other.acknowledged_at && self.version > other.version
    }
}

/// Values that servers made, and edits that clients have receipts for.
#[derive(Default)]
pub(super) struct Values {
    /// For which request each was made.
    made_for: HashMap<String, String>,
    /// By key.
    acknowledged: HashMap<String, Vec<AcknowledgedEdit>>,
}

impl Values {
    pub fn note(&mut self, value: &str, request: &str) {
        if !value.is_empty() {
            self.made_for.insert(value.to_owned(), request.to_owned());
        }
    }

    pub fn forget(&mut self, value: &str) {
        self.made_for.remove(value);
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

    /// The newest edit of a key past a version that was acknowledged before a moment.
    fn newer(&self, key: &str, version: u64, before: u64) -> Option<AcknowledgedEdit> {
        let edits = self.acknowledged.get(key).into_iter().flatten();
        let newer = edits.filter(|edit| edit.acknowledged_at < before && edit.version > version);
        newer.max_by_key(|edit| edit.version).cloned()
    }
}

/// What the store of record has committed.
#[derive(Default)]
pub(super) struct Commits {
    /// The newest last.
    by_key: HashMap<String, VecDeque<NumberedRecord>>,
    by_idempotency_key: HashMap<String, NumberedRecord>,
    idempotency_keys: VecDeque<String>,
}

impl Commits {
    /// Notes a commit; returns an earlier one of the same edit.
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

    /// The version that an answer shows; `None` where the store had not committed it by then.
    fn version_shown(&self, class: &ClassRule, sent: &HistoryRecord, answer: &HistoryRecord) -> Option<u64> {
        let in_time = |commit: &&NumberedRecord| commit.time.earliest <= answer.time.latest;
        if class.kind != Idempotency::Idempotent {
            let commit = self.by_idempotency_key.get(&sent.idempotency_key).filter(in_time)?;
            let is_receipt = commit.key == sent.key && commit.version.to_string() == answer.value;
            return is_receipt.then_some(commit.version);
        }
        // A key that was never edited is empty.
        let never_edited = answer.value.is_empty().then_some(0);
        let versions = self.by_key.get(&sent.key).into_iter().flatten().rev();
        let shown = versions.filter(in_time).find(|commit| commit.value == answer.value);
        shown.map(|commit| commit.version).or(never_edited)
    }
}

impl Auditor {
    /// The store of record has committed a version; an idempotency key is committed once.
    pub(super) fn version_committed(&mut self, commit: NumberedRecord) {
        let Some(earlier) = self.commits.add(&commit) else { return };
        let (edit, first, second) = (&commit.idempotency_key, earlier.version, commit.version);
        let what = format!("the edit {edit} was carried out twice: {first} and {second}");
        self.accuse(Accusation::new(Rule::DuplicateEffects, "edit-twice", what, vec![earlier, commit]));
    }

    /// A request was served: its value is its own, and not stale.
    pub(super) fn check_value(&mut self, id: &str, class: &ClassRule, answer: NumberedRecord) {
        let Some(request) = self.requests.get(id) else { return };
        let sent = request.sends.first().cloned();
        let is_own = |reply: &&NumberedRecord| reply.value == answer.value && !reply.value.is_empty();
        let made = request.replies.iter().find(is_own).map(|reply| reply.version);
        let committed = || {
            let sent = sent.as_ref().filter(|_| self.rules.store)?;
            self.commits.version_shown(class, sent, &answer)
        };
        let Some(version) = made.or_else(committed) else { return self.accuse_foreign_value(id, answer) };
        let Some(sent) = sent else { return };
        if class.kind == Idempotency::Idempotent {
            self.check_staleness(id, version, &sent, answer);
        } else if version > 0 {
            let acknowledged_at = answer.time.latest;
            let edit = AcknowledgedEdit { acknowledged_at, version, record: answer };
            self.values.acknowledge(&sent.key, edit);
        }
    }

    fn accuse_foreign_value(&mut self, id: &str, answer: NumberedRecord) {
        let judgement = if self.rules.store { "store-value" } else { "value" };
        let what = match self.values.made_for.get(&answer.value) {
            Some(other) => format!("served with the value made for request {other}"),
            None => "served with a value that no server made".to_owned(),
        };
        let mut evidence = self.requests.get(id).map_or_else(Vec::new, |request| request.replies.clone());
        evidence.push(answer);
        let accusation = Accusation::new(Rule::FinalAnswer, "value", what, evidence);
        self.accuse(accusation.about(id).judged_by(judgement));
    }

    fn check_staleness(&mut self, id: &str, version: u64, sent: &NumberedRecord, answer: NumberedRecord) {
        let visible_before = sent.time.earliest.saturating_sub(self.rules.write_visible_us);
        if let Some(edit) = self.values.newer(&sent.key, version, visible_before) {
            let newer = edit.version;
            let what = format!("served version {version} of a key that was at {newer} before it was asked");
            let evidence = vec![edit.record, answer];
            self.accuse(Accusation::new(Rule::FinalAnswer, "stale", what, evidence).about(id));
        }
    }
}

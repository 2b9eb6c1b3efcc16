//! Served values: produced for their request or committed, and not stale.

use crate::builder::{History, MS, MUTATION, audit_text};

#[test]
pub fn a_foreign_unknown_or_stale_value_is_a_finding() {
    History::new().read(0, "a").request(40, "b", "read").served(50, "b", "v-a").has_findings(&["value"]);
    History::new().request(40, "b", "read").served(50, "b", "made-up").has_findings(&["value"]);
    // A server produced a value for the request, but the client received that of another request.
    let other = History::new().read(0, "a").request(40, "b", "read").attempt(41, "b", "s1", "ran");
    other.reply(42, "b", "s1", "v-b", 0).served(50, "b", "v-a").has_findings(&["value"]);
    let edit = |t: u64| {
        let history = History::new().request(t, "e", "edit").attempt(t + 1, "e", "o", "ran");
        history.reply(t + 2, "e", "o", "receipt", 7).served(t + 3, "e", "receipt")
    };
    let read = |history: History, t: u64| {
        let history = history.request(t, "r", "read").attempt(t + 5, "r", "s1", "ran");
        history.reply(t + 6, "r", "s1", "old", 6).served(t + 7, "r", "old")
    };
    read(edit(0), 4).has_findings(&["stale"]);
    // The read is requested before or at the moment of the edit's receipt: both values are correct.
    read(edit(0), 3).has_findings(&[]);
    read(edit(0), 0).has_findings(&[]);
}

#[test]
pub fn an_uncommitted_value_and_an_edit_committed_twice_are_findings() {
    let report_with_rules = |history: &History, more: &str| {
        let text = history.text().replacen(r#""rules":{"#, &format!(r#""rules":{{"store":true,{more}"#), 1);
        audit_text(&text)
    };
    let has_findings = |history: &History, more: &str, expected: &[&str]| {
        let report = report_with_rules(history, more);
        let found: Vec<_> = report.findings.iter().map(|finding| finding.code).collect();
        if MUTATION.get().0.is_none() {
            assert_eq!(found, expected, "{report}");
        } else if found != expected {
            MUTATION.set((MUTATION.get().0, true));
        }
    };
    let committed = |history: History, t: u64, version: u64, value: &str, token: &str| {
        history.at(
            t,
            &format!(r#""event":"stored","key":"k","version":{version},"value":"{value}","token":"{token}""#),
        )
    };
    let edit = |history: History, t: u64, receipt: &str| {
        let until = t + 1_000 * MS;
        let ask = format!(
            r#""event":"ask","request":"e","node":"n0","class":"edit","key":"k","until":{until},"token":"t""#
        );
        history.at(t, &ask).served(t + 100, "e", receipt)
    };
    let read =
        |history: History, t: u64, value: &str| history.request(t, "r", "read").served(t + 100, "r", value);
    let two_versions = || committed(committed(History::new(), 10, 1, "one", ""), 50, 2, "two", "t");
    // Both versions are correct while the edit is in flight.
    has_findings(&read(edit(two_versions(), 20, "2"), 30, "one"), "", &[]);
    has_findings(&read(edit(two_versions(), 20, "2"), 30, "two"), "", &[]);
    // After its receipt only the newer version is correct; `visible_us` extends this time.
    has_findings(&read(edit(two_versions(), 20, "2"), 121, "one"), "", &["stale"]);
    has_findings(&read(edit(two_versions(), 20, "2"), 121, "two"), "", &[]);
    has_findings(&read(edit(two_versions(), 20, "2"), 121, "one"), r#""visible_us":5,"#, &[]);
    has_findings(&read(edit(two_versions(), 20, "2"), 126, "one"), r#""visible_us":5,"#, &["stale"]);
    // A value that was never committed, a value committed only later, and receipts that match no commit.
    has_findings(&read(two_versions(), 60, "other"), "", &["value"]);
    has_findings(&read(committed(History::new(), 500, 1, "one", ""), 60, "one"), "", &["value"]);
    has_findings(&edit(two_versions(), 20, "1"), "", &["value"]);
    has_findings(&edit(History::new(), 20, "2"), "", &["value"]);
    // A key that was never edited is empty.
    has_findings(&read(History::new(), 60, ""), "", &[]);
    has_findings(&read(edit(two_versions(), 20, "2"), 121, ""), "", &["stale"]);
    has_findings(&committed(two_versions(), 70, 3, "two", "t"), "", &["edit-twice"]);
    has_findings(&committed(two_versions(), 70, 3, "two", "u"), "", &[]);
}

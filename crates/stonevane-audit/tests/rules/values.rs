//! Values: of the request, committed and not stale.

use crate::builder::{History, MS, MUTANT, judged};

#[test]
pub fn a_foreign_made_up_or_stale_value_is_a_finding() {
    History::new().read(0, "a").request(40, "b", "read").served(50, "b", "v-a").has_findings(&["value"]);
    History::new().request(40, "b", "read").served(50, "b", "made-up").has_findings(&["value"]);
    // A server made one for it, and it was given another's.
    let other = History::new().read(0, "a").request(40, "b", "read").attempt(41, "b", "s1", "ran");
    other.reply(42, "b", "s1", "v-b", 0).served(50, "b", "v-a").has_findings(&["value"]);
    let edit = |t: u64| {
        let day = History::new().request(t, "e", "edit").attempt(t + 1, "e", "o", "ran");
        day.reply(t + 2, "e", "o", "receipt", 7).served(t + 3, "e", "receipt")
    };
    let read = |day: History, asked: u64| {
        let day = day.request(asked, "r", "read").attempt(asked + 5, "r", "s1", "ran");
        day.reply(asked + 6, "r", "s1", "old", 6).served(asked + 7, "r", "old")
    };
    read(edit(0), 4).has_findings(&["stale"]);
    // Asked before the receipt was there, or with it: either value is right.
    read(edit(0), 3).has_findings(&[]);
    read(edit(0), 0).has_findings(&[]);
}

#[test]
pub fn only_committed_versions_are_served_and_an_edit_is_committed_once() {
    let rules = |day: &History, more: &str| {
        let text = day.text().replacen(r#""rules":{"#, &format!(r#""rules":{{"store":true,{more}"#), 1);
        judged(&text)
    };
    let codes = |day: &History, more: &str, wanted: &[&str]| {
        let report = rules(day, more);
        let found: Vec<_> = report.findings.iter().map(|finding| finding.code).collect();
        if MUTANT.get().0.is_none() {
            assert_eq!(found, wanted, "{report}");
        } else if found != wanted {
            MUTANT.set((MUTANT.get().0, true));
        }
    };
    let stored = |day: History, t: u64, version: u64, value: &str, token: &str| {
        day.at(
            t,
            &format!(r#""event":"stored","key":"k","version":{version},"value":"{value}","token":"{token}""#),
        )
    };
    let edit = |day: History, t: u64, receipt: &str| {
        let until = t + 1_000 * MS;
        let ask = format!(
            r#""event":"ask","request":"e","node":"n0","class":"edit","key":"k","until":{until},"token":"t""#
        );
        day.at(t, &ask).served(t + 100, "e", receipt)
    };
    let read = |day: History, t: u64, value: &str| day.request(t, "r", "read").served(t + 100, "r", value);
    let two = || stored(stored(History::new(), 10, 1, "one", ""), 50, 2, "two", "t");
    // Both versions are right while the edit is under way, and for two who ask at once.
    codes(&read(edit(two(), 20, "2"), 30, "one"), "", &[]);
    codes(&read(edit(two(), 20, "2"), 30, "two"), "", &[]);
    // After its receipt only the newer one is, or later than the rule says.
    codes(&read(edit(two(), 20, "2"), 121, "one"), "", &["stale"]);
    codes(&read(edit(two(), 20, "2"), 121, "two"), "", &[]);
    codes(&read(edit(two(), 20, "2"), 121, "one"), r#""visible_us":5,"#, &[]);
    codes(&read(edit(two(), 20, "2"), 126, "one"), r#""visible_us":5,"#, &["stale"]);
    // What was never committed, what is committed only later, and a receipt of nobody's.
    codes(&read(two(), 60, "other"), "", &["value"]);
    codes(&read(stored(History::new(), 500, 1, "one", ""), 60, "one"), "", &["value"]);
    codes(&edit(two(), 20, "1"), "", &["value"]);
    codes(&edit(History::new(), 20, "2"), "", &["value"]);
    // An area that was never edited is empty.
    codes(&read(History::new(), 60, ""), "", &[]);
    codes(&read(edit(two(), 20, "2"), 121, ""), "", &["stale"]);
    codes(&stored(two(), 70, 3, "two", "t"), "", &["edit-twice"]);
    codes(&stored(two(), 70, 3, "two", "u"), "", &[]);
}

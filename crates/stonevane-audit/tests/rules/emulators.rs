//! Faults of emulated servers.

use crate::builder::{History, MS};

#[test]
pub fn faults_of_emulated_servers_are_not_findings_on_nodes() {
    let keyed = |server: &str, t: u64| {
        let ask =
            r#""event":"ask","request":"a","node":"n0","class":"edit","key":"k","until":1000000,"token":"t""#;
        let mut history = History::new().at(1, ask);
        history.classes.insert("a".into(), "edit".into());
        let ran = r#""effect":"ran","token":"t""#;
        let history = history.sent((10, 10), "a", "n0", "o", ran).sent((t, t), "a", "n0", server, ran);
        history.answered(900 * MS, "a", "failed")
    };
    keyed("o", 20).has_findings_and_faults(&[], &["ran-twice"]);
    keyed("o", 10 + 200 * MS - 1).has_findings_and_faults(&[], &["ran-twice"]);
    keyed("o", 10 + 200 * MS).has_findings_and_faults(&[], &[]);
    keyed("s1", 20).has_findings_and_faults(&[], &[]);
    // The server restarted in between, so it lost its idempotency keys.
    keyed("o", 20).at(15, r#""event":"start","server":"o""#).has_findings_and_faults(&[], &[]);
    let read = History::new().read(0, "a");
    read.clone().reply(25, "a", "s1", "v-a", 0).has_findings_and_faults(&[], &["replied-twice"]);
    let number = r#""event":"reply","server":"s1","request":"a","number":77,"value":"w""#;
    read.clone().at(25, number).has_findings_and_faults(&[], &["reply-to-none"]);
    // The auditor no longer tracks the request when the second reply arrives.
    let late =
        History::new().request(0, "a", "read").attempt(9, "a", "s1", "ran").answered(10, "a", "failed");
    late.reply(9_000 * MS, "a", "s1", "v", 0).has_findings_and_faults(&[], &[]);
    let report = read.reply(25, "a", "s1", "v-a", 0).report();
    assert!(
        report.holds() && report.to_string().contains("the emulator s1 is at fault, replied-twice"),
        "{report}"
    );
    let json = serde_json::to_value(&report).unwrap();
    assert_eq!(
        (&json["faults"][0]["code"], json["faults"][0]["evidence"][0]["line"].as_u64()),
        (&"replied-twice".into(), Some(4))
    );
}

//! Faults of emulated servers.

use crate::builder::{History, MS};

#[test]
pub fn faults_of_emulated_servers_are_reported_apart() {
    let keyed = |server: &str, t: u64| {
        let ask =
            r#""event":"ask","request":"a","node":"n0","class":"edit","key":"k","until":1000000,"token":"t""#;
        let mut day = History::new().at(1, ask);
        day.classes.insert("a".into(), "edit".into());
        let ran = r#""effect":"ran","token":"t""#;
        let day = day.sent((10, 10), "a", "n0", "o", ran).sent((t, t), "a", "n0", server, ran);
        day.answered(900 * MS, "a", "failed")
    };
    keyed("o", 20).at_fault(&[], &["ran-twice"]);
    keyed("o", 10 + 200 * MS - 1).at_fault(&[], &["ran-twice"]);
    keyed("o", 10 + 200 * MS).at_fault(&[], &[]);
    keyed("s1", 20).at_fault(&[], &[]);
    // It has started anew in between and knows nothing.
    keyed("o", 20).at(15, r#""event":"start","server":"o""#).at_fault(&[], &[]);
    let read = History::new().read(0, "a");
    read.clone().reply(25, "a", "s1", "v-a", 0).at_fault(&[], &["replied-twice"]);
    let number = r#""event":"reply","server":"s1","request":"a","number":77,"value":"w""#;
    read.clone().at(25, number).at_fault(&[], &["reply-to-none"]);
    // An answer that comes when its request is long forgotten.
    let late =
        History::new().request(0, "a", "read").attempt(9, "a", "s1", "ran").answered(10, "a", "failed");
    late.reply(9_000 * MS, "a", "s1", "v", 0).at_fault(&[], &[]);
    let report = read.reply(25, "a", "s1", "v-a", 0).report();
    assert!(
        report.holds() && report.to_string().contains("the stand-in s1 is at fault, replied-twice"),
        "{report}"
    );
    let json = serde_json::to_value(&report).unwrap();
    assert_eq!(
        (&json["faults"][0]["code"], json["faults"][0]["evidence"][0]["line"].as_u64()),
        (&"replied-twice".into(), Some(4))
    );
}

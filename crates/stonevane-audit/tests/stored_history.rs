//! Compatibility with histories stored by earlier versions: they are read, and written again to the same
//! bytes.
#![allow(missing_docs)]

use stonevane_audit::{HistoryRecord, audit, history};

/// Lines as version 0.2.0 wrote them; together they contain every event and every field.
const STORED: &str = r#"{"t":[0,0],"who":"lab","event":"begin","rules":{"answer_slack_us":50000,"drain_grace_us":500000,"deemed_told_us":6000000,"fall_multiple":3.0,"fall_us":2000000,"cold_slack":0.05,"informed_part":0.6666666666666666,"term_us":1950000,"exit_us":3200000,"max_attempts":4,"second_copies":true,"classes":[{"name":"zone-lookup","kind":"safe","scope":"all","window_us":200000},{"name":"zone-edit","kind":"keyed","scope":"all","window_us":200000},{"name":"zone-move","kind":"unsafe","scope":"all","window_us":200000}],"origin":{"capacity_us_per_s":4000000.0,"fall_multiple":2.5,"fall_us":3000000,"cold_part":0.3333333333333333},"store":false,"visible_us":0,"membership":{"members":0,"detect_us":0,"accuse_us":0,"refute_us":0,"converge_us":0}}}
{"t":[0,0],"who":"s-0","event":"start","capacity_us_per_s":4000000.0,"cold_share":0.35,"zone":"a"}
{"t":[5,9],"who":"lab","event":"start","server":"s-1","capacity_us_per_s":4000000.0,"cold_share":0.35,"warm_us":4000000,"zone":"b","cell":3,"since":5}
{"t":[0,0],"who":"discovery","event":"change","server":"s-0","status":"active"}
{"t":[0,12],"who":"discovery","event":"told","node":"n0","server":"s-0","status":"leaving","since":4}
{"t":[0,0],"who":"lab","event":"node","node":"n0","state":"starting"}
{"t":[10933,10933],"who":"client","event":"ask","request":"0-0","node":"n1","class":"zone-move","tenant":"all","key":"0000000000000019","digest":"6fd9431bed41e28a","until":609933}
{"t":[13625,13625],"who":"origin","event":"attempt","request":"0-0","node":"n1","class":"zone-move","key":"0000000000000019","digest":"6fd9431bed41e28a","effect":"ran","number":1,"work_us":18133,"origin":true}
{"t":[31758,31758],"who":"origin","event":"reply","request":"0-0","value":"0000000000000019.1.0-0.origin.1","version":1,"number":1}
{"t":[34289,34289],"who":"client","event":"answer","request":"0-0","node":"n1","outcome":"served","value":"0000000000000019.1.0-0.origin.1"}
{"t":[42889,42889],"who":"client","event":"ask","request":"1-0","node":"n1","class":"zone-lookup","tenant":"all","key":"0000000000000010","until":1542889,"kept":true}
{"t":[46825,46825],"who":"s-0","event":"attempt","request":"1-0","node":"n1","class":"zone-lookup","key":"0000000000000010","effect":"miss","number":1,"work_us":1004}
{"t":[123669,123669],"who":"client","event":"ask","request":"4-0","node":"n1","class":"zone-edit","tenant":"all","key":"000000000000000d","token":"t4","digest":"6fd9431bed41e28a","until":923669,"again":true}
{"t":[126284,126284],"who":"origin","event":"attempt","request":"4-0","node":"n1","class":"zone-edit","key":"000000000000000d","token":"t4","digest":"6fd9431bed41e28a","effect":"dropped","first":[125460,125460],"number":5,"work_us":17424,"origin":true}
{"t":[126290,126290],"who":"s-0","event":"attempt","request":"1-0","node":"n1","class":"zone-lookup","effect":"void","number":2}
{"t":[126300,126300],"who":"s-0","event":"attempt","request":"1-0","node":"n1","class":"zone-lookup","effect":"busy","number":3}
{"t":[716108,716108],"who":"client","event":"gone","request":"1f-0","node":"n1"}
{"t":[805052,805052],"who":"s-0","event":"over","request":"36-0","number":25}
{"t":[2315725,2315725],"who":"client","event":"answer","request":"3b-0","node":"n3","outcome":"refused","advice_ms":32}
{"t":[2315730,2315730],"who":"client","event":"answer","request":"3c-0","node":"n3","outcome":"failed"}
{"t":[2868308,2868308],"who":"lab","event":"fault","state":"NoisyCache { cache: 0 } begins"}
{"t":[6023780,6023780],"who":"client","event":"closed","request":"15c-0","node":"n0"}
{"t":[6083780,6083780],"who":"client","event":"ask","request":"15c-1","node":"n1","class":"zone-lookup","tenant":"all","key":"000000000000005b","until":7489780,"kept":true,"retry":true}
{"t":[6083790,6083790],"who":"client","event":"stray","request":"15c-1","node":"n1"}
{"t":[6083800,6083800],"who":"s-0","event":"down"}
{"t":[6083810,6083810],"who":"discovery","event":"call","node":"n0","state":"turned-away"}
{"t":[6083820,6083820],"who":"store","event":"stored","key":"k","token":"t4","value":"one","version":1}
{"t":[6083830,6083830],"who":"lab","event":"view","node":"n0","state":"aasdl?"}
{"t":[6083840,6083840],"who":"lab","event":"cut","node":"n0","server":"n1","state":"cut"}
{"t":[6083850,6083850],"who":"lab","event":"weather","state":"mild-ends"}
{"t":[17753431,17753431],"who":"lab","event":"end"}
"#;

fn records() -> Vec<HistoryRecord> {
    let mut records = Vec::new();
    history::read(STORED.as_bytes(), |_, record| records.push(record)).unwrap();
    records
}

#[test]
fn records_of_version_0_2_0_are_written_back_to_the_same_bytes() {
    let written: String = records().iter().map(HistoryRecord::to_json_line).collect();
    assert_eq!(written, STORED);
}

#[test]
fn a_history_of_version_0_2_0_is_audited() {
    let report = audit(STORED.as_bytes()).unwrap();
    assert_eq!((report.events, report.requests, report.attempts), (30, 4, 5));
    let json = serde_json::to_value(&report).unwrap();
    let keys = [
        "findings",
        "broken",
        "faults",
        "faulty",
        "unsettled",
        "excused",
        "tokens_run_twice",
        "held_at_most",
    ];
    assert!(keys.iter().all(|key| json.get(key).is_some()), "{json}");
    let rules: Vec<_> =
        report.findings.iter().map(|finding| serde_json::to_value(finding.rule).unwrap()).collect();
    assert!(
        rules.iter().any(|rule| rule == "answered") && rules.iter().any(|rule| rule == "tied"),
        "{rules:?}"
    );
}

//! Prints what nodes report of the members.

use std::net::SocketAddr;

use serde_json::Value;

/// States, the one that most wants attention first.
const STATES: [&str; 4] = ["dead", "suspect", "left", "unknown"];

/// A text of a report.
pub(super) fn text<'v>(value: &'v Value, key: &str) -> &'v str {
    value[key].as_str().unwrap_or("")
}

/// The members of a report.
pub(super) fn members(report: &Value) -> &[Value] {
    report["members"].as_array().map_or(&[], Vec::as_slice)
}

/// A span of milliseconds, for people.
fn ago(value: &Value) -> String {
    match value.as_u64() {
        None => "never".into(),
        Some(ms) if ms < 10_000 => format!("{ms} ms"),
        Some(ms) if ms < 600_000 => format!("{} s", ms / 1_000),
        Some(ms) => format!("{} min", ms / 60_000),
    }
}

/// Who reported a member's state.
fn reporter(member: &Value, nobody: &str) -> String {
    member["by"].as_u64().map_or(nobody.into(), |by| format!("n{by}"))
}

/// Prints the table of one node's report.
pub(super) fn print_table(node: SocketAddr, report: &Value) {
    print_head(node, report);
    say!(
        "{:<6} {:<8} {:>9} {:>5} {:>9} {:>9}  {:<24} {}",
        "member",
        "state",
        "for",
        "by",
        "heard",
        "answered",
        "link",
        "address"
    );
    let severity = |member: &Value| {
        let state = text(member, "state");
        STATES.iter().position(|known| *known == state).unwrap_or(STATES.len())
    };
    let mut sorted: Vec<&Value> = members(report).iter().collect();
    sorted.sort_by_key(|member| (severity(member), member["member"].as_u64()));
    for member in sorted {
        say!(
            "{:<6} {:<8} {:>9} {:>5} {:>9} {:>9}  {:<24} {}",
            format!("n{}", member["member"]),
            text(member, "state"),
            ago(&member["for_ms"]),
            reporter(member, "-"),
            ago(&member["heard_ms"]),
            ago(&member["answered_ms"]),
            text(member, "link"),
            text(member, "address")
        );
    }
}

/// Prints the node itself and its datagrams.
fn print_head(node: SocketAddr, report: &Value) {
    let count = |state: &str| members(report).iter().filter(|member| text(member, "state") == state).count();
    let states: Vec<_> = ["alive", "suspect", "dead", "left", "unknown"]
        .iter()
        .map(|state| (count(state), state))
        .filter(|(count, _)| *count > 0)
        .map(|(count, state)| format!("{count} {state}"))
        .collect();
    say!("{node}: n{}, {}; own health {} (0 is well)", report["me"], states.join(", "), report["health"]);
    if !report["alone_ms"].is_null() {
        let since = ago(&report["alone_ms"]);
        say!("  it hears nobody since {since}: what it suspects may be its own cut");
    }
    let datagrams = &report["datagrams"];
    let rejected = datagrams["refused"].as_object().into_iter().flatten();
    let rejected: Vec<_> = rejected.map(|(cause, count)| format!("{count} {cause}")).collect();
    say!(
        "  datagrams: {} sent ({} bytes), {} heard ({} bytes), refused: {}",
        datagrams["sent"],
        datagrams["sent_bytes"],
        datagrams["heard"],
        datagrams["heard_bytes"],
        rejected.join(", ")
    );
}

/// Prints all that one node reports of a member, in sentences.
pub(super) fn print_member(report: &Value, member: &Value) {
    let (me, it) = (report["me"].as_u64().unwrap_or(0), member["member"].as_u64().unwrap_or(0));
    if me == it {
        print_own(it, report);
        return;
    }
    say!(
        "n{me} holds n{it} {} for {} by the word of {} ({} accusers), life {} of generation {}, incarnation {}",
        text(member, "state"),
        ago(&member["for_ms"]),
        reporter(member, "nobody"),
        member["accusers"],
        member["life"],
        member["generation"],
        member["incarnation"]
    );
    say!(
        "  heard from it {} ago, it answered a probe {} ago, left one unanswered {} ago; its own health {}",
        ago(&member["heard_ms"]),
        ago(&member["answered_ms"]),
        ago(&member["unanswered_ms"]),
        member["health"]
    );
    match text(member, "link") {
        "does not hear this node" => say!("  n{me} hears n{it}, n{it} does not hear n{me}"),
        "is not heard" => say!("  n{me} does not hear n{it}, though others do"),
        _ => {}
    }
}

/// Prints what a node reports of itself.
fn print_own(number: u64, report: &Value) {
    say!(
        "n{number} says of itself: life {} of generation {}, incarnation {}, health {}; it objected {} times, \
         stood still {} times, accused {} times",
        report["life"],
        report["generation"],
        report["incarnation"],
        report["health"],
        report["refuted"],
        report["stood_still"],
        report["accused"]
    );
}

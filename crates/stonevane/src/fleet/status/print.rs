//! Formats nodes' reports of the members for people.

use std::net::SocketAddr;

use serde_json::Value;

/// States that the table lists first, the most severe at the top; members in other states follow.
const STATES: [&str; 4] = ["dead", "suspect", "left", "unknown"];

/// Returns a string field; empty if it is missing.
pub(super) fn text<'v>(value: &'v Value, key: &str) -> &'v str {
    value[key].as_str().unwrap_or("")
}

/// Returns the members of a report.
pub(super) fn members(report: &Value) -> &[Value] {
    report["members"].as_array().map_or(&[], Vec::as_slice)
}

/// Formats a JSON number of milliseconds as a duration in ms, s or min; `never` for null.
fn ago(value: &Value) -> String {
    match value.as_u64() {
        None => "never".into(),
        Some(ms) if ms < 10_000 => format!("{ms} ms"),
        Some(ms) if ms < 600_000 => format!("{} s", ms / 1_000),
        Some(ms) => format!("{} min", ms / 60_000),
    }
}

/// Returns the node that reported the member's state, or `nobody` if there is none.
fn reporter(member: &Value, nobody: &str) -> String {
    member["by"].as_u64().map_or(nobody.into(), |by| format!("n{by}"))
}

/// Prints the table of one node's report.
pub(super) fn print_table(node: SocketAddr, report: &Value) {
    print_head(node, report);
    outln!(
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
        outln!(
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

/// Prints the number of members in each state, the node's own health and its datagram counters.
fn print_head(node: SocketAddr, report: &Value) {
    let count = |state: &str| members(report).iter().filter(|member| text(member, "state") == state).count();
    let states: Vec<_> = ["alive", "suspect", "dead", "left", "unknown"]
        .iter()
        .map(|state| (count(state), state))
        .filter(|(count, _)| *count > 0)
        .map(|(count, state)| format!("{count} {state}"))
        .collect();
    outln!("{node}: n{}, {}; own health {} (0 is well)", report["me"], states.join(", "), report["health"]);
    if !report["alone_ms"].is_null() {
        let since = ago(&report["alone_ms"]);
        outln!("  it hears nobody since {since}: what it suspects may be its own cut");
    }
    let datagrams = &report["datagrams"];
    let rejected = datagrams["refused"].as_object().into_iter().flatten();
    let rejected: Vec<_> = rejected.map(|(cause, count)| format!("{count} {cause}")).collect();
    outln!(
        "  datagrams: {} sent ({} bytes), {} heard ({} bytes), refused: {}",
        datagrams["sent"],
        datagrams["sent_bytes"],
        datagrams["heard"],
        datagrams["heard_bytes"],
        rejected.join(", ")
    );
}

/// Prints one node's view of a member in sentences.
pub(super) fn print_member(report: &Value, member: &Value) {
    let (me, it) = (report["me"].as_u64().unwrap_or(0), member["member"].as_u64().unwrap_or(0));
    if me == it {
        print_own(it, report);
        return;
    }
    outln!(
        "n{me} has seen n{it} as {} for {}, reported by {} ({} accusers), instance {} of generation {}, incarnation {}",
        text(member, "state"),
        ago(&member["for_ms"]),
        reporter(member, "nobody"),
        member["accusers"],
        member["life"],
        member["generation"],
        member["incarnation"]
    );
    outln!(
        "  time since its last message: {}, since it answered a probe: {}, since it left a probe unanswered: {}; its own health {}",
        ago(&member["heard_ms"]),
        ago(&member["answered_ms"]),
        ago(&member["unanswered_ms"]),
        member["health"]
    );
    match text(member, "link") {
        "does not hear this node" => {
            outln!("  n{me} receives from n{it}, but n{it} does not receive from n{me}");
        }
        "is not heard" => outln!("  n{me} does not receive from n{it}, but other members do"),
        _ => {}
    }
}

/// Prints a node's report of itself in sentences.
fn print_own(number: u64, report: &Value) {
    outln!(
        "n{number} reports of itself: instance {} of generation {}, incarnation {}, health {}; it refuted {} suspicions, \
         was paused {} times, suspected others {} times",
        report["life"],
        report["generation"],
        report["incarnation"],
        report["health"],
        report["refuted"],
        report["stood_still"],
        report["accused"]
    );
}

//! The membership report of the management address, as JSON. Times are in milliseconds.

use std::net::SocketAddr;

use serde_json::{Value, json};
use stonevane_membership::{Counts, Machine, MemberId, MemberStatus, State, Status};
use stonevane_policy::Micros;

const MICROS_PER_MS: Micros = 1_000;

/// Counters of the socket that the report includes.
pub(super) struct SocketCounts {
    /// Number of datagrams from addresses that are not peers.
    pub unknown_peer: u64,
    /// Number of datagrams that the kernel did not accept for sending.
    pub unsent: u64,
}

/// Returns the brief report: the initial of each member's state, `?` for an unknown one.
pub(super) fn brief(machine: &Machine, members: usize) -> String {
    let initial = |member: MemberId| machine.state(member).map_or("?", |state| &state.name()[..1]);
    let view: String = (0..members as MemberId).map(initial).collect();
    json!({ "view": view }).to_string()
}

/// Returns the full report.
pub(super) fn full(
    status: &Status,
    addresses: &[SocketAddr],
    period: Micros,
    now: Micros,
    socket_counts: &SocketCounts,
) -> String {
    let members = status.members.iter();
    let members = members.map(|entry| member(status, entry, addresses[usize::from(entry.member)], now));
    let counts = &status.counts;
    json!({
        "me": status.number, "life": status.instance.nonce, "generation": status.instance.generation,
        "incarnation": status.incarnation, "health": status.health,
        "digest": format!("{:08x}", status.digest),
        "period_ms": period / MICROS_PER_MS, "alone_ms": milliseconds_since(status.isolated_since, now),
        "members": members.collect::<Vec<_>>(),
        "datagrams": datagrams(counts, socket_counts),
        "probes_failed": counts.probes_failed, "accused": counts.suspicions_started,
        "declared": counts.declared_dead, "refuted": counts.suspicions_refuted,
        "stood_still": counts.pauses, "claimed": counts.identity_conflicts,
    })
    .to_string()
}

fn datagrams(counts: &Counts, socket_counts: &SocketCounts) -> Value {
    json!({
        "sent": counts.sent, "sent_bytes": counts.sent_bytes, "heard": counts.received,
        "heard_bytes": counts.received_bytes, "unsent": socket_counts.unsent,
        "refused": {
            "stranger": socket_counts.unknown_peer, "length": counts.rejected_length,
            "version": counts.rejected_version, "digest": counts.rejected_digest,
            "form": counts.rejected_form, "address": counts.rejected_address, "old": counts.rejected_old,
        },
    })
}

fn member(status: &Status, entry: &MemberStatus, address: SocketAddr, now: Micros) -> Value {
    let record = entry.record;
    let since = |at| milliseconds_since(at, now);
    json!({
        "member": entry.member, "address": address.to_string(),
        "state": entry.state.map_or("unknown", State::name),
        "for_ms": since(record.map(|_| entry.changed_at)),
        "by": record.map(|record| record.by), "generation": record.map(|record| record.instance.generation),
        "life": record.map(|record| record.instance.nonce),
        "incarnation": record.map(|record| record.incarnation),
        "accusers": entry.reporters, "health": entry.health, "heard_ms": since(entry.last_received),
        "answered_ms": since(entry.last_answered), "unanswered_ms": since(entry.last_unanswered),
        "link": link(status, entry),
    })
}

/// Describes whether this node and a member reach each other.
fn link(status: &Status, entry: &MemberStatus) -> &'static str {
    if entry.member == status.number {
        "self"
    } else if entry.outbound_cut() {
        "does not hear this node"
    } else if entry.inbound_cut() {
        "is not heard"
    } else if entry.answers() {
        "both ways"
    } else {
        "not known"
    }
}

fn milliseconds_since(at: Option<Micros>, now: Micros) -> Option<Micros> {
    at.map(|at| now.saturating_sub(at) / MICROS_PER_MS)
}

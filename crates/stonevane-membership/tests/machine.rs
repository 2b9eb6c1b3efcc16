//! Tests of the machine in small fleets on a network that the test controls.
#![allow(missing_docs)]

use std::collections::BTreeMap;

use proptest::prelude::*;
use stonevane_membership::wire::{Kind, Message};
use stonevane_membership::{Input, Instance, Machine, MemberConfig, NoFaults, Outputs, Record, State};

const SECOND: u64 = 1_000_000;

/// Fleet of members with a simulated clock and network.
struct Fleet {
    now: u64,
    members: Vec<Option<Machine<NoFaults>>>,
    /// Datagrams in flight (sender, receiver, bytes), by arrival time and number.
    in_flight: BTreeMap<(u64, u64), (u16, u16, Vec<u8>)>,
    last_number: u64,
    paused: Vec<bool>,
    /// Datagrams that arrived at each paused member: sender, bytes.
    undelivered: Vec<Vec<(u16, Vec<u8>)>>,
    /// Whether datagrams from one member to another are lost.
    cut: Box<dyn Fn(u16, u16) -> bool>,
    /// All datagrams sent: sender, receiver, bytes.
    sent: Vec<(u16, u16, Vec<u8>)>,
}

fn config(me: u16, members: u16) -> MemberConfig {
    MemberConfig {
        number: me,
        members,
        seed: 40 + u64::from(me),
        nonce: 1_000 + u32::from(me),
        ..MemberConfig::default()
    }
}

impl Fleet {
    fn new(configs: Vec<MemberConfig>) -> Fleet {
        let count = configs.len();
        let members = configs.into_iter().map(|config| Some(Machine::new(0, config))).collect();
        Fleet {
            now: 0,
            members,
            in_flight: BTreeMap::new(),
            last_number: 0,
            paused: vec![false; count],
            undelivered: vec![Vec::new(); count],
            cut: Box::new(|_, _| false),
            sent: Vec::new(),
        }
    }

    fn of(count: u16) -> Fleet {
        Fleet::new((0..count).map(|me| config(me, count)).collect())
    }

    fn handle(&mut self, member: u16, input: Input<'_>) {
        let mut out = Outputs::default();
        if let Some(machine) = &mut self.members[usize::from(member)] {
            machine.handle(self.now, input, &mut out);
        }
        for (to, bytes) in out.sends {
            self.sent.push((member, to, bytes.clone()));
            if !(self.cut)(member, to) {
                self.last_number += 1;
                self.in_flight.insert((self.now + 5_000, self.last_number), (member, to, bytes));
            }
        }
    }

    fn run_until(&mut self, until: u64) {
        loop {
            let running = |at: usize| self.members[at].as_ref().filter(|_| !self.paused[at]);
            let wake_times = (0..self.members.len()).filter_map(|at| Some((running(at)?.next_wake_at(), at)));
            let wake = wake_times.min();
            let arrival = self.in_flight.first_key_value().map(|((at, _), _)| *at);
            let next = wake.map(|(at, _)| at).into_iter().chain(arrival).min().unwrap_or(until);
            if next > until {
                self.now = until;
                return;
            }
            self.now = self.now.max(next);
            if arrival.is_some_and(|at| at <= next) {
                let Some((_, (from, to, bytes))) = self.in_flight.pop_first() else { return };
                if self.paused[usize::from(to)] {
                    self.undelivered[usize::from(to)].push((from, bytes));
                } else {
                    self.handle(to, Input::Datagram(from, &bytes));
                }
            } else if let Some((_, member)) = wake {
                self.handle(member as u16, Input::Wake);
            }
        }
    }

    fn resume(&mut self, member: u16) {
        self.paused[usize::from(member)] = false;
        for (from, bytes) in std::mem::take(&mut self.undelivered[usize::from(member)]) {
            self.handle(member, Input::Datagram(from, &bytes));
        }
    }

    /// Views of the existing members, one letter for each member of the fleet: the initial of its state, `?`
    /// if unknown.
    fn views(&self) -> Vec<String> {
        let view = |machine: &Machine| {
            let letter = |m| machine.state(m).map_or('?', |s| char::from(s.name().as_bytes()[0]));
            (0..self.members.len() as u16).map(letter).collect()
        };
        self.members.iter().flatten().map(view).collect()
    }

    fn machine(&self, member: u16) -> &Machine {
        self.members[usize::from(member)].as_ref().unwrap()
    }
}

#[test]
fn a_member_with_an_older_peer_list_takes_part_and_learns_the_rest_from_a_newer_list() {
    // Member 3 has an older list with four members only.
    let listed = |me: u16| config(me, if me == 3 { 4 } else { 6 });
    let mut fleet = Fleet::new((0..6).map(listed).collect());
    // Member 3 has no addresses of members 4 and 5, so datagrams between it and them are lost in both
    // directions.
    fleet.cut = Box::new(|from, to| (from == 3 && to > 3) || (from > 3 && to == 3));
    fleet.run_until(30 * SECOND);
    let rejected = |fleet: &Fleet| fleet.machine(3).status().counts.rejected_form;
    assert_eq!(
        rejected(&fleet),
        0,
        "no datagram is rejected because it carries records of members outside the list"
    );
    let views = fleet.views();
    assert_eq!(views[3], "aaaa??");
    assert!((0..6).filter(|m| *m != 3).all(|m| views[m] == "aaaaaa"), "{views:?}");
    let bytes = |fleet: &Fleet| fleet.machine(3).status().counts.sent_bytes;
    let before = bytes(&fleet);
    fleet.run_until(60 * SECOND);
    let per_s = (bytes(&fleet) - before) / 30;
    assert!(per_s < 2_000, "tables that can't become equal cost {per_s} bytes per second");
    fleet.cut = Box::new(|_, _| false);
    fleet.handle(3, Input::Members(6));
    fleet.handle(3, Input::Members(2));
    fleet.run_until(75 * SECOND);
    assert_eq!(fleet.views(), ["aaaaaa"; 6]);
}

#[test]
fn members_discover_each_other_and_all_detect_a_dead_one() {
    let mut fleet = Fleet::of(5);
    fleet.run_until(4 * SECOND);
    assert_eq!(fleet.views(), ["aaaaa"; 5]);
    let digests: Vec<_> = (0..5).map(|m| fleet.machine(m).status().digest).collect();
    assert!(digests.windows(2).all(|pair| pair[0] == pair[1]));
    fleet.members[4] = None;
    fleet.run_until(24 * SECOND);
    assert_eq!(fleet.views(), ["aaaad"; 4]);
}

#[test]
fn a_paused_member_suspects_nobody_and_returns_under_a_new_incarnation() {
    for pause in [10, 60] {
        let mut fleet = Fleet::of(6);
        fleet.run_until(5 * SECOND);
        fleet.paused[2] = true;
        fleet.run_until((5 + pause) * SECOND);
        assert!(
            fleet.views()[0] == "aadaaa" || pause == 10 && fleet.views()[0] == "aasaaa",
            "{:?}",
            fleet.views()
        );
        let before: Vec<_> = (0..6).map(|m| fleet.machine(m).status().incarnation).collect();
        fleet.resume(2);
        fleet.run_until((9 + pause) * SECOND);
        assert_eq!(fleet.views(), ["aaaaaa"; 6], "after {pause} s");
        let status = fleet.machine(2).status();
        assert!(
            status.counts.pauses == 1
                && status.counts.suspicions_started == 0
                && status.counts.declared_dead == 0
        );
        let after: Vec<_> = (0..6).map(|m| fleet.machine(m).status().incarnation).collect();
        assert!(after[2] > before[2], "{before:?} {after:?}");
        assert!(
            (0..6).filter(|m| *m != 2).all(|m| after[m] == before[m]),
            "no other member was suspected: {before:?} {after:?}"
        );
    }
}

#[test]
fn a_one_way_cut_causes_no_suspicion_and_is_reported() {
    let mut fleet = Fleet::of(5);
    fleet.run_until(4 * SECOND);
    fleet.cut = Box::new(|from, to| from == 0 && to == 1);
    fleet.run_until(60 * SECOND);
    assert_eq!(fleet.views(), ["aaaaa"; 5]);
    assert!(
        (0..5).all(|m| fleet.machine(m).status().incarnation == 0),
        "no member had to refute a suspicion"
    );
    let entry = |of: u16, m: usize| fleet.machine(of).status().members[m];
    assert!(
        entry(0, 1).outbound_cut() && !entry(0, 2).outbound_cut(),
        "member 0 receives from member 1, which does not receive from member 0"
    );
    assert!(entry(1, 0).inbound_cut() && !entry(1, 2).inbound_cut());
}

#[test]
fn an_isolated_member_suspects_the_others_only_locally() {
    let mut fleet = Fleet::of(5);
    fleet.run_until(4 * SECOND);
    fleet.cut = Box::new(|_, to| to == 3);
    fleet.run_until(40 * SECOND);
    assert!(fleet.machine(3).status().isolated_since.is_some());
    assert!(fleet.views()[3].contains('s') && !fleet.views()[3].contains('d'), "{:?}", fleet.views());
    fleet.cut = Box::new(|_, _| false);
    fleet.run_until(46 * SECOND);
    assert_eq!(fleet.views(), ["aaaaa"; 5]);
    let refutations = |m: u16| fleet.machine(m).status().counts.suspicions_refuted;
    assert_eq!(
        [0, 1, 2, 4].map(refutations),
        [0; 4],
        "members that are suspected only locally have nothing to refute"
    );
}

#[test]
fn an_unnoticed_restart_is_a_new_instance_and_replays_of_the_old_one_are_rejected() {
    let mut fleet = Fleet::of(4);
    fleet.run_until(5 * SECOND);
    let old = fleet.machine(1).status().instance;
    let recorded: Vec<_> = fleet.sent.iter().filter(|(from, ..)| *from == 1).cloned().collect();
    fleet.members[1] = Some(Machine::new(fleet.now, MemberConfig { nonce: 77, seed: 9, ..config(1, 4) }));
    fleet.run_until(8 * SECOND);
    assert_eq!(fleet.views(), ["aaaa"; 4]);
    let known = |of: u16| fleet.machine(of).status().members[1].record.unwrap().instance;
    assert!(
        (0..4).all(|of| known(of) == Instance { generation: old.generation + 1, nonce: 77 }),
        "{:?}",
        known(0)
    );
    // Replays all datagrams of the old instance of member 3, to members that knew that instance and to one
    // that did not.
    fleet.members[3] = Some(Machine::new(fleet.now, MemberConfig { nonce: 78, seed: 10, ..config(3, 4) }));
    fleet.run_until(9 * SECOND);
    let rejected = fleet.machine(0).status().counts.rejected_old;
    for (_, to, bytes) in recorded {
        fleet.handle(to, Input::Datagram(1, &bytes));
    }
    assert!(fleet.machine(0).status().counts.rejected_old > rejected);
    fleet.run_until(12 * SECOND);
    let known = |of: u16| fleet.machine(of).status().members[1].record.unwrap().instance.nonce;
    assert_eq!([0, 1, 2, 3].map(known), [77; 4]);
    assert_eq!(fleet.views(), ["aaaa"; 4]);
}

#[test]
fn a_member_that_leaves_is_known_to_have_left_and_is_not_suspected() {
    let mut fleet = Fleet::of(5);
    fleet.run_until(4 * SECOND);
    fleet.handle(4, Input::Leave);
    fleet.run_until(fleet.now + SECOND / 2);
    fleet.members[4] = None;
    fleet.run_until(8 * SECOND);
    assert_eq!(fleet.views(), ["aaaal"; 4]);
    assert!((0..4).all(|m| fleet.machine(m).status().counts.suspicions_started == 0
        && fleet.machine(m).not_left_count() == 4));
    fleet.members[4] = Some(Machine::new(fleet.now, MemberConfig { nonce: 5, ..config(4, 5) }));
    fleet.run_until(12 * SECOND);
    assert_eq!(fleet.views(), ["aaaaa"; 5]);
}

#[test]
fn both_versions_interoperate_and_fleets_with_different_keys_stay_separate() {
    let with_version = |me: u16| MemberConfig { max_version: if me < 2 { 1 } else { 2 }, ..config(me, 5) };
    let mut fleet = Fleet::new((0..5).map(with_version).collect());
    fleet.run_until(6 * SECOND);
    fleet.members[4] = None;
    fleet.run_until(26 * SECOND);
    assert_eq!(fleet.views(), ["aaaad"; 4]);
    let version = |from: u16, to: u16| {
        fleet.sent.iter().rev().find(|(f, t, _)| (*f, *t) == (from, to)).map(|(_, _, bytes)| bytes[0])
    };
    assert_eq!((version(2, 3), version(2, 0), version(0, 2)), (Some(2), Some(1), Some(1)));
    let keyed = |me: u16| MemberConfig { key: Some([u8::from(me >= 3); 32]), ..config(me, 5) };
    let mut fleet = Fleet::new((0..5).map(keyed).collect());
    fleet.run_until(10 * SECOND);
    assert_eq!(fleet.views(), ["aaa??", "aaa??", "aaa??", "???aa", "???aa"]);
    assert!(fleet.machine(0).status().counts.rejected_digest > 0);
}

#[test]
fn a_record_of_the_highest_generation_is_tolerated() {
    let mut fleet = Fleet::of(3);
    fleet.run_until(3 * SECOND);
    let highest = Instance { generation: u32::MAX, nonce: 1 };
    let record = Record { member: 0, instance: highest, incarnation: u32::MAX, state: State::Dead, by: 1 };
    let message = Message {
        version: 2,
        max_version: 2,
        kind: Kind::Gossip,
        from: 1,
        to: 0,
        instance: fleet.machine(1).status().instance,
        incarnation: 0,
        sequence: 1 << 40,
        probe: 0,
        about: 1,
        digest: 0,
        health: 0,
        digests: None,
        records: vec![record],
    };
    fleet.handle(0, Input::Datagram(1, &message.bytes(None)));
    fleet.run_until(10 * SECOND);
    assert_eq!(fleet.machine(0).status().counts.identity_conflicts, 1);
}

fn records() -> impl Strategy<Value = Vec<Record>> {
    let one =
        (0..6u16, any::<(u8, u32, u8)>(), 0..4usize, 0..6u16).prop_map(|(member, numbers, state, by)| {
            Record {
                member,
                instance: Instance { generation: u32::from(numbers.0), nonce: numbers.1 },
                incarnation: u32::from(numbers.2),
                state: [State::Alive, State::Suspect, State::Dead, State::Left][state],
                by,
            }
        });
    proptest::collection::vec(one, 0..12)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// A sender that has the key can send arbitrary records: nothing panics, the number of answers to a
    /// datagram is bounded, and the merged result does not depend on the order of arrival.
    #[test]
    fn arbitrary_datagrams_are_tolerated_and_their_order_does_not_matter(
        datagrams in proptest::collection::vec((0..7usize, records(), any::<u32>(), 1..6u16, any::<u8>()), 1..20),
    ) {
        const KINDS: [Kind; 7] =
            [Kind::Ping, Kind::Ack, Kind::PingReq, Kind::Nack, Kind::Gossip, Kind::Digests, Kind::DigestsReply];
        let merged_records = |order: &mut dyn Iterator<Item = usize>| {
            let mut machine: Machine = Machine::new(0, config(0, 6));
            let mut out = Outputs::default();
            for at in order {
                let (kind, records, probe, from, health) = &datagrams[at];
                let kind = KINDS[*kind];
                let digests = matches!(kind, Kind::Digests | Kind::DigestsReply).then_some([*probe; 16]);
                let message = Message {
                    version: 2, max_version: 2, kind, from: *from, to: 0, instance: Instance { generation: 0, nonce: 9_000 },
                    incarnation: 0, sequence: 1_000 + at as u64, probe: *probe, about: (*from + 1) % 6, digest: *probe,
                    health: *health, digests, records: records.clone(),
                };
                out.sends.clear();
                machine.handle(at as u64, Input::Datagram(*from, &message.bytes(None)), &mut out);
                assert!(out.sends.len() <= 40, "{} datagrams in answer to one", out.sends.len());
            }
            (1..6u16).map(|m| machine.status().members[usize::from(m)].record.map(|r| r.precedence())).collect::<Vec<_>>()
        };
        prop_assert_eq!(merged_records(&mut (0..datagrams.len())), merged_records(&mut (0..datagrams.len()).rev()));
    }
}

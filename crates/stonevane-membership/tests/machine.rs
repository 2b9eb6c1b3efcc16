//! The machine in small fleets whose network the test holds in its hands.
#![allow(missing_docs)]

use std::collections::BTreeMap;

use proptest::prelude::*;
use stonevane_membership::wire::{Kind, Message};
use stonevane_membership::{Input, Instance, Machine, NoFaults, Outputs, Record, Setup, State};

const S: u64 = 1_000_000;

/// Members, what is on its way, and who does not run.
struct Fleet {
    now: u64,
    members: Vec<Option<Machine<NoFaults>>>,
    /// By its time and a number.
    flying: BTreeMap<(u64, u64), (u16, u16, Vec<u8>)>,
    number: u64,
    stopped: Vec<bool>,
    waiting: Vec<Vec<(u16, Vec<u8>)>>,
    cut: Box<dyn Fn(u16, u16) -> bool>,
    /// All that was sent, from whom and to whom.
    sent: Vec<(u16, u16, Vec<u8>)>,
}

fn setup(me: u16, members: u16) -> Setup {
    Setup { number: me, members, seed: 40 + u64::from(me), nonce: 1_000 + u32::from(me), ..Setup::default() }
}

impl Fleet {
    fn new(setups: Vec<Setup>) -> Fleet {
        let count = setups.len();
        let members = setups.into_iter().map(|setup| Some(Machine::new(0, setup))).collect();
        Fleet {
            now: 0,
            members,
            flying: BTreeMap::new(),
            number: 0,
            stopped: vec![false; count],
            waiting: vec![Vec::new(); count],
            cut: Box::new(|_, _| false),
            sent: Vec::new(),
        }
    }

    fn of(count: u16) -> Fleet {
        Fleet::new((0..count).map(|me| setup(me, count)).collect())
    }

    fn tell(&mut self, member: u16, input: Input<'_>) {
        let mut out = Outputs::default();
        if let Some(machine) = &mut self.members[usize::from(member)] {
            machine.handle(self.now, input, &mut out);
        }
        for (to, bytes) in out.sends {
            self.sent.push((member, to, bytes.clone()));
            if !(self.cut)(member, to) {
                self.number += 1;
                self.flying.insert((self.now + 5_000, self.number), (member, to, bytes));
            }
        }
    }

    fn run(&mut self, until: u64) {
        loop {
            let alive = |at: usize| self.members[at].as_ref().filter(|_| !self.stopped[at]);
            let wakes = (0..self.members.len()).filter_map(|at| Some((alive(at)?.next(), at)));
            let wake = wakes.min();
            let flight = self.flying.first_key_value().map(|((at, _), _)| *at);
            let next = wake.map(|(at, _)| at).into_iter().chain(flight).min().unwrap_or(until);
            if next > until {
                self.now = until;
                return;
            }
            self.now = self.now.max(next);
            if flight.is_some_and(|at| at <= next) {
                let Some((_, (from, to, bytes))) = self.flying.pop_first() else { return };
                if self.stopped[usize::from(to)] {
                    self.waiting[usize::from(to)].push((from, bytes));
                } else {
                    self.tell(to, Input::Datagram(from, &bytes));
                }
            } else if let Some((_, member)) = wake {
                self.tell(member as u16, Input::Wake);
            }
        }
    }

    fn goes_on(&mut self, member: u16) {
        self.stopped[usize::from(member)] = false;
        for (from, bytes) in std::mem::take(&mut self.waiting[usize::from(member)]) {
            self.tell(member, Input::Datagram(from, &bytes));
        }
    }

    /// What each that runs holds of all.
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
fn one_with_an_older_list_of_peers_holds_its_place_and_learns_the_rest_when_it_is_told() {
    // The last of them was told of four members only.
    let listed = |me: u16| setup(me, if me == 3 { 4 } else { 6 });
    let mut fleet = Fleet::new((0..6).map(listed).collect());
    // It does not know their addresses, nor they, who have the newer list, its answers' sender: theirs reach it.
    fleet.cut = Box::new(|from, to| (from == 3 && to > 3) || (from > 3 && to == 3));
    fleet.run(30 * S);
    let refused = |fleet: &Fleet| fleet.machine(3).status().counts.refused_form;
    assert_eq!(refused(&fleet), 0, "what the others say of the new ones costs it nothing else");
    let views = fleet.views();
    assert_eq!(views[3], "aaaa??");
    assert!((0..6).filter(|m| *m != 3).all(|m| views[m] == "aaaaaa"), "{views:?}");
    let bytes = |fleet: &Fleet| fleet.machine(3).status().counts.sent_bytes;
    let before = bytes(&fleet);
    fleet.run(60 * S);
    let per_s = (bytes(&fleet) - before) / 30;
    assert!(per_s < 2_000, "tables that can't become equal cost {per_s} bytes a second");
    fleet.cut = Box::new(|_, _| false);
    fleet.tell(3, Input::Members(6));
    fleet.tell(3, Input::Members(2));
    fleet.run(75 * S);
    assert_eq!(fleet.views(), ["aaaaaa"; 6]);
}

#[test]
fn members_find_each_other_and_a_dead_one_is_seen_by_all() {
    let mut fleet = Fleet::of(5);
    fleet.run(4 * S);
    assert_eq!(fleet.views(), ["aaaaa"; 5]);
    let digests: Vec<_> = (0..5).map(|m| fleet.machine(m).status().digest).collect();
    assert!(digests.windows(2).all(|pair| pair[0] == pair[1]));
    fleet.members[4] = None;
    fleet.run(24 * S);
    assert_eq!(fleet.views(), ["aaaad"; 4]);
}

#[test]
fn one_that_stood_still_accuses_nobody_and_comes_back_under_a_new_incarnation() {
    for pause in [10, 60] {
        let mut fleet = Fleet::of(6);
        fleet.run(5 * S);
        fleet.stopped[2] = true;
        fleet.run((5 + pause) * S);
        assert!(
            fleet.views()[0] == "aadaaa" || pause == 10 && fleet.views()[0] == "aasaaa",
            "{:?}",
            fleet.views()
        );
        let before: Vec<_> = (0..6).map(|m| fleet.machine(m).status().incarnation).collect();
        fleet.goes_on(2);
        fleet.run((9 + pause) * S);
        assert_eq!(fleet.views(), ["aaaaaa"; 6], "after {pause} s");
        let status = fleet.machine(2).status();
        assert!(status.counts.pauses == 1 && status.counts.accused == 0 && status.counts.declared == 0);
        let after: Vec<_> = (0..6).map(|m| fleet.machine(m).status().incarnation).collect();
        assert!(after[2] > before[2], "{before:?} {after:?}");
        assert!(
            (0..6).filter(|m| *m != 2).all(|m| after[m] == before[m]),
            "nobody was accused: {before:?} {after:?}"
        );
    }
}

#[test]
fn a_cut_in_one_direction_makes_nobody_suspect_and_is_told() {
    let mut fleet = Fleet::of(5);
    fleet.run(4 * S);
    fleet.cut = Box::new(|from, to| from == 0 && to == 1);
    fleet.run(60 * S);
    assert_eq!(fleet.views(), ["aaaaa"; 5]);
    assert!((0..5).all(|m| fleet.machine(m).status().incarnation == 0), "nobody had to object");
    let entry = |of: u16, m: usize| fleet.machine(of).status().members[m];
    assert!(entry(0, 1).outbound_cut() && !entry(0, 2).outbound_cut(), "n0 hears n1, n1 does not hear n0");
    assert!(entry(1, 0).inbound_cut() && !entry(1, 2).inbound_cut());
}

#[test]
fn one_that_hears_nobody_doubts_all_and_tells_nobody() {
    let mut fleet = Fleet::of(5);
    fleet.run(4 * S);
    fleet.cut = Box::new(|_, to| to == 3);
    fleet.run(40 * S);
    assert!(fleet.machine(3).status().isolated_since.is_some());
    assert!(fleet.views()[3].contains('s') && !fleet.views()[3].contains('d'), "{:?}", fleet.views());
    fleet.cut = Box::new(|_, _| false);
    fleet.run(46 * S);
    assert_eq!(fleet.views(), ["aaaaa"; 5]);
    let objected = |m: u16| fleet.machine(m).status().counts.refuted;
    assert_eq!([0, 1, 2, 4].map(objected), [0; 4], "whom it doubted had nothing to object to");
}

#[test]
fn a_restart_that_nobody_noticed_is_a_new_life_and_the_old_one_does_not_speak_again() {
    let mut fleet = Fleet::of(4);
    fleet.run(5 * S);
    let old = fleet.machine(1).status().instance;
    let recorded: Vec<_> = fleet.sent.iter().filter(|(from, ..)| *from == 1).cloned().collect();
    fleet.members[1] = Some(Machine::new(fleet.now, Setup { nonce: 77, seed: 9, ..setup(1, 4) }));
    fleet.run(8 * S);
    assert_eq!(fleet.views(), ["aaaa"; 4]);
    let known = |of: u16| fleet.machine(of).status().members[1].record.unwrap().instance;
    assert!(
        (0..4).all(|of| known(of) == Instance { generation: old.generation + 1, nonce: 77 }),
        "{:?}",
        known(0)
    );
    // All that the old life ever sent comes once more, to those who knew it and to one who did not.
    fleet.members[3] = Some(Machine::new(fleet.now, Setup { nonce: 78, seed: 10, ..setup(3, 4) }));
    fleet.run(9 * S);
    let refused = fleet.machine(0).status().counts.refused_old;
    for (_, to, bytes) in recorded {
        fleet.tell(to, Input::Datagram(1, &bytes));
    }
    assert!(fleet.machine(0).status().counts.refused_old > refused);
    fleet.run(12 * S);
    let known = |of: u16| fleet.machine(of).status().members[1].record.unwrap().instance.nonce;
    assert_eq!([0, 1, 2, 3].map(known), [77; 4]);
    assert_eq!(fleet.views(), ["aaaa"; 4]);
}

#[test]
fn one_that_leaves_is_known_to_have_left_and_is_not_accused() {
    let mut fleet = Fleet::of(5);
    fleet.run(4 * S);
    fleet.tell(4, Input::Leave);
    fleet.run(fleet.now + S / 2);
    fleet.members[4] = None;
    fleet.run(8 * S);
    assert_eq!(fleet.views(), ["aaaal"; 4]);
    assert!((0..4).all(|m| fleet.machine(m).status().counts.accused == 0 && fleet.machine(m).known() == 4));
    fleet.members[4] = Some(Machine::new(fleet.now, Setup { nonce: 5, ..setup(4, 5) }));
    fleet.run(12 * S);
    assert_eq!(fleet.views(), ["aaaaa"; 5]);
}

#[test]
fn both_versions_live_side_by_side_and_fleets_of_other_keys_do_not_hear_each_other() {
    let speaks = |me: u16| Setup { max_version: if me < 2 { 1 } else { 2 }, ..setup(me, 5) };
    let mut fleet = Fleet::new((0..5).map(speaks).collect());
    fleet.run(6 * S);
    fleet.members[4] = None;
    fleet.run(26 * S);
    assert_eq!(fleet.views(), ["aaaad"; 4]);
    let version = |from: u16, to: u16| {
        fleet.sent.iter().rev().find(|(f, t, _)| (*f, *t) == (from, to)).map(|(_, _, bytes)| bytes[0])
    };
    assert_eq!((version(2, 3), version(2, 0), version(0, 2)), (Some(2), Some(1), Some(1)));
    let keyed = |me: u16| Setup { key: Some([u8::from(me >= 3); 32]), ..setup(me, 5) };
    let mut fleet = Fleet::new((0..5).map(keyed).collect());
    fleet.run(10 * S);
    assert_eq!(fleet.views(), ["aaa??", "aaa??", "aaa??", "???aa", "???aa"]);
    assert!(fleet.machine(0).status().counts.refused_digest > 0);
}

#[test]
fn a_claim_that_can_not_be_exceeded_is_borne() {
    let mut fleet = Fleet::of(3);
    fleet.run(3 * S);
    let most = Instance { generation: u32::MAX, nonce: 1 };
    let record = Record { member: 0, instance: most, incarnation: u32::MAX, state: State::Dead, by: 1 };
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
    fleet.tell(0, Input::Datagram(1, &message.bytes(None)));
    fleet.run(10 * S);
    assert_eq!(fleet.machine(0).status().counts.identity_conflicts, 1);
}

fn records() -> impl Strategy<Value = Vec<Record>> {
    let one =
        (0..6u16, any::<(u8, u32, u8)>(), 0..4usize, 0..6u16).prop_map(|(member, life, state, by)| Record {
            member,
            instance: Instance { generation: u32::from(life.0), nonce: life.1 },
            incarnation: u32::from(life.2),
            state: [State::Alive, State::Suspect, State::Dead, State::Left][state],
            by,
        });
    proptest::collection::vec(one, 0..12)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whoever has the key may say whatever he likes: nothing panics, each answer is bounded, and what is said is merged
    /// alike in whatever order it comes.
    #[test]
    fn whatever_is_said_is_borne_and_its_order_does_not_matter(
        said in proptest::collection::vec((0..7usize, records(), any::<u32>(), 1..6u16, any::<u8>()), 1..20),
    ) {
        const KINDS: [Kind; 7] =
            [Kind::Ping, Kind::Ack, Kind::PingReq, Kind::Nack, Kind::Gossip, Kind::Digests, Kind::DigestsReply];
        let hear = |order: &mut dyn Iterator<Item = usize>| {
            let mut machine: Machine = Machine::new(0, setup(0, 6));
            let mut out = Outputs::default();
            for at in order {
                let (kind, records, probe, from, health) = &said[at];
                let kind = KINDS[*kind];
                let digests = matches!(kind, Kind::Digests | Kind::DigestsReply).then_some([*probe; 16]);
                let message = Message {
                    version: 2, max_version: 2, kind, from: *from, to: 0, instance: Instance { generation: 0, nonce: 9_000 },
                    incarnation: 0, sequence: 1_000 + at as u64, probe: *probe, about: (*from + 1) % 6, digest: *probe,
                    health: *health, digests, records: records.clone(),
                };
                out.sends.clear();
                machine.handle(at as u64, Input::Datagram(*from, &message.bytes(None)), &mut out);
                assert!(out.sends.len() <= 40, "{} datagrams for one", out.sends.len());
            }
            (1..6u16).map(|m| machine.status().members[usize::from(m)].record.map(|r| r.precedence())).collect::<Vec<_>>()
        };
        prop_assert_eq!(hear(&mut (0..said.len())), hear(&mut (0..said.len()).rev()));
    }
}

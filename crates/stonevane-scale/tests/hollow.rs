//! Hollow nodes as machines, on a network and a clock that are made up here.
#![allow(missing_docs)]

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use stonevane_core::{DiscoveryCall, DiscoveryRequest, EndpointList, Input as CoreInput};
use stonevane_membership::State;
use stonevane_scale::Micros;
use stonevane_scale::hollow::{Hollow, Input, Outputs, Setup};
use stonevane_scale::plan::{Membership, Plan};

/// How long a datagram or an answer of discovery is on its way.
const ON_THE_WAY: Micros = 200;
const SECOND: Micros = 1_000_000;

fn plan(nodes: u32, regions: u32) -> Plan {
    Plan {
        nodes,
        regions,
        domain_per_region: regions > 1,
        workers: 1,
        seed: 7,
        caches: 3,
        membership: Membership::with_period(Duration::from_secs(1)).unwrap(),
        window: Duration::from_secs(1),
        phase: Duration::from_secs(1),
    }
}

/// What is on its way: when it comes, to whom, and from whom.
enum Parcel {
    Datagram(Micros, u32, u32, Vec<u8>),
    List(Micros, u32, DiscoveryCall),
}

struct World {
    now: Micros,
    nodes: Vec<Option<Hollow>>,
    parcels: VecDeque<Parcel>,
    lists: u32,
}

impl World {
    fn new(plan: &Plan) -> World {
        let layout = plan.layout().unwrap();
        let discovery = SocketAddr::from(([127, 0, 0, 1], 1));
        let node = |number| {
            let setup = Setup {
                number,
                domain: layout.domain_of(number),
                membership: plan.membership,
                machine_seed: plan.machine_seed(number),
                core_seed: plan.core_seed(number),
                deployment: plan.deployment(number).unwrap(),
                discovery,
            };
            Some(Hollow::new(SECOND + plan.start_delay(number), setup))
        };
        World { now: SECOND, nodes: (0..plan.nodes).map(node).collect(), parcels: VecDeque::new(), lists: 0 }
    }

    fn handle(&mut self, number: u32, input: Input<'_>) {
        let Some(node) = &mut self.nodes[number as usize] else { return };
        let mut outputs = Outputs::default();
        node.handle(self.now, input, &mut outputs);
        let comes = self.now + ON_THE_WAY;
        for (to, bytes) in outputs.datagrams {
            self.parcels.push_back(Parcel::Datagram(comes, to, number, bytes));
        }
        for call in outputs.calls {
            self.parcels.push_back(Parcel::List(comes, number, call));
        }
    }

    /// Brings what comes next, or wakes who is to be woken next.
    fn step(&mut self) {
        let waking = self.nodes.iter().flatten().map(|node| (node.next(), node.number())).min().unwrap();
        let comes = self.parcels.front().map(|parcel| match parcel {
            Parcel::Datagram(at, ..) | Parcel::List(at, ..) => *at,
        });
        if let Some(at) = comes.filter(|at| *at <= waking.0) {
            self.now = self.now.max(at);
            match self.parcels.pop_front().unwrap() {
                Parcel::Datagram(_, to, from, bytes) => self.handle(to, Input::Datagram(from, &bytes)),
                Parcel::List(_, to, call) => self.answer(to, call),
            }
        } else {
            self.now = self.now.max(waking.0);
            self.handle(waking.1, Input::Wake);
        }
    }

    fn answer(&mut self, to: u32, call: DiscoveryCall) {
        assert!(matches!(call.request, DiscoveryRequest::Watch { after: None }), "{call:?}");
        self.lists += 1;
        let list = r#"{"index":4,"snapshot":true,"endpoints":[
            {"name":"c","address":"127.1.0.0:1","zone":"z","type":"cache","status":"active"}]}"#;
        let list: EndpointList = serde_json::from_str(list).unwrap();
        self.handle(to, Input::Discovery(CoreInput::List(call.epoch, list)));
    }

    /// Goes on until all nodes are so; how long that takes.
    fn until(&mut self, what: &str, all: impl Fn(&Hollow) -> bool) -> Micros {
        let begun = self.now;
        while !self.nodes.iter().flatten().all(&all) {
            self.step();
            assert!(self.now < begun + 120 * SECOND, "{what}");
        }
        self.now - begun
    }
}

#[test]
fn nodes_learn_of_all_others_and_of_the_list_come_to_rest_and_learn_of_a_death() {
    let mut world = World::new(&plan(8, 1));
    world.until("all know of all", |node| node.standing().complete);
    assert_eq!(world.lists, 8, "each has asked once");
    world.until("all are at rest", |node| node.standing().rested);
    assert!(world.nodes.iter().flatten().all(|node| !node.standing().informed));
    world.nodes[3] = None;
    world.nodes.iter_mut().flatten().for_each(|node| node.watch_for(3));
    let took = world.until("all hold it dead", |node| node.standing().informed);
    assert!((2 * SECOND..30 * SECOND).contains(&took), "no sooner than the time to object: {took}");
    for node in world.nodes.iter().flatten() {
        assert_eq!((node.held(3), node.held(4)), (Some(State::Dead), Some(State::Alive)));
        assert_eq!((node.false_deaths(), node.stalls()), (0, 0));
        assert!(!node.standing().complete, "one of the others does not live");
    }
}

#[test]
fn nodes_of_another_domain_are_neither_known_nor_heard() {
    let mut world = World::new(&plan(9, 3));
    world.until("all know of their region", |node| node.standing().complete);
    assert!(world.nodes[0].as_ref().unwrap().held(3).is_none());
    assert!(world.nodes[0].as_ref().unwrap().held(2).is_some());
    let before = world.parcels.len();
    world.handle(0, Input::Datagram(4, &[0; 64]));
    assert_eq!(world.parcels.len(), before);
    world.nodes[4] = None;
    world.nodes.iter_mut().flatten().for_each(|node| node.watch_for(4));
    let others = |node: &Hollow| node.standing().informed == [3, 5].contains(&node.number());
    world.until("its region holds it dead", others);
}

#[test]
fn a_late_wake_up_is_counted_and_what_spoils_a_datagram_changes_nothing() {
    let mut world = World::new(&plan(4, 1));
    world.until("all know of all", |node| node.standing().complete);
    world.handle(1, Input::Datagram(2, b"nonsense"));
    assert!(world.nodes[1].as_ref().unwrap().standing().complete);
    world.now += 3 * SECOND;
    world.handle(1, Input::Wake);
    assert_eq!(world.nodes[1].as_ref().unwrap().stalls(), 1);
}

#[test]
fn every_choice_is_the_seeds() {
    let one = plan(8, 1);
    let other = Plan { seed: 8, ..one.clone() };
    let draws = |plan: &Plan| -> Vec<_> {
        let node = |n| (plan.machine_seed(n), plan.core_seed(n), plan.start_delay(n));
        (0..8).map(node).collect()
    };
    assert_eq!(draws(&one), draws(&one.clone()));
    assert_ne!(draws(&one), draws(&other));
    let mut lives: Vec<u32> = (0..8).map(|number| one.machine_seed(number).0).collect();
    lives.sort_unstable();
    lives.dedup();
    assert_eq!(lives.len(), 8, "no two nodes draw the same life");
    let victims: Vec<u32> = (0..64).map(|seed| Plan { seed, ..one.clone() }.victim()).collect();
    assert!(victims.iter().all(|victim| *victim < 8) && victims.iter().any(|victim| *victim != victims[0]));
    assert!((0..8).all(|number| one.start_delay(number) < one.membership.period));
}

#[test]
fn orders_and_reports_are_read_as_they_were_written() {
    use stonevane_scale::convergence::Reached;
    use stonevane_scale::message::{Order, Progress, Report};
    let reached = Reached { nodes: 3, changed: u64::MAX };
    let progress = Report::Progress(Progress { complete: reached, ..Progress::default() });
    let order = Order::Bind { plan: plan(8, 2), worker: 1 };
    let lines = (serde_json::to_string(&progress).unwrap(), serde_json::to_string(&order).unwrap());
    assert!(!lines.0.contains('\n') && !lines.1.contains('\n'));
    assert_eq!(serde_json::from_str::<Report>(&lines.0).unwrap(), progress);
    assert_eq!(serde_json::from_str::<Order>(&lines.1).unwrap(), order);
    assert!(serde_json::from_str::<Order>(r#"{"dance":{}}"#).is_err());
}

#[test]
fn a_period_that_an_operator_file_does_not_take_is_refused() {
    assert!(Membership::with_period(Duration::from_millis(49)).unwrap_err().contains("period_ms"));
}

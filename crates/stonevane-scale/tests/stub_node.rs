//! Stub nodes as state machines, on a simulated network and clock.
#![allow(missing_docs)]

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use stonevane_core::{DiscoveryCall, DiscoveryRequest, EndpointList, Input as CoreInput};
use stonevane_membership::State;
use stonevane_scale::Micros;
use stonevane_scale::plan::{Membership, Plan};
use stonevane_scale::stub_node::{Input, Outputs, Setup, StubNode};

/// Latency of a datagram or of a response from discovery.
const LATENCY: Micros = 200;
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

/// A message in flight: its time of arrival, its receiver, and its sender or the call that it answers.
enum Message {
    Datagram(Micros, u32, u32, Vec<u8>),
    List(Micros, u32, DiscoveryCall),
}

struct Cluster {
    now: Micros,
    nodes: Vec<Option<StubNode>>,
    messages: VecDeque<Message>,
    lists: u32,
}

impl Cluster {
    fn new(plan: &Plan) -> Cluster {
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
            Some(StubNode::new(SECOND + plan.start_delay(number), setup))
        };
        Cluster {
            now: SECOND,
            nodes: (0..plan.nodes).map(node).collect(),
            messages: VecDeque::new(),
            lists: 0,
        }
    }

    fn handle(&mut self, number: u32, input: Input<'_>) {
        let Some(node) = &mut self.nodes[number as usize] else { return };
        let mut outputs = Outputs::default();
        node.handle(self.now, input, &mut outputs);
        let arrival = self.now + LATENCY;
        for (to, bytes) in outputs.datagrams {
            self.messages.push_back(Message::Datagram(arrival, to, number, bytes));
        }
        for call in outputs.calls {
            self.messages.push_back(Message::List(arrival, number, call));
        }
    }

    /// Delivers the next message or wakes the node with the next timeout, whichever is earlier.
    fn step(&mut self) {
        let next_wake = self.nodes.iter().flatten().map(|node| (node.next(), node.number())).min().unwrap();
        let next_arrival = self.messages.front().map(|message| match message {
            Message::Datagram(at, ..) | Message::List(at, ..) => *at,
        });
        if let Some(at) = next_arrival.filter(|at| *at <= next_wake.0) {
            self.now = self.now.max(at);
            match self.messages.pop_front().unwrap() {
                Message::Datagram(_, to, from, bytes) => self.handle(to, Input::Datagram(from, &bytes)),
                Message::List(_, to, call) => self.answer(to, call),
            }
        } else {
            self.now = self.now.max(next_wake.0);
            self.handle(next_wake.1, Input::Wake);
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

    /// Steps until all nodes satisfy a condition, and returns the simulated time that took.
    fn until(&mut self, condition: &str, all: impl Fn(&StubNode) -> bool) -> Micros {
        let start = self.now;
        while !self.nodes.iter().flatten().all(&all) {
            self.step();
            assert!(self.now < start + 120 * SECOND, "{condition}");
        }
        self.now - start
    }
}

#[test]
fn nodes_discover_all_others_and_the_list_come_to_rest_and_detect_a_death() {
    let mut cluster = Cluster::new(&plan(8, 1));
    cluster.until("all nodes have converged", |node| node.progress().complete);
    assert_eq!(cluster.lists, 8, "each node has called discovery once");
    cluster.until("all nodes are at rest", |node| node.progress().rested);
    assert!(cluster.nodes.iter().flatten().all(|node| !node.progress().informed));
    cluster.nodes[3] = None;
    cluster.nodes.iter_mut().flatten().for_each(|node| node.watch_for(3));
    let took = cluster.until("the death is known to all", |node| node.progress().informed);
    assert!((2 * SECOND..30 * SECOND).contains(&took), "the suspicion timeout must pass first: {took}");
    for node in cluster.nodes.iter().flatten() {
        assert_eq!((node.state_of(3), node.state_of(4)), (Some(State::Dead), Some(State::Alive)));
        assert_eq!((node.false_deaths(), node.stalls()), (0, 0));
        assert!(!node.progress().complete, "one of the others is dead");
    }
}

#[test]
fn nodes_of_another_domain_are_unknown_and_their_datagrams_ignored() {
    let mut cluster = Cluster::new(&plan(9, 3));
    cluster.until("all have converged within their region", |node| node.progress().complete);
    assert!(cluster.nodes[0].as_ref().unwrap().state_of(3).is_none());
    assert!(cluster.nodes[0].as_ref().unwrap().state_of(2).is_some());
    let before = cluster.messages.len();
    cluster.handle(0, Input::Datagram(4, &[0; 64]));
    assert_eq!(cluster.messages.len(), before);
    cluster.nodes[4] = None;
    cluster.nodes.iter_mut().flatten().for_each(|node| node.watch_for(4));
    let only_its_region = |node: &StubNode| node.progress().informed == [3, 5].contains(&node.number());
    cluster.until("the death is known to its region only", only_its_region);
}

#[test]
fn a_late_wake_up_is_counted_and_a_malformed_datagram_is_ignored() {
    let mut cluster = Cluster::new(&plan(4, 1));
    cluster.until("all nodes have converged", |node| node.progress().complete);
    cluster.handle(1, Input::Datagram(2, b"nonsense"));
    assert!(cluster.nodes[1].as_ref().unwrap().progress().complete);
    cluster.now += 3 * SECOND;
    cluster.handle(1, Input::Wake);
    assert_eq!(cluster.nodes[1].as_ref().unwrap().stalls(), 1);
}

#[test]
fn random_choices_depend_only_on_the_seed() {
    let one = plan(8, 1);
    let other = Plan { seed: 8, ..one.clone() };
    let draws = |plan: &Plan| -> Vec<_> {
        let node = |n| (plan.machine_seed(n), plan.core_seed(n), plan.start_delay(n));
        (0..8).map(node).collect()
    };
    assert_eq!(draws(&one), draws(&one.clone()));
    assert_ne!(draws(&one), draws(&other));
    let mut nonces: Vec<u32> = (0..8).map(|number| one.machine_seed(number).nonce).collect();
    nonces.sort_unstable();
    nonces.dedup();
    assert_eq!(nonces.len(), 8, "no two nodes draw the same nonce");
    let victims: Vec<u32> = (0..64).map(|seed| Plan { seed, ..one.clone() }.victim()).collect();
    assert!(victims.iter().all(|victim| *victim < 8) && victims.iter().any(|victim| *victim != victims[0]));
    assert!((0..8).all(|number| one.start_delay(number) < one.membership.period));
}

#[test]
fn commands_and_reports_survive_a_round_trip_as_one_line() {
    use stonevane_scale::convergence::Reached;
    use stonevane_scale::message::{Command, Progress, Report};
    let reached = Reached { nodes: 3, changed: u64::MAX };
    let progress = Report::Progress(Progress { complete: reached, ..Progress::default() });
    let command = Command::Bind { plan: plan(8, 2), worker: 1 };
    let lines = (serde_json::to_string(&progress).unwrap(), serde_json::to_string(&command).unwrap());
    assert!(!lines.0.contains('\n') && !lines.1.contains('\n'));
    assert_eq!(serde_json::from_str::<Report>(&lines.0).unwrap(), progress);
    assert_eq!(serde_json::from_str::<Command>(&lines.1).unwrap(), command);
    assert!(serde_json::from_str::<Command>(r#"{"dance":{}}"#).is_err());
}

#[test]
fn a_period_that_an_operator_file_rejects_is_an_error() {
    assert!(
        Membership::with_period(Duration::from_millis(49)).unwrap_err().to_string().contains("period_ms")
    );
}

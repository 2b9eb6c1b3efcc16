//! Test node: drives a policy event by event on a simulated clock and records its actions.
#![allow(dead_code, missing_docs)]

use stonevane_policy::*;

pub const ORIGIN_KIND: u16 = 1;
pub const ORIGIN: ServerId = 1000;
pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

pub struct Node {
    pub policy: Policy,
    pub now: Micros,
    pub actions: Vec<Action>,
    timers: Vec<Micros>,
}

pub fn settings() -> Settings {
    let read = RequestClass { latency_objective: 750 * MS, deadline: 1500 * MS, ..RequestClass::default() };
    let keyed = Idempotency::WithKey { scope: DedupScope::All, window: 200 * MS };
    let write = RequestClass {
        latency_objective: 150 * MS,
        deadline: 300 * MS,
        idempotency: keyed,
        ..RequestClass::default()
    };
    let non_idempotent = RequestClass {
        latency_objective: 300 * MS,
        deadline: SECOND,
        idempotency: Idempotency::NonIdempotent,
        priority_weight: 8.0,
        ..RequestClass::default()
    };
    Settings {
        classes: vec![read, write, non_idempotent],
        origin_kind: Some(ORIGIN_KIND),
        max_attempts: 4,
        ..Settings::default()
    }
}

pub fn server(id: ServerId) -> ServerEntry {
    ServerEntry { id, ..ServerEntry::default() }
}

pub fn origin() -> ServerEntry {
    ServerEntry { id: ORIGIN, kind: ORIGIN_KIND, ..ServerEntry::default() }
}

pub fn read(id: RequestId, key: Key) -> Request {
    Request { id, key, time_left: 1500 * MS, ..Request::default() }
}

pub fn write(id: RequestId, class: usize) -> Request {
    Request { id, key: 5, class, write: true, time_left: 300 * MS, ..Request::default() }
}

impl Node {
    /// Returns a node that has run for ten seconds without load, so that its start-up limits are over.
    pub fn new(settings: Settings, servers: u32) -> Self {
        let mut node = Node::just_started(settings, servers);
        node.advance(10 * SECOND);
        node
    }

    /// Returns a node that has just started, with cache servers 1 to `servers` and an origin that started a
    /// minute ago.
    pub fn just_started(settings: Settings, servers: u32) -> Self {
        Node::seeded(settings, servers, 7)
    }

    /// Like [`Node::just_started`], with a given seed for the policy's random generator.
    pub fn seeded(settings: Settings, servers: u32, seed: u64) -> Self {
        let policy = Policy::new(settings, seed);
        let mut node = Node { policy, now: 60 * SECOND, actions: Vec::new(), timers: Vec::new() };
        let mut entries: Vec<_> = (1..=servers).map(server).collect();
        entries.push(origin());
        node.list(ListUpdate::Cached, entries);
        node
    }

    /// Handles an event and returns the resulting actions.
    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.policy.handle(self.now, event, &mut out);
        for action in &out {
            if let Action::Timer { after, .. } = action {
                self.timers.push(self.now + after.max(&1));
            }
        }
        self.actions.extend(out.iter().cloned());
        out
    }

    pub fn list(&mut self, kind: ListUpdate, servers: Vec<ServerEntry>) -> Vec<Action> {
        self.event(Event::ServerList { kind, servers })
    }

    pub fn request(&mut self, request: Request) -> Vec<Action> {
        self.event(Event::Request(request))
    }

    pub fn outcome(
        &mut self,
        request: RequestId,
        attempt: u16,
        server: ServerId,
        status: AttemptStatus,
    ) -> Vec<Action> {
        self.outcome_on(request, attempt, server, status, false)
    }

    /// Like [`Node::outcome`]; also states whether the request was the first on its connection.
    pub fn outcome_on(
        &mut self,
        request: RequestId,
        attempt: u16,
        server: ServerId,
        status: AttemptStatus,
        first_on_connection: bool,
    ) -> Vec<Action> {
        let outcome = Outcome { first_on_connection, ..outcome(request, attempt, server, status) };
        self.event(Event::Outcome(outcome))
    }

    /// Advances the clock by `time`, fires the timers that come due, and returns the resulting actions.
    pub fn advance(&mut self, time: Micros) -> Vec<Action> {
        let end = self.now + time;
        let from = self.actions.len();
        while let Some(due) = take_due(&mut self.timers, end) {
            self.now = due;
            self.event(Event::Timer(0));
        }
        self.now = end;
        self.actions[from..].to_vec()
    }
}

/// Returns the outcome of an attempt. The request is finished if the attempt was served.
pub fn outcome(request: RequestId, attempt: u16, server: ServerId, status: AttemptStatus) -> Outcome {
    Outcome {
        request,
        attempt,
        server,
        status,
        request_finished: status == AttemptStatus::Served,
        cache_status: CacheStatus::None,
        elapsed: MS,
        load: LoadReport::default(),
        first_on_connection: false,
    }
}

/// Returns the server of the first attempt among the actions.
pub fn sent_to(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|a| match a {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    })
}

pub fn send_count(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Send { .. })).count()
}

pub fn rejected(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { request, .. } if *request == id))
}

pub fn failed(actions: &[Action], id: RequestId) -> bool {
    actions.contains(&Action::Fail(id))
}

/// Removes and returns the earliest timer that is due by `end`.
pub fn take_due(timers: &mut Vec<Micros>, end: Micros) -> Option<Micros> {
    let (index, due) = timers.iter().copied().enumerate().min_by_key(|(_, due)| *due)?;
    (due <= end).then(|| timers.swap_remove(index))
}

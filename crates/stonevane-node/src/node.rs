//! The loop that owns the decision module: what arrives becomes its events, its actions become I/O. It
//! decides nothing; where the sockets force its hand, a comment says so.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use spardeal::settings::Deployment;
use spardeal::{
    Action, Condition, Event, ListKind, Load, Micros, Note, Outcome, Policy, Request, RequestId, ServerId,
    ServerLine, Status,
};
use tokio::sync::{Semaphore, mpsc, watch};
use xxhash_rust::xxh3::xxh3_64;

use crate::backends::{Backend, Job, Streamed, cache, origin};
use crate::clock::{Clock, log};
use crate::config::Config;
use crate::discovery::Discovery;
use crate::hub::Input;
use crate::list::Listing;
use crate::memory::{Memory, Share};
use crate::reply::{AttemptKey, ConnId, News, Reply};
use crate::request::{Answer, Asked, ClientId, Command, Final, Phase};
use crate::upstreams::Pool;

/// After SIGTERM, connections go on being taken for this long: new ones keep coming for up to 0.4 s.
const ACCEPT_ON: Micros = 450_000;
/// A node that drains ends this long after the longest deadline at the latest.
const DRAIN_SLACK: Micros = 550_000;
const SWEEP: Micros = 1_000_000;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    /// A timer of the module.
    Policy(u32),
    /// An attempt is given up.
    Attempt(RequestId, u16),
    /// A client's time is up.
    Deadline(RequestId),
    /// Idle connections are looked through.
    Sweep,
    /// Connections of clients are closed from now on.
    Drain,
    /// Whether all is answered is looked at.
    Ended,
}

struct Server {
    address: SocketAddr,
    backend: Arc<dyn Backend>,
    condition: Condition,
    /// When it last answered anything.
    heard: Micros,
}

struct Open {
    command: Command,
    client: ClientId,
    slot: u64,
    answers: mpsc::Sender<Answer>,
    /// Held while there is something to send.
    share: Option<Share>,
    ends: Micros,
    sent: u16,
    /// Attempts without an outcome.
    out: u16,
    over: bool,
    /// Caches that lacked its key, and the newest version that one of them was told of.
    missed: Vec<ServerId>,
    at_least: u64,
}

struct Attempt {
    server: ServerId,
    sent: Micros,
    conn: ConnId,
}

/// A store in the origin's place.
pub struct Store {
    pub backend: Arc<dyn Backend>,
    /// Where it is told of the caches there are, where it tells them of copies.
    pub placement: Option<watch::Sender<Vec<SocketAddr>>>,
}

/// The node.
pub struct Node {
    deployment: Arc<Deployment>,
    clock: Clock,
    policy: Policy,
    events: VecDeque<Event>,
    timers: BinaryHeap<Reverse<(Micros, Due)>>,
    open: HashMap<RequestId, Open>,
    attempts: HashMap<AttemptKey, Attempt>,
    next: RequestId,
    servers: HashMap<ServerId, Server>,
    /// How cache servers and the origin are spoken with.
    cache: Arc<dyn Backend>,
    origin: Arc<dyn Backend>,
    pool: Pool,
    /// Where the store's side is told of the caches there are.
    placement: Option<watch::Sender<Vec<SocketAddr>>>,
    memory: Memory,
    discovery: Discovery,
    known: Option<Listing>,
    ends_at: Option<Micros>,
}

impl Node {
    /// A node that has not begun yet.
    pub fn new(
        config: Config,
        deployment: Arc<Deployment>,
        clock: Clock,
        hub: mpsc::Sender<Input>,
        table: (usize, Arc<Semaphore>),
        memory: Memory,
        store: Option<Store>,
    ) -> Self {
        let (store, placement) = store.map_or((None, None), |store| (Some(store.backend), store.placement));
        Node {
            placement,
            clock,
            policy: Policy::new(deployment.settings.clone(), config.seed),
            events: VecDeque::new(),
            timers: BinaryHeap::new(),
            open: HashMap::new(),
            attempts: HashMap::new(),
            next: 1,
            servers: HashMap::new(),
            cache: Arc::new(Streamed::new(cache::Cache)),
            origin: store.unwrap_or_else(|| Arc::new(Streamed::new(origin::Origin))),
            pool: Pool::new(table, deployment.clone(), &config.operator.servers, memory.clone(), hub.clone()),
            memory,
            discovery: Discovery::new(config.discovery, config.known.index, hub),
            known: Some(config.known),
            ends_at: None,
            deployment,
        }
    }

    /// Runs until the node has drained; `idle` tells whether no client is connected any more.
    pub async fn run(
        mut self,
        mut inputs: mpsc::Receiver<Input>,
        phase: watch::Sender<Phase>,
        idle: impl Fn() -> bool,
    ) {
        if let Some(known) = self.known.take() {
            self.list(known, Some(ListKind::Cached));
        }
        if !self.deployment.settings.ask_discovery {
            self.discovery.follow();
        }
        self.timers.push(Reverse((self.clock.now() + SWEEP, Due::Sweep)));
        let mut ready = false;
        loop {
            if !ready && self.servers.values().any(|s| s.condition == Condition::Ready) {
                ready = true;
                phase.send_if_modified(|p| {
                    *p == Phase::Starting && {
                        *p = Phase::Ready;
                        true
                    }
                });
            }
            let now = self.clock.now();
            while self.timers.peek().is_some_and(|Reverse((at, _))| *at <= now) {
                let Some(Reverse((_, due))) = self.timers.pop() else { break };
                match due {
                    Due::Drain => drop(phase.send(Phase::Draining)),
                    Due::Ended => {
                        let late = self.ends_at.is_some_and(|at| now >= at);
                        if late || (self.open.values().all(|open| open.over) && idle()) {
                            return;
                        }
                        self.timers.push(Reverse((now + 10_000, Due::Ended)));
                    }
                    other => self.due(other, now),
                }
            }
            let next = self.timers.peek().map_or(now + SWEEP, |Reverse((at, _))| *at);
            tokio::select! {
                biased;
                input = inputs.recv() => match input {
                    Some(input) => self.input(input),
                    None => return,
                },
                () = tokio::time::sleep_until(self.clock.instant(next)) => {}
            }
        }
    }

    fn input(&mut self, input: Input) {
        match input {
            Input::Asked(asked) => self.asked(*asked),
            Input::ClientGone(client) => {
                let mine =
                    |(id, open): (&RequestId, &Open)| (open.client == client && !open.over).then_some(*id);
                let gone: Vec<_> = self.open.iter().filter_map(mine).collect();
                for id in gone {
                    self.close_request(id);
                    self.tell(Event::ClientGone(id));
                }
            }
            Input::Conn(conn, news) => self.conn(conn, news),
            // Against what the discovery before the present one still had under way: its versions and its view
            // are no longer in force.
            Input::List(era, _) | Input::ListFailed(era) if !self.discovery.present(era) => {}
            Input::OriginShut(lasts) => self.tell(Event::OriginShut { lasts }),
            Input::Crowded => self.pool.drop_one_idle(),
            Input::Reload(config) => self.reload(&config),
            Input::List(_, listing) => self.list(listing, None),
            Input::ListFailed(_) => {
                self.tell(Event::ServerList { kind: ListKind::Failed, servers: Vec::new() });
            }
            Input::Terminate if self.ends_at.is_none() => {
                let now = self.clock.now();
                let longest = self.deployment.settings.classes.iter().map(|c| c.deadline).max();
                self.ends_at = Some(now + longest.unwrap_or(0) + DRAIN_SLACK);
                self.timers.push(Reverse((now + ACCEPT_ON, Due::Drain)));
                self.timers.push(Reverse((now + ACCEPT_ON + 20_000, Due::Ended)));
            }
            Input::Terminate => {}
        }
    }

    /// A new configuration: discovery moves. What the module was built with stays until a restart.
    fn reload(&mut self, config: &Config) {
        if config.deployment != *self.deployment {
            log("reload: changed settings take effect at the next start");
        }
        if config.discovery != self.discovery.address() {
            self.discovery.move_to(config.discovery, !self.deployment.settings.ask_discovery);
        }
        log(&format!("reload: discovery is at {}", config.discovery));
    }

    fn due(&mut self, due: Due, now: Micros) {
        match due {
            Due::Policy(token) => self.tell(Event::Timer(token)),
            Due::Attempt(id, number) => {
                self.give_up((id, number), Status::TimedOut);
                self.run_events();
            }
            Due::Deadline(id) => {
                // The module ends a request before this. Should it not, the client still gets its answer.
                if self.open.get(&id).is_some_and(|open| !open.over) {
                    self.answer(id, Final::Failed);
                    self.tell(Event::ClientGone(id));
                }
            }
            Due::Sweep => {
                self.pool.sweep(now);
                self.timers.push(Reverse((now + SWEEP, Due::Sweep)));
            }
            Due::Drain | Due::Ended => {}
        }
    }

    // The module.

    /// Tells the module of an event, does what it says, and goes on with what follows from that.
    fn tell(&mut self, event: Event) {
        self.events.push_back(event);
        self.run_events();
    }

    fn run_events(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            self.policy.handle(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.act(action);
            }
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { request, server, give_up_after } => self.send(request, server, give_up_after),
            Action::Refuse { request, retry_after } => {
                self.answer(request, Final::Refused { retry_after });
            }
            Action::Fail(request) => self.answer(request, Final::Failed),
            Action::Cancel { request, attempt } => self.give_up((request, attempt), Status::Cancelled),
            Action::Timer { after, token } => {
                self.timers.push(Reverse((self.clock.now() + after.max(1), Due::Policy(token))));
            }
            Action::Subscribe(on) => self.discovery.subscribe(on),
            Action::FetchList => self.discovery.fetch(),
            Action::CloseIdle(server) => self.pool.close_idle(server),
            Action::Log(line) => log(&line),
            Action::Fault(line) => log(&format!("fault: {line}")),
            // This module neither probes nor speaks to peers; the sockets for it are not built.
            Action::Probe(server) => {
                let (took, load) = (0, Load::default());
                self.events.push_back(Event::Probed { server, ok: false, took, load });
            }
            Action::Tell { .. } => {}
        }
    }

    // Requests.

    fn asked(&mut self, asked: Asked) {
        let Asked { command, at, client, slot, answers, share } = asked;
        let id = self.next;
        self.next += 1;
        // What the request waited within the node is part of its time.
        let ends = at + command.time_left;
        let request = Request {
            id,
            class: command.class,
            tenant: command.tenant,
            key: command.hashed_key(),
            write: command.write,
            repeat: command.repeat,
            time_left: ends.saturating_sub(self.clock.now()),
            cost: command.cost,
            size: command.size,
        };
        let share = Some(share);
        let open = Open {
            command,
            client,
            slot,
            answers,
            share,
            ends,
            sent: 0,
            out: 0,
            over: false,
            missed: Vec::new(),
            at_least: 0,
        };
        self.open.insert(id, open);
        self.timers.push(Reverse((ends, Due::Deadline(id))));
        self.tell(Event::Request(request));
    }

    /// Gives the final answer, the first only.
    fn answer(&mut self, id: RequestId, says: Final) {
        let Some(open) = self.open.get(&id).filter(|open| !open.over) else { return };
        // Forced by memory: an answer that there is no room for is not passed on, and tells as much.
        let (says, share) = match self.memory.try_take(says.size()) {
            Some(share) => (says, Some(share)),
            None => (Final::Failed, None),
        };
        // There is room for every answer that a connection is owed; one that has ended takes none.
        let _ = open.answers.try_send(Answer { slot: open.slot, says, share });
        self.close_request(id);
    }

    /// Nothing is owed for a request any more. Attempts that are out keep its entry until they end.
    fn close_request(&mut self, id: RequestId) {
        let Some(open) = self.open.get_mut(&id) else { return };
        open.over = true;
        (open.command.value, open.share) = (None, None);
        if open.out == 0 {
            self.open.remove(&id);
        }
    }

    // Attempts.

    fn send(&mut self, id: RequestId, server: ServerId, give_up_after: Micros) {
        let now = self.clock.now();
        let Some(open) = self.open.get_mut(&id) else { return };
        let key = (id, open.sent);
        (open.sent, open.out) = (open.sent + 1, open.out + 1);
        let allowed =
            !open.over && u32::from(key.1) < self.deployment.settings.max_attempts && now < open.ends;
        let limit = if give_up_after == 0 { open.ends } else { open.ends.min(now + give_up_after) };
        let target = self.servers.get(&server).filter(|_| allowed);
        let Some((address, backend)) = target.map(|s| (s.address, s.backend.clone())) else {
            self.attempts.insert(key, Attempt { server, sent: now, conn: 0 });
            return self.end(key, Status::NotSent);
        };
        let conn = match self.pool.reuse(server, key, now) {
            Some(conn) => Some((conn, true)),
            None => self.pool.open(server, address, &*backend, key).map(|conn| (conn, false)),
        };
        let Some((conn, up)) = conn else {
            // Forced by the limit on sockets: there is no connection to send this on.
            self.attempts.insert(key, Attempt { server, sent: now, conn: 0 });
            return self.end(key, Status::NotSent);
        };
        self.attempts.insert(key, Attempt { server, sent: now, conn });
        self.timers.push(Reverse((limit, Due::Attempt(id, key.1))));
        if up {
            self.write(key, conn);
        }
    }

    /// Hands an attempt to its connection, which is up.
    fn write(&mut self, key: AttemptKey, conn: ConnId) {
        let now = self.clock.now();
        let Some(attempt) = self.attempts.get(&key) else { return };
        // Against a send after a drain or an end: between the module's word and the first byte the attempt
        // waited for its connection, and meanwhile its server may have left or its client gone.
        let server = self.servers.get(&attempt.server).filter(|s| s.condition == Condition::Ready);
        let open = self.open.get(&key.0).filter(|open| !open.over && now < open.ends);
        let (Some(_), Some(open)) = (server, open) else {
            let address = self.servers.get(&attempt.server).map(|s| s.address);
            self.pool.release(conn, address, now);
            return self.end(key, Status::NotSent);
        };
        let missed = open.missed.iter().filter_map(|id| Some(self.servers.get(id)?.address)).collect();
        let job = Job {
            command: open.command.clone(),
            left_ms: (open.ends - now).div_ceil(1_000),
            missed,
            at_least: open.at_least,
        };
        if !self.pool.start(conn, job) {
            self.lost(key, conn, false);
        }
    }

    fn conn(&mut self, conn: ConnId, news: News) {
        // What comes from a connection that was given up is late, and of no more interest.
        let key = self.pool.attempt(conn);
        match (news, key) {
            (News::Up, Some(key)) => self.write(key, conn),
            (News::Answer(reply), Some(key)) => {
                let now = self.clock.now();
                let attempt = self.attempts.get(&key);
                let server = attempt.and_then(|attempt| self.servers.get_mut(&attempt.server));
                let address = server.map(|s| {
                    s.heard = now;
                    s.address
                });
                match reply.keep {
                    true => self.pool.release(conn, address, now),
                    false => self.pool.close(conn),
                }
                self.end_with(key, reply);
            }
            (News::Spoilt, Some(key)) => {
                if let Some(attempt) = self.attempts.get(&key)
                    && let Some(server) = self.servers.get_mut(&attempt.server)
                {
                    server.heard = self.clock.now();
                }
                self.pool.close(conn);
                self.end(key, Status::Spoilt);
            }
            (News::Lost { written }, Some(key)) => self.lost(key, conn, written),
            (News::Lost { .. } | News::Spoilt, None) => self.pool.close(conn),
            (_, None) => {}
        }
        self.run_events();
    }

    /// A connection is lost that an attempt was on or waited for.
    fn lost(&mut self, key: AttemptKey, conn: ConnId, written: bool) {
        let stale = !written && self.pool.carried(conn) > 1;
        self.pool.close(conn);
        if written {
            return self.end(key, Status::Reset);
        }
        // A kept connection that had ended unseen: the last byte was not written, so nothing was sent, and
        // the same attempt may have a fresh connection. Only once: a fresh one has carried nothing.
        if let Some(attempt) = self.attempts.get_mut(&key).filter(|_| stale)
            && let Some(server) = self.servers.get(&attempt.server)
            && let Some(conn) = self.pool.open(attempt.server, server.address, &*server.backend, key)
        {
            attempt.conn = conn;
            return;
        }
        self.end(key, Status::ConnectFailed);
    }

    /// Stops waiting for an attempt, by closing its connection.
    fn give_up(&mut self, key: AttemptKey, status: Status) {
        let Some(attempt) = self.attempts.get(&key) else { return };
        self.pool.close(attempt.conn);
        // Against a machine that vanished: its kept connections stay open and silent, and each would cost
        // a request its whole time. A fresh one tells within the time-out of a connect.
        if self.servers.get(&attempt.server).is_some_and(|server| server.heard < attempt.sent) {
            self.pool.close_idle(attempt.server);
        }
        self.end(key, status);
    }

    fn end(&mut self, key: AttemptKey, status: Status) {
        self.end_with(
            key,
            Reply { status, note: Note::None, load: Load::default(), value: None, at_least: 0, keep: false },
        );
    }

    /// An attempt has its outcome: the first that serves answers the client, and the module is told.
    fn end_with(&mut self, key: AttemptKey, reply: Reply) {
        let Some(attempt) = self.attempts.remove(&key) else { return };
        let Some(open) = self.open.get_mut(&key.0) else { return };
        open.out -= 1;
        if reply.status == Status::Miss && self.placement.is_some() {
            open.missed.push(attempt.server);
            open.at_least = open.at_least.max(reply.at_least);
        }
        let over = open.over || reply.status == Status::Served;
        if let Some(value) = reply.value {
            self.answer(key.0, Final::Served(value));
        }
        if over {
            self.close_request(key.0);
        }
        self.events.push_back(Event::Outcome(Outcome {
            request: key.0,
            attempt: key.1,
            server: attempt.server,
            status: reply.status,
            over,
            note: reply.note,
            took: self.clock.now() - attempt.sent,
            load: reply.load,
        }));
    }

    // The list.

    fn list(&mut self, listing: Listing, kind: Option<ListKind>) {
        let kind = kind.unwrap_or(if listing.snapshot { ListKind::Full } else { ListKind::Delta });
        if kind == ListKind::Delta && listing.index < self.discovery.index() {
            return; // Older than the list held.
        }
        self.discovery.held(listing.index);
        let now = self.clock.now();
        let mut lines: Vec<ServerLine> = Vec::with_capacity(listing.endpoints.len());
        let place = |names: &[String], name: &String| names.iter().position(|known| known == name);
        for entry in &listing.endpoints {
            let condition = match entry.status.as_str() {
                "active" => Condition::Ready,
                "left" => Condition::Gone,
                _ => Condition::Draining,
            };
            let id = xxh3_64(entry.name.as_bytes()) as ServerId;
            let address = entry.address.parse().ok().or_else(|| self.servers.get(&id).map(|s| s.address));
            let Some(address) = address else { continue };
            let kind = place(&self.deployment.kinds, &entry.kind).unwrap_or(usize::from(u16::MAX)) as u16;
            let backend = match self.deployment.settings.origin_kind == Some(kind) {
                true => self.origin.clone(),
                false => self.cache.clone(),
            };
            // In the module's clock, which is Unix time here; 0 stays 0, and nothing starts in the future.
            let started = if entry.since_ms == 0 { 0 } else { entry.since_ms.saturating_mul(1_000).min(now) };
            let zone = place(&self.deployment.zones, &entry.zone).unwrap_or(255) as u8;
            let cell = entry.group;
            lines.push(ServerLine { id, zone, cell, kind, weight: entry.weight, started, condition });
            let heard = self.servers.get(&id).map_or(0, |server| server.heard);
            let before = self.servers.insert(id, Server { address, backend, condition, heard });
            if condition != Condition::Ready || before.is_some_and(|before| before.address != address) {
                self.pool.close_idle(id);
            }
        }
        if kind != ListKind::Delta {
            let listed: Vec<_> = lines.iter().map(|line| line.id).collect();
            let gone: Vec<_> = self.servers.keys().filter(|id| !listed.contains(id)).copied().collect();
            gone.iter().for_each(|id| self.forget(*id));
        }
        let left = lines.iter().filter(|line| line.condition == Condition::Gone).map(|line| line.id);
        left.collect::<Vec<_>>().into_iter().for_each(|id| self.forget(id));
        if let Some(placement) = &self.placement {
            // Also those that drain: what is on its way there may be answered still.
            let caches = self.servers.values().filter(|s| !Arc::ptr_eq(&s.backend, &self.origin));
            let mut caches: Vec<_> = caches.map(|s| s.address).collect();
            caches.sort_unstable();
            placement.send_if_modified(|held| std::mem::replace(held, caches.clone()) != caches);
        }
        self.tell(Event::ServerList { kind, servers: lines });
    }

    fn forget(&mut self, id: ServerId) {
        self.servers.remove(&id);
        self.pool.close_idle(id);
    }
}

//! The machine that owns the decision module: what arrives becomes its events, its actions become outputs. It
//! decides nothing; where the sockets force its hand, a comment says so.

use std::collections::VecDeque;
use std::net::SocketAddr;

use bytes::Bytes;
use foldhash::{HashMap, HashMapExt, HashSet};
use stonevane_codec::resp::{MAX_VALUE, Malformed};
use stonevane_config::operator;
use stonevane_policy::settings::Deployment;
use stonevane_policy::{
    Action, AttemptStatus, Condition, Event, Idempotency, ListUpdate, LoadReport, Micros, Outcome, Policy,
    Request, RequestId, ServerEntry, ServerId, Settings,
};
use xxhash_rust::xxh3::xxh3_64;

use crate::clients::{self, Asked, Clients, Limits, Over, PIECE, Session, Slot};
use crate::discovery_timeouts::{DiscoveryTimeouts, PauseDetection, before_first_call};
use crate::faults::{Faults, Mutant, NoFaults};
use crate::figures::{Counts, Figures, Report};
use crate::handover::{Capacity, CapacityGrant, ProcessStage};
use crate::io::{DiscoveryCall, DiscoveryRequest, Input, LogLine, Output, Outputs, StoreCall};
use crate::list::{DiscoveryEpoch, EndpointList};
use crate::memory::{Memory, Share};
use crate::reply::{AttemptKey, ConnId, Reply};
use crate::request::{Command, Final, Phase};
use crate::scope::{Listed, Scope};
use crate::servers::{Conn, Pool, Read, Speaks, State};
use crate::start_times::{self, FirstList};
use crate::timers::{Due, Timers};
use crate::trace::{CloseReason, Trace};

/// After SIGTERM, connections go on being taken for this long: new ones keep coming for up to 0.4 s.
const ACCEPT_ON: Micros = 450_000;
/// A node that drains ends this long after the longest deadline at the latest, and no deadline counts for more.
const DRAIN_SLACK: Micros = 550_000;
const LONGEST_DRAIN: Micros = 3_000_000;
/// What is still owed so long before that end is answered as it stands.
const LAST: Micros = 60_000;
/// A process that stood still (`PauseDetection`) takes what came meanwhile for so long before it does what is due,
/// and before it sends anything. Against a send to a server whose drain was told while the process stood still: which of
/// the two it reads first is the machine's choice.
const CATCHES_UP: Micros = 5_000;
/// Entries among the timers that are never looked through.
const TIMERS: usize = 512;
/// What a second process of the node takes for itself, in megabytes.
const SECOND_MB: usize = 6;
/// Requests taken and not yet answered.
const MAX_OPEN: usize = 1024;
/// Sockets kept back for the listener, discovery and the runtime, and for those just being closed.
const RESERVE: usize = 16;
/// An answer that has begun and brings nothing more for this part of the longest aim will not be whole.
const HALF_TOLD: u64 = 8;
/// The least time left that a server is sent, in milliseconds: the protocol's smallest unit, since 0 names no time.
const LEAST_TIME_LEFT_MS: u64 = 1;
/// An attempt waits so long for a connection that still rests, where there is no place for a new one: about what
/// opening one takes.
const RESTED: Micros = 3_000;
/// For so long after new settings, clients may name what the last ones had: 1.2 s, and the slack of all limits on sockets.
const SETTLES: Micros = 1_250_000;
/// A value that is being passed on, and of which nothing more comes for so long though there is room for it, is broken.
const STALLED: Micros = 4_000_000;
/// The longest value that a server's answer may hold.
const MAX_ANSWER: usize = 4 * 1024 * 1024;

/// What a node is told once, at its start.
#[derive(Debug)]
pub struct Setup {
    /// The platform's settings.
    pub deployment: Deployment,
    /// Of random numbers.
    pub seed: u64,
    /// Sockets that the node may hold, all counted.
    pub sockets: usize,
    /// Memory that it may have in all, in megabytes.
    pub memory_mb: usize,
    /// The list of servers as it last had it.
    pub known: EndpointList,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// Time limits on clients' connections.
    pub clients: operator::Clients,
    /// Connections to servers.
    pub servers: operator::Servers,
    /// Whether calls to the origin are no stream: a store of record is in its place.
    pub store: bool,
    /// Whether caches are told of copies, so that it must be known which there are.
    pub copies: bool,
    /// Sockets that are held back for others than clients, servers and discovery.
    pub others: usize,
    /// Whether another process may stand beside this one, under the same limits, to replace it.
    pub replaced: bool,
    /// Names of cache servers that people have taken out.
    pub excluded: Vec<String>,
    /// The regions, where the node uses the cache servers of its own; `None`: it uses all.
    pub regions: Option<operator::Regions>,
}

struct Server {
    name: Box<str>,
    /// When its process started, as the list has it, which may not be this process's clock.
    since_ms: u64,
    address: SocketAddr,
    /// Its entry in the list, in the module's form but for zone and kind, which are names here.
    line: ServerEntry,
    names: [Box<str>; 2],
    speaks: Speaks,
    condition: Condition,
    /// When it last answered anything.
    heard: Micros,
}

struct Open {
    command: Command,
    client: ConnId,
    slot: u64,
    /// Held while there is something to send.
    share: Option<Share>,
    ends: Micros,
    sent: u16,
    /// Attempts without an outcome.
    out: u16,
    over: bool,
    /// Where it is counted.
    counted: usize,
    /// Caches that lacked its key, and the newest version that one of them was told of.
    missed: Vec<ServerId>,
    at_least: u64,
}

struct Attempt {
    server: ServerId,
    sent: Micros,
    conn: ConnId,
    /// Whether its request was the first on its connection.
    first_on_connection: bool,
}

/// What a core holds, for those who check that nothing is left behind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ResourceCounts {
    /// Clients' connections.
    pub clients: usize,
    /// Connections to servers, idle ones included.
    pub server_connections: usize,
    /// Of these, idle ones.
    pub idle_server_connections: usize,
    /// Requests without their final answer, as clients' connections have it.
    pub unanswered: usize,
    /// Entries of requests: those without an answer, and those whose attempts are out still.
    pub request_entries: usize,
    /// Attempts that are out.
    pub attempts: usize,
    /// Ids that are claimed.
    pub claimed_ids: usize,
    /// Memory that is taken, bytes.
    pub memory: usize,
    /// Entries among the timers.
    pub timers: usize,
}

/// The node.
pub struct Core<F = NoFaults> {
    /// What it does wrong on purpose: nothing, but in the simulator.
    faults: F,
    deployment: Deployment,
    /// Nodes that share the fleet's limits by what other nodes say; the settings' number holds where that is more.
    sharers: u32,
    /// The settings that hold once clients have had their time, where others came a moment ago.
    settles: Option<(Micros, Box<Deployment>)>,
    figures: Figures,
    trace: Trace,
    /// Where each class is counted.
    counted: Vec<usize>,
    /// Names of the servers that are out by hand.
    excluded: HashMap<ServerId, String>,
    now: Micros,
    policy: Policy,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    timers: Timers,
    /// Nothing that is due is done before.
    catches_up: Option<Micros>,
    open: HashMap<RequestId, Open>,
    attempts: HashMap<AttemptKey, Attempt>,
    next_request: RequestId,
    next_conn: ConnId,
    servers: HashMap<ServerId, Server>,
    /// Which of them the module is told; `None`: all.
    scope: Option<Scope>,
    /// What is spoken with the origin.
    origin: Speaks,
    pool: Pool,
    clients: Clients,
    /// Requests that are owed an answer.
    owed: usize,
    /// Clients with answers that are not looked at yet.
    dirty: VecDeque<ConnId>,
    /// Places for connections, those of clients and servers together, and for either of them.
    places: usize,
    part: usize,
    /// How many of the places for clients are kept for refusals.
    refusals: usize,
    /// What all processes of the node may hold together, and whether a newer one takes clients.
    whole: Capacity,
    succeeded: bool,
    shared: bool,
    /// Who gives its place up in a full table, and when somebody may have to.
    giving: Option<ConnId>,
    room_at: Option<Micros>,
    memory: Memory,
    /// The longest value that a server may bring.
    longest: usize,
    half_told: Micros,
    /// The caches that were told of, where copies are.
    placement: Option<Vec<SocketAddr>>,
    discovery: SocketAddr,
    era: DiscoveryEpoch,
    /// Version of the list held, if one is.
    index: Option<u64>,
    phase: Phase,
    ends_at: Option<Micros>,
    /// When the first watch is opened, while it is still to be.
    first_watch: Option<Micros>,
    /// A call to discovery has failed, and none is made again: a fault on purpose.
    deaf: bool,
    out: Outputs,
}

/// Whether a value that is passed on has room with its client; true for what is not passed on.
fn passes(clients: &mut Clients, conn: &Conn) -> bool {
    let Some((client, slot)) = conn.to else { return true };
    clients.sessions.get_mut(&client).is_none_or(|session| session.passes(slot))
}

impl Core<NoFaults> {
    /// A node that knows the list it last had. Its first outputs come with the first input.
    pub fn new(now: Micros, setup: Setup) -> Core {
        Core::with_faults(now, setup, NoFaults)
    }
}

impl<F: Faults> Core<F> {
    /// A node that does something wrong on purpose.
    pub fn with_faults(now: Micros, setup: Setup, faults: F) -> Core<F> {
        let Setup { mut deployment, sockets, known, others, excluded, replaced, regions, .. } = setup;
        if faults.plays(Mutant::LongWindow) {
            for class in &mut deployment.settings.classes {
                if let Idempotency::WithKey { window, .. } = &mut class.idempotency {
                    *window *= 100;
                }
            }
        }
        // Clients and servers share the table of sockets; neither can take more of it than leaves the others a
        // third at the least.
        let each = (RESERVE + others) * if replaced { 2 } else { 1 };
        let places = sockets - (each + sockets / 32).min(sockets / 2);
        let part = places * 2 / 3;
        let memory =
            Memory::new(setup.memory_mb - if replaced { SECOND_MB.min(setup.memory_mb / 4) } else { 0 });
        let aim = deployment.settings.classes.iter().map(|class| class.latency_objective).max().unwrap_or(0);
        let rest = setup.servers.rest.as_micros() as Micros;
        let mut core = Core {
            faults,
            now,
            policy: Policy::new(deployment.settings.clone(), setup.seed),
            events: VecDeque::new(),
            actions: Vec::new(),
            timers: Timers::default(),
            catches_up: None,
            open: HashMap::new(),
            attempts: HashMap::new(),
            next_request: 1,
            next_conn: 1,
            servers: HashMap::new(),
            scope: regions.map(|regions| Scope::new(regions, deployment.settings.node_index, now)),
            origin: if setup.store { Speaks::Call } else { Speaks::Origin },
            pool: Pool::new(deployment.idle_close, rest),
            clients: Clients::new(Limits::from(setup.clients)),
            owed: 0,
            dirty: VecDeque::new(),
            places,
            part,
            refusals: (part / 8).max(1),
            whole: Capacity { connections: places, memory: memory.all() },
            succeeded: false,
            shared: false,
            giving: None,
            room_at: None,
            // Servers may hold values that are longer than what clients send through here: what bounds them is memory.
            longest: (memory.all() / 4).min(MAX_ANSWER),
            memory,
            half_told: (aim / HALF_TOLD).clamp(10_000, 250_000),
            placement: setup.copies.then(Vec::new),
            discovery: setup.discovery,
            era: 0,
            index: None,
            first_watch: None,
            phase: Phase::Starting,
            ends_at: None,
            deaf: false,
            out: Outputs::new(),
            settles: None,
            figures: Figures::default(),
            trace: Trace::default(),
            counted: Vec::new(),
            excluded: HashMap::new(),
            deployment,
            sharers: 0,
        };
        core.counted = core.figures.name(&core.deployment.classes).unwrap_or_default();
        excluded.into_iter().for_each(|name| core.exclude(name, true));
        if core.deployment.settings.poll_discovery && !known.endpoints.is_empty() {
            let wait = before_first_call(&core.deployment.settings, setup.seed);
            core.first_watch = Some(now + wait);
        }
        core.list(known, Some(ListUpdate::Cached));
        if !core.deployment.settings.poll_discovery {
            core.ask(DiscoveryRequest::WatchAgent);
        }
        core.timers.push(now + core.standstill().due, Due::Sweep);
        core.settle();
        core
    }

    fn standstill(&self) -> PauseDetection {
        PauseDetection::of(&self.deployment.settings)
    }

    /// A new id for a connection.
    pub fn next_connection_id(&mut self) -> ConnId {
        self.next_conn += 1;
        self.next_conn
    }

    /// Whether a client's connection may be taken now.
    pub fn accepts(&self) -> bool {
        // While there is little room here, it is left to the other process, which takes from the same queue.
        if self.shared && (self.clients.sessions.len() >= self.places / 4 || self.free() < self.places / 2) {
            return false;
        }
        self.clients.sessions.len() < self.part && self.free() > 0 || self.faults.plays(Mutant::OverPlaces)
    }

    /// How many bytes may be read from a connection now; 0: none, until [`Output::Resume`].
    pub fn reads(&mut self, id: ConnId) -> usize {
        let memory = self.memory.all();
        let (reads, paused) = if let Some(session) = self.clients.sessions.get_mut(&id) {
            (session.reads(memory), &mut session.paused)
        } else if let Some(conn) = self.pool.get_mut(id) {
            let reads = if passes(&mut self.clients, conn) { conn.reads() } else { 0 };
            (reads, &mut conn.paused)
        } else {
            return 0;
        };
        *paused = reads == 0;
        reads
    }

    /// Whether a connection is a client's.
    pub fn is_client(&self, id: ConnId) -> bool {
        self.clients.sessions.contains_key(&id)
    }

    /// Whether a client's connection is still to be closed between requests: an [`Output::Part`] may have been overtaken
    /// by what came in the same turn.
    pub fn parts(&self, id: ConnId) -> bool {
        self.clients.sessions.get(&id).is_some_and(|session| session.parting)
    }

    /// When it wants to be woken, at the latest.
    pub fn next(&self) -> Option<Micros> {
        let next = self.timers.next();
        next.map(|next| next.max(self.catches_up.unwrap_or(0)))
    }

    /// Version of the list held, if one is.
    pub fn list_version(&self) -> Option<u64> {
        self.index
    }

    /// What it holds.
    pub fn count(&self) -> ResourceCounts {
        ResourceCounts {
            clients: self.clients.sessions.len(),
            server_connections: self.pool.len(),
            idle_server_connections: self.pool.idle(),
            unanswered: self.owed,
            request_entries: self.open.len(),
            attempts: self.attempts.len(),
            claimed_ids: self.clients.ids.len(),
            memory: self.memory.taken(),
            timers: self.timers.len(),
        }
    }

    /// Something has happened at a time, which never goes back: what is to be done.
    pub fn handle(&mut self, now: Micros, input: Input<'_>, outputs: &mut Outputs) {
        self.now = self.now.max(now);
        // Not once it is to end: what it took meanwhile it could not answer any more.
        if self.catches_up.is_none()
            && self.ends_at.is_none()
            && self.timers.next().is_some_and(|due| due + self.standstill().late <= self.now)
        {
            self.catches_up = Some(self.now + CATCHES_UP);
        }
        if self.catches_up.is_none_or(|until| until <= self.now) {
            self.catches_up = None;
            while let Some(due) = self.timers.pop(self.now) {
                self.due(due);
            }
        }
        match input {
            Input::Accepted(id) => self.accepted(id),
            Input::Bytes(id, bytes) => self.bytes(id, bytes),
            Input::Flushed(id) => self.flushed(id),
            Input::WriteClosed(id) => self.parted(id),
            Input::Closed(id) => self.ended(id),
            Input::Opened(id) => self.opened(id),
            Input::CallReplied(id, reply) => self.replied(id, reply),
            // Against what the discovery before the present one still had under way: its versions and its view
            // are no longer in force.
            Input::List(era, _) | Input::ListFailed(era) | Input::ListTimedOut(era, ..)
                if era != self.era => {}
            Input::List(_, listing) => self.list(listing, None),
            Input::ListFailed(_) => {
                self.deaf |= self.faults.plays(Mutant::Deaf);
                self.tell(Event::ServerList { kind: ListUpdate::Failed, servers: Vec::new() });
            }
            Input::ListTimedOut(_, lasted, stood) => {
                self.tell(Event::ServerList {
                    kind: ListUpdate::TimedOut { silent_for: lasted, was_established: stood },
                    servers: Vec::new(),
                });
            }
            Input::OriginUnavailable(lasts) => self.tell(Event::OriginUnavailable { duration: lasts }),
            Input::DiscoveryMoved(address) => self.move_to(address),
            Input::Settings(deployment) => self.settings(deployment),
            Input::ReloadFailed => self.figures.reloads_failed += 1,
            Input::Exclude(name, out) => self.exclude(name, out),
            Input::NodeCount(sharers) => self.sharers(sharers),
            Input::Handover(grant) => self.beside(grant),
            Input::Terminate => self.terminate(),
            Input::Wake => {}
        }
        self.settle();
        outputs.append(&mut self.out);
    }

    /// What follows from any change: memory and places that became free are given away.
    fn settle(&mut self) {
        loop {
            if let Some(id) = self.dirty.pop_front() {
                self.client(id);
            } else if let Some((id, share)) = self.memory.granted() {
                self.granted(id, share);
            } else {
                break;
            }
        }
        // Entries of requests that are over stand until they are the next, or the most: looked through then.
        let live = self.open.len() + self.attempts.len() + self.clients.sessions.len() + self.pool.len();
        let (open, attempts, pool, sessions) =
            (&self.open, &self.attempts, &self.pool, &self.clients.sessions);
        let stale = |due| match due {
            Due::Attempt(id, number) => !attempts.contains_key(&(id, number)),
            Due::Deadline(id) => !open.contains_key(&id),
            Due::Conn(id) => pool.get(id).is_none() && !sessions.contains_key(&id),
            _ => false,
        };
        self.timers.skip(stale);
        if self.timers.len() > TIMERS + 8 * live {
            self.timers.retain(|due| !stale(*due));
        }
        if self.phase == Phase::Starting && self.servers.values().any(|s| s.condition == Condition::Ready) {
            self.enter(Phase::Ready);
        }
        // Connections to servers that stand idle give way to clients that want a place: beyond the part that is theirs as
        // soon as few are left, else when none is.
        while self.free() == 0 || self.free() < self.refusals && self.pool.len() > self.places - self.part {
            let Some(idle) = self.pool.longest_idle() else { break };
            self.close_server(idle, CloseReason::PlaceWanted);
        }
        self.make_room();
    }

    fn free(&self) -> usize {
        self.places.saturating_sub(self.clients.sessions.len() + self.pool.len())
    }

    fn due(&mut self, due: Due) {
        match due {
            Due::Policy(token) => self.tell(Event::Timer(token)),
            Due::Attempt(id, number) => {
                self.give_up((id, number), AttemptStatus::TimedOut);
                self.run_events();
            }
            Due::Deadline(id) => {
                // The module ends a request before this. Should it not, the client still gets its answer.
                if self.open.get(&id).is_some_and(|open| !open.over)
                    && !self.faults.plays(Mutant::ForgetRefusal)
                {
                    self.answer(id, Final::Failed);
                    self.tell(Event::ClientDisconnected(id));
                }
            }
            Due::Conn(id) => self.limit(id),
            // What follows any change looks for who gives a place up.
            Due::Room => self.room_at = None,
            // It may have been opened meanwhile, elsewhere.
            Due::FirstWatch if self.first_watch.is_some() && !self.deaf => self.watch(),
            Due::FirstWatch => {}
            Due::Settled => self.settled(),
            Due::Subset => self.subset_again(),
            Due::Sweep => {
                let gone = self.pool.sweep(self.now);
                gone.into_iter().for_each(|id| self.closes(id, CloseReason::Idle));
                self.timers.push(self.now + self.standstill().due, Due::Sweep);
            }
            Due::Last => self.tell(Event::ShuttingDown),
            Due::Drain => {
                self.enter(Phase::Draining);
                if !self.succeeded {
                    self.out.push_back(Output::Draining);
                }
                self.clients.between().into_iter().for_each(|id| self.part(id, CloseReason::Drain));
                if self.faults.plays(Mutant::LoseAtTerm) {
                    let mut all: Vec<_> = self.clients.sessions.keys().copied().collect();
                    all.sort_unstable();
                    for id in all {
                        self.closes(id, CloseReason::Drain);
                        self.client_gone(id);
                    }
                }
            }
            Due::Ended => {
                let late = self.ends_at.is_some_and(|at| self.now >= at);
                let idle = self.clients.sessions.is_empty();
                if late || (self.open.values().all(|open| open.over) && idle) {
                    self.out.push_back(Output::Done);
                } else {
                    self.timers.push(self.now + 10_000, Due::Ended);
                }
            }
        }
    }

    fn log(&mut self, line: String) {
        self.out.push_back(Output::Log(LogLine::Info(line)));
    }

    fn enter(&mut self, phase: Phase) {
        if self.phase != phase {
            self.log(format!("state: {:?} -> {phase:?}, {} requests owed", self.phase, self.owed));
        }
        self.phase = phase;
    }

    /// One line for each list that is taken in.
    fn log_list(&mut self, kind: ListUpdate, lines: &[ServerEntry]) {
        let count = |condition| lines.iter().filter(|line| line.condition == condition).count();
        let warm_up = self.deployment.settings.slow_start_duration;
        let cold = |line: &&ServerEntry| line.started != 0 && self.now < line.started.saturating_add(warm_up);
        let in_slow_start = lines.iter().filter(cold).count();
        self.log(format!(
            "list: version {} ({kind:?}), {} lines: {} ready, {} draining, {} gone, {in_slow_start} in slow start; {} \
             servers known",
            self.index.unwrap_or(0),
            lines.len(),
            count(Condition::Ready),
            count(Condition::Draining),
            count(Condition::Gone),
            self.servers.len(),
        ));
    }

    fn terminate(&mut self) {
        if self.ends_at.is_some() {
            return;
        }
        let longest = self.deployment.settings.classes.iter().map(|c| c.deadline).max();
        let longest = longest.unwrap_or(0).min(LONGEST_DRAIN);
        let ends_at = self.now + longest + DRAIN_SLACK;
        self.ends_at = Some(ends_at);
        self.log(format!(
            "state: told to end, within {} ms; {} requests owed, {} clients connected",
            (ends_at - self.now) / 1_000,
            self.owed,
            self.clients.sessions.len()
        ));
        self.timers.push(ends_at - LAST, Due::Last);
        if self.succeeded {
            // Who has a kept connection goes on using it for as long as it stays open: each is closed right behind an
            // answer, when nothing can be on its way, and one that brings no request by then when its time is up.
            self.enter(Phase::Draining);
            self.out.push_back(Output::Replaced);
            self.timers.push(self.now + longest, Due::Drain);
        } else {
            self.timers.push(self.now + ACCEPT_ON, Due::Drain);
        }
        self.timers.push(self.now + ACCEPT_ON + 20_000, Due::Ended);
    }

    // Connections.

    fn accepted(&mut self, id: ConnId) {
        self.clients.sessions.insert(id, Session::new(self.now, &self.clients.limits));
        // Against requests lost in a full table: the machine has taken a newcomer's request before the
        // node has. Another makes room for it; where all are busy it is refused at once. From half of the table on: who
        // deals connections out before the node has a table as well, which fills with the same idle ones, and its clients
        // wait there unseen while this one has room.
        if self.crowded() || self.clients.sessions.len() > self.part / 2 {
            if let Some(other) = self.clients.gives_way(self.now, self.deployment.connect_timeout) {
                self.give_way(other);
            }
            // In a full table also those go whose places are kept for refusals, or this one could only be refused.
            for _ in 1..self.refusals.saturating_sub(self.left()) {
                let next = self.clients.next_to_give_way(self.deployment.connect_timeout);
                let Some((_, other)) = next.filter(|(at, _)| *at <= self.now) else { break };
                self.give_way(other);
            }
            let late = self.crowded();
            self.clients.sessions.entry(id).and_modify(|session| session.late = late);
        }
        self.client(id);
    }

    /// A client gives its place up.
    fn give_way(&mut self, other: ConnId) {
        if self.clients.sessions.get(&other).is_some_and(|session| session.lingers) {
            self.closes(other, CloseReason::MadeRoom);
            self.client_gone(other);
        } else {
            self.part(other, CloseReason::MadeRoom);
        }
    }

    /// A full table takes nobody, so that no newcomer can have a place made for it: one place is, as soon as somebody
    /// may be asked to go.
    fn make_room(&mut self) {
        if self.shared || self.succeeded || self.accepts() || self.giving.is_some_and(|id| self.parts(id)) {
            return;
        }
        self.giving = None;
        let Some((at, other)) = self.clients.next_to_give_way(self.deployment.connect_timeout) else {
            return;
        };
        if at <= self.now {
            self.giving = Some(other);
            self.give_way(other);
        } else if self.room_at.is_none_or(|known| at < known) {
            self.room_at = Some(at);
            self.timers.push(at, Due::Room);
        }
    }

    /// Whether only places for refusals are left.
    fn crowded(&self) -> bool {
        self.left() < self.refusals
    }

    /// How many more clients have a place.
    fn left(&self) -> usize {
        self.part.saturating_sub(self.clients.sessions.len()).min(self.free())
    }

    fn bytes(&mut self, id: ConnId, bytes: &[u8]) {
        if let Some(session) = self.clients.sessions.get_mut(&id) {
            session.parting = false;
            if !session.broken {
                session.bytes(self.now, bytes, &self.clients.limits);
            }
            return self.client(id);
        }
        let Some(conn) = self.pool.get_mut(id) else { return };
        let keeps = self.faults.plays(Mutant::KeepNoise);
        if keeps && conn.state == State::Idle {
            conn.noise(bytes);
            return;
        }
        let read = conn.bytes(
            self.now,
            bytes,
            &self.deployment.load_metric_names,
            self.longest,
            self.half_told,
            keeps,
        );
        match read {
            Read::More => {
                if let Some(wants) = conn.wants(self.longest) {
                    self.memory.wait(id, wants);
                }
                self.arm(id);
            }
            Read::Begins(length) => self.begins(id, length),
            Read::Piece(piece, last, end) => self.piece(id, piece, last, end),
            Read::Answer(reply) => self.replied(id, reply),
            Read::Spoilt => self.spoilt(id),
            Read::Unasked => self.lost(id),
        }
    }

    fn flushed(&mut self, id: ConnId) {
        if let Some(session) = self.clients.sessions.get_mut(&id) {
            session.flushed(self.now);
            return self.client(id);
        }
        if let Some(conn) = self.pool.get_mut(id)
            && conn.state == State::Writing
        {
            conn.state = State::Reading;
            self.figures.attempts += 1;
            self.resume(id);
        }
    }

    fn parted(&mut self, id: ConnId) {
        if let Some(session) = self.clients.sessions.get_mut(&id) {
            session.flushed(self.now);
            session.lingers = true;
            self.clients.note(id);
        }
    }

    fn ended(&mut self, id: ConnId) {
        if self.clients.sessions.contains_key(&id) {
            return self.client_gone(id);
        }
        self.lost(id);
    }

    fn granted(&mut self, id: ConnId, share: Share) {
        if let Some(session) = self.clients.sessions.get_mut(&id) {
            session.granted(share);
            self.client(id);
        } else if let Some(conn) = self.pool.get_mut(id) {
            conn.granted(share, self.longest, self.now + self.half_told);
            self.arm(id);
            self.resume(id);
            // What is there may be enough to begin.
            if self.pool.get(id).is_some_and(|conn| conn.state == State::Reading) {
                self.bytes(id, &[]);
            }
        }
    }

    /// A limit of a connection may have passed.
    fn limit(&mut self, id: ConnId) {
        let memory = self.memory.all();
        if let Some(session) = self.clients.sessions.get_mut(&id) {
            let limit = session.limit(memory, &self.clients.limits);
            if !session.armed.due(limit, self.now, id, &mut self.timers) {
                return;
            }
            match session.over(self.now, memory) {
                Over::Gone => {
                    self.closes(id, CloseReason::TimeLimit);
                    self.client_gone(id);
                }
                Over::Broken => self.client(id),
                Over::Idle => self.part(id, CloseReason::TimeLimit),
            }
            return;
        }
        let Some(conn) = self.pool.get_mut(id) else { return };
        if conn.armed.due(conn.limit, self.now, id, &mut self.timers) {
            match (conn.state, conn.attempt) {
                (State::Reading, _) => self.spoilt(id),
                (State::Passing, _) => {
                    self.closes(id, CloseReason::ValueBroken);
                    self.lost(id);
                }
                (State::Idle, None) => self.close_server(id, CloseReason::Idle),
                (State::Resting, Some(key)) => {
                    (conn.state, conn.limit) = (State::Idle, None);
                    self.write(key, id);
                    self.run_events();
                }
                _ => {
                    self.closes(id, CloseReason::TimeLimit);
                    self.lost(id);
                }
            }
        }
    }

    /// Enters the limit of a connection to a server among the timers.
    fn arm(&mut self, id: ConnId) {
        if let Some(conn) = self.pool.get_mut(id) {
            conn.armed.arm(conn.limit, id, &mut self.timers);
        }
    }

    fn resume(&mut self, id: ConnId) {
        if let Some(conn) = self.pool.get_mut(id)
            && conn.paused
            && conn.reads() > 0
            && passes(&mut self.clients, conn)
        {
            conn.paused = false;
            if conn.state == State::Passing {
                conn.limit = Some(self.now + STALLED);
                conn.armed.arm(conn.limit, id, &mut self.timers);
            }
            self.out.push_back(Output::Resume(id));
        }
    }

    // Clients.

    /// Takes what can be taken of a client, and writes what can be written.
    fn client(&mut self, id: ConnId) {
        let memory = self.memory.all();
        while let Some(session) = self.clients.sessions.get_mut(&id) {
            match session.take(self.now, &self.clients.limits, memory) {
                Some(Ok(words)) => self.command(id, &words),
                Some(Err(Malformed(what))) => session.answer_now(format!("-ERR protocol error: {what}\r\n")),
                None => break,
            }
        }
        let Some(session) = self.clients.sessions.get_mut(&id) else { return };
        if let Some(bytes) = session.ready(self.now, &self.clients.limits) {
            // Whoever is closed between requests is closed right behind an answer, where nothing can be on its way.
            let last = self.phase == Phase::Draining && !session.broken && session.owes_no_more();
            self.out.push_back(if last {
                Output::WriteAndClose(id, bytes)
            } else {
                Output::Write(id, bytes)
            });
        }
        if session.wants(memory) {
            self.memory.wait(id, 2 * MAX_VALUE);
        }
        let from = session.front().map(|passage| passage.conn);
        for passage in session.take_ended() {
            self.clients.ids.remove(&passage.id);
            self.figures.class(passage.counted).served += 1;
            self.owed -= 1;
        }
        let ends = session.broken && !session.owes() && !session.lingers;
        if ends {
            session.lingers = true;
            self.out.push_back(Output::CloseWrite(id));
        }
        if session.paused && session.reads(memory) > 0 {
            session.paused = false;
            self.out.push_back(Output::Resume(id));
        }
        let limit = session.limit(memory, &self.clients.limits);
        session.armed.arm(limit, id, &mut self.timers);
        from.into_iter().for_each(|conn| self.resume(conn));
        if ends {
            self.note_close(id, CloseReason::AfterError);
        }
        let Some(session) = self.clients.sessions.get_mut(&id) else { return };
        if self.phase == Phase::Draining && session.between() && (session.first > 0 || !self.succeeded) {
            self.part(id, CloseReason::Drain);
        }
        self.clients.note(id);
    }

    /// Closes a client's connection between requests, unless it has brought something meanwhile.
    fn part(&mut self, id: ConnId, reason: CloseReason) {
        let Some(session) = self.clients.sessions.get_mut(&id) else { return };
        if !std::mem::replace(&mut session.parting, true) {
            self.note_close(id, reason);
            self.out.push_back(Output::CloseIfIdle(id));
        }
        self.clients.note(id);
    }

    fn client_gone(&mut self, id: ConnId) {
        let Some(session) = self.clients.remove(id) else { return };
        self.memory.forget(id);
        for slot in session.slots {
            if let Slot::Passing(passage) = slot {
                self.clients.ids.remove(&passage.id);
                let counts = self.figures.class(passage.counted);
                *(if passage.broken { &mut counts.failed } else { &mut counts.left }) += 1;
                self.owed -= 1;
                if self.pool.get(passage.conn).is_some_and(|conn| conn.to.is_some()) {
                    self.close_server(passage.conn, CloseReason::GivenUp);
                }
                continue;
            }
            if let Slot::Owed { request, id } = slot {
                if !self.faults.plays(Mutant::LeakId) {
                    self.clients.ids.remove(&id);
                }
                self.owed -= 1;
                if let Some(open) = self.open.get(&request) {
                    self.figures.class(open.counted).left += 1;
                }
                if self.faults.plays(Mutant::ForgetGone) {
                    continue;
                }
                let sent = self.open.get(&request).map_or(0, |open| open.sent);
                self.close_request(request);
                self.tell(Event::ClientDisconnected(request));
                (0..sent).for_each(|number| self.withdraw((request, number)));
                self.run_events();
            }
        }
    }

    /// Takes back an attempt whose command is not all with the machine: it has not run, and will not.
    fn withdraw(&mut self, key: AttemptKey) {
        let conn = self.attempts.get(&key).map(|attempt| attempt.conn);
        if let Some(id) = conn.filter(|id| self.pool.get(*id).is_some_and(|c| c.state == State::Writing)) {
            self.close_server(id, CloseReason::GivenUp);
            self.end(key, AttemptStatus::NotSent);
        }
    }

    /// Takes back what waits to be written to servers that want nothing new any more.
    fn withdraw_unwanted(&mut self) {
        let unwanted = |attempt: &&Attempt| {
            let address = self.pool.get(attempt.conn).map(|conn| conn.address);
            !self.wants_more(attempt.server, address)
        };
        let waits = self.attempts.iter().filter(|(_, attempt)| unwanted(attempt)).map(|(key, _)| *key);
        let mut waits: Vec<_> = waits.collect();
        waits.sort_unstable();
        waits.into_iter().for_each(|key| self.withdraw(key));
        self.run_events();
    }

    /// Whether something new may be sent to a server, at an address.
    fn wants_more(&self, server: ServerId, address: Option<SocketAddr>) -> bool {
        let known = self.servers.get(&server);
        known.is_some_and(|s| s.condition == Condition::Ready && Some(s.address) == address)
            && !self.excluded.contains_key(&server)
    }

    fn command(&mut self, client: ConnId, words: &[Bytes]) {
        let read = clients::read(words, &self.deployment);
        let crowded = self.crowded();
        let Some(session) = self.clients.sessions.get_mut(&client) else { return };
        let command = match read {
            Ok(Asked::Ping) => {
                return session.answer_now(match self.phase {
                    Phase::Starting => "-LOADING no list of servers yet\r\n",
                    _ => "+PONG\r\n",
                });
            }
            // Forced by the input: the module can't be told of a request that names none of its classes.
            Err(what) => return session.answer_now(format!("-ERR {what}\r\n")),
            Ok(Asked::Command(command)) => command,
        };
        let counted = self.counted[command.class];
        let counts = self.figures.class(counted);
        counts.taken += 1;
        // Forced by a full table of sockets: refused, as it was never sent, and its place is free again.
        if session.late && crowded {
            session.broken = true;
            counts.refused += 1;
            session.answer_now("-BUSY\r\n");
            return self.turned_away("table-full", &command.id);
        }
        session.late = false;
        if self.clients.ids.contains(&command.id) {
            counts.failed += 1;
            session.answer_now("-ERR a request with this id is open\r\n");
            return self.turned_away("id-open", &command.id);
        }
        // Forced by memory: a request that finds the table full is turned away, and was never sent. What it holds is
        // its value, and the same on its way to the origin.
        let value = command.value.as_ref().map_or(0, Bytes::len);
        let most = self.deployment.max_open.min(MAX_OPEN);
        let share = self.memory.try_take(PIECE + 2 * value).filter(|_| self.owed < most);
        let Some(share) = share else {
            counts.refused += 1;
            session.answer_now("-BUSY\r\n");
            return self.turned_away("too-much-open", &command.id);
        };
        let id = self.next_request;
        self.next_request += 1;
        self.owed += 1;
        self.clients.ids.insert(command.id.clone());
        let slot = session.next_slot();
        session.slots.push_back(Slot::Owed { request: id, id: command.id.clone() });
        let ends = self.now + command.time_left;
        let request = Request {
            id,
            class: command.class,
            tenant: command.tenant,
            key: command.hashed_key(),
            write: command.write,
            is_retry: command.repeat,
            time_left: command.time_left,
            cost: command.cost,
            size: command.size,
        };
        let (share, missed) = (Some(share), Vec::new());
        let open = Open {
            command,
            client,
            slot,
            share,
            ends,
            sent: 0,
            out: 0,
            over: false,
            counted,
            missed,
            at_least: 0,
        };
        self.open.insert(id, open);
        self.timers.push(ends, Due::Deadline(id));
        self.tell(Event::Request(request));
    }

    /// Counts and traces a request that the module is never told of.
    fn turned_away(&mut self, reason: &'static str, id: &[u8]) {
        *self.figures.decisions.entry(reason).or_default() += 1;
        self.trace(format_args!("request {} turned away: {reason}", String::from_utf8_lossy(id)));
    }

    /// Gives the final answer, the first only.
    fn answer(&mut self, id: RequestId, says: Final) {
        let Some(open) = self.open.get(&id).filter(|open| !open.over) else { return };
        // Forced by memory: an answer that there is no room for is not passed on, and tells as much.
        let (says, share) = match self.memory.take_now(says.size()) {
            Some(share) => (says, Some(share)),
            None => (Final::Failed, None),
        };
        let (client, mut slot) = (open.client, open.slot);
        self.trace_request(id, format_args!("answered: {}", says.name()));
        let Some(open) = self.open.get(&id) else { return };
        let counts = self.figures.class(open.counted);
        *match says {
            Final::Served(_) => &mut counts.served,
            Final::Refused { .. } => &mut counts.refused,
            Final::Failed => &mut counts.failed,
        } += 1;
        self.close_request(id);
        let Some(session) = self.clients.sessions.get_mut(&client) else { return };
        if self.faults.plays(Mutant::SwapAnswers) {
            let owed = session.slots.iter().position(|slot| matches!(slot, Slot::Owed { .. }));
            slot = session.first + owed.unwrap_or(0) as u64;
        }
        if let Some(id) = session.answer(slot, clients::word(says), share) {
            self.clients.ids.remove(&id);
            self.owed -= 1;
            // Written when the module has said all that it has to say: it must not be told of another request of this
            // client in the middle.
            self.dirty.push_back(client);
        }
    }

    /// Nothing is owed for a request any more. Attempts that are out keep its entry until they end.
    fn close_request(&mut self, id: RequestId) {
        let Some(open) = self.open.get_mut(&id) else { return };
        open.over = true;
        if self.faults.plays(Mutant::LeakMemory) {
            std::mem::forget(open.share.take());
        }
        (open.command.value, open.share) = (None, None);
        if open.out == 0 {
            self.open.remove(&id);
        }
    }

    // The module.

    /// Tells the module of an event, does what it says, and goes on with what follows from that.
    fn tell(&mut self, event: Event) {
        self.events.push_back(event);
        self.run_events();
    }

    fn run_events(&mut self) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.policy.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                self.act(action);
            }
            self.actions = actions;
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { request, server, give_up_after } => {
                if self.faults.plays(Mutant::SendTwice) {
                    self.send(request, server, give_up_after);
                }
                self.send(request, server, give_up_after);
            }
            Action::Reject { .. } if self.faults.plays(Mutant::ForgetRefusal) => {}
            Action::Reject { request, retry_after } => {
                self.answer(request, Final::Refused { retry_after });
            }
            Action::Fail(request) => self.answer(request, Final::Failed),
            Action::Cancel { request, attempt } => self.give_up((request, attempt), AttemptStatus::Cancelled),
            Action::Timer { after, token } => {
                self.timers.push(self.now + after.max(1), Due::Policy(token));
            }
            Action::Subscribe(true) | Action::FetchList if self.deaf => {}
            Action::Subscribe(true) => self.watch(),
            Action::Subscribe(false) => self.ask(DiscoveryRequest::StopWatch),
            Action::FetchList => self.ask(DiscoveryRequest::FetchList),
            Action::CloseIdle(server) => self.close_idle(server),
            Action::Explain { request, reason } => self.explain(request, reason.name()),
            Action::Log(line) => self.out.push_back(Output::Log(LogLine::Info(line))),
            Action::Fault(line) => self.out.push_back(Output::Log(LogLine::Error(line))),
            // This module neither probes nor speaks to peers; the sockets for it are not built.
            Action::HealthCheck(server) => {
                let (took, load) = (0, LoadReport::default());
                self.events.push_back(Event::HealthCheckFinished { server, ok: false, took, load });
            }
            Action::SendToPeer { .. } => {}
        }
    }

    // Attempts.

    fn send(&mut self, id: RequestId, server: ServerId, give_up_after: Micros) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let key = (id, open.sent);
        (open.sent, open.out) = (open.sent + 1, open.out + 1);
        let allowed = !open.over && u32::from(key.1) < open.command.most && self.now < open.ends;
        let limit = if give_up_after == 0 { open.ends } else { open.ends.min(self.now + give_up_after) };
        let target = self.servers.get(&server).filter(|_| allowed).map(|s| (s.address, s.speaks));
        let conn = target.and_then(|(address, speaks)| self.connection(server, address, speaks, key));
        // Forced by the limit on sockets, where there is no connection to send this on.
        let (conn, up) = conn.unwrap_or((0, false));
        if self.trace.is_on() {
            let name = self.server_name(server).to_owned();
            self.trace_request(id, format_args!("attempt {} to {name} on connection {conn}", key.1));
        }
        self.attempts.insert(key, Attempt { server, sent: self.now, conn, first_on_connection: false });
        if conn == 0 {
            return self.end(key, AttemptStatus::NotSent);
        }
        self.timers.push(limit, Due::Attempt(id, key.1));
        if up {
            self.write(key, conn);
        }
    }

    /// A connection for an attempt, and whether it is up; `None` where there is no place for one.
    fn connection(
        &mut self,
        server: ServerId,
        address: SocketAddr,
        speaks: Speaks,
        key: AttemptKey,
    ) -> Option<(ConnId, bool)> {
        let mut gone = Vec::new();
        let idle = self.pool.reuse(server, key, self.now, &mut gone);
        gone.into_iter().for_each(|id| self.closes(id, CloseReason::Idle));
        if let Some(id) = idle {
            return Some((id, true));
        }
        // Against a rate at which all that the table holds rests: connections would be ended and opened anew for most
        // requests.
        if self.full()
            && let Some(id) = self.pool.reserve(server, key, self.now + RESTED)
        {
            self.arm(id);
            return Some((id, false));
        }
        self.open_conn(server, address, speaks, key).map(|id| (id, speaks == Speaks::Call))
    }

    /// Whether there is no place for another connection to a server. One is for the next client.
    fn full(&self) -> bool {
        self.pool.len() >= self.part || self.free() <= 1
    }

    fn open_conn(
        &mut self,
        server: ServerId,
        address: SocketAddr,
        speaks: Speaks,
        key: AttemptKey,
    ) -> Option<ConnId> {
        if self.full()
            && let Some(idle) = self.pool.longest_idle()
        {
            self.close_server(idle, CloseReason::PlaceWanted);
        }
        if self.full() {
            return None;
        }
        let id = self.next_connection_id();
        // A machine that vanished answers nothing: the connect has a time-out of its own.
        let limit = self.now + self.deployment.connect_timeout.max(1_000);
        let mut conn = Conn::new(server, address, speaks, key, limit);
        if speaks == Speaks::Call {
            (conn.state, conn.limit) = (State::Idle, None);
        } else {
            self.out.push_back(Output::Open(id, address));
        }
        self.pool.insert(id, conn);
        self.arm(id);
        Some(id)
    }

    fn opened(&mut self, id: ConnId) {
        let Some(conn) = self.pool.get_mut(id).filter(|conn| conn.state == State::Opening) else { return };
        (conn.state, conn.limit) = (State::Idle, None);
        if let Some(key) = conn.attempt {
            self.write(key, id);
            self.run_events();
        }
    }

    /// Hands an attempt to its connection, which is up.
    fn write(&mut self, key: AttemptKey, id: ConnId) {
        let Some(attempt) = self.attempts.get(&key) else { return };
        // Against a send after a drain or an end: between the module's word and the first byte the attempt
        // waited for its connection, and meanwhile its server may have left or moved, or its client gone.
        let address = self.pool.get(id).map(|conn| conn.address);
        let wanted = self.wants_more(attempt.server, address);
        let open = self.open.get(&key.0).filter(|open| !open.over && self.now < open.ends);
        let Some(open) = open.filter(|_| wanted) else {
            self.release(id, attempt.server);
            return self.end(key, AttemptStatus::NotSent);
        };
        let Some(conn) = self.pool.get_mut(id) else { return };
        // Against a send that a drain came before, told while the process stood still and not read yet.
        if let Some(until) = self.catches_up {
            (conn.state, conn.limit) = (State::Resting, Some(until));
            return self.arm(id);
        }
        conn.carried += 1;
        let first = conn.carried == 1;
        if let Some(attempt) = self.attempts.get_mut(&key) {
            attempt.first_on_connection = first;
        }
        let left_ms = ((open.ends - self.now) / 1_000).max(LEAST_TIME_LEFT_MS);
        if let Some(bytes) = conn.speaks.encode(&open.command, left_ms, conn.address) {
            conn.state = State::Writing;
            let sure = conn.carried > 1 && open.command.rules.idempotency != Idempotency::Idempotent;
            self.out.push_back(Output::WriteRequest(id, bytes, sure));
        } else {
            conn.state = State::Reading;
            let missed = open.missed.iter().filter_map(|id| Some(self.servers.get(id)?.address)).collect();
            let (command, at_least) = (open.command.clone(), open.at_least);
            self.out.push_back(Output::CallStore(
                id,
                Box::new(StoreCall {
                    command,
                    time_left_ms: left_ms,
                    missed_caches: missed,
                    min_version: at_least,
                }),
            ));
        }
    }

    fn replied(&mut self, id: ConnId, reply: Reply) {
        // What comes from a connection that was given up is late, and of no more interest.
        let Some(key) = self.pool.get(id).and_then(|conn| conn.attempt) else { return };
        self.heard(key);
        self.pool.answered(id, reply.status == AttemptStatus::Rejected);
        match (reply.keep, self.attempts.get(&key).map(|attempt| attempt.server)) {
            (true, Some(server)) => self.release(id, server),
            _ => self.close_server(id, CloseReason::AnswerEnds),
        }
        self.end_with(key, reply);
        self.run_events();
    }

    /// A long value has begun to come, and there is memory for its passage: its request has been served, as far as other
    /// attempts and time limits go.
    fn begins(&mut self, id: ConnId, length: usize) {
        let Some(key) = self.pool.get(id).and_then(|conn| conn.attempt) else { return };
        let open = self.open.get(&key.0).filter(|open| !open.over);
        let Some((client, slot, counted)) = open.map(|open| (open.client, open.slot, open.counted)) else {
            self.close_server(id, CloseReason::GivenUp);
            return self.end(key, AttemptStatus::Cancelled);
        };
        self.heard(key);
        let share = self.pool.get_mut(id).and_then(|conn| conn.begin((client, slot)));
        let head = format!("${length}\r\n").into();
        let session = self.clients.sessions.get_mut(&client);
        if !session.is_some_and(|session| session.begin(slot, id, counted, head, share)) {
            self.close_server(id, CloseReason::AnswerEnds);
        }
        self.end_with(key, Reply::bare(AttemptStatus::Served, true));
        self.run_events();
        if let Some(conn) = self.pool.get_mut(id) {
            let Read::Piece(piece, last, end) = conn.piece(self.longest) else { return };
            self.piece(id, piece, last, end);
        }
    }

    /// A piece of a value that is passed on.
    fn piece(&mut self, id: ConnId, piece: Bytes, last: bool, end: Option<bool>) {
        let Some(conn) = self.pool.get_mut(id) else { return };
        let (to, server) = (conn.to, conn.server);
        let session = to.and_then(|(client, slot)| Some((self.clients.sessions.get_mut(&client)?, slot)));
        // What stands behind a value has room always.
        let room = session.is_none_or(|(session, slot)| session.pass(slot, piece, last)) || last;
        conn.limit = room.then_some(self.now + STALLED);
        if last {
            conn.to = None;
        }
        self.arm(id);
        if let Some(keep) = end {
            self.pool.answered(id, false);
            match keep {
                true => self.release(id, server),
                false => self.close_server(id, CloseReason::AnswerEnds),
            }
        }
        if let Some((client, _)) = to {
            self.client(client);
        }
    }

    /// A value that was being passed on has broken off. A client that has seen a part of it can tell by the end of its
    /// connection alone; one that has not is told.
    fn broke(&mut self, client: ConnId, slot: u64) {
        let Some(session) = self.clients.sessions.get_mut(&client) else { return };
        if let Some(passage) = session.take_back(slot, Bytes::from_static(b"-ERR failed\r\n")) {
            self.clients.ids.remove(&passage.id);
            self.figures.class(passage.counted).failed += 1;
            self.owed -= 1;
            self.client(client);
        } else {
            session.breaks(slot);
            self.closes(client, CloseReason::ValueBroken);
            self.client_gone(client);
        }
    }

    /// The server of an attempt lives.
    fn heard(&mut self, key: AttemptKey) {
        if let Some(attempt) = self.attempts.get(&key)
            && let Some(server) = self.servers.get_mut(&attempt.server)
        {
            server.heard = self.now;
        }
    }

    fn spoilt(&mut self, id: ConnId) {
        let key = self.pool.get(id).and_then(|conn| conn.attempt);
        self.close_server(id, CloseReason::Spoilt);
        if let Some(key) = key {
            self.heard(key);
            self.end(key, AttemptStatus::Malformed);
            self.run_events();
        }
    }

    /// A connection is lost, or brought what nobody asked for.
    fn lost(&mut self, id: ConnId) {
        let Some(conn) = self.pool.get(id) else { return };
        let (written, attempt) = (conn.state == State::Reading, conn.attempt);
        // Counted when a request is written, which is still to come where it rests.
        let kept = conn.carried + u64::from(conn.state == State::Resting) > 1;
        if let Some((client, slot)) = conn.to {
            self.close_server(id, CloseReason::Lost);
            return self.broke(client, slot);
        }
        let torn = self.faults.plays(Mutant::ServeTorn).then(|| conn.torn()).flatten();
        self.close_server(id, CloseReason::Lost);
        let Some(key) = attempt else { return };
        if written {
            if self.faults.plays(Mutant::AnswerTwice)
                && let Some(open) = self.open.get(&key.0)
                && let Some(session) = self.clients.sessions.get_mut(&open.client)
            {
                session.answer_now("-ERR failed\r\n");
                self.dirty.push_back(open.client);
            }
            match torn.filter(|_| self.faults.plays(Mutant::ServeTorn)) {
                Some(value) => {
                    self.end_with(
                        key,
                        Reply { value: Some(value), ..Reply::bare(AttemptStatus::Served, false) },
                    );
                }
                None => self.end(key, AttemptStatus::Reset),
            }
            return self.run_events();
        }
        // A kept connection that had ended unseen: the last byte was not written, so nothing was sent, and
        // the same attempt may have a fresh connection. Only once: a fresh one has carried nothing.
        let attempt = self.attempts.get(&key).map(|attempt| attempt.server).filter(|_| kept);
        let server = attempt.and_then(|server| Some((server, self.servers.get(&server)?)));
        let fresh = server.map(|(server, s)| (server, s.address, s.speaks));
        let fresh = fresh.and_then(|(server, address, speaks)| self.open_conn(server, address, speaks, key));
        if let (Some(conn), Some(attempt)) = (fresh, self.attempts.get_mut(&key)) {
            attempt.conn = conn
        } else {
            self.end(key, AttemptStatus::ConnectFailed);
            self.run_events();
        }
    }

    /// A connection owes nothing any more.
    fn release(&mut self, id: ConnId, server: ServerId) {
        let known = self.servers.get(&server).filter(|s| s.condition == Condition::Ready);
        let address = known.filter(|_| self.uses(server)).map(|s| s.address);
        // The server is gone from the list, wants nothing new, is not used any more or lives elsewhere now.
        if !self.pool.release(id, address, self.now) {
            self.close_server(id, CloseReason::NotWanted);
        }
        self.arm(id);
    }

    /// Whether the module is told of a server.
    fn uses(&self, server: ServerId) -> bool {
        self.scope.as_ref().is_none_or(|scope| scope.contains(server))
    }

    fn close_server(&mut self, id: ConnId, reason: CloseReason) {
        if self.pool.remove(id).is_some() {
            self.memory.forget(id);
            if !self.faults.plays(Mutant::LeakConnection) {
                self.closes(id, reason);
            }
        }
    }

    fn closes(&mut self, id: ConnId, reason: CloseReason) {
        self.note_close(id, reason);
        self.out.push_back(Output::Close(id));
    }

    fn note_close(&mut self, id: ConnId, reason: CloseReason) {
        *self.figures.closes.entry(reason.name()).or_default() += 1;
        self.trace(format_args!("connection {id} closed: {}", reason.name()));
    }

    /// Switches the trace of single requests and connections on or off.
    pub fn trace_requests(&mut self, on: bool) {
        self.trace.switch(on);
    }

    fn trace(&mut self, text: std::fmt::Arguments<'_>) {
        if let Some(line) = self.trace.line(text) {
            self.out.push_back(Output::Log(LogLine::Info(line)));
        }
    }

    /// Traces a step of a request, under the id that its client gave it.
    fn trace_request(&mut self, request: RequestId, text: std::fmt::Arguments<'_>) {
        let id = self.open.get(&request).map(|open| String::from_utf8_lossy(&open.command.id));
        let line = id.and_then(|id| self.trace.line(format_args!("request {id} ({request}) {text}")));
        if let Some(line) = line {
            self.out.push_back(Output::Log(LogLine::Info(line)));
        }
    }

    fn server_name(&self, server: ServerId) -> &str {
        self.servers.get(&server).map_or("(forgotten)", |server| &server.name)
    }

    /// Counts and traces why the module does something with a request.
    fn explain(&mut self, request: RequestId, reason: &'static str) {
        *self.figures.decisions.entry(reason).or_default() += 1;
        self.trace_request(request, format_args!("{reason}"));
    }

    fn close_idle(&mut self, server: ServerId) {
        let gone = self.pool.remove_idle(server);
        gone.into_iter().for_each(|id| self.closes(id, CloseReason::NotWanted));
    }

    /// Stops waiting for an attempt, by closing its connection.
    fn give_up(&mut self, key: AttemptKey, status: AttemptStatus) {
        let Some(attempt) = self.attempts.get(&key) else { return };
        let (conn, server, sent) = (attempt.conn, attempt.server, attempt.sent);
        self.close_server(conn, CloseReason::GivenUp);
        // Against a machine that vanished: its kept connections stay open and silent, and each would cost
        // a request its whole time. A fresh one tells within the time-out of a connect.
        if self.servers.get(&server).is_some_and(|server| server.heard < sent) {
            self.close_idle(server);
        }
        self.end(key, status);
    }

    fn end(&mut self, key: AttemptKey, status: AttemptStatus) {
        self.end_with(key, Reply::bare(status, false));
    }

    /// An attempt has its outcome: the first that serves answers the client, and the module is told.
    fn end_with(&mut self, key: AttemptKey, reply: Reply) {
        let Some(attempt) = self.attempts.remove(&key) else { return };
        if self.trace.is_on() {
            let (name, took) = (self.server_name(attempt.server).to_owned(), self.now - attempt.sent);
            let status = reply.status.name();
            self.trace_request(
                key.0,
                format_args!("attempt {} at {name} ended: {status} after {took} us", key.1),
            );
        }
        let mut reply = reply;
        reply.status = match reply.status {
            AttemptStatus::Reset if self.faults.plays(Mutant::ResetNotRun) => AttemptStatus::ConnectFailed,
            status => status,
        };
        if reply.status == AttemptStatus::Miss && self.faults.plays(Mutant::ServeMiss) {
            (reply.status, reply.value) = (AttemptStatus::Served, Some(Bytes::new()));
        }
        let Some(open) = self.open.get_mut(&key.0) else { return };
        open.out -= 1;
        if reply.status == AttemptStatus::Miss && self.origin == Speaks::Call {
            open.missed.push(attempt.server);
            open.at_least = open.at_least.max(reply.at_least);
        }
        let over = open.over || reply.status == AttemptStatus::Served;
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
            request_finished: over,
            cache_status: reply.note,
            elapsed: self.now - attempt.sent,
            load: reply.load,
            first_on_connection: attempt.first_on_connection,
        }));
    }

    // The list.

    fn ask(&mut self, ask: DiscoveryRequest) {
        let patience = DiscoveryTimeouts::of(&self.deployment.settings);
        self.out.push_back(Output::Discovery(DiscoveryCall {
            request: ask,
            address: self.discovery,
            epoch: self.era,
            timeouts: patience,
        }));
    }

    /// Opens the watch, the first one of the process at its time.
    fn watch(&mut self) {
        match self.first_watch {
            Some(at) if at > self.now => self.timers.push(at, Due::FirstWatch),
            _ => {
                self.first_watch = None;
                self.ask(DiscoveryRequest::Watch { after: self.index });
            }
        }
    }

    /// Discovery is at another address from now on; the watch is opened there at once. Against a list that
    /// stands still: the new one counts versions in its own way, so that the whole list is taken from it.
    fn move_to(&mut self, address: SocketAddr) {
        if address == self.discovery {
            return;
        }
        self.ask(DiscoveryRequest::CancelAll);
        self.first_watch = None;
        (self.discovery, self.index) = (address, None);
        self.era += 1;
        let pushed = !self.deployment.settings.poll_discovery;
        self.ask(if pushed { DiscoveryRequest::WatchAgent } else { DiscoveryRequest::Watch { after: None } });
    }

    fn list(&mut self, listing: EndpointList, kind: Option<ListUpdate>) {
        let kind = kind.unwrap_or(if listing.snapshot { ListUpdate::Full } else { ListUpdate::Delta });
        if kind == ListUpdate::Delta
            && self.index.is_some_and(|held| listing.index < held)
            && !self.faults.plays(Mutant::OldList)
        {
            return; // Older than the list held.
        }
        // Against a list that was written before a server's drain was announced and is read after it. Whoever counts anew
        // has such a list too, so that the rest of it holds.
        let old = kind == ListUpdate::Full && self.index.is_some_and(|held| listing.index < held);
        // A node that was given no list at its start asks for the whole one, whatever its version.
        let none = kind == ListUpdate::Cached && listing.endpoints.is_empty();
        self.index = (!none).then_some(listing.index);
        let first_list = self.servers.is_empty().then(|| self.read_first_list(&listing));
        let mut lines: Vec<ServerEntry> = Vec::with_capacity(listing.endpoints.len());
        for entry in &listing.endpoints {
            let condition = match entry.status.as_str() {
                "active" => Condition::Ready,
                _ if self.faults.plays(Mutant::ForgetDrain) => Condition::Ready,
                "left" => Condition::Gone,
                _ => Condition::Draining,
            };
            let id = xxh3_64(entry.name.as_bytes()) as ServerId;
            let address = entry.address.parse().ok().or_else(|| self.servers.get(&id).map(|s| s.address));
            let Some(address) = address else { continue };
            let known = self.servers.get(&id);
            let started = self.started(known, entry.since_ms, first_list);
            // What is known of the same process from a newer list. A new process is not the one that was to leave.
            let newer = known.filter(|s| old && entry.since_ms <= s.since_ms);
            let condition = match newer {
                Some(server) if server.condition == Condition::Draining => Condition::Draining,
                _ => condition,
            };
            // Against a node that follows a server back to the zone that it has left.
            let moved = newer.filter(|_| self.scope.is_some()).map(|server| server.names[0].clone());
            let zone = moved.unwrap_or_else(|| entry.zone.as_str().into());
            let names = [zone, entry.kind.as_str().into()];
            let (zone, kind) = self.placed(&names);
            let speaks = self.speaks(kind);
            let cell = entry.group;
            let weight = entry.weight;
            let line = ServerEntry { id, zone, cell, kind, weight, started, condition, sharing_nodes: 0 };
            lines.push(line.clone());
            let heard = self.servers.get(&id).map_or(0, |server| server.heard);
            let before = self.servers.insert(
                id,
                Server {
                    name: entry.name.as_str().into(),
                    since_ms: entry.since_ms,
                    address,
                    line,
                    names,
                    speaks,
                    condition,
                    heard,
                },
            );
            if condition != Condition::Ready || before.is_some_and(|before| before.address != address) {
                self.close_idle(id);
            }
        }
        if kind != ListUpdate::Delta {
            let listed: HashSet<_> = lines.iter().map(|line| line.id).collect();
            let mut gone: Vec<_> = self.servers.keys().filter(|id| !listed.contains(id)).copied().collect();
            gone.sort_unstable();
            gone.iter().for_each(|id| self.forget(*id));
        }
        let left = lines.iter().filter(|line| line.condition == Condition::Gone).map(|line| line.id);
        left.collect::<Vec<_>>().into_iter().for_each(|id| self.forget(id));
        if let Some(told) = &mut self.placement {
            // Also those that drain: what is on its way there may be answered still.
            let caches = self.servers.values().filter(|s| s.speaks == Speaks::Cache);
            let mut caches: Vec<_> = caches.map(|s| s.address).collect();
            caches.sort_unstable();
            if *told != caches {
                told.clone_from(&caches);
                self.out.push_back(Output::CachesChanged(caches));
            }
        }
        self.log_list(kind, &lines);
        self.tell_servers(kind, lines);
        self.withdraw_unwanted();
    }

    /// What the start times in the list that this process begins with say of its clock.
    fn read_first_list(&self, listing: &EndpointList) -> FirstList {
        let starts = listing.endpoints.iter().map(|entry| entry.since_ms).filter(|since| *since != 0);
        let starts: Vec<_> = starts.map(|since| since.saturating_mul(1_000)).collect();
        let warm_up = self.deployment.settings.slow_start_duration;
        FirstList::new(self.now, warm_up, listing.endpoints.len(), &starts)
    }

    /// When a server's process started, in the module's clock; 0: long ago. The same process keeps its start, however often it
    /// is told of.
    fn started(&self, known: Option<&Server>, since_ms: u64, first_list: Option<FirstList>) -> Micros {
        if since_ms == 0 {
            return 0;
        }
        let start = since_ms.saturating_mul(1_000);
        match (known, first_list) {
            (Some(known), _) if known.since_ms == since_ms => known.line.started,
            (_, Some(first_list)) => first_list.start(self.now, start),
            (_, None) => start_times::of_news(self.now, start),
        }
    }

    /// Tells the module of a list or of lines that changed: of these as they are, or of what the subset makes of the
    /// whole list held.
    fn tell_servers(&mut self, kind: ListUpdate, lines: Vec<ServerEntry>) {
        let servers = self.select_servers(kind).unwrap_or(lines);
        self.tell(Event::ServerList { kind, servers });
    }

    /// Selects the subset anew; what the module is to be told, where there is one.
    fn select_servers(&mut self, kind: ListUpdate) -> Option<Vec<ServerEntry>> {
        let mut scope = self.scope.take()?;
        let listed = self.servers.iter().map(|(id, server)| Listed {
            line: &server.line,
            zone: &server.names[0],
            cache: server.speaks == Speaks::Cache,
            excluded: self.excluded.contains_key(id),
        });
        let listed: Vec<_> = listed.collect();
        let weight_before = scope.cache_weight();
        let told = scope.update(self.now, kind, &listed, &self.settings_in_force());
        let weight_changes = scope.cache_weight() != weight_before;
        if let Some(at) = scope.wants_timer(self.now) {
            self.timers.push(at, Due::Subset);
        }
        self.scope = Some(scope);
        if weight_changes {
            self.tell_settings(self.same_tenants());
        }
        told.note.into_iter().for_each(|note| self.out.push_back(Output::Log(LogLine::Info(note))));
        // What is out there ends as it would have.
        told.left.into_iter().for_each(|id| self.close_idle(id));
        Some(told.lines)
    }

    /// The subset follows what is no list: a server out by hand, other settings.
    fn subset_again(&mut self) {
        if let Some(told) = self.select_servers(ListUpdate::Delta).filter(|lines| !lines.is_empty()) {
            self.tell(Event::ServerList { kind: ListUpdate::Delta, servers: told });
        }
    }

    /// Zone and kind of a server by their names, as the settings number them.
    fn placed(&self, names: &[Box<str>; 2]) -> (u8, u16) {
        let place = |known: &[String], name: &str| known.iter().position(|known| known == name);
        let zone = place(&self.deployment.zones, &names[0]).unwrap_or(255) as u8;
        let kind = place(&self.deployment.machine_types, &names[1]).unwrap_or(usize::from(u16::MAX)) as u16;
        (zone, kind)
    }

    fn speaks(&self, kind: u16) -> Speaks {
        if self.deployment.settings.origin_kind == Some(kind) { self.origin } else { Speaks::Cache }
    }

    // Settings that come while it runs.

    /// Takes other settings. Clients go on naming what was for a moment: meanwhile a class that changed is held to the
    /// stricter of both its meanings, and one that was dropped keeps its own.
    fn settings(&mut self, deployment: Box<Deployment>) {
        // Those of the last settings have their places already.
        if self.figures.name(&deployment.classes).is_none() {
            self.out.push_back(Output::Log(LogLine::Info("reload: too many classes since the start".into())));
            self.figures.reloads_failed += 1;
            return;
        }
        self.figures.reloads_ok += 1;
        let mut until = (*deployment).clone();
        for (name, class) in self.deployment.classes.iter().zip(&self.deployment.settings.classes) {
            // What an earlier one dropped has had its time.
            let retired = self.settles.as_ref().is_some_and(|(_, last)| !last.classes.contains(name));
            match until.classes.iter().position(|known| known == name) {
                Some(place) => {
                    let both = &mut until.settings.classes[place];
                    *both = both.stricter(class);
                }
                None if retired => {}
                None => {
                    until.classes.push(name.clone());
                    until.settings.classes.push(*class);
                }
            }
        }
        let most = &mut until.settings.max_attempts;
        *most = (*most).min(self.deployment.settings.max_attempts);
        self.settles = Some((self.now + SETTLES, deployment));
        self.timers.push(self.now + SETTLES, Due::Settled);
        self.adopt(until);
    }

    /// Clients name what the latest settings have, and nothing else.
    fn settled(&mut self) {
        if self.settles.as_ref().is_some_and(|(at, _)| *at <= self.now)
            && let Some((_, deployment)) = self.settles.take()
        {
            self.adopt(*deployment);
        }
    }

    fn adopt(&mut self, mut deployment: Deployment) {
        let before = &self.deployment;
        // How lists come is the platform's build, and changes with a new process only.
        deployment.settings.poll_discovery = before.settings.poll_discovery;
        deployment.settings.coalesce_fetches = before.settings.coalesce_fetches;
        deployment.settings.startup_attempts_per_server = before.settings.startup_attempts_per_server;
        let tenants = deployment.tenants.iter().map(|name| before.tenants.iter().position(|was| was == name));
        let tenants = tenants.collect();
        let moved = before.zones != deployment.zones
            || before.machine_types != deployment.machine_types
            || before.settings.origin_kind != deployment.settings.origin_kind;
        let aim = deployment.settings.classes.iter().map(|class| class.latency_objective).max().unwrap_or(0);
        self.half_told = (aim / HALF_TOLD).clamp(10_000, 250_000);
        self.pool.retune(deployment.idle_close);
        self.counted = self.figures.name(&deployment.classes).unwrap_or_default();
        let waits = DiscoveryTimeouts::of(&self.deployment.settings);
        self.deployment = deployment;
        // The watch on pushed lists is opened again by itself, with the waits that it was begun with.
        if !self.deployment.settings.poll_discovery
            && DiscoveryTimeouts::of(&self.deployment.settings) != waits
        {
            self.ask(DiscoveryRequest::WatchAgent);
        }
        self.tell_settings(tenants);
        if moved {
            // Servers are told anew, by the numbers that zones and kinds have now.
            let mut ids: Vec<_> = self.servers.keys().copied().collect();
            ids.sort_unstable();
            let mut lines = Vec::with_capacity(ids.len());
            for id in ids {
                let Some((zone, kind)) = self.servers.get(&id).map(|s| self.placed(&s.names)) else {
                    continue;
                };
                let speaks = self.speaks(kind);
                let Some(server) = self.servers.get_mut(&id) else { continue };
                (server.line.zone, server.line.kind, server.speaks) = (zone, kind, speaks);
                lines.push(server.line.clone());
            }
            self.tell_servers(ListUpdate::Delta, lines);
        } else {
            self.subset_again();
        }
    }

    fn tell_settings(&mut self, tenants: Vec<Option<usize>>) {
        let settings = Box::new(self.settings_in_force());
        self.tell(Event::Settings { settings, tenants });
    }

    /// What the module is told of the settings: with what is known of other nodes and of servers that it does not know.
    fn settings_in_force(&self) -> Settings {
        let mut settings = self.deployment.settings.clone();
        settings.nodes = settings.nodes.max(self.sharers);
        settings.total_cache_weight = self.scope.as_ref().map_or(0.0, Scope::cache_weight);
        settings
    }

    /// Every tenant is where it was.
    fn same_tenants(&self) -> Vec<Option<usize>> {
        (0..self.deployment.tenants.len()).map(Some).collect()
    }

    fn sharers(&mut self, sharers: u32) {
        let configured = self.deployment.settings.nodes;
        let changes = self.sharers.max(configured) != sharers.max(configured);
        self.sharers = sharers;
        if changes {
            self.tell_settings(self.same_tenants());
            self.subset_again();
        }
    }

    // Servers out by hand, and figures.

    /// Whether a cache server of a name is listed, or is out by hand.
    pub fn has_cache_server(&self, name: &str) -> bool {
        let id = xxh3_64(name.as_bytes()) as ServerId;
        let listed = self.servers.get(&id).is_some_and(|server| server.speaks == Speaks::Cache);
        listed || self.excluded.contains_key(&id)
    }

    fn exclude(&mut self, name: String, out: bool) {
        let server = xxh3_64(name.as_bytes()) as ServerId;
        match out {
            true => drop(self.excluded.insert(server, name)),
            false => drop(self.excluded.remove(&server)),
        }
        self.tell(Event::Exclude { server, excluded: out });
        if let Some(scope) = self.scope.as_mut().filter(|_| !out) {
            scope.put_back(server, self.now);
        }
        self.subset_again();
        self.withdraw_unwanted();
    }

    /// Names of the cache servers that are out by hand.
    pub fn excluded(&self) -> Vec<String> {
        self.excluded.values().cloned().collect()
    }

    /// Whether it takes clients.
    pub fn ready(&self) -> bool {
        self.phase == Phase::Ready && self.ends_at.is_none()
    }

    /// The figures.
    pub fn report(&self) -> Report<'_> {
        let by = |of: fn(&Counts) -> u64| self.figures.classes().map(|(name, c)| (name, of(c))).collect();
        Report {
            served: by(|c| c.served),
            refused: by(|c| c.refused),
            failed: by(|c| c.failed),
            attempts: self.figures.attempts,
            in_flight: self.owed,
            cache_servers_known: self.servers.values().filter(|s| s.speaks == Speaks::Cache).count(),
            cache_servers_excluded: self.policy.avoided_server_count(),
            reloads_ok: self.figures.reloads_ok,
            reloads_failed: self.figures.reloads_failed,
            decisions: &self.figures.decisions,
            closes: &self.figures.closes,
            regions: self.scope.as_ref().map(Scope::figures),
        }
    }

    /// What it holds of what several processes of the node may hold together, the requests it has open, how far it has
    /// come, and that whole.
    pub fn handover_status(&self) -> (Capacity, usize, ProcessStage, Capacity) {
        let places = self.clients.sessions.len() + self.pool.len();
        let stage = match (self.ends_at, self.phase) {
            (None, Phase::Starting) => ProcessStage::Starting,
            (None, _) => ProcessStage::Serving,
            (Some(_), _) => ProcessStage::Draining,
        };
        (Capacity { connections: places, memory: self.memory.taken() }, self.owed, stage, self.whole)
    }

    fn beside(&mut self, grant: CapacityGrant) {
        self.places = grant.capacity.connections.min(self.whole.connections);
        self.part = self.places * 2 / 3;
        self.refusals = (self.part / 8).max(1);
        self.memory.limit(grant.capacity.memory);
        (self.succeeded, self.shared) = (grant.replaced, grant.listener_shared);
        self.tell(Event::ProcessShare(grant.share));
    }

    /// Counts of each class.
    pub fn counts(&self) -> impl Iterator<Item = (&str, &Counts)> {
        self.figures.classes()
    }

    fn forget(&mut self, id: ServerId) {
        self.servers.remove(&id);
        self.pool.forget(id);
        self.close_idle(id);
    }
}

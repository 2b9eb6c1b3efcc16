//! The types through which a node and the decision module speak: settings, events, actions.
//!
//! Times are microseconds of the node's own clock, which may start anywhere and only advances.

/// A point in time or a span, in microseconds.
pub type Micros = u64;
/// Names one client request at this balancer; never used twice.
pub type RequestId = u64;
/// Names a server (or the origin); stays the same over restarts of its process.
pub type ServerId = u32;
/// The subject of a request; 0 means that it names none.
pub type Key = u64;

/// What a node is told once, at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// How many balancers share the fleet.
    pub balancers: u32,
    /// The number of this balancer among them, from 0.
    pub me: u32,
    /// The zone that this balancer stands in.
    pub zone: u8,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The tenants; empty where a deployment has none.
    pub tenants: Vec<Tenant>,
    /// Whether the server list must be asked for (subscription or whole list) or comes by itself.
    pub ask_discovery: bool,
    /// Without a subscription, the balancer counts as told of changes this long after they happened.
    pub ask_within: Micros,
    /// Machine kind of the origin in the server list; `None` where servers fetch for themselves.
    pub origin_kind: Option<u16>,
    /// Whether weights in the list tell the size of a server.
    pub weights_are_sizes: bool,
    /// Whether weights in the list tell size / (1 + requests held a core).
    pub weights_are_live: bool,
    /// The figures that load reports carry, in their order.
    pub load_fields: Vec<LoadField>,
    /// Attempts that one request may make.
    pub max_attempts: u32,
    /// Whether two attempts of one request may be out at once.
    pub may_duplicate: bool,
    /// Whether an attempt may be cancelled.
    pub may_cancel: bool,
    /// Whether servers may be probed.
    pub may_probe: bool,
    /// Whether balancers may send each other messages.
    pub may_tell_peers: bool,
    /// Whether fetches of a key that are out at once share one call to the origin.
    pub shares_fetches: bool,
    /// Attempts at each cache server that all balancers together may have out when they start, before answers tell
    /// them more; 0: as many as come.
    pub start_each: f64,
    /// Weight of all cache servers, where this balancer is told of some of them only; 0: it is told of all.
    pub cache_weight: f64,
    /// Price of the connections that one balancer in a hundred holds open to all servers ...
    pub connection_price: f64,
    /// ... and of opening one for each request.
    pub handshake_price: f64,
    /// The longest retry-after that clients honour; 0 where they honour none.
    pub max_retry_after: Micros,
    /// Shortest time between two calls of the module.
    pub tick: Micros,
    /// A server starts with at least this part of its capacity.
    pub cold_share: f64,
    /// A started server is warm after this time at the latest.
    pub warm_up: Micros,
    /// A cold server falls over when sent more than this multiple of what it can do ...
    pub fall_multiple: f64,
    /// ... for this long.
    pub fall_after: Micros,
    /// Sends to a draining or gone server must stop within this time.
    pub drain_grace: Micros,
}

impl Settings {
    /// How much a cache server counts for, of a weight in the list.
    pub fn cache_weight_of(&self, weight: f32) -> f64 {
        if self.weights_are_sizes { f64::from(weight).max(0.01) } else { 1.0 }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            balancers: 1,
            me: 0,
            zone: 0,
            classes: vec![Class::default()],
            tenants: Vec::new(),
            ask_discovery: false,
            ask_within: 10_000_000,
            origin_kind: None,
            weights_are_sizes: false,
            weights_are_live: false,
            load_fields: Vec::new(),
            max_attempts: 3,
            may_duplicate: true,
            may_cancel: false,
            may_probe: false,
            may_tell_peers: false,
            shares_fetches: false,
            start_each: 8.0,
            cache_weight: 0.0,
            connection_price: 0.0,
            handshake_price: 0.0,
            max_retry_after: 0,
            tick: 1_000,
            cold_share: 0.25,
            warm_up: 10_000_000,
            fall_multiple: 3.0,
            fall_after: 2_000_000,
            drain_grace: 500_000,
        }
    }
}

/// A class of requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Class {
    /// An answer within this time earns the full worth.
    pub aim: Micros,
    /// A client waits this long in all.
    pub deadline: Micros,
    /// Worth of one request.
    pub worth: f64,
    /// Part of the worth that an answer after the aim still earns.
    pub late_worth: f64,
    /// What a repeat of such a request does.
    pub effect: Effect,
}

impl Default for Class {
    fn default() -> Self {
        Class { aim: 250_000, deadline: 1_000_000, worth: 1.0, late_worth: 0.0, effect: Effect::Safe }
    }
}

impl Class {
    /// This class, held to what another allows as well: an effect is the stricter one, a time the shorter.
    pub fn stricter(&self, other: &Class) -> Class {
        let effect = match (self.effect, other.effect) {
            (Effect::Unsafe, _) | (_, Effect::Unsafe) => Effect::Unsafe,
            (Effect::Safe, other) | (other, Effect::Safe) => other,
            (Effect::Keyed { group: a, window: b }, Effect::Keyed { group: c, window: d }) => match a == c {
                true => Effect::Keyed { group: a, window: b.min(d) },
                // A cell lies in a zone, and a zone among all.
                false if a == Group::Cell || c == Group::Cell => {
                    Effect::Keyed { group: Group::Cell, window: b.min(d) }
                }
                false => Effect::Keyed { group: Group::Zone, window: b.min(d) },
            },
        };
        Class { effect, deadline: self.deadline.min(other.deadline), ..*self }
    }
}

/// What a repeat of a request does.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Effect {
    /// Nothing: it may be sent as often as wanted.
    Safe,
    /// Servers of one group drop a repeat for a while after the first attempt.
    Keyed {
        /// Which servers drop a repeat.
        group: Group,
        /// For how long, from the sending of the earliest attempt that may have run.
        window: Micros,
    },
    /// The effect happens again.
    Unsafe,
}

/// A group of cache servers that knows which keyed requests its members have seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Group {
    /// Every cache server.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A tenant and its share.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Requests a second within its share, over all balancers together.
    pub quota_per_s: f64,
}

/// A figure of a load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadField {
    /// Requests in progress.
    InFlight,
    /// Requests that wait.
    Queued,
    /// Share of CPU in use.
    Busy,
    /// Recent service time, milliseconds.
    ServiceMs,
    /// Requests served a second.
    Rate,
    /// Errors a second.
    ErrorRate,
    /// A figure that this module gives no meaning.
    Other,
}

/// A load report: figures in the order of [`Settings::load_fields`].
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Load {
    /// How many of `values` are there.
    pub count: u8,
    /// The figures.
    pub values: [f32; 4],
}

/// One line of the server list.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerLine {
    /// The server.
    pub id: ServerId,
    /// Its zone.
    pub zone: u8,
    /// Its cell, a small group that shares which keyed requests it has seen.
    pub cell: u16,
    /// Its machine kind.
    pub kind: u16,
    /// Its weight.
    pub weight: f32,
    /// When its process last started; 0 for long ago.
    pub started: Micros,
    /// Whether it runs, drains or is gone.
    pub condition: Condition,
    /// This balancer may take one part in so many of what the server bears of all balancers while it is cold, at their
    /// start, and however little it has in flight; 0: as many as there are balancers.
    pub sharers: u32,
}

impl Default for ServerLine {
    fn default() -> Self {
        ServerLine {
            id: 0,
            zone: 0,
            cell: 0,
            kind: 0,
            weight: 1.0,
            started: 0,
            condition: Condition::Ready,
            sharers: 0,
        }
    }
}

/// What the list says of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// It runs.
    Ready,
    /// It ends what it has; nothing new may be sent to it.
    Draining,
    /// It is gone.
    Gone,
}

/// How a server list relates to the one held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// The whole list; a server not in it is gone.
    Full,
    /// The list last held before a restart, whole but perhaps old.
    Cached,
    /// Only lines that changed.
    Delta,
    /// A call to discovery failed or the subscription broke; the list held stays in force.
    Failed,
    /// The same behind a silence: what discovery has to tell counts as told before long, whether or not it comes.
    Silent {
        /// It had lasted for so long.
        lasted: Micros,
        /// It was all that ended the subscription, which had brought a line before, be it an empty one: discovery had
        /// worked its call off.
        stood: bool,
    },
}

/// A client's request.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Position of its class in [`Settings::classes`].
    pub class: usize,
    /// Position of its tenant in [`Settings::tenants`]; 0 where there are none.
    pub tenant: usize,
    /// Its key, 0 for none.
    pub key: Key,
    /// Whether it writes (and so goes to the origin).
    pub write: bool,
    /// Whether the client said that it repeats an earlier try.
    pub repeat: bool,
    /// Time until the client gives this try up.
    pub time_left: Micros,
    /// Expected work, where told.
    pub cost: Option<Micros>,
    /// Size of the value in bytes, 0 where not told.
    pub size: f32,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// Served.
    Served,
    /// The server holds nothing for this key; it did not run.
    Miss,
    /// The server reported an error; it may have run.
    Error,
    /// The answer can't be understood, though the server gave one; it may have run.
    Spoilt,
    /// Turned away unseen; it did not run.
    Full,
    /// No answer in time; it may have run or still run.
    TimedOut,
    /// No connection came about; it did not run.
    ConnectFailed,
    /// The connection was lost; it may have run.
    Reset,
    /// Cancelled by this balancer; it may have run.
    Cancelled,
    /// Never sent: the request had ended or had no attempts left; it did not run.
    NotSent,
}

impl Status {
    /// Whether this outcome proves that the attempt never ran.
    pub fn proves_not_run(self) -> bool {
        matches!(self, Status::Miss | Status::Full | Status::ConnectFailed | Status::NotSent)
    }

    /// The name of a retry after this outcome.
    fn retry_name(self) -> &'static str {
        match self {
            Status::Served => "retry-after-served",
            Status::Miss => "retry-after-miss",
            Status::Error => "retry-after-error",
            Status::Full => "retry-after-full",
            Status::Spoilt => "retry-after-spoilt",
            Status::ConnectFailed => "retry-after-connect-failed",
            Status::TimedOut => "retry-after-timeout",
            Status::Reset => "retry-after-reset",
            Status::Cancelled => "retry-after-cancel",
            Status::NotSent => "retry-after-not-sent",
        }
    }
}

/// What a server said of the key in its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Note {
    /// Nothing.
    #[default]
    None,
    /// The value was held.
    Hit,
    /// It was not.
    Miss,
    /// It was not, and another request has been told to fetch it.
    MissBeingFetched,
}

/// The end of one attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    /// Its request.
    pub request: RequestId,
    /// Number of the attempt within its request, from 0, in the order of sending.
    pub attempt: u16,
    /// Where it had been sent.
    pub server: ServerId,
    /// How it ended.
    pub status: Status,
    /// Whether the request has its final answer (by this outcome or before).
    pub over: bool,
    /// What the server said of the key.
    pub note: Note,
    /// Time from sending to this end.
    pub took: Micros,
    /// Load report of the server, if one came along.
    pub load: Load,
    /// Whether it was the first request on its connection, whose answer takes the time of a handshake as well.
    pub first_on_connection: bool,
}

/// Something that happened at this balancer.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The server list, or a change of it.
    ServerList {
        /// How it relates to the list held.
        kind: ListKind,
        /// Its lines.
        servers: Vec<ServerLine>,
    },
    /// A client's request arrived; one final answer is owed from now on.
    Request(Request),
    /// An attempt ended.
    Outcome(Outcome),
    /// A streamed answer began; the attempt belongs to the client now.
    AnswerBegan {
        /// Its request.
        request: RequestId,
        /// The attempt that began to answer.
        attempt: u16,
    },
    /// The client left, or the request ended otherwise; nothing is owed any more.
    ClientGone(RequestId),
    /// A timer set by [`Action::Timer`] is due.
    Timer(u32),
    /// Other settings hold from now on. A request that is open keeps the class that it came with; what was learned of
    /// servers, and what is out, stays.
    Settings {
        /// All of them.
        settings: Box<Settings>,
        /// For each tenant of these, its position in the last ones, if it had one.
        tenants: Vec<Option<usize>>,
    },
    /// This balancer's part of its own share of the origin and of cold servers: 1, but while another process of the same
    /// balancer has the rest.
    Part(f64),
    /// The balancer is about to end: what is owed is to be answered now.
    Ending,
    /// A person takes a cache server out, or puts it back. Neither counts: twice out and once back is back.
    Exclude {
        /// The server, listed or not.
        server: ServerId,
        /// Whether it is out from now on.
        out: bool,
    },
    /// The origin has stopped answering: no call to it is any use for a time; 0: it answers again.
    OriginShut {
        /// The time from now.
        lasts: Micros,
    },
    /// The end of a probe.
    Probed {
        /// The server probed.
        server: ServerId,
        /// Whether it answered well.
        ok: bool,
        /// Time from sending to this end.
        took: Micros,
        /// Load report of the server, if one came along.
        load: Load,
    },
    /// A message of another balancer.
    PeerMessage {
        /// Number of the sender.
        from: u32,
        /// Its bytes.
        bytes: Vec<u8>,
    },
}

/// Why a request is refused, fails, waits, or is sent once more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// Its tenant is over its quota.
    OverQuota,
    /// Its time is up.
    TimeUp,
    /// It has made all attempts that it may.
    AttemptsUsed,
    /// This process is about to end.
    Ending,
    /// This process has just started and has all out that it may.
    Starting,
    /// No server may be sent it: none is known, or those that are have no room.
    NoServer,
    /// The origin is known to have stopped.
    OriginStopped,
    /// The gate before the origin is shut.
    GateShut,
    /// An attempt may have run, and may not be repeated.
    MayHaveRun,
    /// The budget of repeats is used up.
    RepeatsUsed,
    /// Sent once more after an attempt that ended so.
    Retry(Status),
    /// Sent to a second server while the first is slow.
    SecondCopy,
    /// Sent once more: the answer of an attempt is lost.
    AnswerLost,
}

impl Reason {
    /// Its name in logs and counts.
    pub fn name(self) -> &'static str {
        match self {
            Reason::OverQuota => "over-quota",
            Reason::TimeUp => "time-up",
            Reason::AttemptsUsed => "attempts-used",
            Reason::Ending => "ending",
            Reason::Starting => "starting",
            Reason::NoServer => "no-server",
            Reason::OriginStopped => "origin-stopped",
            Reason::GateShut => "gate-shut",
            Reason::MayHaveRun => "may-have-run",
            Reason::RepeatsUsed => "repeats-used",
            Reason::SecondCopy => "second-copy",
            Reason::AnswerLost => "answer-lost",
            Reason::Retry(status) => status.retry_name(),
        }
    }
}

/// Something that the node is to do, in the order given.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send an attempt of a request to a server.
    Send {
        /// The request.
        request: RequestId,
        /// The server.
        server: ServerId,
        /// Give the attempt up after this time; 0 for the client's own limit.
        give_up_after: Micros,
    },
    /// Final answer: turned away, a retry is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// Ask the client to stay away for this long; 0 for no hint.
        retry_after: Micros,
    },
    /// Final answer: failed, with no promise.
    Fail(RequestId),
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u16,
    },
    /// Call back with [`Event::Timer`] after a time.
    Timer {
        /// The time from now.
        after: Micros,
        /// Given back with the event.
        token: u32,
    },
    /// Subscribe to (or leave) the changes of the server list.
    Subscribe(bool),
    /// Ask for the whole server list once.
    FetchList,
    /// Probe a server.
    Probe(ServerId),
    /// Close idle connections to a server.
    CloseIdle(ServerId),
    /// Send at most 256 bytes to one balancer, or to all.
    Tell {
        /// Number of the balancer; `None` for every peer.
        to: Option<u32>,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// Why a request is answered so, waits, or is sent again by the action beside this one: for logs and counts.
    Explain {
        /// The request.
        request: RequestId,
        /// Why.
        reason: Reason,
    },
    /// A line for the log.
    Log(String),
    /// The module cannot go on.
    Fault(String),
}

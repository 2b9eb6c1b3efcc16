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
    pub nodes: u32,
    /// The number of this balancer among them, from 0.
    pub node_index: u32,
    /// The zone that this balancer stands in.
    pub zone: u8,
    /// The classes of requests.
    pub classes: Vec<RequestClass>,
    /// The tenants; empty where a deployment has none.
    pub tenants: Vec<Tenant>,
    /// Whether the server list must be asked for (subscription or whole list) or comes by itself.
    pub poll_discovery: bool,
    /// Without a subscription, the balancer counts as told of changes this long after they happened.
    pub list_staleness_limit: Micros,
    /// Machine kind of the origin in the server list; `None` where servers fetch for themselves.
    pub origin_kind: Option<u16>,
    /// Whether weights in the list tell the size of a server.
    pub weights_are_sizes: bool,
    /// Whether weights in the list tell size / (1 + requests held a core).
    pub weights_are_live: bool,
    /// The figures that load reports carry, in their order.
    pub load_metrics: Vec<LoadMetric>,
    /// Attempts that one request may make.
    pub max_attempts: u32,
    /// Whether two attempts of one request may be out at once.
    pub may_duplicate: bool,
    /// Whether an attempt may be cancelled.
    pub may_cancel: bool,
    /// Whether servers may be probed.
    pub may_health_check: bool,
    /// Whether balancers may send each other messages.
    pub may_message_peers: bool,
    /// Whether fetches of a key that are out at once share one call to the origin.
    pub coalesce_fetches: bool,
    /// Attempts at each cache server that all balancers together may have out when they start, before answers tell
    /// them more; 0: as many as come.
    pub startup_attempts_per_server: f64,
    /// Weight of all cache servers, where this balancer is told of some of them only; 0: it is told of all.
    pub total_cache_weight: f64,
    /// Price of the connections that one balancer in a hundred holds open to all servers ...
    pub connection_price: f64,
    /// ... and of opening one for each request.
    pub handshake_price: f64,
    /// The longest retry-after that clients honour; 0 where they honour none.
    pub max_retry_after: Micros,
    /// Shortest time between two calls of the module.
    pub tick: Micros,
    /// A server starts with at least this part of its capacity.
    pub initial_capacity: f64,
    /// A started server is warm after this time at the latest.
    pub slow_start_duration: Micros,
    /// A cold server falls over when sent more than this multiple of what it can do ...
    pub overload_multiple: f64,
    /// ... for this long.
    pub overload_window: Micros,
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
            nodes: 1,
            node_index: 0,
            zone: 0,
            classes: vec![RequestClass::default()],
            tenants: Vec::new(),
            poll_discovery: false,
            list_staleness_limit: 10_000_000,
            origin_kind: None,
            weights_are_sizes: false,
            weights_are_live: false,
            load_metrics: Vec::new(),
            max_attempts: 3,
            may_duplicate: true,
            may_cancel: false,
            may_health_check: false,
            may_message_peers: false,
            coalesce_fetches: false,
            startup_attempts_per_server: 8.0,
            total_cache_weight: 0.0,
            connection_price: 0.0,
            handshake_price: 0.0,
            max_retry_after: 0,
            tick: 1_000,
            initial_capacity: 0.25,
            slow_start_duration: 10_000_000,
            overload_multiple: 3.0,
            overload_window: 2_000_000,
            drain_grace: 500_000,
        }
    }
}

/// A class of requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestClass {
    /// An answer within this time earns the full worth.
    pub latency_objective: Micros,
    /// A client waits this long in all.
    pub deadline: Micros,
    /// Worth of one request.
    pub priority_weight: f64,
    /// Part of the worth that an answer after the aim still earns.
    pub late_weight: f64,
    /// What a repeat of such a request does.
    pub idempotency: Idempotency,
}

impl Default for RequestClass {
    fn default() -> Self {
        RequestClass {
            latency_objective: 250_000,
            deadline: 1_000_000,
            priority_weight: 1.0,
            late_weight: 0.0,
            idempotency: Idempotency::Idempotent,
        }
    }
}

impl RequestClass {
    /// This class, held to what another allows as well: an effect is the stricter one, a time the shorter.
    pub fn stricter(&self, other: &RequestClass) -> RequestClass {
        let effect = match (self.idempotency, other.idempotency) {
            (Idempotency::NonIdempotent, _) | (_, Idempotency::NonIdempotent) => Idempotency::NonIdempotent,
            (Idempotency::Idempotent, other) | (other, Idempotency::Idempotent) => other,
            (Idempotency::WithKey { scope: a, window: b }, Idempotency::WithKey { scope: c, window: d }) => {
                match a == c {
                    true => Idempotency::WithKey { scope: a, window: b.min(d) },
                    // A cell lies in a zone, and a zone among all.
                    false if a == DedupScope::Cell || c == DedupScope::Cell => {
                        Idempotency::WithKey { scope: DedupScope::Cell, window: b.min(d) }
                    }
                    false => Idempotency::WithKey { scope: DedupScope::Zone, window: b.min(d) },
                }
            }
        };
        RequestClass { idempotency: effect, deadline: self.deadline.min(other.deadline), ..*self }
    }
}

/// What a repeat of a request does.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Idempotency {
    /// Nothing: it may be sent as often as wanted.
    Idempotent,
    /// Servers of one group drop a repeat for a while after the first attempt.
    WithKey {
        /// Which servers drop a repeat.
        scope: DedupScope,
        /// For how long, from the sending of the earliest attempt that may have run.
        window: Micros,
    },
    /// The effect happens again.
    NonIdempotent,
}

/// A group of cache servers that knows which keyed requests its members have seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DedupScope {
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
pub enum LoadMetric {
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
pub struct LoadReport {
    /// How many of `values` are there.
    pub count: u8,
    /// The figures.
    pub values: [f32; 4],
}

/// One line of the server list.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerEntry {
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
    pub sharing_nodes: u32,
}

impl Default for ServerEntry {
    fn default() -> Self {
        ServerEntry {
            id: 0,
            zone: 0,
            cell: 0,
            kind: 0,
            weight: 1.0,
            started: 0,
            condition: Condition::Ready,
            sharing_nodes: 0,
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
pub enum ListUpdate {
    /// The whole list; a server not in it is gone.
    Full,
    /// The list last held before a restart, whole but perhaps old.
    Cached,
    /// Only lines that changed.
    Delta,
    /// A call to discovery failed or the subscription broke; the list held stays in force.
    Failed,
    /// The same behind a silence: what discovery has to tell counts as told before long, whether or not it comes.
    TimedOut {
        /// It had lasted for so long.
        silent_for: Micros,
        /// It was all that ended the subscription, which had brought a line before, be it an empty one: discovery had
        /// worked its call off.
        was_established: bool,
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
    pub is_retry: bool,
    /// Time until the client gives this try up.
    pub time_left: Micros,
    /// Expected work, where told.
    pub cost: Option<Micros>,
    /// Size of the value in bytes, 0 where not told.
    pub size: f32,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptStatus {
    /// Served.
    Served,
    /// The server holds nothing for this key; it did not run.
    Miss,
    /// The server reported an error; it may have run.
    Error,
    /// The answer can't be understood, though the server gave one; it may have run.
    Malformed,
    /// Turned away unseen; it did not run.
    Rejected,
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

impl AttemptStatus {
    /// Whether this outcome proves that the attempt never ran.
    pub fn proves_not_run(self) -> bool {
        matches!(
            self,
            AttemptStatus::Miss
                | AttemptStatus::Rejected
                | AttemptStatus::ConnectFailed
                | AttemptStatus::NotSent
        )
    }

    /// Its name in traces of single requests, as operators' pages quote it.
    pub fn name(self) -> &'static str {
        match self {
            AttemptStatus::Served => "Served",
            AttemptStatus::Miss => "Miss",
            AttemptStatus::Error => "Error",
            AttemptStatus::Malformed => "Spoilt",
            AttemptStatus::Rejected => "Full",
            AttemptStatus::TimedOut => "TimedOut",
            AttemptStatus::ConnectFailed => "ConnectFailed",
            AttemptStatus::Reset => "Reset",
            AttemptStatus::Cancelled => "Cancelled",
            AttemptStatus::NotSent => "NotSent",
        }
    }

    /// The name of a retry after this outcome.
    fn retry_name(self) -> &'static str {
        match self {
            AttemptStatus::Served => "retry-after-served",
            AttemptStatus::Miss => "retry-after-miss",
            AttemptStatus::Error => "retry-after-error",
            AttemptStatus::Rejected => "retry-after-full",
            AttemptStatus::Malformed => "retry-after-spoilt",
            AttemptStatus::ConnectFailed => "retry-after-connect-failed",
            AttemptStatus::TimedOut => "retry-after-timeout",
            AttemptStatus::Reset => "retry-after-reset",
            AttemptStatus::Cancelled => "retry-after-cancel",
            AttemptStatus::NotSent => "retry-after-not-sent",
        }
    }
}

/// What a server said of the key in its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum CacheStatus {
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
    pub status: AttemptStatus,
    /// Whether the request has its final answer (by this outcome or before).
    pub request_finished: bool,
    /// What the server said of the key.
    pub cache_status: CacheStatus,
    /// Time from sending to this end.
    pub elapsed: Micros,
    /// Load report of the server, if one came along.
    pub load: LoadReport,
    /// Whether it was the first request on its connection, whose answer takes the time of a handshake as well.
    pub first_on_connection: bool,
}

/// Something that happened at this balancer.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The server list, or a change of it.
    ServerList {
        /// How it relates to the list held.
        kind: ListUpdate,
        /// Its lines.
        servers: Vec<ServerEntry>,
    },
    /// A client's request arrived; one final answer is owed from now on.
    Request(Request),
    /// An attempt ended.
    Outcome(Outcome),
    /// A streamed answer began; the attempt belongs to the client now.
    ResponseStarted {
        /// Its request.
        request: RequestId,
        /// The attempt that began to answer.
        attempt: u16,
    },
    /// The client left, or the request ended otherwise; nothing is owed any more.
    ClientDisconnected(RequestId),
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
    ProcessShare(f64),
    /// The balancer is about to end: what is owed is to be answered now.
    ShuttingDown,
    /// A person takes a cache server out, or puts it back. Neither counts: twice out and once back is back.
    Exclude {
        /// The server, listed or not.
        server: ServerId,
        /// Whether it is out from now on.
        excluded: bool,
    },
    /// The origin has stopped answering: no call to it is any use for a time; 0: it answers again.
    OriginUnavailable {
        /// The time from now.
        duration: Micros,
    },
    /// The end of a probe.
    HealthCheckFinished {
        /// The server probed.
        server: ServerId,
        /// Whether it answered well.
        ok: bool,
        /// Time from sending to this end.
        took: Micros,
        /// Load report of the server, if one came along.
        load: LoadReport,
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
    DeadlineExceeded,
    /// It has made all attempts that it may.
    AttemptsExhausted,
    /// This process is about to end.
    ShuttingDown,
    /// This process has just started and has all out that it may.
    StartupLimit,
    /// No server may be sent it: none is known, or those that are have no room.
    NoServer,
    /// The origin is known to have stopped.
    OriginUnavailable,
    /// The gate before the origin is shut.
    OriginLimited,
    /// An attempt may have run, and may not be repeated.
    MayHaveRun,
    /// The budget of repeats is used up.
    RetryBudgetExhausted,
    /// Sent once more after an attempt that ended so.
    Retry(AttemptStatus),
    /// Sent to a second server while the first is slow.
    Hedged,
    /// Sent once more: the answer of an attempt is lost.
    ResponseLost,
}

impl Reason {
    /// Its name in logs and counts.
    pub fn name(self) -> &'static str {
        match self {
            Reason::OverQuota => "over-quota",
            Reason::DeadlineExceeded => "time-up",
            Reason::AttemptsExhausted => "attempts-used",
            Reason::ShuttingDown => "ending",
            Reason::StartupLimit => "starting",
            Reason::NoServer => "no-server",
            Reason::OriginUnavailable => "origin-stopped",
            Reason::OriginLimited => "gate-shut",
            Reason::MayHaveRun => "may-have-run",
            Reason::RetryBudgetExhausted => "repeats-used",
            Reason::Hedged => "second-copy",
            Reason::ResponseLost => "answer-lost",
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
    Reject {
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
    HealthCheck(ServerId),
    /// Close idle connections to a server.
    CloseIdle(ServerId),
    /// Send at most 256 bytes to one balancer, or to all.
    SendToPeer {
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

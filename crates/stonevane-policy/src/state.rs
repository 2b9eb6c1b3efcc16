//! What a balancer keeps in memory: plain types, the queue of wake-ups and the hash. No decisions.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};

use oorandom::Rand64;

use crate::placement::Candidate;

use crate::{
    Action, Condition, DedupScope, Key, Micros, RequestClass, RequestId, ServerEntry, ServerId, Settings,
};

/// The mind of one balancer: what it was told, what it has seen and what it owes.
#[derive(Default)]
pub struct Policy {
    pub(crate) settings: Settings,
    pub(crate) rng: Random,
    pub(crate) now: Micros,
    /// The longest aim of all classes, the shortest, the measure of the origin.
    pub(crate) aim: Micros,
    pub(crate) origin_aim: Micros,
    pub(crate) servers: BTreeMap<ServerId, Server>,
    /// Servers that a person has taken out, listed or not.
    pub(crate) excluded: BTreeSet<ServerId>,
    pub(crate) held: BTreeMap<RequestId, Held>,
    pub(crate) flights: BTreeMap<(RequestId, u16), Flight>,
    pub(crate) gate: Gate,
    /// Where fetches are shared: the call for a key that others may join.
    pub(crate) joinable: BTreeMap<Key, (RequestId, u16)>,
    pub(crate) senders: Vec<Bucket>,
    pub(crate) pool: Bucket,
    /// This balancer's equal part of all quotas, 0 where there are none.
    pub(crate) quota_share: f64,
    pub(crate) level: f64,
    /// This process's part of what is the balancer's.
    pub(crate) part: f64,
    /// It is about to end, and begins nothing any more.
    pub(crate) ending: bool,
    /// Signs of overload in the attempts of the last reviews.
    pub(crate) strain: Ratio,
    pub(crate) repeats: f64,
    /// When keys were last asked for here.
    pub(crate) keys: KeyHistory,
    /// Makes draws by a request's number differ between balancers.
    pub(crate) salt: u64,
    pub(crate) cache_out: u32,
    /// When this life began; its place among those that begin with it, and its answers in time since.
    pub(crate) born: Micros,
    pub(crate) ramp: (f64, f64),
    /// Cache servers that are ready, each counted as often as this balancer may take an equal part of what it bears.
    pub(crate) caches: f64,
    /// Time that a cache server takes to answer, of late, over all of them.
    pub(crate) pace: f64,
    /// Weight of all cache servers that are ready, and the most that it was.
    pub(crate) total: f64,
    pub(crate) peak_weight: Peak,
    /// The cache servers that may be sent something, by their ids, and the origin.
    pub(crate) candidates: Vec<Candidate>,
    pub(crate) origin: Option<ServerId>,
    /// Whether a server was put back by hand that nothing has been sent to since.
    pub(crate) any_put_back: bool,
    /// Time that a server takes for one request, without its queue.
    pub(crate) service: f64,
    pub(crate) crowded: bool,
    pub(crate) admitted: Rate,
    pub(crate) wakes: Wakes,
    /// How often discovery was asked again since it last gave a list, as far as that makes a difference.
    pub(crate) asked_again: usize,
}

/// Why an attempt is out.
#[derive(Clone, Copy, PartialEq)]
pub enum Call {
    Cache,
    Fetch,
    Write,
    /// A fetch that shares the call of another: none for the origin.
    Joined,
}

impl Call {
    /// The gate's counters that it stands in: of all calls, and of fetches.
    fn counted(self) -> std::ops::Range<usize> {
        0..match self {
            Call::Fetch => 2,
            Call::Write => 1,
            Call::Cache | Call::Joined => 0,
        }
    }
}

/// An attempt without outcome yet; it may outlive its request.
#[derive(Clone, Copy)]
pub struct Flight {
    pub server: ServerId,
    pub call: Call,
    pub key: Key,
    pub sent: Micros,
    pub aim: Micros,
    /// It is slow when it has been out for this long.
    pub slow_after: Micros,
}

/// A server of the list, and what this balancer has seen of it.
#[derive(Default)]
pub struct Server {
    pub line: ServerEntry,
    pub origin: bool,
    /// A person has taken it out.
    pub excluded: bool,
    /// When it was put back, until an attempt has gone there; 0 else.
    pub back: Micros,
    /// The highest weight seen; where weights fall with load, that of the idle server.
    pub size: f32,
    pub in_flight: u32,
    pub heard: Micros,
    /// When the latest of the attempts that it has answered was sent.
    pub answered_sent: Micros,
    /// Time that it takes to answer, of late.
    pub takes: f64,
    /// Its answers within about one aim, as a fading count.
    pub answered: f64,
    pub strikes: u32,
    /// Whether the last failure was one to connect.
    pub unreachable: bool,
    /// Until when it is set aside (0: it is not), and for how long that was.
    pub aside: (Micros, Micros),
    /// What it was sent in slow start and is not earned back yet.
    pub spent: Spent,
}

impl Server {
    /// Whether anything may be sent there, by what the list and people say.
    pub fn open(&self) -> bool {
        self.line.condition == Condition::Ready && !self.excluded
    }

    /// Its answers as they count at a time, fading over a span.
    pub fn answered_lately(&self, now: Micros, span: Micros) -> f64 {
        self.answered * (-((now - self.heard) as f64) / span as f64).exp()
    }

    /// Requests that it holds for each core, as far as its weight tells.
    pub fn held_per_core(&self) -> f64 {
        f64::from(self.size / self.line.weight.max(1e-3) - 1.0).max(0.0)
    }

    /// Whether two servers know of each other's keyed requests. The origin is a group of its own: cache
    /// servers do not know what it has seen.
    pub fn shares_group(&self, other: &Server, group: DedupScope) -> bool {
        match group {
            _ if self.origin || other.origin => self.line.id == other.line.id,
            DedupScope::All => true,
            DedupScope::Zone => self.line.zone == other.line.zone,
            DedupScope::Cell => self.line.cell == other.line.cell,
        }
    }
}

/// A request that is owed a final answer.
#[derive(Default)]
pub struct Held {
    /// Its class and the number of its attempts as they were when it came.
    pub class: RequestClass,
    pub most: u32,
    pub key: Key,
    /// Whether its key is asked for often here, and for how long it was not.
    pub popular: bool,
    pub unseen_for: Micros,
    pub write: bool,
    pub missed: bool,
    /// The tenant whose bucket paid for it.
    pub charged: Option<usize>,
    /// When its client is to come back at the soonest, from its refusal.
    pub back_after: Micros,
    pub aim_at: Micros,
    pub ends: Micros,
    pub sent: u16,
    pub out: u16,
    /// Attempts that run or may have run, oldest first.
    pub may_have_run: Vec<(u16, Micros, ServerId)>,
    pub tried: Vec<ServerId>,
    /// Number of the wait that it is in; a wake-up for an older one finds it changed.
    pub wait: u32,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Wake {
    End(RequestId),
    Go(RequestId, u32),
    Patience(RequestId, u16),
    Subscribe,
    Review,
}

/// The gate before the origin: calls out and calls in the present window, of all kinds and fetches alone.
#[derive(Default)]
pub struct Gate {
    pub limit: f64,
    pub out: [u32; 2],
    pub tally: [u32; 2],
    pub window: Micros,
    pub cut_at: Micros,
    /// The part of one fetch that may be out, and when the next may go where that is less than one.
    pub pace: f64,
    pub fetch_at: Micros,
    /// When a request on a connection that had carried others was answered last.
    pub heard_kept: Micros,
    /// The origin is known to have stopped until then.
    pub shut_until: Micros,
    /// Tries to go through of late that found it shut.
    pub pressed: Ratio,
}

impl Gate {
    /// Raises the counters just before a call.
    pub fn enter(&mut self, call: Call) {
        for i in call.counted() {
            self.out[i] += 1;
            self.tally[i] += 1;
        }
    }

    /// Begins a new tally when the window of the present one is over.
    pub fn roll(&mut self, now: Micros, window: Micros) {
        if now >= self.window + window {
            (self.window, self.tally) = (now, [0, 0]);
        }
    }

    /// Lowers the counters after any outcome of a call.
    pub fn leave(&mut self, call: Call) {
        for i in call.counted() {
            self.out[i] -= 1;
        }
    }
}

/// How many cases among all of late; both fade.
#[derive(Default)]
pub struct Ratio {
    cases: f64,
    all: f64,
    /// Counted among since the last fading.
    pub fresh: f64,
}

impl Ratio {
    /// Counts cases, and among how many.
    pub fn add(&mut self, cases: f64, all: f64) {
        self.cases += cases;
        self.all += all;
        self.fresh += all;
    }

    /// The cases as a part of all.
    pub fn value(&self) -> f64 {
        self.cases / self.all.max(1.0)
    }

    /// Lets the past count for less, while more than the least are left.
    pub fn fade(&mut self, keep: f64, least: f64) {
        let keep = if self.all > least { keep } else { 1.0 };
        (self.cases, self.all, self.fresh) = (self.cases * keep, self.all * keep, 0.0);
    }
}

/// Events a second, smoothed over about a second.
#[derive(Default)]
pub struct Rate {
    counted: f64,
    pub per_s: f64,
}

impl Rate {
    /// Counts an event.
    pub fn count(&mut self) {
        self.counted += 1.0;
    }

    /// Takes what was counted in a period into the rate.
    pub fn roll(&mut self, period: Micros) {
        let seconds = period as f64 / 1e6;
        self.per_s += (self.counted / seconds - self.per_s) * seconds.min(1.0);
        self.counted = 0.0;
    }
}

/// Attempts of a balancer at a server in slow start, earned back at its rate: a token bucket, counted upwards.
#[derive(Default, Clone, Copy)]
pub struct Spent {
    pub attempts: f64,
    pub at: Micros,
}

impl Spent {
    /// What is left of them at a time and a rate a microsecond.
    pub fn left(&self, now: Micros, rate: f64) -> f64 {
        (self.attempts - rate * now.saturating_sub(self.at) as f64).max(0.0)
    }
}

/// The most that a figure was, and when that was worked out last.
#[derive(Default)]
pub struct Peak {
    pub value: f64,
    pub at: Micros,
}

/// Requests of which the keys are remembered.
const REMEMBERED: usize = 8_192;
/// A key that was asked for before among so many requests here is popular.
const POPULAR_WITHIN: u64 = 64;

/// When keys were last asked for here, of the latest requests.
#[derive(Default)]
pub struct KeyHistory {
    /// Keys in the order of their requests, and when these came.
    asked: VecDeque<(Key, Micros)>,
    /// For each key that is remembered, the number of its last request and when that came.
    last: HashMap<Key, (u64, Micros)>,
    /// Requests so far.
    count: u64,
    /// Since when all requests are remembered.
    since: Micros,
}

/// What a request finds of its key.
pub struct Recency {
    /// It was asked for among the latest requests.
    pub popular: bool,
    /// It was not asked for since then; 0: as long as can be told.
    pub unseen_since: Micros,
}

impl KeyHistory {
    /// Takes a request for a key in; what was known of the key before it. A request may name no key: 0.
    pub fn ask(&mut self, key: Key, now: Micros) -> Recency {
        if key == 0 {
            return Recency { popular: false, unseen_since: self.since };
        }
        self.count += 1;
        let before = self.last.insert(key, (self.count, now));
        self.asked.push_back((key, now));
        if self.asked.len() > REMEMBERED {
            self.forget_oldest();
        }
        match before {
            Some((number, at)) => Recency { popular: self.count - number < POPULAR_WITHIN, unseen_since: at },
            None => Recency { popular: false, unseen_since: self.since },
        }
    }

    fn forget_oldest(&mut self) {
        let Some((key, at)) = self.asked.pop_front() else { return };
        self.since = at;
        let oldest = self.count - self.asked.len() as u64;
        if self.last.get(&key).is_some_and(|(number, _)| *number <= oldest) {
            self.last.remove(&key);
        }
    }
}

/// A token bucket.
#[derive(Default, Clone)]
pub struct Bucket {
    tokens: f64,
    filled_at: Micros,
}

impl Bucket {
    /// Fills it at a rate a second up to a depth, and tells whether there is a token to take.
    pub fn fill(&mut self, now: Micros, per_s: f64, depth: f64) -> bool {
        let more = per_s.max(0.0) * now.saturating_sub(self.filled_at) as f64 / 1e6;
        self.tokens = if more.is_nan() { self.tokens } else { (self.tokens + more).min(depth) };
        self.filled_at = now;
        self.tokens >= 1.0
    }

    /// Takes a token, the last bit where there is no whole one.
    pub fn take(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }

    /// Gives a token back.
    pub fn give_back(&mut self) {
        self.tokens += 1.0;
    }
}

/// Wake-ups in the order of their times; one timer of the node stands for all of them.
#[derive(Default)]
pub struct Wakes {
    queue: BinaryHeap<Reverse<(Micros, Wake)>>,
    armed: Option<Micros>,
}

impl Wakes {
    /// Asks to be woken at a time.
    pub fn at(&mut self, time: Micros, wake: Wake) {
        self.queue.push(Reverse((time, wake)));
    }

    /// A timer that was set by a time has come. One that comes while another is set for later was overtaken by an
    /// earlier one, and leaves that as it is: else each of them would set a further one, and they would grow in number.
    pub fn timer_came(&mut self, by: Micros) {
        self.armed = self.armed.filter(|armed| *armed > by);
    }

    /// The next wake-up that is due; when none is, sees that a timer is set for the first to come. Those that are
    /// stale when they are the first are dropped: nobody is woken for what is over.
    pub fn due(&mut self, now: Micros, out: &mut Vec<Action>, stale: impl Fn(Wake) -> bool) -> Option<Wake> {
        while self.queue.peek().is_some_and(|Reverse((_, wake))| stale(*wake)) {
            self.queue.pop();
        }
        let &Reverse((time, wake)) = self.queue.peek()?;
        if time <= now {
            self.queue.pop();
            return Some(wake);
        }
        if self.armed.is_none_or(|armed| time < armed) {
            self.armed = Some(time);
            out.push(Action::Timer { after: time - now, token: 0 });
        }
        None
    }
}

/// Logs when a figure falls below a mark or rises to it again.
pub fn log_crossing(out: &mut Vec<Action>, was: f64, is: f64, mark: f64, fallen: &str, risen: &str) {
    if (was < mark) != (is < mark) {
        out.push(Action::Log(if is < mark { fallen } else { risen }.into()));
    }
}

/// Random numbers that depend on the seed alone.
pub struct Random(Rand64);

impl Random {
    /// A source with a seed.
    pub fn new(seed: u64) -> Self {
        Random(Rand64::new(seed.into()))
    }

    /// A number from 0 to below 1.
    pub fn unit(&mut self) -> f64 {
        self.0.rand_float()
    }
}

impl Default for Random {
    fn default() -> Self {
        Random::new(0)
    }
}

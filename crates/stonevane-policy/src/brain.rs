//! Every decision of a balancer. The types it speaks in (settings, events, actions) are in `interface.rs`.
//!
//! Ordinary path: a read goes to the first server in its key's order that is not over the load bound; after
//! a miss the value is fetched from the origin, and a write goes straight there, through a gate of an
//! outstanding cap and a windowed tally; a call that finds the gate shut is postponed by a random delay.
//! Which server a read goes to stands in `placement.rs`, what one in slow start may be sent in
//! `slow_start.rs`.
//! All else here is a departure for a failure that the code names.

use crate::hash::unit_hash;
use crate::state::{Bucket, Call, Flight, Held, Policy, Random, Server, Spent, Wake, log_crossing};
use crate::{
    Action, AttemptStatus, Condition, Event, Idempotency, ListUpdate, Micros, Outcome, Reason, Request,
    RequestClass, RequestId, ServerEntry, ServerId, Settings,
};

/// Answers that a server is credited with before any were seen: a few in flight at an idle one pass.
pub(crate) const PRIOR: f64 = 2.0;
/// Gate: outstanding origin calls of one balancer at most, and at most for each request a second that is its
/// share, whichever is more; it starts from half, the note's default.
const GATE_OUT: (f64, f64) = (20.0, 0.06);
/// Gate: calls a second, as a part of this balancer's share; at the least the note's.
const GATE_RATE: (f64, f64) = (1.0, 30.0);
/// Gate: its window as a part of the longest aim, short enough that what bursts over it can still wait.
const GATE_WINDOW: f64 = 0.25;
/// Gate: sub-limit of fetches, of both limits; writes have the rest for themselves.
const GATE_FETCHES: f64 = 0.7;
/// Gate: factor on the outstanding cap at a sign of congestion, and its floor as a part of the ceiling.
const GATE_CUT: (f64, f64) = (0.8, 0.1);
/// Gate: fetches of all balancers together that stay out however slow the origin is: one of many holds its
/// single one back for a time.
const GATE_LEAST: f64 = 8.0;
/// Gate: balancers for each multiple by which a slow answer lengthens that time, and a quick one shortens it.
const GATE_STEP: f64 = 32.0;
/// Gate: an origin answer later than this part of the shortest aim is a congestion signal.
const ORIGIN_SLOW: f64 = 0.8;
/// Postponement: the note's 1 to 3 s against its bound of 60 s, taken as parts of the request's aim.
const DELAY: (f64, f64) = (1.0 / 60.0, 3.0 / 60.0);
/// An attempt without answer for this part of its aim is slow, for twice this nearly late.
const PATIENCE: f64 = 0.4;
/// An answer is lost that has not come after this multiple of what answers of its server take, while what was
/// sent there later has been answered.
const LOST: f64 = 6.0;
/// Strikes in a row, with no answer between them, after which a server is set aside.
const STRIKES: u32 = 3;
/// A server is set aside for this multiple of the longest aim, doubled each time up to the second figure.
const ASIDE: (u64, u64) = (1, 8);
/// Repeats of what may have run, and second copies, as a part of the requests, how many at the start of a
/// life, where many may start together, and how many at once.
const REPEATS: (f64, f64, f64) = (0.05, 1.0, 5.0);
/// What a repeat costs of that after an error that came in time: the server has ended with the request.
const QUICK_ERROR: f64 = 0.2;
/// Signs of overload in each attempt (turned away or nearly late is one, slow a half) from which tenants are
/// held closer to their quotas, and even below them.
const STRAIN: (f64, f64) = (0.06, 0.55);
/// Multiple of the quotas that fills the buckets: lowest (a jammed fleet heals half idle), at start, highest.
const LEVEL: (f64, f64, f64) = (0.25, 1.0, 4.0);
/// Steps of the level at a review, whole from so many attempts judged: one of many balancers sees few.
const LEVEL_STEPS: (f64, f64, f64) = (0.92, 1.04, 5.0);
/// Tokens that a bucket holds beyond an aim's worth, against chance in who reaches which balancer.
const BURST: f64 = 5.0;
/// Part of the quotas that tenants may use in common: those within their quotas leave about the rest unused.
const POOL: f64 = 0.8;
/// What a review keeps of the counts before it, while more than this many are left to judge by.
const FADE: (f64, f64) = (0.85, 10.0);
/// A call to discovery that failed is made again after between these parts of the time within which it must
/// be asked: the first, the second, and any later one. Against balancers that all ask at once: it takes a
/// call of each in about that time, and works calls off in turn, those too that have waited for too long. Two
/// come soon, since what it has to tell counts as told before long.
const ASK_AGAIN: [(f64, f64); 3] = [(0.03, 0.5), (0.2, 0.4), (0.25, 0.5)];
/// Discovery is called again within this time of its last word, or of the begin of a call that brought none.
/// What it has to tell then counts as told 6 s later, and the call must still get its turn.
const SILENT_AGAIN: Micros = 4_500_000;
/// Start of a life: attempts more that it may have out for each answer in time. Where that holds up, it
/// grows by a quarter while an answer comes.
const RAMP: f64 = 0.25;
/// Who is refused by the start of a life comes back within this part of its time, spread: many are at once.
const RAMP_BACK: f64 = 0.5;
impl Policy {
    /// A balancer that knows its settings and nothing else yet.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut policy = Policy {
            rng: Random::new(seed),
            salt: unit_hash(seed, settings.node_index, 6).to_bits(),
            level: LEVEL.1,
            part: 1.0,
            repeats: REPEATS.1,
            ..Policy::default()
        };
        policy.adopt(settings, &[]);
        policy.ramp.0 = unit_hash(seed, policy.settings.node_index, 3);
        // Calls of an earlier life of this balancer may still run: the gate opens gradually.
        policy.gate.limit = policy.gate_out() / 2.0;
        policy.gate.pace = 1.0;
        policy.wake(0, Wake::Subscribe);
        policy.wake(0, Wake::Review);
        policy
    }

    /// Takes settings in force. `from`: where each tenant stood in those before. Buckets and what requests
    /// have paid go over with their tenants; all else that was learned stays.
    fn adopt(&mut self, settings: Settings, from: &[Option<usize>]) {
        let aims = settings.classes.iter().map(|c| c.latency_objective);
        self.aim = aims.clone().max().unwrap_or(1_000_000).max(1);
        self.origin_aim = aims.min().unwrap_or(1_000_000);
        let quotas: f64 = settings.tenants.iter().map(|t| t.quota_per_s).sum();
        self.quota_share = quotas / f64::from(settings.nodes.max(1));
        let before = std::mem::take(&mut self.senders);
        let bucket = |i| from.get(i).copied().flatten().and_then(|was: usize| before.get(was)).cloned();
        self.senders = (0..settings.tenants.len().max(1)).map(|i| bucket(i).unwrap_or_default()).collect();
        for h in self.held.values_mut() {
            h.charged = h.charged.and_then(|was| from.iter().position(|told| *told == Some(was)));
        }
        // Held by all balancers, a connection costs more than it saves: whatever the traffic, the price
        // of keeping one open grows with their number and the price of opening it again does not.
        self.crowded =
            f64::from(settings.nodes) * settings.connection_price > 100.0 * settings.handshake_price;
        self.settings = settings;
        for s in self.servers.values_mut() {
            s.origin = self.settings.origin_kind == Some(s.line.kind);
        }
        self.weigh();
    }

    /// Takes one event at a clock value and adds the actions that it calls for.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        if self.born == 0 {
            self.born = now;
        }
        match event {
            Event::ServerList { kind: ListUpdate::Failed, .. } => self.discovery_failed(0, out),
            Event::ServerList {
                kind: ListUpdate::TimedOut { silent_for: lasted, was_established: stood },
                ..
            } => {
                // Whoever tells nothing new for long has kept up all the same.
                self.asked_again = if stood { 0 } else { self.asked_again };
                self.discovery_failed(lasted, out);
            }
            Event::ServerList { kind, servers } => self.server_list(kind, servers),
            Event::Request(request) => self.request(request, out),
            Event::Outcome(outcome) => self.outcome(outcome, out),
            // A streamed answer belongs to the client from here on: nothing is owed, and no deadline runs.
            Event::ResponseStarted { request, .. } | Event::ClientDisconnected(request) => {
                drop(self.held.remove(&request));
            }
            Event::Timer(_) => self.wakes.timer_came(now + self.settings.tick),
            Event::OriginUnavailable { duration: lasts } => self.origin_shut(lasts, out),
            Event::ProcessShare(part) => self.part = part.clamp(0.05, 1.0),
            Event::ShuttingDown => {
                self.ending = true;
                let all: Vec<_> = self.held.keys().copied().collect();
                all.into_iter().for_each(|id| self.end(id, Reason::ShuttingDown, out));
            }
            Event::Settings { settings, tenants } => self.adopt(*settings, &tenants),
            Event::Exclude { server, excluded } => self.exclude(server, excluded, out),
            Event::PeerMessage { .. } | Event::HealthCheckFinished { .. } => {}
        }
        while let Some(wake) = self.wakes.due(now, out, |wake| match wake {
            Wake::End(id) => !self.held.contains_key(&id),
            Wake::Go(id, wait) => self.held.get(&id).map(|h| h.wait) != Some(wait),
            Wake::Patience(id, attempt) => !self.flights.contains_key(&(id, attempt)),
            Wake::Subscribe | Wake::Review => false,
        }) {
            match wake {
                Wake::End(id) => self.time_up(id, out),
                Wake::Go(id, _) => self.step(id, out),
                Wake::Patience(id, attempt) => self.patience(id, attempt, out),
                Wake::Subscribe if self.settings.poll_discovery => out.push(Action::Subscribe(true)),
                Wake::Subscribe => {}
                Wake::Review => self.review(out),
            }
        }
    }

    fn wake(&mut self, after: Micros, wake: Wake) {
        self.wakes.at(self.now + after, wake);
    }

    // A request arrives.

    fn request(&mut self, r: Request, out: &mut Vec<Action>) {
        // Ends some ticks before its time is up, so that the answer is in time when a call comes late.
        let margin = 2 * self.settings.tick;
        let mut held = Held {
            class: self.settings.classes.get(r.class).copied().unwrap_or_default(),
            most: self.settings.max_attempts,
            key: r.key,
            write: r.write,
            ends: self.now + r.time_left.saturating_sub(margin),
            ..Held::default()
        };
        held.aim_at = (self.now + held.class.latency_objective).saturating_sub(margin);
        self.repeats = (self.repeats + REPEATS.0).min(REPEATS.2);
        let recency = self.keys.ask(r.key, self.now);
        held.popular = recency.popular;
        held.unseen_for = self.now.saturating_sub(recency.unseen_since.max(self.born));
        let (ends, aim_at) = (held.ends, self.useful_until(&held));
        let turned_away = self.turned_away(&mut held, r.tenant);
        self.held.insert(r.id, held);
        if let Some(reason) = turned_away {
            return self.end(r.id, reason, out);
        }
        self.admitted.count();
        self.wakes.at(ends, Wake::End(r.id));
        self.wakes.at(aim_at, Wake::End(r.id));
        self.step(r.id, out);
    }

    /// Why a request that has just come is turned away, if it is.
    fn turned_away(&mut self, held: &mut Held, tenant: usize) -> Option<Reason> {
        if !self.admit(held, tenant) {
            Some(Reason::OverQuota)
        } else if self.now >= held.ends {
            Some(Reason::DeadlineExceeded)
        } else {
            self.ending.then_some(Reason::ShuttingDown)
        }
    }

    /// A tenant's token bucket fills with this balancer's part of its quota, times the level, so that those
    /// furthest over are turned away first. A rate measured from the handful that one of many balancers sees
    /// would turn away those within their quotas.
    fn admit(&mut self, h: &mut Held, tenant: usize) -> bool {
        let Some(sender) = self.senders.get_mut(tenant) else { return true };
        // While all together ask for less than their quotas, chance in a small bucket turns none away.
        // A falling level empties the buckets too: what many hold back would keep a jam going for long.
        let burst = (BURST * self.level).clamp(1.0, BURST);
        let pooled = self.pool.fill(self.now, POOL * self.quota_share * self.level, burst);
        let quota = self.settings.tenants.get(tenant).map_or(f64::INFINITY, |t| t.quota_per_s);
        let part = self.level * quota / f64::from(self.settings.nodes.max(1));
        let room = sender.fill(self.now, part, burst + part * self.aim as f64 / 1e6);
        let admitted = room || pooled || self.level >= LEVEL.2;
        if admitted {
            sender.take();
            self.pool.take();
            h.charged = Some(tenant);
        }
        admitted
    }

    /// Chooses and makes the next call of a request that has none out.
    fn step(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(h) = self.held.get(&id) else { return };
        if self.now >= self.useful_until(h) {
            return self.end(id, Reason::DeadlineExceeded, out);
        }
        if u32::from(h.sent) >= self.most(h) {
            return self.end(id, Reason::AttemptsExhausted, out);
        }
        if h.write || h.missed {
            return self.origin_call(id, out);
        }
        if !self.ramped() {
            let left = self.useful_until(h).saturating_sub(self.now) as f64;
            let spread = left * RAMP_BACK * self.rng.unit();
            if let Some(h) = self.held.get_mut(&id) {
                h.back_after = spread as Micros;
            }
            return self.end(id, Reason::StartupLimit, out);
        }
        if !self.pick(id).is_some_and(|server| self.send(id, server, Call::Cache, out)) {
            self.end(id, Reason::NoServer, out);
        }
    }

    /// Against a fleet that starts all at once: what lives that know nothing have out adds up to what all may
    /// have at the servers, however many balancers there are. It doubles in each aim, so that a share below
    /// one opens, and one that was idle is soon held to nothing.
    fn ramped(&self) -> bool {
        let all = self.settings.startup_attempts_per_server * self.caches;
        let share = all / f64::from(self.settings.nodes.max(1));
        let aged = self.now.saturating_sub(self.born) as f64 / self.aim as f64;
        let window = (share + self.ramp.0) * aged.exp2() + self.ramp.1 * RAMP;
        self.settings.startup_attempts_per_server <= 0.0 || f64::from(self.cache_out + 1) <= window
    }

    /// How many attempts a request may make: no more than when it came, nor than now.
    fn most(&self, h: &Held) -> u32 {
        h.most.min(self.settings.max_attempts)
    }

    pub(crate) fn useful_until(&self, h: &Held) -> Micros {
        if h.class.late_weight > 0.0 { h.ends } else { h.aim_at.min(h.ends) }
    }

    /// Requests a second that are this balancer's to serve.
    pub(crate) fn share(&self) -> f64 {
        if self.quota_share > 0.0 { self.quota_share } else { self.admitted.per_s }
    }

    /// Whether tenants are held back at all.
    pub(crate) fn shedding(&self) -> bool {
        self.level < LEVEL.2
    }

    // Calls to the origin.

    fn origin_call(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let call = if self.held[&id].write { Call::Write } else { Call::Fetch };
        let target = match self.settings.origin_kind {
            Some(_) => self.origin,
            // Servers that fetch for themselves take writes too.
            None => self.pick(id),
        };
        // Against misses of one key that each ask the origin anew: where calls are shared, one that joins
        // another costs nothing there, and the gate nothing.
        let shut = self.now < self.gate.shut_until;
        let joins = call == Call::Fetch && !shut && self.joinable.contains_key(&self.held[&id].key);
        let call = if joins { Call::Joined } else { call };
        match target.filter(|_| joins || !shut && self.gate_open(call)) {
            None => self.postpone(id, out),
            Some(target) if self.send(id, target, call, out) => {}
            Some(_) => self.end(id, Reason::MayHaveRun, out),
        }
    }

    /// The ceiling of the outstanding cap. Against a rate at which the note's default, reached in an ordinary
    /// second, holds up what the origin has room for (Little's law).
    fn gate_out(&self) -> f64 {
        (self.share() * GATE_OUT.1).max(GATE_OUT.0) * self.part
    }

    /// Whether the outstanding cap and the windowed tally let one more call through.
    fn gate_open(&mut self, call: Call) -> bool {
        let window = self.aim as f64 * GATE_WINDOW;
        let tally = (self.share() * GATE_RATE.0).max(GATE_RATE.1) * self.part * window / 1e6;
        self.gate.roll(self.now, window as Micros);
        // A part of the share may have become another process's since the limit was found.
        let (g, most) = (&self.gate, self.gate_out());
        let room = |count: u32, limit: f64| f64::from(count + 1) <= limit.max(1.0);
        let open =
            |i: usize, part: f64| room(g.out[i], g.limit.min(most) * part) && room(g.tally[i], tally * part);
        // A share below one is a single fetch after a time.
        let paced = g.pace >= 1.0 || (g.out[1] == 0 && self.now >= g.fetch_at);
        let open = open(0, 1.0) && (call == Call::Write || (paced && open(1, GATE_FETCHES)));
        self.gate.pressed.add(f64::from(u8::from(!open)), 1.0);
        open
    }

    /// Against an origin that has stopped: calls would only wait there. Once the time is over the gate opens
    /// from a single call, so that what comes back does so slowly and not in step.
    fn origin_shut(&mut self, lasts: Micros, out: &mut Vec<Action>) {
        let g = &mut self.gate;
        let was = self.now < g.shut_until;
        g.shut_until = self.now + lasts;
        if lasts > 0 {
            (g.limit, g.cut_at) = (1.0, self.now + 1);
        }
        if was != (lasts > 0) {
            let what = ["origin answers again", "origin has stopped: no call to it for a time"];
            out.push(Action::Log(what[usize::from(lasts > 0)].into()));
        }
    }

    /// Parks a request that a shut gate stops, for a random delay, while its answer can still earn.
    fn postpone(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let delay = self.delay(self.held[&id].class);
        let h = &self.held[&id];
        // Behind an origin that has stopped none waits: each is told at once, and when to come back.
        let stopped = self.now < self.gate.shut_until;
        let reason = if stopped { Reason::OriginUnavailable } else { Reason::OriginLimited };
        if stopped || self.now + delay >= self.useful_until(h) {
            return if h.out == 0 {
                self.end(id, reason, out);
            };
        }
        out.push(Action::Explain { request: id, reason });
        if let Some(h) = self.held.get_mut(&id) {
            h.wait += 1;
            self.wakes.at(self.now + delay, Wake::Go(id, h.wait));
        }
    }

    /// The random delay of a blocked call.
    fn delay(&mut self, class: RequestClass) -> Micros {
        let aim = class.latency_objective as f64;
        // However short an aim is, waiting is no busy loop.
        ((aim * (DELAY.0 + (DELAY.1 - DELAY.0) * self.rng.unit())) as Micros).max(1_000)
    }

    // The one place that sends.

    /// Sends an attempt, or tells that a rule forbids it.
    fn send(&mut self, id: RequestId, server: ServerId, call: Call, out: &mut Vec<Action>) -> bool {
        let (Some(h), Some(s)) = (self.held.get(&id), self.servers.get(&server)) else { return false };
        let allowed = self.now < h.ends
            && u32::from(h.sent) < self.most(h)
            && s.open()
            && (h.out == 0 || self.settings.may_duplicate)
            && self.in_slow_start_share(s)
            && self.may_repeat(h, server);
        if !allowed {
            return false;
        }
        let spent = self.spent_with_one_more(s);
        let (attempt, sent, aim) = (h.sent, self.now, h.class.latency_objective);
        let key = h.key;
        let slow_after = (aim as f64 * PATIENCE) as Micros;
        if let (Some(h), Some(s)) = (self.held.get_mut(&id), self.servers.get_mut(&server)) {
            (h.sent, h.out) = (h.sent + 1, h.out + 1);
            h.may_have_run.push((attempt, sent, server));
            (s.in_flight, s.spent, s.back) = (s.in_flight + 1, spent, 0);
        }
        if call == Call::Cache {
            self.cache_out += 1;
            self.wake(slow_after, Wake::Patience(id, attempt));
        } else {
            self.gate.enter(call);
            if call == Call::Fetch && self.settings.coalesce_fetches {
                self.joinable.insert(key, (id, attempt));
            }
            let lost_after = self.servers.get(&server).map_or(0.0, |s| LOST * s.takes) as Micros + 1;
            self.wake(lost_after.max(slow_after), Wake::Patience(id, attempt));
        }
        self.flights.insert((id, attempt), Flight { server, call, key, sent, aim, slow_after });
        out.push(Action::Send { request: id, server, give_up_after: 0 });
        true
    }

    /// No effect twice: a repeat of what may have run goes only where and while it is dropped.
    fn may_repeat(&self, h: &Held, server: ServerId) -> bool {
        let Some(&(_, sent, first)) = h.may_have_run.first() else { return true };
        match h.class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::WithKey { scope: group, window } => {
                let (first, next) = (self.servers.get(&first), self.servers.get(&server));
                let shared = first.zip(next).is_some_and(|(a, b)| a.shares_group(b, group));
                // Its last byte must come within the window, and may need a new connection first.
                shared && self.now + 2 * self.settings.tick + window / 8 < sent + window
            }
        }
    }

    // An attempt ends.

    fn outcome(&mut self, o: Outcome, out: &mut Vec<Action>) {
        let Some(flight) = self.flights.remove(&(o.request, o.attempt)) else { return };
        if let Some(s) = self.servers.get_mut(&flight.server).filter(|_| o.status == AttemptStatus::Served) {
            let took = (self.now - flight.sent) as f64;
            s.takes += if s.takes == 0.0 { 1.0 } else { 0.1 } * (took - s.takes);
            if flight.call == Call::Cache {
                self.pace += if self.pace == 0.0 { 1.0 } else { 0.02 } * (took - self.pace);
            }
            s.answered_sent = s.answered_sent.max(flight.sent);
        }
        self.learn(&flight, &o, out);
        // One connection that broke, or one answer that was spoilt, says little of its server: the key's copy
        // is there still, and the next in the order would have to fetch it.
        let well = matches!(o.status, AttemptStatus::Malformed | AttemptStatus::Reset)
            && self.servers.get(&flight.server).is_some_and(|s| s.strikes < 2 && s.aside.0 == 0);
        let Some(h) = self.held.get_mut(&o.request) else { return };
        h.out -= 1;
        if o.status.proves_not_run() {
            h.may_have_run.retain(|&(attempt, ..)| attempt != o.attempt);
        }
        h.missed |= o.status == AttemptStatus::Miss;
        if flight.call == Call::Cache && o.status != AttemptStatus::Miss && !well {
            h.tried.push(flight.server);
        }
        let (others_out, class) = (h.out > 0, h.class);
        if o.request_finished || o.status == AttemptStatus::Served {
            self.cancel_rest(o.request, out);
            self.held.remove(&o.request);
            return;
        }
        if others_out && o.status != AttemptStatus::Miss {
            return; // Their outcomes decide.
        }
        if flight.call != Call::Cache && o.status == AttemptStatus::Rejected {
            return self.postpone(o.request, out);
        }
        // Repeating what may still run adds work just when things are slow: only on a budget.
        // Where each attempt opens a connection, one turned away has cost the server work all the same.
        let costly = self.crowded && flight.call == Call::Cache && o.status != AttemptStatus::Miss;
        if costly || !o.status.proves_not_run() {
            // Spoilt answers and broken connections are no sign that things are slow, and there are days with
            // many: a budget would run out, and the attempts of each request are few anyway.
            let cost = match o.status {
                AttemptStatus::Malformed | AttemptStatus::Reset => 0.0,
                // Against a few servers that fail half of what they get, of which one of many balancers meets
                // each too seldom to set it aside. Where all fail, one request in four goes again.
                AttemptStatus::Error if self.now - flight.sent < flight.slow_after => QUICK_ERROR,
                _ => 1.0,
            };
            let repeatable = match class.idempotency {
                Idempotency::Idempotent => true,
                // Where and until when its repeats are dropped, the sending looks to.
                Idempotency::WithKey { .. } => {
                    matches!(o.status, AttemptStatus::Malformed | AttemptStatus::Error | AttemptStatus::Reset)
                }
                Idempotency::NonIdempotent => false,
            };
            if !repeatable {
                return self.end(o.request, Reason::MayHaveRun, out);
            }
            if self.repeats < cost {
                return self.end(o.request, Reason::RetryBudgetExhausted, out);
            }
            self.repeats -= cost;
        }
        let sent = |policy: &Policy| policy.held.get(&o.request).map_or(0, |h| h.sent);
        let before = sent(self);
        self.step(o.request, out);
        if sent(self) > before {
            out.push(Action::Explain { request: o.request, reason: Reason::Retry(o.status) });
        }
    }

    /// What an outcome tells of its server and of the strain on the fleet, or of the origin.
    fn learn(&mut self, flight: &Flight, o: &Outcome, out: &mut Vec<Action>) {
        let Some(s) = self.servers.get_mut(&flight.server) else { return };
        s.in_flight = s.in_flight.saturating_sub(1);
        // The tables of the servers have no room for an idle connection from each of many balancers.
        if s.in_flight == 0 && self.crowded {
            out.push(Action::CloseIdle(flight.server));
        }
        if flight.call != Call::Cache {
            return self.learn_origin(flight, o, out);
        }
        self.cache_out -= 1;
        // A late answer has been counted when it became late: waiting for its end would lag the overload.
        if self.now - flight.sent < flight.slow_after {
            self.strain.add(f64::from(u8::from(o.status == AttemptStatus::Rejected)), 1.0);
        }
        match o.status {
            // A server that fails each request at once looks idle and would draw ever more of them.
            AttemptStatus::ConnectFailed
            | AttemptStatus::Reset
            | AttemptStatus::Error
            | AttemptStatus::Malformed => {
                // Against healthy servers taken for restarted ones: connections break for many reasons, a
                // process that is gone takes no new ones.
                s.unreachable = o.status == AttemptStatus::ConnectFailed;
                self.strike(flight.server, out);
            }
            AttemptStatus::TimedOut => s.unreachable = false,
            AttemptStatus::NotSent | AttemptStatus::Cancelled => {}
            _ => {
                let sample = (self.now - flight.sent) as f64 / (1.0 + s.held_per_core());
                if self.now - flight.sent < flight.slow_after {
                    self.ramp.1 += 1.0;
                }
                if o.status == AttemptStatus::Served {
                    self.service += if self.service == 0.0 { 1.0 } else { 0.1 } * (sample - self.service);
                }
                s.answered = 1.0 + s.answered_lately(self.now, flight.aim);
                (s.heard, s.strikes) = (self.now, s.strikes.saturating_sub(1));
                if s.aside.0 != 0 {
                    s.aside = (0, 0);
                    // It refused connections and answers again: a new process, cold, and the list is late.
                    if std::mem::take(&mut s.unreachable) {
                        s.line.started = s.line.started.max(self.now);
                    }
                    out.push(Action::Log(format!("server {} answers again: let back", flight.server)));
                }
            }
        }
    }

    /// A slow, failing or refusing origin lowers the gate's limit, within a floor; good answers restore it.
    fn learn_origin(&mut self, flight: &Flight, o: &Outcome, out: &mut Vec<Action>) {
        // Nothing joins a fetch that has ended, nor one that is older than a write of its key.
        let own = self.joinable.get(&flight.key) == Some(&(o.request, o.attempt));
        if own || flight.call == Call::Write {
            self.joinable.remove(&flight.key);
        }
        if flight.call == Call::Joined {
            return; // The call that it shared tells it.
        }
        let most = self.gate_out();
        let slow = self.now - flight.sent > (self.origin_aim as f64 * ORIGIN_SLOW) as Micros;
        let answered = matches!(o.status, AttemptStatus::Served | AttemptStatus::Malformed);
        // Against handshakes across zones taken for congestion: kept connections tell the origin's own time.
        let told = self.gate.heard_kept != 0 && self.now < self.gate.heard_kept + ASIDE.1 * self.aim;
        let handshake =
            answered && slow && o.first_on_connection && told && self.now - flight.sent <= self.aim;
        let balancers = f64::from(self.settings.nodes.max(1));
        // One of many sees few answers, and each of them counts for more.
        let (least, step) = (GATE_LEAST / balancers, (balancers / GATE_STEP).max(2.0));
        let jitter = self.rng.unit();
        let g = &mut self.gate;
        g.leave(flight.call);
        let was = g.limit;
        if handshake {
            return;
        }
        if answered && !o.first_on_connection {
            g.heard_kept = self.now;
        }
        // Against many balancers whose single fetches keep the origin's queue so long that writes are late.
        if o.status != AttemptStatus::NotSent {
            g.pace = if slow { g.pace / step } else { g.pace * step }.clamp(least.min(1.0), 1.0);
            // However many they are, it is asked again now and then.
            let took =
                ((self.now - flight.sent) as f64 * (1.0 / g.pace - 1.0)).min((ASIDE.1 * self.aim) as f64);
            g.fetch_at = self.now + (took * (0.5 + jitter)) as Micros;
        }
        // What it answered can't be read, but it answered: no sign of congestion. Nor is a broken connection.
        if answered && !slow {
            g.limit = (g.limit + 1.0 / g.limit).min(most);
        } else if (o.status != AttemptStatus::Reset || slow)
            && o.status != AttemptStatus::NotSent
            && flight.sent >= g.cut_at
        {
            // One cut for all calls that were out together.
            g.cut_at = self.now;
            g.limit = (g.limit * GATE_CUT.0).max(most * GATE_CUT.1);
        }
        log_crossing(out, was, g.limit, most / 4.0, "gate lowered: origin slow", "gate restored");
    }

    /// A server that fails several times in a row, with no answer between, is set aside for a while.
    fn strike(&mut self, server: ServerId, out: &mut Vec<Action>) {
        let Some(s) = self.servers.get_mut(&server) else { return };
        s.strikes += 1;
        let trial_failed = s.aside.0 != 0 && self.now >= s.aside.0;
        if trial_failed || (s.aside.0 == 0 && s.strikes >= STRIKES) {
            let time = (s.aside.1 * 2).clamp(self.aim * ASIDE.0, self.aim * ASIDE.1);
            s.aside = (self.now + time, time);
            out.push(Action::Log(format!("server {server} fails or is silent: set aside")));
        }
    }

    /// An attempt has had no answer for long: a sign of overload, and against silent and hanging servers a
    /// strike when the server has answered nothing since.
    fn patience(&mut self, id: RequestId, attempt: u16, out: &mut Vec<Action>) {
        let Some(&f) = self.flights.get(&(id, attempt)) else { return };
        let lost = self.lost(&f);
        if lost {
            self.send_again(id, &f, out);
        }
        if f.call != Call::Cache {
            return;
        }
        let (age, patience) = (self.now - f.sent, f.slow_after + 1);
        // Half a sign when it becomes slow, and is counted, and half when nearly late: slow is not yet lost.
        self.strain.add(
            if age < f.aim && !lost { 0.5 } else { 0.0 },
            if age < patience * 3 / 2 { 1.0 } else { 0.0 },
        );
        if age < patience * 3 / 2 {
            self.hedge(id, f.server, out);
        }
        if age < f.aim {
            return self.wake(patience, Wake::Patience(id, attempt));
        }
        // One strike for one attempt: a single slow request is no sign of a sick server.
        if self.servers.get(&f.server).is_some_and(|s| s.heard < f.sent) {
            self.strike(f.server, out);
        }
    }

    /// Whether an answer will not come, though the server is well: a connection fell silent, not the server.
    fn lost(&self, f: &Flight) -> bool {
        let age = (self.now - f.sent) as f64;
        let s = self.servers.get(&f.server);
        s.is_some_and(|s| s.takes > 0.0 && age > LOST * s.takes && s.answered_sent > f.sent)
    }

    /// Against answers that are lost: the same call is made once more, where it was, within the budget of
    /// repeats and, at the origin, through the gate. Without it each would cost its request all its time.
    fn send_again(&mut self, id: RequestId, f: &Flight, out: &mut Vec<Action>) {
        let only = self.held.get(&id).is_some_and(|h| h.out == 1);
        let call = if f.call == Call::Joined { Call::Fetch } else { f.call };
        let open = only && self.repeats >= 1.0 && (call == Call::Cache || self.gate_open(call));
        if open && self.send(id, f.server, call, out) {
            self.repeats -= 1.0;
            out.push(Action::Explain { request: id, reason: Reason::ResponseLost });
        }
    }

    /// Against a slow or silent server, of which one of many balancers sees too little to avoid it: a read
    /// that waits long is sent to the next server too. Where it sees enough, a copy would only add a fetch.
    fn hedge(&mut self, id: RequestId, server: ServerId, out: &mut Vec<Action>) {
        let starts = !self.ramped(); // What it waits for is the crowd of a start, and no sign of this server.
        let Some(h) = self.held.get_mut(&id).filter(|h| h.out == 1 && !h.missed) else { return };
        let known = self.servers.get(&server).is_some_and(|s| s.answered_lately(self.now, self.aim) >= PRIOR);
        let may = h.class.idempotency == Idempotency::Idempotent
            && self.settings.may_duplicate
            && self.repeats >= 1.0;
        if starts || known || !may {
            return;
        }
        h.tried.push(server);
        if self.pick(id).is_some_and(|next| self.send(id, next, Call::Cache, out)) {
            self.repeats -= 1.0;
            out.push(Action::Explain { request: id, reason: Reason::Hedged });
        }
    }

    // A request ends.

    /// At the aim, where late answers earn nothing, an attempt at a cache server only crowds out those that
    /// can still be in time. A call to the origin runs on anyway, and its answer fills the cache.
    fn time_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(h) = self.held.get(&id) else { return };
        let origin = |attempt| self.flights.get(&(id, attempt)).is_some_and(|f| f.call != Call::Cache);
        if self.now >= h.ends || !(0..h.sent).any(origin) {
            self.end(id, Reason::DeadlineExceeded, out);
        }
    }

    /// The one place that gives a final answer: a refusal where a retry is harmless, else a failure.
    fn end(&mut self, id: RequestId, reason: Reason, out: &mut Vec<Action>) {
        let Some(h) = self.held.get(&id) else { return };
        out.push(Action::Explain { request: id, reason });
        // A quota is of answers: what was not served is given back, else one held to its quota gets less.
        let charged = h.charged.filter(|_| self.level >= LEVEL.1);
        charged.and_then(|tenant| self.senders.get_mut(tenant)).into_iter().for_each(Bucket::give_back);
        let (class, harmless) = (h.class, h.may_have_run.is_empty());
        let back_after = h.back_after;
        // A refused client is told to come back after the delay of a blocked call, random as that is: told to
        // wait for longer it comes back too late, and its answer takes another's place.
        out.push(match class.idempotency == Idempotency::Idempotent || harmless {
            true => {
                // Nor before an origin that has stopped may be called again.
                let shut =
                    if h.missed || h.write { self.gate.shut_until.saturating_sub(self.now) } else { 0 };
                let retry_after =
                    (shut + self.delay(class).max(back_after)).min(self.settings.max_retry_after);
                Action::Reject { request: id, retry_after }
            }
            false => Action::Fail(id),
        });
        self.cancel_rest(id, out);
        self.held.remove(&id);
    }

    /// Work that nobody waits for is wasted and holds up the rest.
    fn cancel_rest(&self, id: RequestId, out: &mut Vec<Action>) {
        let sent = self.held.get(&id).filter(|h| h.out > 0 && self.settings.may_cancel).map_or(0, |h| h.sent);
        let out_still = (0..sent).filter(|attempt| self.flights.contains_key(&(id, *attempt)));
        out.extend(out_still.map(|attempt| Action::Cancel { request: id, attempt }));
    }

    // The server list.

    fn server_list(&mut self, kind: ListUpdate, lines: Vec<ServerEntry>) {
        self.asked_again = if kind == ListUpdate::Cached { self.asked_again } else { 0 };
        if kind != ListUpdate::Delta {
            self.servers.values_mut().for_each(|s| s.line.condition = Condition::Gone);
        }
        for line in lines {
            let s = self.servers.entry(line.id).or_default();
            s.origin = self.settings.origin_kind == Some(line.kind);
            s.excluded = self.excluded.contains(&line.id);
            // Against one attempt of each of many balancers, more than a cold server bears at once: where
            // their parts are unequal, each waits for its first until its own part has come.
            if line.sharing_nodes != 0
                && (line.started > s.line.started || line.sharing_nodes != s.line.sharing_nodes)
            {
                let attempts = unit_hash(u64::from(self.settings.node_index), line.id, 4);
                s.spent = Spent { attempts, at: self.now };
            }
            // A new process starts with a clean record. One presumed cold stays so until the list knows.
            if line.started > s.line.started {
                (s.strikes, s.aside) = (0, (0, 0));
            }
            s.size = if self.settings.weights_are_live { s.size.max(line.weight) } else { line.weight };
            let started = if line.started == 0 { 0 } else { line.started.max(s.line.started) };
            s.line = ServerEntry { started, ..line };
        }
        // Gone and owing nothing: forgotten here, as a walk over the fleet at each review cost much CPU.
        self.servers.retain(|_, s| s.line.condition != Condition::Gone || s.in_flight > 0);
        self.weigh();
    }

    /// A person takes a server out or puts it back: that holds whatever lists say. Put back, what is known of
    /// it from before is of another process.
    fn exclude(&mut self, server: ServerId, excluded: bool, out: &mut Vec<Action>) {
        let changed = if excluded { self.excluded.insert(server) } else { self.excluded.remove(&server) };
        if let Some(s) = self.servers.get_mut(&server).filter(|_| changed) {
            s.excluded = excluded;
            if excluded {
                out.push(Action::CloseIdle(server));
            } else {
                (s.strikes, s.aside, s.unreachable, s.back) = (0, (0, 0), false, self.now.max(1));
                // Taken out to be restarted: cold, and the list that tells so may be late.
                s.line.started = s.line.started.max(self.now);
            }
            self.weigh();
        }
    }

    /// How many of the cache servers that are listed are avoided now, by people or by choice.
    pub fn avoided_server_count(&self) -> usize {
        let listed = |s: &&Server| !s.origin && s.line.condition != Condition::Gone;
        let avoided = |s: &&Server| s.excluded || s.aside.0 != 0;
        self.servers.values().filter(listed).filter(avoided).count()
    }

    /// Discovery has little capacity: it is asked again later, and not by all at once. It had been silent for
    /// a time before the call failed: however many fail, the next comes before what it tells counts as told.
    fn discovery_failed(&mut self, silent: Micros, out: &mut Vec<Action>) {
        let most = SILENT_AGAIN.saturating_sub(silent) as f64;
        let (from, to) = ASK_AGAIN[self.asked_again];
        // However short that is, not without a pause; spread all the same where it is too long.
        let within = (self.settings.list_staleness_limit.max(1_000_000) as f64).min(most / to);
        let delay = within * (from + (to - from) * self.rng.unit());
        self.asked_again = (self.asked_again + 1).min(ASK_AGAIN.len() - 1);
        self.wake(delay as Micros, Wake::Subscribe);
        out.push(Action::Log("discovery call failed or subscription lost: asking again".into()));
    }

    // Now and then.

    /// Moves the level that tenants are held to, by the strain seen lately.
    fn review(&mut self, out: &mut Vec<Action>) {
        // However short an aim is, a review is no busy loop.
        let period = (self.aim / 8).max(self.settings.tick).max(5_000);
        let was = self.level;
        let strain = self.strain.value();
        let (floor, hold) = if strain > STRAIN.1 { (LEVEL.0, false) } else { (LEVEL.1, strain > STRAIN.0) };
        // It hastens in a jam, which grows by itself, and where few or no requests are left to judge by.
        let haste = strain > STRAIN.1 || was < LEVEL.1 || (self.cache_out == 0 && strain <= 0.0);
        let part = if haste { 1.0 } else { (self.strain.fresh / LEVEL_STEPS.2).min(1.0) };
        self.level = match strain > STRAIN.1 || (hold && was > LEVEL.1) {
            true => (was * LEVEL_STEPS.0.powf(part)).max(floor),
            false => (was * LEVEL_STEPS.1.powf(part)).min(if hold { LEVEL.1 } else { LEVEL.2 }),
        };
        log_crossing(out, was, self.level, LEVEL.2, "shedding over quota has begun", "shedding has ended");
        self.strain.fade(FADE.0, FADE.1);
        self.gate.pressed.fade(FADE.0, FADE.1);
        self.admitted.roll(period);
        self.wake(period, Wake::Review);
    }
}

//! This node among the others: the socket at `peer_listen` round the machine of `stonevane-membership`, which decides all.
//!
//! A turn reads a bounded number of datagrams, and a flood of them waits with the machine or is dropped there: no request
//! is delayed for it. What is refused is counted and not logged.

use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::{Value, json};
use stonevane_config::operator;
use stonevane_membership::{Input as Heard, Machine, MemberStatus, Outputs, Setup, State};
use stonevane_policy::Micros;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::{sleep, sleep_until};

use crate::clock::Clock;
use crate::config::Config;

/// Datagrams that are read in a turn, and how long the next turn waits after a full one.
const TURN: (usize, Duration) = (32, Duration::from_millis(2));
/// Longer datagrams than the platform carries are seen to be too long, and no more of them is read.
const SCRATCH: usize = 512;
/// Members there may be.
const MOST: usize = 4_096;

/// What a node is told of its fleet.
#[derive(Debug)]
pub struct MembershipConfig {
    setup: Setup,
    listen: SocketAddr,
    peers: Vec<SocketAddr>,
}

impl MembershipConfig {
    /// The addresses of a newer configuration, each at its number's place.
    ///
    /// # Errors
    /// A line for each thing that is wrong.
    pub fn addresses(config: &Config) -> Result<Vec<SocketAddr>, Vec<String>> {
        let mut wrong = Vec::new();
        let mut places: HashMap<SocketAddr, usize> = HashMap::new();
        let mut peers = Vec::with_capacity(config.peers.len());
        for (number, text) in config.peers.iter().enumerate() {
            let Ok(peer) = text.parse::<SocketAddr>() else {
                wrong.push(format!("[fleet]: unusable peers[{number}] in the configuration: {text:?}"));
                continue;
            };
            if let Some(first) = places.insert(peer, number) {
                wrong.push(format!("[fleet]: `peers` names {peer} twice, as {first} and {number}"));
            }
            peers.push(peer);
        }
        let me = config.deployment.settings.node_index;
        if !(1..=MOST).contains(&config.peers.len()) {
            wrong.push(format!("[fleet]: `peers` names {} nodes; 1 to {MOST}", config.peers.len()));
        } else if me as usize >= config.peers.len() {
            let count = config.peers.len();
            wrong.push(format!("[fleet]: this node has number {me}, and `peers` names {count}"));
        }
        if wrong.is_empty() { Ok(peers) } else { Err(wrong) }
    }

    /// Reads it from the configuration.
    ///
    /// # Errors
    /// A line for each thing that is wrong.
    pub fn new(told: &operator::Fleet, config: &Config) -> Result<MembershipConfig, Vec<String>> {
        let listen = config.peer_listen.parse::<SocketAddr>().map_err(|_| {
            format!("[fleet]: unusable peer_listen in the configuration: {:?}", config.peer_listen)
        });
        let (listen, peers) = match (listen, MembershipConfig::addresses(config)) {
            (Ok(listen), Ok(peers)) => (listen, peers),
            (listen, peers) => {
                return Err(listen.err().into_iter().chain(peers.err().into_iter().flatten()).collect());
            }
        };
        let me = config.deployment.settings.node_index;
        let micros = |time: Duration| time.as_micros() as Micros;
        let setup = Setup {
            me: me as u16,
            members: peers.len() as u16,
            period: micros(told.period),
            answer: micros(told.answer),
            indirect: told.indirect,
            suspicion: told.suspicion,
            heeds_health: told.heeds_health,
            key: told.key,
            speaks: told.speaks,
            seed: config.seed,
            // From the machine, and not from the configuration's seed or a clock: two starts never have the same.
            draw: RandomState::new().hash_one(std::process::id()) as u32,
        };
        Ok(MembershipConfig { setup, listen, peers })
    }
}

struct Inner {
    machine: Machine,
    outputs: Outputs,
    peers: Vec<SocketAddr>,
    numbers: HashMap<SocketAddr, u16>,
}

/// The number of each, by its address.
fn numbers(peers: &[SocketAddr]) -> HashMap<SocketAddr, u16> {
    peers.iter().enumerate().map(|(number, peer)| (*peer, number as u16)).collect()
}

/// This node among the others.
pub struct Membership {
    inner: Mutex<Inner>,
    socket: UdpSocket,
    period: Micros,
    clock: Clock,
    /// Datagrams from addresses that are none of the peers', and such that the machine did not take.
    strangers: AtomicU64,
    unsent: AtomicU64,
    changed: Notify,
}

impl Membership {
    /// Opens the socket.
    ///
    /// # Errors
    /// Where the address can't be had.
    pub async fn start(part: MembershipConfig, clock: Clock) -> std::io::Result<Arc<Membership>> {
        let MembershipConfig { setup, listen, peers } = part;
        let socket = UdpSocket::bind(listen).await;
        let socket =
            socket.map_err(|e| std::io::Error::new(e.kind(), format!("peer_listen {listen}: {e}")))?;
        // One line for each change of state; the node's own log stays as it is.
        let _ = tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).try_init();
        tracing::info!(me = setup.me, members = setup.members, %listen, keyed = setup.key.is_some(), "fleet");
        let period = setup.period;
        let machine = Machine::new(clock.now(), setup);
        let inner = Inner { machine, outputs: Outputs::default(), numbers: numbers(&peers), peers };
        Ok(Arc::new(Membership {
            inner: Mutex::new(inner),
            socket,
            period,
            clock,
            strangers: AtomicU64::new(0),
            unsent: AtomicU64::new(0),
            changed: Notify::new(),
        }))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes part until the process ends; tells how many share the fleet's limits, where that changes.
    pub async fn run(self: Arc<Self>, share: impl Fn(u32)) {
        self.tell(Heard::Wake);
        let (mut sharers, mut full) = (0, false);
        loop {
            let next = self.lock().machine.next();
            tokio::select! {
                ready = async {
                    if full {
                        sleep(TURN.1).await;
                    }
                    self.socket.readable().await
                } => {
                    full = ready.is_ok() && self.receive();
                    if ready.is_err() {
                        sleep(TURN.1).await;
                    }
                }
                () = sleep_until(self.clock.instant(next)) => self.tell(Heard::Wake),
                () = self.changed.notified() => {}
            }
            let known = self.lock().machine.known() as u32;
            if known != std::mem::replace(&mut sharers, known) {
                share(known);
            }
        }
    }

    /// Takes the list of peers of a newer configuration: members that have moved are spoken to where they are now, new
    /// ones as such that were never heard. Numbers are for good, so that a list of fewer is not taken.
    ///
    /// # Errors
    /// What is wrong with it, a line for each thing; the old list stays.
    pub fn readdress(&self, config: &Config) -> Result<(), Vec<String>> {
        let peers = MembershipConfig::addresses(config)?;
        let before = {
            let mut inner = self.lock();
            if peers.len() < inner.peers.len() {
                let (now, before) = (peers.len(), inner.peers.len());
                return Err(vec![format!("[fleet]: `peers` names {now} nodes, and named {before} before")]);
            }
            inner.numbers = numbers(&peers);
            std::mem::replace(&mut inner.peers, peers.clone())
        };
        let moved = before.iter().zip(&peers).filter(|(before, now)| before != now).count();
        if moved > 0 || before.len() < peers.len() {
            tracing::info!(members = peers.len(), moved, "peers");
            self.tell(Heard::Members(peers.len() as u16));
            self.changed.notify_one();
        }
        Ok(())
    }

    /// Says that this node ends.
    pub fn leave(&self) {
        self.tell(Heard::Leave);
        self.changed.notify_one();
    }

    /// Reads what has come, a bounded number; whether there may be more.
    fn receive(&self) -> bool {
        let mut scratch = [0; SCRATCH];
        for _ in 0..TURN.0 {
            let Ok((length, from)) = self.socket.try_recv_from(&mut scratch) else { return false };
            let number = self.lock().numbers.get(&from).copied();
            match number {
                Some(number) => self.tell(Heard::Datagram(number, &scratch[..length])),
                None => drop(self.strangers.fetch_add(1, Ordering::Relaxed)),
            }
        }
        true
    }

    /// Tells the machine, and sends what it says.
    fn tell(&self, heard: Heard<'_>) {
        let mut inner = self.lock();
        let inner = &mut *inner;
        inner.machine.handle(self.clock.now(), heard, &mut inner.outputs);
        while let Some((to, bytes)) = inner.outputs.sends.pop_front() {
            let peer = inner.peers[usize::from(to)];
            if self.socket.try_send_to(&bytes, peer).is_err() {
                self.unsent.fetch_add(1, Ordering::Relaxed);
            }
        }
        for news in inner.outputs.news.drain(..) {
            let (was, now) = (news.was.map_or("unknown", State::name), news.now);
            tracing::info!(
                member = now.member,
                was,
                now = now.state.name(),
                by = now.by,
                generation = now.instance.generation,
                draw = now.instance.nonce,
                incarnation = now.incarnation,
                "member"
            );
        }
    }

    /// What this node knows of the others, as JSON; `brief`: a letter for each.
    pub fn report(&self, now: Micros, brief: bool) -> String {
        let inner = self.lock();
        if brief {
            let letter = |member| inner.machine.state(member).map_or("?", |state| &state.name()[..1]);
            let view: String = (0..inner.peers.len() as u16).map(letter).collect();
            return json!({ "view": view }).to_string();
        }
        let (status, peers) = (inner.machine.status(), inner.peers.clone());
        drop(inner);
        let ago = |at: Option<Micros>| at.map(|at| now.saturating_sub(at) / 1_000);
        let member = |entry: &MemberStatus| -> Value {
            let record = entry.record;
            json!({
                "member": entry.member, "address": peers[usize::from(entry.member)].to_string(),
                "state": entry.state.map_or("unknown", State::name), "for_ms": ago(record.map(|_| entry.since)),
                "by": record.map(|r| r.by), "generation": record.map(|r| r.instance.generation),
                "life": record.map(|r| r.instance.nonce), "incarnation": record.map(|r| r.incarnation),
                "accusers": entry.accusers, "health": entry.health, "heard_ms": ago(entry.heard),
                "answered_ms": ago(entry.answered), "unanswered_ms": ago(entry.unanswered),
                "link": if entry.member == status.me { "self" } else if entry.hears_not() { "does not hear this node" }
                    else if entry.unheard() { "is not heard" } else if entry.answers() { "both ways" } else { "not known" },
            })
        };
        let counts = status.counts;
        json!({
            "me": status.me, "life": status.life.nonce, "generation": status.life.generation,
            "incarnation": status.incarnation, "health": status.health, "digest": format!("{:08x}", status.digest),
            "period_ms": self.period / 1_000, "alone_ms": ago(status.alone),
            "members": status.members.iter().map(member).collect::<Vec<_>>(),
            "datagrams": {
                "sent": counts.sent, "sent_bytes": counts.sent_bytes, "heard": counts.heard,
                "heard_bytes": counts.heard_bytes, "unsent": self.unsent.load(Ordering::Relaxed),
                "refused": {
                    "stranger": self.strangers.load(Ordering::Relaxed), "length": counts.refused_length,
                    "version": counts.refused_version, "digest": counts.refused_digest, "form": counts.refused_form,
                    "address": counts.refused_address, "old": counts.refused_old,
                },
            },
            "probes_failed": counts.probes_failed, "accused": counts.accused, "declared": counts.declared,
            "refuted": counts.refuted, "stood_still": counts.stood_still, "claimed": counts.claimed,
        })
        .to_string()
    }
}

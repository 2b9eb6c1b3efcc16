//! The server side: the listener, clients' connections, and the commands on them.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use spardeal::settings::Deployment;
use spardeal::{Key, Micros};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, mpsc, watch};
use xxhash_rust::xxh3::xxh3_64;

use crate::node::{Clock, Input};
use crate::resp;

/// Names a client's connection; never used twice.
pub type ClientId = u64;

/// Requests of one connection that are answered at the same time; more wait unread.
pub const PIPELINE: usize = 64;
/// While so much waits to be written to a client, nothing more is read from it.
const OUT_LIMIT: usize = 64 * 1024;
/// A client that takes nothing of its answers, or leaves a command half sent, for so long is cut off.
const STALLED: Duration = Duration::from_secs(20);
/// The longest key, id and list of facts.
const MAX_WORD: usize = 512;

/// What all connections of clients share.
pub struct Front {
    pub deployment: Arc<Deployment>,
    pub clock: Clock,
    pub hub: mpsc::Sender<Input>,
    /// Where the node stands.
    pub phase: watch::Receiver<Phase>,
    /// Connections that may still be taken, those for refusals included.
    pub room: Arc<Semaphore>,
    /// How many of these are kept for refusals.
    pub refusals: usize,
    /// Wakes the connection that has been idle for longest, to give its place up.
    pub pressure: Notify,
    /// Requests that may still be taken; one counts until its answer is passed on, which bounds memory.
    pub open: Arc<Semaphore>,
}

impl Front {
    /// Whether only places for refusals are left.
    fn crowded(&self) -> bool {
        self.room.available_permits() < self.refusals
    }
}

/// Where the node stands.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Phase {
    /// It has no list of servers yet.
    Starting,
    /// It serves.
    Ready,
    /// It ends: connections are closed between requests.
    Draining,
}

/// A command of a client.
#[derive(Debug, Clone, Default)]
pub struct Command {
    pub write: bool,
    pub key: Bytes,
    pub id: Bytes,
    pub facts: String,
    pub value: Option<Bytes>,
    pub class: usize,
    pub tenant: usize,
    pub time_left: Micros,
    pub repeat: bool,
    pub cost: Option<Micros>,
    pub size: f32,
}

impl Command {
    /// The key as the module knows it, the same at every node.
    pub fn hashed_key(&self) -> Key {
        let text = std::str::from_utf8(&self.key).ok();
        let hex = text.filter(|t| t.len() == 16).and_then(|t| u64::from_str_radix(t, 16).ok());
        hex.unwrap_or_else(|| xxh3_64(&self.key)).max(1)
    }
}

/// A command on its way to the node, and where its answer goes.
#[derive(Debug)]
pub struct Asked {
    pub command: Command,
    pub at: Micros,
    pub client: ClientId,
    pub slot: u64,
    pub answers: mpsc::Sender<(u64, Bytes)>,
}

/// Takes connections until the node drains, then those that the machine has already taken.
pub async fn listen(listener: TcpListener, front: Arc<Front>) {
    let mut phase = front.phase.clone();
    let mut next: ClientId = 0;
    loop {
        // A table with no place left at all leaves newcomers waiting with the machine until one is free.
        if front.room.available_permits() == 0 {
            front.pressure.notify_one();
        }
        let Ok(permit) = front.room.clone().acquire_owned().await else { return };
        let draining = *phase.borrow() == Phase::Draining;
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = tokio::time::sleep(Duration::from_millis(5)), if draining => return,
            _ = phase.changed(), if !draining => continue,
        };
        match accepted {
            Ok((stream, _)) => {
                next += 1;
                // Against requests lost in a full table: the machine has taken a newcomer's request before the
                // node has. An idle connection makes room for it; where all are busy it is refused at once.
                let crowded = front.crowded();
                if crowded {
                    front.pressure.notify_one();
                }
                tokio::spawn(serve(stream, front.clone(), next, crowded, permit));
            }
            // Out of descriptors, or the client has left: neither ends the node.
            Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
}

/// Why a connection of a client ends.
#[derive(Debug, PartialEq)]
enum Ended {
    /// The client has closed it, or takes nothing.
    Gone,
    /// The node closes it: between requests, or after input that lost its framing.
    Closed,
}

async fn serve(
    stream: TcpStream,
    front: Arc<Front>,
    client: ClientId,
    late: bool,
    _permit: OwnedSemaphorePermit,
) {
    let _ = stream.set_nodelay(true);
    let (answers, answered) = mpsc::channel(PIPELINE + 1);
    let mut session = Session {
        stream,
        client,
        answers,
        answered,
        input: BytesMut::new(),
        output: BytesMut::new(),
        slots: VecDeque::new(),
        first: 0,
        broken: false,
        late,
        front,
    };
    let ended = session.run().await;
    if ended == Ended::Gone {
        let _ = session.front.hub.send(Input::ClientGone(client)).await;
    } else if session.broken {
        linger(&mut session.stream).await;
    }
}

/// Reads on for a moment after the last answer: a close with input unread would reset the connection and
/// could take the answer away from the client.
async fn linger(stream: &mut TcpStream) {
    let _ = stream.shutdown().await;
    let mut sink = [0u8; 4096];
    let rest = async {
        for _ in 0..256 {
            if !matches!(stream.read(&mut sink).await, Ok(count) if count > 0) {
                return;
            }
        }
    };
    let _ = tokio::time::timeout(Duration::from_millis(500), rest).await;
}

/// The place of one answer; `None` while it is owed. The permit counts it among the open requests.
struct Slot(Option<Bytes>, #[expect(dead_code, reason = "held for its drop")] Option<OwnedSemaphorePermit>);

struct Session {
    stream: TcpStream,
    client: ClientId,
    answers: mpsc::Sender<(u64, Bytes)>,
    answered: mpsc::Receiver<(u64, Bytes)>,
    input: BytesMut,
    output: BytesMut,
    /// Answers in the order of their commands.
    slots: VecDeque<Slot>,
    /// Number of the first slot.
    first: u64,
    /// The framing of the input is lost: nothing more is read.
    broken: bool,
    /// It came when there were only places for refusals left.
    late: bool,
    front: Arc<Front>,
}

impl Session {
    async fn run(&mut self) -> Ended {
        let mut phase = self.front.phase.clone();
        loop {
            while !self.broken && self.slots.len() < PIPELINE && self.output.len() < OUT_LIMIT {
                match resp::take_command(&mut self.input) {
                    Ok(Some(words)) => self.command(words).await,
                    Ok(None) => break,
                    Err(resp::Malformed(what)) => {
                        self.answer_now(format!("-ERR protocol error: {what}\r\n"));
                        self.broken = true;
                    }
                }
            }
            while self.output.len() < OUT_LIMIT && self.slots.front().is_some_and(|slot| slot.0.is_some()) {
                let answer = self.slots.pop_front().and_then(|slot| slot.0).unwrap_or_default();
                self.first += 1;
                self.output.extend_from_slice(&answer);
            }
            let owes = !self.slots.is_empty() || !self.output.is_empty();
            let draining = *phase.borrow() == Phase::Draining;
            let reading = !self.broken && self.slots.len() < PIPELINE && self.output.len() < OUT_LIMIT;
            if !owes && self.broken {
                return Ended::Closed;
            }
            let between = !owes && self.input.is_empty();
            let half = !self.output.is_empty() || (self.slots.is_empty() && !self.input.is_empty());
            if !self.output.is_empty() {
                match self.stream.try_write(&self.output) {
                    Ok(count) => {
                        let _ = self.output.split_to(count);
                        continue;
                    }
                    Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                    Err(_) => return Ended::Gone,
                }
            }
            if self.output.is_empty() {
                // The room that a large answer took is given back.
                self.output = BytesMut::new();
            }
            tokio::select! {
                biased;
                answer = self.answered.recv() => {
                    if let Some((slot, bytes)) = answer
                        && let Some(place) = self.slots.get_mut(slot.saturating_sub(self.first) as usize)
                    {
                        place.0 = Some(bytes);
                    }
                }
                ready = self.stream.readable(), if reading => {
                    if ready.is_err() {
                        return Ended::Gone;
                    }
                    self.input.reserve(4096);
                    match self.stream.try_read_buf(&mut self.input) {
                        Ok(0) => return Ended::Gone,
                        Ok(_) => {}
                        Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                        Err(_) => return Ended::Gone,
                    }
                }
                ready = self.stream.writable(), if !self.output.is_empty() => {
                    if ready.is_err() {
                        return Ended::Gone;
                    }
                }
                _ = phase.changed(), if !draining => {}
                () = std::future::ready(()), if draining && between => return Ended::Closed,
                () = self.front.pressure.notified(), if between && self.first > 0 => return Ended::Closed,
                () = tokio::time::sleep(STALLED), if half => return Ended::Gone,
            }
        }
    }

    fn answer_now(&mut self, answer: impl Into<Bytes>) {
        self.slots.push_back(Slot(Some(answer.into()), None));
    }

    async fn command(&mut self, words: Vec<Bytes>) {
        let at = self.front.clock.now();
        let name = words.first().map(|name| name.to_ascii_uppercase()).unwrap_or_default();
        let command = match name.as_slice() {
            b"PING" => {
                let starting = *self.front.phase.borrow() == Phase::Starting;
                return self.answer_now(if starting {
                    "-LOADING no list of servers yet\r\n"
                } else {
                    "+PONG\r\n"
                });
            }
            b"OBJ.GET" => parse(&words, false, &self.front.deployment),
            b"OBJ.SET" => parse(&words, true, &self.front.deployment),
            _ => Err("unknown command"),
        };
        match command {
            // Forced by the input: the module can't be told of a request that names none of its classes.
            Err(what) => self.answer_now(format!("-ERR {what}\r\n")),
            Ok(command) => {
                // Forced by a full table of sockets: refused, as it was never sent, and its place is free again.
                if self.late && self.front.crowded() {
                    self.broken = true;
                    return self.answer_now("-BUSY\r\n");
                }
                self.late = false;
                // Forced by memory: a request that finds the table full is turned away, and was never sent.
                let Ok(permit) = self.front.open.clone().try_acquire_owned() else {
                    return self.answer_now("-BUSY\r\n");
                };
                let slot = self.first + self.slots.len() as u64;
                self.slots.push_back(Slot(None, Some(permit)));
                let (client, answers) = (self.client, self.answers.clone());
                let asked = Box::new(Asked { command, at, client, slot, answers });
                let _ = self.front.hub.send(Input::Asked(asked)).await;
            }
        }
    }
}

/// Reads a command's words.
fn parse(words: &[Bytes], write: bool, deployment: &Deployment) -> Result<Command, &'static str> {
    if words.len() != if write { 5 } else { 4 } {
        return Err("wrong number of arguments");
    }
    // What goes on to a server must not break its framing there.
    let plain = |word: &Bytes| word.len() <= MAX_WORD && word.iter().all(u8::is_ascii_graphic);
    if !words[1..4].iter().all(plain) || words[1].is_empty() || words[2].is_empty() {
        return Err("invalid key, id or facts");
    }
    let facts = String::from_utf8_lossy(&words[3]).into_owned();
    let (mut class, mut tenant, mut wait) = (None, None, None);
    let mut command = Command { write, key: words[1].clone(), id: words[2].clone(), ..Command::default() };
    for fact in facts.split(',').filter(|fact| !fact.is_empty()) {
        let (name, value) = fact.split_once('=').ok_or("invalid facts")?;
        let place = |names: &[String]| names.iter().position(|known| known == value);
        match name {
            "c" => class = Some(place(&deployment.classes).ok_or("unknown class")?),
            "t" if !deployment.tenants.is_empty() => {
                tenant = Some(place(&deployment.tenants).ok_or("unknown tenant")?)
            }
            "d" => {
                let ms: f64 = value.parse().map_err(|_| "invalid d")?;
                wait = Some((ms * 1e3) as Micros);
            }
            "r" => command.repeat = value == "1",
            "h" => command.cost = value.parse().ok(),
            "size" => command.size = value.parse().unwrap_or(0.0),
            _ => {}
        }
    }
    command.class = class.ok_or("no class")?;
    command.tenant = tenant.unwrap_or(0);
    let deadline = deployment.settings.classes[command.class].deadline;
    command.time_left = wait.unwrap_or(deadline).min(60_000_000);
    command.value = words.get(4).cloned();
    command.facts = facts;
    Ok(command)
}

//! The RESP2 front: the listener, clients' connections, and the commands on them.

use std::collections::{HashSet, VecDeque};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use spardeal::settings::Deployment;
use spardeal::{Effect, Micros};
use stonevane_codec::resp;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, mpsc};
use tokio::time::{Instant, sleep_until};

use super::Front;
use crate::hub::Input;
use crate::memory::Share;
use crate::request::{Answer, Asked, ClientId, Command, Final, Phase};

/// Requests of one connection that are answered at the same time; more wait unread. The first figure holds
/// until it is known how long the answers are: together they may hold the third, as a part of the memory.
const PIPELINE: (usize, usize, usize) = (16, 64, 16);
/// After an error that ends a connection, its client's input is read on for so long, and so much of it.
const LINGER: (Duration, usize) = (Duration::from_millis(200), 256 * 1024);
/// Input is read in pieces of this size; a command that is longer has to wait for memory.
const PIECE: usize = 4096;
/// The longest key, id and list of facts.
const MAX_WORD: usize = 512;
/// The longest wait that a client may state, in milliseconds, unless its class allows for a longer one.
const MAX_WAIT_MS: f64 = 60_000.0;

/// An id while its request is open. Against a client that names another's: the second is not taken.
struct Id(Bytes, Arc<Mutex<HashSet<Bytes>>>);

impl Id {
    fn claim(id: &Bytes, ids: &Arc<Mutex<HashSet<Bytes>>>) -> Option<Id> {
        let new = ids.lock().unwrap_or_else(PoisonError::into_inner).insert(id.clone());
        new.then(|| Id(id.clone(), ids.clone()))
    }
}

impl Drop for Id {
    fn drop(&mut self) {
        self.1.lock().unwrap_or_else(PoisonError::into_inner).remove(&self.0);
    }
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
        if front.table.available_permits() == 0 {
            let _ = front.hub.try_send(Input::Crowded);
        }
        let Ok(place) = front.table.clone().acquire_owned().await else { return };
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
                tokio::spawn(serve(stream, front.clone(), next, crowded, (permit, place)));
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
    _places: (OwnedSemaphorePermit, OwnedSemaphorePermit),
) {
    let _ = stream.set_nodelay(true);
    let (answers, answered) = mpsc::channel(PIPELINE.1 + 1);
    let now = Instant::now();
    let mut session = Session {
        stream,
        client,
        answers,
        answered,
        input: BytesMut::new(),
        long: None,
        output: None,
        slots: VecDeque::new(),
        first: 0,
        broken: false,
        late,
        longest: 0,
        whole_by: Some(now + front.limits.first),
        idle_since: now,
        front,
    };
    let ended = session.run().await;
    if session.slots.iter().any(|slot| slot.answer.is_none()) {
        let _ = session.front.hub.send(Input::ClientGone(client)).await;
    }
    if ended == Ended::Closed && session.broken {
        let Session { mut stream, .. } = session;
        linger(&mut stream).await;
    }
}

/// Reads on for a moment after the last answer: a close with input unread would reset the connection and
/// could take the answer away from the client.
async fn linger(stream: &mut TcpStream) {
    let _ = stream.shutdown().await;
    let mut sink = vec![0u8; 16 * 1024];
    let rest = async {
        let mut left = LINGER.1;
        while left > 0 {
            match stream.read(&mut sink).await {
                Ok(count) if count > 0 => left = left.saturating_sub(count),
                _ => return,
            }
        }
    };
    let _ = tokio::time::timeout(LINGER.0, rest).await;
}

/// The place of one answer.
#[derive(Default)]
struct Slot {
    /// `None` while it is owed.
    answer: Option<(Bytes, Option<Share>)>,
    /// Counts it among the open requests, and its id, until the answer has come.
    #[expect(dead_code, reason = "held for its drop")]
    open: Option<(OwnedSemaphorePermit, Id)>,
}

/// An answer that is being written.
struct Output {
    bytes: Bytes,
    by: Instant,
    _share: Option<Share>,
}

struct Session {
    stream: TcpStream,
    client: ClientId,
    answers: mpsc::Sender<Answer>,
    answered: mpsc::Receiver<Answer>,
    input: BytesMut,
    /// Memory for a long command.
    long: Option<Share>,
    output: Option<Output>,
    /// Answers in the order of their commands.
    slots: VecDeque<Slot>,
    /// Number of the first slot.
    first: u64,
    /// No more is read: the framing of the input is lost, or a time limit has passed.
    broken: bool,
    /// It came when there were only places for refusals left.
    late: bool,
    /// Its longest answer so far.
    longest: usize,
    /// When the command that is awaited must be whole; `None` where none has begun.
    whole_by: Option<Instant>,
    /// Since when nothing is owed.
    idle_since: Instant,
    front: Arc<Front>,
}

impl Session {
    async fn run(&mut self) -> Ended {
        let mut phase = self.front.phase.clone();
        let memory = self.front.memory.clone();
        loop {
            self.take_commands().await;
            if self.output.is_none()
                && let Some((bytes, _share)) = self.slots.front_mut().and_then(|slot| slot.answer.take())
            {
                self.slots.pop_front();
                self.first += 1;
                self.output = Some(Output { bytes, by: Instant::now() + self.front.limits.written, _share });
            }
            if let Some(output) = &mut self.output {
                match self.stream.try_write(&output.bytes) {
                    Ok(count) if count == output.bytes.len() => {
                        self.output = None;
                        self.idle_since = Instant::now();
                        continue;
                    }
                    Ok(count) => {
                        let _ = output.bytes.split_to(count);
                        continue;
                    }
                    Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                    Err(_) => return Ended::Gone,
                }
            }
            let owes = !self.slots.is_empty() || self.output.is_some();
            if !owes && self.broken {
                return Ended::Closed;
            }
            let draining = *phase.borrow() == Phase::Draining;
            let room = !self.broken && self.slots.len() < self.pipeline() && self.output.is_none();
            if !room && self.whole_by.is_some() {
                // While nothing is read the rest of a command can't come.
                self.whole_by = Some(Instant::now() + self.front.limits.whole);
            }
            // Against commands that together are longer than the memory: the long ones wait their turn, with
            // the client's own buffers, and those that wait too long are turned away.
            let long = self.input.len() >= PIECE && self.long.is_none();
            let between = !owes && self.input.is_empty();
            let spare_at = self.idle_since + self.front.limits.spare;
            let spare = between && self.first > 0 && Instant::now() >= spare_at;
            let by = self.output.as_ref().map(|output| output.by);
            let whole_by = self.whole_by.filter(|_| room);
            tokio::select! {
                biased;
                answer = self.answered.recv() => {
                    let (slot, bytes, share) = match answer {
                        Some(Answer { slot, says, share }) => (slot, word(says), share),
                        None => continue,
                    };
                    self.longest = self.longest.max(bytes.len());
                    if let Some(place) = self.slots.get_mut(slot.saturating_sub(self.first) as usize)
                    {
                        *place = Slot { answer: Some((bytes, share)), open: None };
                    }
                }
                ready = self.stream.readable(), if room && !long => {
                    if ready.is_err() {
                        return Ended::Gone;
                    }
                    let empty = self.input.is_empty();
                    self.input.reserve(PIECE);
                    match self.stream.try_read_buf(&mut self.input) {
                        Ok(0) => return Ended::Gone,
                        Ok(_) if empty && self.whole_by.is_none() => {
                            self.whole_by = Some(Instant::now() + self.front.limits.whole);
                        }
                        Ok(_) => {}
                        Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                        Err(_) => return Ended::Gone,
                    }
                }
                share = memory.wait(2 * resp::MAX_VALUE), if room && long => self.long = Some(share),
                ready = self.stream.writable(), if self.output.is_some() => {
                    if ready.is_err() {
                        return Ended::Gone;
                    }
                }
                _ = phase.changed(), if !draining => {}
                () = std::future::ready(()), if draining && between => return Ended::Closed,
                () = self.front.pressure.notified(), if spare => return Ended::Closed,
                () = until(whole_by), if whole_by.is_some() => {
                    // Against clients that say nothing or leave a command half said: they hold a place that
                    // others want. What was whole before is still answered.
                    self.broken = true;
                    self.answer_now("-ERR no whole command in time\r\n");
                }
                () = until(by), if by.is_some() => return Ended::Gone,
                () = sleep_until(spare_at), if between && !spare && self.first > 0 => {}
                () = sleep_until(self.idle_since + self.front.limits.idle), if spare => return Ended::Closed,
            }
        }
    }

    /// How many requests may be open at once. Against a client that takes no answers: it must not hold the
    /// memory that others need.
    fn pipeline(&self) -> usize {
        match self.longest {
            0 => PIPELINE.0,
            longest => (self.front.memory.all() / PIPELINE.2 / longest).clamp(1, PIPELINE.1),
        }
    }

    /// Takes the commands that are whole. The limit on one that is not runs from its first byte.
    async fn take_commands(&mut self) {
        while !self.broken
            && self.slots.len() < self.pipeline()
            && self.output.is_none()
            && !self.input.is_empty()
        {
            match resp::take_command(&mut self.input) {
                Ok(Some(words)) => {
                    self.whole_by =
                        (!self.input.is_empty()).then(|| Instant::now() + self.front.limits.whole);
                    self.command(words).await;
                }
                Ok(None) => return,
                Err(resp::Malformed(what)) => {
                    self.answer_now(format!("-ERR protocol error: {what}\r\n"));
                    self.broken = true;
                }
            }
        }
        if self.input.is_empty() || self.broken {
            // The room that a long command took is given back.
            (self.input, self.long) = (BytesMut::new(), None);
        }
    }

    fn answer_now(&mut self, answer: impl Into<Bytes>) {
        self.slots.push_back(Slot { answer: Some((answer.into(), None)), open: None });
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
                let Some(id) = Id::claim(&command.id, &self.front.ids) else {
                    return self.answer_now("-ERR a request with this id is open\r\n");
                };
                // Forced by memory: a request that finds the table full is turned away, and was never sent.
                let value = command.value.as_ref().map_or(0, Bytes::len);
                let Some((permit, share)) = self.front.open.clone().try_acquire_owned().ok().zip(
                    // The value, and the same on its way to the origin.
                    self.front.memory.try_take(PIECE + 2 * value),
                ) else {
                    return self.answer_now("-BUSY\r\n");
                };
                let slot = self.first + self.slots.len() as u64;
                self.slots.push_back(Slot { answer: None, open: Some((permit, id)) });
                let (client, answers) = (self.client, self.answers.clone());
                let asked = Box::new(Asked { command, at, client, slot, answers, share });
                let _ = self.front.hub.send(Input::Asked(asked)).await;
            }
        }
    }
}

/// A final answer in RESP2.
fn word(says: Final) -> Bytes {
    match says {
        Final::Served(value) => {
            let mut out = BytesMut::with_capacity(value.len() + 16);
            resp::put_bulk(&mut out, &value);
            out.freeze()
        }
        Final::Refused { retry_after: 0 } => Bytes::from_static(b"-BUSY\r\n"),
        Final::Refused { retry_after } => format!("-BUSY {}\r\n", retry_after.div_ceil(1_000)).into(),
        Final::Failed => Bytes::from_static(b"-ERR failed\r\n"),
    }
}

/// Waits until a point in time; for ever where there is none.
async fn until(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => std::future::pending().await,
    }
}

/// Reads a command's words. Against requests that mean nothing, or one thing here and another at a server:
/// each fact stands there once, and those that are known can be read.
fn parse(words: &[Bytes], write: bool, deployment: &Deployment) -> Result<Command, &'static str> {
    if words.len() != if write { 5 } else { 4 } {
        return Err("wrong number of arguments");
    }
    // What goes on to a server must not break its framing there.
    let plain =
        |word: &Bytes| !word.is_empty() && word.len() <= MAX_WORD && word.iter().all(u8::is_ascii_graphic);
    if !words[1..4].iter().all(plain) {
        return Err("invalid key, id or facts");
    }
    let facts = String::from_utf8_lossy(&words[3]).into_owned();
    let (mut class, mut tenant, mut wait, mut keyed) = (None, None, None, false);
    let mut command = Command { write, key: words[1].clone(), id: words[2].clone(), ..Command::default() };
    let mut seen: Vec<&str> = Vec::new();
    for fact in facts.split(',') {
        let (name, value) = fact.split_once('=').ok_or("invalid facts")?;
        if name.is_empty() || seen.contains(&name) {
            return Err("a fact without a name or given twice");
        }
        seen.push(name);
        let place = |names: &[String]| names.iter().position(|known| known == value);
        match name {
            "c" => class = Some(place(&deployment.classes).ok_or("unknown class")?),
            "t" if !deployment.tenants.is_empty() => {
                tenant = Some(place(&deployment.tenants).ok_or("unknown tenant")?)
            }
            "d" => wait = Some(number(value).ok_or("invalid d")?),
            "k" => keyed = !value.is_empty(),
            "r" => command.repeat = matches!(value, "0" | "1").then_some(value == "1").ok_or("invalid r")?,
            "h" => command.cost = Some(number(value).ok_or("invalid h")? as Micros),
            "size" => command.size = number(value).ok_or("invalid size")? as f32,
            _ => {}
        }
    }
    command.class = class.ok_or("no class")?;
    if tenant.is_none() && !deployment.tenants.is_empty() {
        return Err("no tenant");
    }
    command.tenant = tenant.unwrap_or(0);
    let class = &deployment.settings.classes[command.class];
    if write && matches!(class.effect, Effect::Keyed { .. }) && !keyed {
        return Err("no k for a keyed write");
    }
    let wait = wait.ok_or("no d")?;
    if wait > MAX_WAIT_MS.max(class.deadline as f64 / 1e3) {
        return Err("invalid d");
    }
    // Nobody waits for longer than the class allows for, whatever is said.
    command.time_left = ((wait * 1e3) as Micros).min(class.deadline);
    command.value = words.get(4).cloned();
    command.facts = facts;
    Ok(command)
}

/// A plain decimal number: no sign, no exponent, no word such as `nan`.
fn number(text: &str) -> Option<f64> {
    let plain = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    text.parse().ok().filter(|number: &f64| plain && text.len() <= 16 && number.is_finite())
}

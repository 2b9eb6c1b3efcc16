//! One client's connection: commands are taken off what came, and answered in their order.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};
use stonevane_codec::resp::{self, Malformed};
use stonevane_policy::{Micros, RequestId};

use super::Limits;
use crate::memory::Share;
use crate::reply::ConnId;
use crate::servers::PASSAGE;
use crate::timers::Armed;

/// Requests of one connection that are answered at the same time; more wait unread. The first figure holds
/// until it is known how long the answers are: together they may hold the third, as a part of the memory.
const PIPELINE: (usize, usize, usize) = (16, 64, 16);
/// Input is read in pieces of this size; a command that is longer has to wait for memory.
pub const PIECE: usize = 4096;
/// Read at once, where there is memory for it.
const LONG_PIECE: usize = 64 * 1024;
/// Answers that are ready together are written together, up to this.
const TOGETHER: usize = 64 * 1024;

/// The place of one answer.
#[derive(Debug)]
pub enum Slot {
    /// It is owed.
    Owed {
        /// The request.
        request: RequestId,
        /// Its id, as the client names it.
        id: Bytes,
    },
    /// It waits for those before it.
    Answered(Bytes, Option<Share>),
    /// Its value is passed on as it comes.
    Passing(Passage),
}

/// A value that is passed on as it comes.
#[derive(Debug)]
pub struct Passage {
    /// Where it comes from.
    pub conn: ConnId,
    /// The id of its request, and where that is counted.
    pub id: Bytes,
    pub counted: usize,
    /// What has come and is not being written yet.
    parts: VecDeque<Bytes>,
    /// What has come and is not written.
    held: usize,
    /// Whether any of it has been given out for writing.
    begun: bool,
    /// Nothing more comes.
    done: bool,
    /// It has broken off.
    pub broken: bool,
    _share: Option<Share>,
}

/// How a connection stands that may have to give its place up: the first of these goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stand {
    /// Its last answer is written.
    Closing,
    /// It has said nothing yet.
    Silent,
    /// It has been served, and is between requests.
    Idle,
    /// It is in the middle of a command.
    Midway,
}

/// A connection.
pub struct Session {
    input: BytesMut,
    /// Memory for a long command.
    long: Option<Share>,
    waits: bool,
    /// Answers that are being written: by when they must be, and what they hold.
    writing: Option<(Micros, Vec<Share>)>,
    /// Answers in the order of their commands.
    pub slots: VecDeque<Slot>,
    /// Number of the first slot.
    pub first: u64,
    /// No more is read: the framing of the input is lost, or a time limit has passed.
    pub broken: bool,
    /// It came when there were only places for refusals left.
    pub late: bool,
    /// Its longest answer so far.
    longest: usize,
    /// When the command that is awaited must be whole; `None` where none has begun.
    whole_by: Option<Micros>,
    /// Since when nothing is owed.
    pub idle_since: Micros,
    /// Its one entry among the timers.
    pub armed: Armed,
    /// It was asked whether it may be read, and may not.
    pub paused: bool,
    /// It is being closed: what it has still to bring decides.
    pub parting: bool,
    /// Its last answer is written.
    pub lingers: bool,
    /// When its last byte came.
    heard: Micros,
    /// How it is noted to stand, and since when.
    pub noted: Option<(Stand, Micros)>,
    /// There was no room for more requests when it was looked at last.
    full: bool,
    /// How much of what is being written is of a passage that goes on.
    passed: usize,
    /// Passages that are written to their end.
    ended: Vec<Passage>,
}

impl Session {
    /// One that was just taken.
    pub fn new(now: Micros, limits: &Limits) -> Session {
        Session {
            input: BytesMut::new(),
            long: None,
            waits: false,
            writing: None,
            slots: VecDeque::new(),
            first: 0,
            broken: false,
            late: false,
            longest: 0,
            whole_by: Some(now + limits.first),
            idle_since: now,
            armed: Armed::default(),
            paused: false,
            parting: false,
            lingers: false,
            heard: now,
            noted: None,
            full: false,
            passed: 0,
            ended: Vec::new(),
        }
    }

    /// How many requests may be open at once. Against a client that takes no answers: it must not hold the
    /// memory that others need.
    fn pipeline(&self, memory: usize) -> usize {
        match self.longest {
            0 => PIPELINE.0,
            longest => (memory / PIPELINE.2 / longest).clamp(1, PIPELINE.1),
        }
    }

    /// Whether another request may be taken.
    fn room(&self, memory: usize) -> bool {
        !self.broken && !self.lingers && self.writing.is_none() && self.slots.len() < self.pipeline(memory)
    }

    /// How many bytes may be read now.
    pub fn reads(&self, memory: usize) -> usize {
        match (self.room(memory), &self.long) {
            (false, _) => 0,
            (true, Some(_)) => LONG_PIECE,
            // Against commands that together are longer than the memory: the long ones wait their turn, with
            // the client's own buffers, and those that wait too long are turned away.
            (true, None) if self.input.len() >= PIECE => 0,
            (true, None) => PIECE,
        }
    }

    /// Whether it wants memory for a long command, and has not asked for it.
    pub fn wants(&mut self, memory: usize) -> bool {
        let wants = self.room(memory) && self.long.is_none() && self.input.len() >= PIECE && !self.waits;
        self.waits |= wants;
        wants
    }

    /// It has the memory that it wanted; kept where a long command is still under way.
    pub fn granted(&mut self, share: Share) {
        self.waits = false;
        if !self.input.is_empty() && !self.broken {
            self.long = Some(share);
        }
    }

    /// Takes bytes that came. The limit on a command runs from its first byte.
    pub fn bytes(&mut self, now: Micros, bytes: &[u8], limits: &Limits) {
        if self.input.is_empty() && self.whole_by.is_none() {
            self.whole_by = Some(now + limits.whole);
        }
        self.heard = now;
        self.input.extend_from_slice(bytes);
    }

    /// The next whole command, where there is room for it.
    pub fn take(
        &mut self,
        now: Micros,
        limits: &Limits,
        memory: usize,
    ) -> Option<Result<Vec<Bytes>, Malformed>> {
        let room = self.room(memory);
        if std::mem::replace(&mut self.full, !room) && room && self.whole_by.is_some() {
            // While nothing was read the rest of a command could not come.
            self.whole_by = Some(now + limits.whole);
        }
        let taken = if room && !self.input.is_empty() {
            resp::take_command(&mut self.input).transpose()
        } else {
            None
        };
        match &taken {
            Some(Ok(_)) => self.whole_by = (!self.input.is_empty()).then(|| now + limits.whole),
            Some(Err(_)) => self.broken = true,
            None => {}
        }
        if self.input.is_empty() || self.broken {
            // The room that a long command took is given back.
            (self.input, self.long) = (BytesMut::new(), None);
        }
        taken
    }

    /// Number of the next slot.
    pub fn next_slot(&self) -> u64 {
        self.first + self.slots.len() as u64
    }

    /// An answer that needs no request.
    pub fn answer_now(&mut self, answer: impl Into<Bytes>) {
        self.slots.push_back(Slot::Answered(answer.into(), None));
    }

    /// The answer of a slot; the id of its request, which is open no more.
    pub fn answer(&mut self, slot: u64, bytes: Bytes, share: Option<Share>) -> Option<Bytes> {
        let place = self.slots.get_mut(slot.checked_sub(self.first)? as usize)?;
        if !matches!(place, Slot::Owed { .. }) {
            return None;
        }
        self.longest = self.longest.max(bytes.len());
        match std::mem::replace(place, Slot::Answered(bytes, share)) {
            Slot::Owed { id, .. } => Some(id),
            Slot::Answered(..) | Slot::Passing(_) => None,
        }
    }

    fn passage(&mut self, slot: u64) -> Option<&mut Passage> {
        match self.slots.get_mut(slot.checked_sub(self.first)? as usize)? {
            Slot::Passing(passage) => Some(passage),
            _ => None,
        }
    }

    /// The answer of a slot comes in pieces, from a connection; `head` goes before the first.
    pub fn begin(
        &mut self,
        slot: u64,
        conn: ConnId,
        counted: usize,
        head: Bytes,
        share: Option<Share>,
    ) -> bool {
        let place = slot.checked_sub(self.first).and_then(|at| self.slots.get_mut(at as usize));
        let Some(place @ Slot::Owed { .. }) = place else { return false };
        let passage = |id| Passage {
            conn,
            id,
            counted,
            held: head.len(),
            parts: VecDeque::from([head]),
            begun: false,
            done: false,
            broken: false,
            _share: share,
        };
        if let Slot::Owed { id, .. } = place {
            *place = Slot::Passing(passage(std::mem::take(id)));
        }
        true
    }

    /// A piece has come; whether there is room for more.
    pub fn pass(&mut self, slot: u64, piece: Bytes, end: bool) -> bool {
        let Some(passage) = self.passage(slot) else { return false };
        passage.held += piece.len();
        if !piece.is_empty() {
            passage.parts.push_back(piece);
        }
        if end {
            passage.parts.push_back(Bytes::from_static(b"\r\n"));
            passage.done = true;
        }
        passage.held < PASSAGE / 2
    }

    /// Whether there is room for a piece.
    pub fn passes(&mut self, slot: u64) -> bool {
        self.passage(slot).is_some_and(|passage| passage.held < PASSAGE / 2)
    }

    /// The first answer's passage.
    pub fn front(&self) -> Option<&Passage> {
        match self.slots.front() {
            Some(Slot::Passing(passage)) => Some(passage),
            _ => None,
        }
    }

    /// No more comes of a passage that is not at its end: takes it back where its client has seen nothing of it.
    pub fn take_back(&mut self, slot: u64, answer: Bytes) -> Option<Passage> {
        let at = slot.checked_sub(self.first)? as usize;
        match self.slots.get(at)? {
            Slot::Passing(passage) if !passage.begun => {}
            _ => return None,
        }
        match std::mem::replace(self.slots.get_mut(at)?, Slot::Answered(answer, None)) {
            Slot::Passing(passage) => Some(passage),
            _ => None,
        }
    }

    /// No more comes of a passage of which its client has seen a part.
    pub fn breaks(&mut self, slot: u64) {
        if let Some(passage) = self.passage(slot) {
            passage.broken = true;
        }
    }

    /// Passages that have been written to their end since this was asked last.
    pub fn take_ended(&mut self) -> Vec<Passage> {
        std::mem::take(&mut self.ended)
    }

    /// What is to be written now: all answers whose turn has come.
    pub fn ready(&mut self, now: Micros, limits: &Limits) -> Option<Bytes> {
        if self.writing.is_some() || self.lingers {
            return None;
        }
        let (mut whole, mut shares) = (Bytes::new(), Vec::new());
        let mut together = BytesMut::new();
        while whole.len().max(together.len()) < TOGETHER {
            let bytes = match self.slots.front_mut() {
                Some(Slot::Passing(passage)) => match passage.parts.pop_front() {
                    Some(bytes) => {
                        passage.begun = true;
                        self.passed += bytes.len();
                        bytes
                    }
                    None if passage.done => {
                        if let Some(Slot::Passing(passage)) = self.slots.pop_front() {
                            self.ended.push(passage);
                        }
                        (self.first, self.passed) = (self.first + 1, 0);
                        continue;
                    }
                    None => break,
                },
                Some(Slot::Answered(..)) => {
                    let Some(Slot::Answered(bytes, share)) = self.slots.pop_front() else { break };
                    self.first += 1;
                    shares.extend(share);
                    bytes
                }
                _ => break,
            };
            // One that goes alone is not copied.
            match (whole.is_empty(), together.is_empty()) {
                (true, true) => whole = bytes,
                (false, _) => {
                    together.extend_from_slice(&std::mem::take(&mut whole));
                    together.extend_from_slice(&bytes);
                }
                (true, false) => together.extend_from_slice(&bytes),
            }
        }
        if !together.is_empty() {
            whole = together.freeze();
        }
        if whole.is_empty() {
            return None;
        }
        self.writing = Some((now + limits.written, shares));
        Some(whole)
    }

    /// What was being written is written.
    pub fn flushed(&mut self, now: Micros) {
        (self.writing, self.idle_since) = (None, now);
        let passed = std::mem::take(&mut self.passed);
        if let Some(Slot::Passing(passage)) = self.slots.front_mut() {
            passage.held -= passed.min(passage.held);
        }
    }

    /// Whether anything is owed.
    pub fn owes(&self) -> bool {
        !self.slots.is_empty() || self.writing.is_some()
    }

    /// Whether what is being written is the last that it is owed.
    pub fn owes_no_more(&self) -> bool {
        self.slots.is_empty() && self.input.is_empty()
    }

    /// Whether it stands between requests.
    pub fn between(&self) -> bool {
        !self.owes() && self.input.is_empty() && !self.broken && !self.lingers
    }

    /// Whether it has been served, and stands idle: its place may be given to others after a time.
    pub fn idle(&self) -> bool {
        self.first > 0 && self.between()
    }

    /// How it stands, and since when, where it may have to give its place up.
    pub fn stands(&self) -> Option<(Stand, Micros)> {
        match () {
            () if self.parting => None,
            () if self.lingers => Some((Stand::Closing, self.idle_since)),
            () if self.owes() || self.broken => None,
            () if !self.input.is_empty() => Some((Stand::Midway, self.heard)),
            () if self.first == 0 => Some((Stand::Silent, self.idle_since)),
            () => Some((Stand::Idle, self.idle_since)),
        }
    }

    /// Its earliest limit.
    pub fn limit(&self, memory: usize, limits: &Limits) -> Option<Micros> {
        let whole = self.whole_by.filter(|_| self.room(memory));
        let written = self.writing.as_ref().map(|(by, _)| *by);
        let idle = self.idle().then_some(self.idle_since + limits.idle);
        [whole, written, idle].into_iter().flatten().min()
    }

    /// Its limit has passed: what that means.
    pub fn over(&mut self, now: Micros, memory: usize) -> Over {
        if self.writing.as_ref().is_some_and(|(by, _)| *by <= now) {
            return Over::Gone;
        }
        if self.room(memory) && self.whole_by.is_some_and(|by| by <= now) {
            // Against clients that say nothing or leave a command half said: they hold a place that
            // others want. What was whole before is still answered.
            self.broken = true;
            (self.input, self.long) = (BytesMut::new(), None);
            self.answer_now("-ERR no whole command in time\r\n");
            return Over::Broken;
        }
        Over::Idle
    }
}

/// What a limit that has passed means.
pub enum Over {
    /// It takes nothing.
    Gone,
    /// Its input is read no more.
    Broken,
    /// It has stood idle for long.
    Idle,
}

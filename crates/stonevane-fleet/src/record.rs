//! What is known of a member, and which of two things said of it is the later one. The order is total and the same
//! everywhere, so that views that have heard the same are the same, in whatever order they heard it.

/// The number of a member: its place in `peers`.
pub type Number = u16;

/// A life of a member: from a start of its process to its end.
///
/// There is no disk that could count them and no clock that could be trusted. A process draws a number at its start,
/// which tells it apart from every other; the generation orders them: a process that hears of another life of its name
/// that is later than its own takes the generation behind that one. Until then nobody who knows the older life believes
/// the newer one, and each answer tells it what to go beyond.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Life {
    /// How many lives are known to have been before, at least.
    pub generation: u32,
    /// The number drawn.
    pub draw: u32,
}

/// What a member is held to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// It lives.
    Alive,
    /// It is accused, and has time to object.
    Suspect,
    /// It did not object.
    Dead,
    /// It has said that it ends.
    Left,
}

impl State {
    /// Its word in tables and logs.
    pub fn name(self) -> &'static str {
        match self {
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Dead => "dead",
            State::Left => "left",
        }
    }

    /// Whether it may be there.
    pub fn lives(self) -> bool {
        self <= State::Suspect
    }
}

/// Something said of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Record {
    /// Of whom.
    pub member: Number,
    /// Of which of its lives.
    pub life: Life,
    /// Which of its own words it answers to: only the member itself makes a higher one.
    pub incarnation: u32,
    /// What it is.
    pub state: State,
    /// Who says so first.
    pub by: Number,
}

impl Record {
    /// Where it stands among all that can be said of a member: the later life, then its end, then its latest word, then
    /// the graver.
    pub fn order(&self) -> (Life, bool, u32, State) {
        (self.life, self.state == State::Left, self.incarnation, self.state)
    }

    /// Whether it is later than another.
    pub fn beyond(&self, other: &Record) -> bool {
        self.order() > other.order()
    }

    /// A digest that is the same wherever the record is; a suspicion, which passes, leaves it as it was.
    pub fn digest(&self) -> u32 {
        let mut bytes = [0; 15];
        bytes[..2].copy_from_slice(&self.member.to_le_bytes());
        bytes[2..6].copy_from_slice(&self.life.generation.to_le_bytes());
        bytes[6..10].copy_from_slice(&self.life.draw.to_le_bytes());
        bytes[10..14].copy_from_slice(&self.incarnation.to_le_bytes());
        bytes[14] = match self.state {
            State::Alive | State::Suspect => 0,
            State::Dead => 1,
            State::Left => 2,
        };
        xxhash_rust::xxh3::xxh3_64(&bytes) as u32
    }
}

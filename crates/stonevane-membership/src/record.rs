//! What is known of a member, and which of two records of it is the later one. The order is total and the same at all
//! nodes, so that tables which have merged the same records are equal, in whatever order these came.

/// The number of a member: its place in `peers`.
pub type MemberId = u16;

/// One run of a member's process, from its start to its end.
///
/// No disk counts the runs and no clock is trusted. A process draws a nonce at its start, which tells it apart from all
/// other runs; the generation orders them. A process that learns of another instance of its own member that is later
/// than itself takes the generation after that one. Until then nobody who knows the older instance believes the newer
/// one, and each answer carries the record that it has to supersede.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Instance {
    /// A lower bound of how many instances there were, this one included.
    pub generation: u32,
    /// The number drawn at the start.
    pub nonce: u32,
}

/// The state of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// It is alive.
    Alive,
    /// It is suspected, and can still refute this.
    Suspect,
    /// It did not refute the suspicion in time.
    Dead,
    /// It has announced that it leaves.
    Left,
}

impl State {
    /// Its name in tables and logs.
    pub fn name(self) -> &'static str {
        match self {
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Dead => "dead",
            State::Left => "left",
        }
    }

    /// Whether the member takes part in the protocol: it is alive or suspected.
    pub fn is_live(self) -> bool {
        self <= State::Suspect
    }
}

/// A membership update: the state of a member, as one member has stated it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Record {
    /// The member that it is about.
    pub member: MemberId,
    /// The instance of that member.
    pub instance: Instance,
    /// The incarnation of that instance: only the member itself raises it, to refute a suspicion.
    pub incarnation: u32,
    /// The state.
    pub state: State,
    /// The member that stated it first.
    pub by: MemberId,
}

impl Record {
    /// Where the record stands among all possible records of its member: by instance, then whether it has left, then by
    /// incarnation, then by state.
    pub fn precedence(&self) -> (Instance, bool, u32, State) {
        (self.instance, self.state == State::Left, self.incarnation, self.state)
    }

    /// Whether it is later than another record of the same member.
    pub fn supersedes(&self, other: &Record) -> bool {
        self.precedence() > other.precedence()
    }

    /// A digest that is the same at all nodes. A suspicion is transient and leaves the digest unchanged.
    pub fn digest(&self) -> u32 {
        let mut bytes = [0; 15];
        bytes[..2].copy_from_slice(&self.member.to_le_bytes());
        bytes[2..6].copy_from_slice(&self.instance.generation.to_le_bytes());
        bytes[6..10].copy_from_slice(&self.instance.nonce.to_le_bytes());
        bytes[10..14].copy_from_slice(&self.incarnation.to_le_bytes());
        bytes[14] = match self.state {
            State::Alive | State::Suspect => 0,
            State::Dead => 1,
            State::Left => 2,
        };
        xxhash_rust::xxh3::xxh3_64(&bytes) as u32
    }
}

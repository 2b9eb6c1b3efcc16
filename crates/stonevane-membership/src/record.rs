//! Membership records and their order of precedence. The order is total and the same at all nodes, so tables
//! that have merged the same records are equal regardless of the order in which the records arrived.

/// Number of a member: its index in the `peers` list.
pub type MemberId = u16;

/// Instance of a member: one run of its process, from start to end.
///
/// Instances are ordered without persistent storage and without trust in any clock. A process draws a nonce
/// at its start, which distinguishes it from all other instances; the generation orders them. A process that
/// learns of another instance under its own member number, ordered after its own instance, takes the
/// generation after that one. Until then, members that know the other instance keep its record and send it
/// with every answer, so that the process can supersede it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Instance {
    /// Position in the order of the member's instances, from 1: a lower bound on the number of instances so
    /// far, this one included.
    pub generation: u32,
    /// Random number drawn at the start of the process.
    pub nonce: u32,
}

/// State of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// The member takes part in the protocol and is not suspected.
    Alive,
    /// The member is suspected of having failed, and can still refute this.
    Suspect,
    /// The member did not refute the suspicion in time.
    Dead,
    /// The member has announced that it leaves.
    Left,
}

impl State {
    /// Returns the lower-case name for tables and logs.
    pub fn name(self) -> &'static str {
        match self {
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Dead => "dead",
            State::Left => "left",
        }
    }

    /// Returns whether the member takes part in the protocol: it is alive or suspected.
    pub fn is_live(self) -> bool {
        self <= State::Suspect
    }
}

/// Membership update: the state of a member, as reported by a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Record {
    /// Member that the update is about.
    pub member: MemberId,
    /// Instance of that member.
    pub instance: Instance,
    /// Incarnation of that instance. Only the member itself raises it, to refute a suspicion.
    pub incarnation: u32,
    /// State of that instance at that incarnation.
    pub state: State,
    /// Member that reported the state; for a suspicion, a member that suspects `member`.
    pub by: MemberId,
}

impl Record {
    /// Returns the key that orders all possible records of one member: by instance, then whether it has left,
    /// then by incarnation, then by state.
    pub fn precedence(&self) -> (Instance, bool, u32, State) {
        (self.instance, self.state == State::Left, self.incarnation, self.state)
    }

    /// Returns whether the record takes precedence over `other`, a record of the same member.
    pub fn supersedes(&self, other: &Record) -> bool {
        self.precedence() > other.precedence()
    }

    /// Returns a digest that is the same at all nodes. A suspicion is transient and leaves the digest
    /// unchanged.
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

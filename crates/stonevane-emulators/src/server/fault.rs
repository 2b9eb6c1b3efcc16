//! Faults of a server as one node sees it.

/// What is wrong with a server, as one node sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// The process is gone: connections are reset and refused.
    Dead,
    /// The machine has vanished or is cut off: connections stay open and silent, new ones never come up.
    Silent,
    /// New connections are refused; open ones are reset.
    Refuse,
    /// Each connection is reset when a request has arrived.
    Reset,
    /// Half of each answer is sent, and then nothing more.
    Stall,
    /// Answers are sent a byte at a time.
    Slow,
    /// Half of each answer is sent, and the connection ends.
    Truncate,
    /// Answers are noise.
    Noise,
    /// Other bytes follow each answer.
    Tail,
}

impl Fault {
    /// All faults.
    pub const ALL: [Fault; 9] = [
        Fault::Dead,
        Fault::Silent,
        Fault::Refuse,
        Fault::Reset,
        Fault::Stall,
        Fault::Slow,
        Fault::Truncate,
        Fault::Noise,
        Fault::Tail,
    ];

    /// The name that scenarios use.
    pub fn name(self) -> &'static str {
        match self {
            Fault::None => "none",
            Fault::Dead => "kill",
            Fault::Silent => "vanish",
            Fault::Refuse => "refuse",
            Fault::Reset => "reset",
            Fault::Stall => "stall",
            Fault::Slow => "slow",
            Fault::Truncate => "truncate",
            Fault::Noise => "noise",
            Fault::Tail => "tail",
        }
    }

    /// The fault of a name that scenarios use.
    pub fn from_name(name: &str) -> Option<Fault> {
        Fault::ALL.into_iter().find(|fault| fault.name() == name)
    }

    /// Whether new connections come up.
    pub(super) fn accepts_connections(self) -> bool {
        !matches!(self, Fault::Dead | Fault::Silent | Fault::Refuse)
    }

    /// Whether an answer arrives with all its bytes.
    pub(super) fn delivers_answers(self) -> bool {
        !matches!(self, Fault::Stall | Fault::Truncate | Fault::Noise)
    }
}

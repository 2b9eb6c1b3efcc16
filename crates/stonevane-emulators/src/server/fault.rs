//! Faults that are injected into a server, separately for each node.

/// The fault of a server towards one node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Fault {
    /// The server works as specified.
    #[default]
    None,
    /// The process has died: open connections are reset, new ones are refused.
    Dead,
    /// The machine is unreachable: open connections stay open and silent, new ones are never established.
    Silent,
    /// New connections are refused; open ones are reset.
    Refuse,
    /// Each connection is reset when a request arrives.
    Reset,
    /// Half of each answer is sent, and the connection stays open without the rest.
    Stall,
    /// Answers are sent one byte at a time.
    Slow,
    /// Half of each answer is sent, and the connection is closed.
    Truncate,
    /// Answers are replaced by bytes that are invalid in the protocol.
    Noise,
    /// Each answer is followed by bytes that belong to no request.
    Tail,
}

impl Fault {
    /// All faults except [`Fault::None`].
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

    /// Returns the name that scenarios use.
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

    /// Returns the fault with a name that scenarios use; `None` for unknown names and for `none`.
    pub fn from_name(name: &str) -> Option<Fault> {
        Fault::ALL.into_iter().find(|fault| fault.name() == name)
    }

    /// Whether new connections are accepted.
    pub(super) fn accepts_connections(self) -> bool {
        !matches!(self, Fault::Dead | Fault::Silent | Fault::Refuse)
    }

    /// Whether an answer arrives complete.
    pub(super) fn delivers_answers(self) -> bool {
        !matches!(self, Fault::Stall | Fault::Truncate | Fault::Noise)
    }
}

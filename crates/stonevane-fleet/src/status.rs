//! What a member can tell people of the fleet and of itself.

use crate::Micros;
use crate::record::{Life, Number, Record, State};

/// What became of datagrams.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Sent.
    pub sent: u64,
    /// Bytes of those.
    pub sent_bytes: u64,
    /// Heard.
    pub heard: u64,
    /// Bytes of those.
    pub heard_bytes: u64,
    /// Refused: too short or too long.
    pub refused_length: u64,
    /// Refused: a version that is not read here.
    pub refused_version: u64,
    /// Refused: a checksum or keyed digest that does not fit.
    pub refused_digest: u64,
    /// Refused: a broken form.
    pub refused_form: u64,
    /// Refused: under a number that is not that of its address, or for another member.
    pub refused_address: u64,
    /// Refused: heard before, or far older than what was heard.
    pub refused_old: u64,
    /// Probes that were not answered in time.
    pub probes_failed: u64,
    /// Accusations of its own.
    pub accused: u64,
    /// Accusations of itself that it objected to.
    pub refuted: u64,
    /// Members that it declared dead itself.
    pub declared: u64,
    /// Times that it found that it had stood still.
    pub stood_still: u64,
    /// Times that another life of its own name spoke later than itself.
    pub claimed: u64,
}

/// What is known of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberStatus {
    /// Its number.
    pub member: Number,
    /// What was last said of it; `None`: nothing has been heard of it.
    pub record: Option<Record>,
    /// What it is held to be.
    pub state: Option<State>,
    /// Since when.
    pub since: Micros,
    /// When a datagram of its own came last.
    pub heard: Option<Micros>,
    /// When it last answered a probe with no help.
    pub answered: Option<Micros>,
    /// When it last did not.
    pub unanswered: Option<Micros>,
    /// How bad its own health is, by its own word.
    pub health: u8,
    /// Members that accuse it.
    pub accusers: u8,
}

impl MemberStatus {
    /// Whether probes reach it and come back with no help, as the last one showed.
    pub fn answers(&self) -> bool {
        self.answered.is_some() && self.answered >= self.unanswered
    }

    /// Whether this member hears it, though it does not answer: its ear, or the way to it, is cut.
    pub fn hears_not(&self) -> bool {
        self.unanswered > self.answered && self.heard >= self.unanswered
    }

    /// Whether it lives by the word of others, and neither answers nor is heard: the way from it is cut.
    pub fn unheard(&self) -> bool {
        let lives = self.state == Some(State::Alive);
        lives && self.unanswered > self.answered && self.heard < self.unanswered
    }
}

/// All that a member can tell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// Its number.
    pub me: Number,
    /// Its life.
    pub life: Life,
    /// Its incarnation.
    pub incarnation: u32,
    /// How bad its own health is.
    pub health: u8,
    /// Since when it has heard nobody, where it doubts others for that.
    pub alone: Option<Micros>,
    /// Digest of its table: the same at members that have heard the same.
    pub digest: u32,
    /// Every member, its own entry among them.
    pub members: Vec<MemberStatus>,
    /// What became of datagrams.
    pub counts: Counts,
}

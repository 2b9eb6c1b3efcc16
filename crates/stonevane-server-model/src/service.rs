//! A service of fixed capacity that works calls off in turn.

/// Calls in turn: each takes its time after those before it, also where its caller waits no more.
#[derive(Debug, Default, Clone)]
pub struct Turns {
    free_at: u64,
}

impl Turns {
    /// A call comes that takes so long: when it is worked off; `None` where more than so much work is ahead of it, and it
    /// is turned away. All in microseconds.
    pub fn take(&mut self, now: u64, takes: u64, most_ahead: u64) -> Option<u64> {
        if self.free_at > now.saturating_add(most_ahead) {
            return None;
        }
        self.free_at = self.free_at.max(now) + takes;
        Some(self.free_at)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn calls_are_worked_off_in_turn_and_turned_away_where_too_much_is_ahead() {
        let mut turns = Turns::default();
        assert_eq!(
            (0..3).map(|_| turns.take(100, 10, 20)).collect::<Vec<_>>(),
            [Some(110), Some(120), Some(130)]
        );
        assert_eq!(turns.take(100, 10, 20), None, "30 are ahead of it");
        assert_eq!(turns.take(110, 5, 20), Some(135), "it costs the service nothing to turn one away");
        assert_eq!(turns.take(500, 7, 0), Some(507));
    }
}

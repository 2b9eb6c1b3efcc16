//! News on its way: each piece goes out with so many datagrams, those that have gone least first.

use std::collections::BTreeSet;

use crate::record::Number;

/// Members of whom there is news.
#[derive(Debug, Default)]
pub struct Spread {
    /// How often each has gone out, and the member.
    queue: BTreeSet<(u32, Number)>,
    /// By the member's number.
    gone: Vec<Option<u32>>,
}

impl Spread {
    /// For a fleet of so many.
    pub fn new(members: Number) -> Spread {
        Spread { queue: BTreeSet::new(), gone: vec![None; usize::from(members)] }
    }

    /// There are so many now.
    pub fn grow(&mut self, members: Number) {
        self.gone.resize(usize::from(members).max(self.gone.len()), None);
    }

    /// There is news of a member.
    pub fn fresh(&mut self, member: Number) {
        self.take(member);
        self.queue.insert((0, member));
        self.gone[usize::from(member)] = Some(0);
    }

    fn take(&mut self, member: Number) {
        if let Some(gone) = self.gone[usize::from(member)].take() {
            self.queue.remove(&(gone, member));
        }
    }

    /// Whether there is any.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Of how many members there is.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// The next pieces for a datagram, counted as gone; each goes `times` in all.
    pub fn next(&mut self, room: usize, times: u32) -> Vec<Number> {
        let next: Vec<_> = self.queue.iter().take(room).copied().collect();
        for (gone, member) in &next {
            self.take(*member);
            if gone + 1 < times {
                self.queue.insert((gone + 1, *member));
                self.gone[usize::from(*member)] = Some(gone + 1);
            }
        }
        next.into_iter().map(|(_, member)| member).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_piece_goes_as_often_as_told_and_fresh_ones_go_first() {
        let mut spread = Spread::new(10);
        (0..4).for_each(|member| spread.fresh(member));
        let mut counts = [0; 10];
        for turn in 0.. {
            if spread.is_empty() {
                break;
            }
            if turn == 2 {
                spread.fresh(9);
                assert!(spread.next(3, 3).contains(&9));
                counts[9] += 1;
                continue;
            }
            spread.next(3, 3).into_iter().for_each(|member| counts[usize::from(member)] += 1);
        }
        assert_eq!(counts[9], 3);
        spread.fresh(0);
        spread.fresh(0);
        assert_eq!(spread.next(5, 1), [0]);
        assert!(spread.is_empty() && spread.next(5, 1).is_empty());
    }
}

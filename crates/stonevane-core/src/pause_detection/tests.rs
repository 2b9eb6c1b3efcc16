//! Detection of process pauses.

use super::*;

#[test]
fn a_pause_of_the_drain_grace_is_noticed_however_short_that_is() {
    for drain_grace in [50_000, 100_000, 250_000, 500_000, 1_000_000, 10_000_000] {
        let detection = PauseDetection::of(&Settings { drain_grace, ..Settings::default() });
        // With the slack of all limits on sockets.
        assert!(
            detection.check_interval + detection.lateness <= drain_grace + 50_000,
            "{detection:?} at {drain_grace}"
        );
    }
}

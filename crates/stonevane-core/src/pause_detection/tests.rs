//! Tests of the detection of process pauses.

use super::*;

#[test]
fn a_pause_of_the_drain_grace_is_detected_even_if_the_grace_is_short() {
    for drain_grace in [50_000, 100_000, 250_000, 500_000, 1_000_000, 10_000_000] {
        let detection = PauseDetection::of(&Settings { drain_grace, ..Settings::default() });
        // All time limits on sockets have a slack of 50 ms.
        assert!(
            detection.check_interval + detection.lateness <= drain_grace + 50_000,
            "{detection:?} at {drain_grace}"
        );
    }
}

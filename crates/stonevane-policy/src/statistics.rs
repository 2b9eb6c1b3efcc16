//! Running statistics: moving averages, ratios, rates and maxima that give less weight to older samples.

use crate::ids::Micros;

/// An exponentially weighted moving average. The first sample becomes its value.
#[derive(Default, Clone, Copy)]
pub struct MovingAverage {
    value: f64,
}

impl MovingAverage {
    /// Records a sample with a weight between 0 and 1.
    pub fn record(&mut self, sample: f64, weight: f64) {
        let weight = if self.value == 0.0 { 1.0 } else { weight };
        self.value += weight * (sample - self.value);
    }

    /// Returns the average; 0 before the first sample.
    pub fn value(self) -> f64 {
        self.value
    }

    /// Returns the average, or `None` before the first sample.
    pub fn recorded(self) -> Option<f64> {
        (self.value > 0.0).then_some(self.value)
    }
}

/// Factor by which [`DecayingRatio::decay`] multiplies the counts.
const DECAY_FACTOR: f64 = 0.85;
/// Total up to which the counts do not decay, so that enough samples remain for a meaningful ratio.
const MIN_DECAYED_TOTAL: f64 = 10.0;

/// Ratio of matching samples to all recent samples. Both counts decay exponentially.
#[derive(Default)]
pub struct DecayingRatio {
    matching: f64,
    total: f64,
    /// Samples added to `total` since the last decay.
    recent: f64,
}

impl DecayingRatio {
    /// Adds `matching` samples among `total` samples.
    pub fn add(&mut self, matching: f64, total: f64) {
        self.matching += matching;
        self.total += total;
        self.recent += total;
    }

    /// Returns the fraction of matching samples, from 0 to 1.
    pub fn value(&self) -> f64 {
        self.matching / self.total.max(1.0)
    }

    /// Returns the number of samples since the last decay.
    pub fn recent_count(&self) -> f64 {
        self.recent
    }

    /// Reduces the weight of all samples so far.
    pub fn decay(&mut self) {
        let factor = if self.total > MIN_DECAYED_TOTAL { DECAY_FACTOR } else { 1.0 };
        self.matching *= factor;
        self.total *= factor;
        self.recent = 0.0;
    }
}

/// Events per second, smoothed over about one second.
#[derive(Default)]
pub struct EventRate {
    counted: f64,
    per_second: f64,
}

impl EventRate {
    /// Counts an event.
    pub fn count(&mut self) {
        self.counted += 1.0;
    }

    /// Updates the rate with the events counted in a period, in microseconds.
    pub fn end_period(&mut self, period: Micros) {
        let seconds = period as f64 / 1e6;
        self.per_second += (self.counted / seconds - self.per_second) * seconds.min(1.0);
        self.counted = 0.0;
    }

    /// Returns the smoothed rate in events per second.
    pub fn per_second(&self) -> f64 {
        self.per_second
    }
}

/// Exponentially decaying maximum: its excess over the current value halves in each half-life.
#[derive(Default)]
pub struct DecayingMax {
    value: f64,
    updated_at: Micros,
}

impl DecayingMax {
    /// Updates the maximum with the current value. `half_life` is in microseconds.
    pub fn update(&mut self, now: Micros, current: f64, half_life: f64) {
        let decay = 0.5f64.powf(now.saturating_sub(self.updated_at) as f64 / half_life);
        self.value = current + (self.value - current).max(0.0) * decay;
        self.updated_at = now;
    }

    /// Returns the maximum as of the last update.
    pub fn value(&self) -> f64 {
        self.value
    }
}

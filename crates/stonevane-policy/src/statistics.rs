//! Running statistics: averages, ratios, rates and peaks that forget the past.

use crate::ids::Micros;

/// An exponentially weighted moving average. The first sample is taken whole.
#[derive(Default, Clone, Copy)]
pub struct MovingAverage {
    value: f64,
}

impl MovingAverage {
    /// Takes a sample in, at a weight between 0 and 1.
    pub fn record(&mut self, sample: f64, weight: f64) {
        let weight = if self.value == 0.0 { 1.0 } else { weight };
        self.value += weight * (sample - self.value);
    }

    /// The average; 0 before the first sample.
    pub fn value(self) -> f64 {
        self.value
    }

    /// The average, once there is one.
    pub fn known(self) -> Option<f64> {
        (self.value > 0.0).then_some(self.value)
    }
}

/// Factor of [`FadingRatio::fade`] on the counts.
const DECAY_FACTOR: f64 = 0.85;
/// Up to this many counts none fade, so that some are left to judge by.
const MIN_COUNT: f64 = 10.0;

/// The ratio of cases among all counted recently; both counts fade.
#[derive(Default)]
pub struct FadingRatio {
    cases: f64,
    total: f64,
    /// Counted in `total` since the last fading.
    recent: f64,
}

impl FadingRatio {
    /// Counts cases, and among how many.
    pub fn add(&mut self, cases: f64, total: f64) {
        self.cases += cases;
        self.total += total;
        self.recent += total;
    }

    /// The cases as a part of all.
    pub fn value(&self) -> f64 {
        self.cases / self.total.max(1.0)
    }

    /// How many were counted since the last fading.
    pub fn recent_count(&self) -> f64 {
        self.recent
    }

    /// Reduces the weight of what was counted so far.
    pub fn fade(&mut self) {
        let factor = if self.total > MIN_COUNT { DECAY_FACTOR } else { 1.0 };
        self.cases *= factor;
        self.total *= factor;
        self.recent = 0.0;
    }
}

/// Events per second, smoothed over about a second.
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

    /// Takes what was counted in a period into the rate.
    pub fn end_period(&mut self, period: Micros) {
        let seconds = period as f64 / 1e6;
        self.per_second += (self.counted / seconds - self.per_second) * seconds.min(1.0);
        self.counted = 0.0;
    }

    /// Events per second.
    pub fn per_second(&self) -> f64 {
        self.per_second
    }
}

/// The highest value of a figure; its excess over the present value halves with each half-life.
#[derive(Default)]
pub struct FadingPeak {
    value: f64,
    updated_at: Micros,
}

impl FadingPeak {
    /// Takes the present value in.
    pub fn update(&mut self, now: Micros, present: f64, half_life: f64) {
        let fade = 0.5f64.powf(now.saturating_sub(self.updated_at) as f64 / half_life);
        self.value = present + (self.value - present).max(0.0) * fade;
        self.updated_at = now;
    }

    /// The peak at the last update.
    pub fn value(&self) -> f64 {
        self.value
    }
}

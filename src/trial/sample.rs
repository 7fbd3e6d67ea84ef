//! Measured durations and their quantiles.

use std::time::Duration;

/// A sample of measured durations.
#[derive(Clone, Debug, Default)]
pub struct Sample {
    values: Vec<Duration>,
}

impl Sample {
    pub fn add(&mut self, value: Duration) {
        self.values.push(value);
    }

    pub fn extend(&mut self, other: Sample) {
        self.values.extend(other.values);
    }

    pub fn len(&self) -> usize {
        self.values.len()
    }

    pub fn is_empty(&self) -> bool {
        self.values.is_empty()
    }

    /// Returns the value at a quantile, rounded up to the next measured value.
    pub fn quantile(&self, share: f64) -> Duration {
        let mut sorted = self.values.clone();
        sorted.sort_unstable();
        let last = sorted.len().saturating_sub(1);
        let index = (share * last as f64).ceil() as usize;
        sorted.get(index.min(last)).copied().unwrap_or_default()
    }

    /// Formats the median, the 99th percentile and the maximum in milliseconds.
    pub fn summary(&self) -> String {
        let ms = |share| self.quantile(share).as_secs_f64() * 1_000.0;
        format!(
            "p50 {:8.2}  p99 {:8.2}  max {:8.2} ms",
            ms(0.5),
            ms(0.99),
            ms(1.0)
        )
    }
}

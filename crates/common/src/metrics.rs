//! A page of metrics in the Prometheus text format.

use crate::invariants;
use prometheus::core::Collector;
use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry, TextEncoder,
};

const VALID_NAME: &str = "a constant name is valid and registered once";

/// The upper bounds of the buckets of duration histograms, in seconds.
const SECONDS_BUCKETS: [f64; 11] = [
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 1.0, 3.0,
];

fn seconds_options(name: &str, help: &str) -> HistogramOpts {
    HistogramOpts::new(name, help).buckets(SECONDS_BUCKETS.to_vec())
}

/// The metrics of one process.
///
/// # Panics
/// The methods that add a metric panic if its name is invalid or already registered; all names are constants.
pub struct MetricsPage {
    registry: Registry,
}

impl MetricsPage {
    /// Creates a page with the counters of violated invariants, which every process has.
    pub fn new() -> Self {
        let registry = Registry::new();
        registry
            .register(Box::new(invariants::counters()))
            .expect(VALID_NAME);
        Self { registry }
    }

    /// Adds a counter.
    pub fn counter(&self, name: &str, help: &str) -> IntCounter {
        let metric = IntCounter::new(name, help).expect(VALID_NAME);
        self.register(metric)
    }

    /// Adds counters, one for each combination of label values.
    pub fn counters(&self, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
        let metric = IntCounterVec::new(Opts::new(name, help), labels).expect(VALID_NAME);
        self.register(metric)
    }

    /// Adds a gauge.
    pub fn gauge(&self, name: &str, help: &str) -> IntGauge {
        let metric = IntGauge::new(name, help).expect(VALID_NAME);
        self.register(metric)
    }

    /// Adds a histogram of durations in seconds.
    pub fn seconds(&self, name: &str, help: &str) -> Histogram {
        let metric = Histogram::with_opts(seconds_options(name, help)).expect(VALID_NAME);
        self.register(metric)
    }

    /// Adds histograms of durations in seconds, one for each combination of label values.
    pub fn labelled_seconds(&self, name: &str, help: &str, labels: &[&str]) -> HistogramVec {
        let metric = HistogramVec::new(seconds_options(name, help), labels).expect(VALID_NAME);
        self.register(metric)
    }

    fn register<M: Collector + Clone + 'static>(&self, metric: M) -> M {
        self.registry
            .register(Box::new(metric.clone()))
            .expect(VALID_NAME);
        metric
    }

    /// Encodes the page.
    pub fn text(&self) -> Vec<u8> {
        let mut page_bytes = Vec::new();
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut page_bytes);
        page_bytes
    }
}

impl Default for MetricsPage {
    fn default() -> Self {
        Self::new()
    }
}

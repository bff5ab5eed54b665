use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// The trailhead's metrics.
pub struct Gauges {
    registry: Registry,
    /// Transactions of callers by outcome and reason.
    pub outcomes: IntCounterVec,
    /// Look-ups of owners by where they were found.
    pub lookups: IntCounterVec,
    /// Acquisitions asked of the leader.
    pub acquires: IntCounter,
    /// How long acquisitions took.
    pub acquire_seconds: Histogram,
    /// Transactions sent to runners.
    pub sends: IntCounter,
    /// Sends beyond a transaction's first.
    pub extra_sends: IntCounter,
    /// Answers that were not believed.
    pub rejected_answers: IntCounter,
    /// Connections closed for what they sent.
    pub rejected_frames: IntCounter,
    /// Functions held.
    pub held: IntGauge,
    /// Runners ready.
    pub ready_runners: IntGauge,
    /// Transactions waiting.
    pub waiting: IntGauge,
    /// Transactions on runners.
    pub running: IntGauge,
    /// Whether the member grant runs.
    pub serving: IntGauge,
    /// The serial installed.
    pub serial: IntGauge,
    /// Member grants that ended.
    pub grants_ended: IntCounter,
    /// Lines kept for other daemons' ledgers.
    pub ledger_lines: IntGauge,
    /// How long a steward took to note a once-transaction.
    pub note_seconds: Histogram,
    /// Functions whose last runner was kept although idle.
    pub idle_stop_skipped: IntGauge,
}

fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let made = IntCounter::new(name, help).expect("a constant name is valid");
    registry.register(Box::new(made.clone())).expect("names are registered once");
    made
}

fn counters(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let made = IntCounterVec::new(Opts::new(name, help), labels).expect("a constant name is valid");
    registry.register(Box::new(made.clone())).expect("names are registered once");
    made
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let made = IntGauge::new(name, help).expect("a constant name is valid");
    registry.register(Box::new(made.clone())).expect("names are registered once");
    made
}

impl Gauges {
    /// All at zero.
    pub fn new() -> Self {
        let registry = Registry::new();
        let seconds_options = HistogramOpts::new(
            "rudder_acquire_seconds",
            "round trip of an acquisition to the leader",
        )
        .buckets(vec![0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 1.0, 3.0]);
        let acquire_seconds =
            Histogram::with_opts(seconds_options).expect("a constant name is valid");
        registry.register(Box::new(acquire_seconds.clone())).expect("names are registered once");
        let note_options =
            HistogramOpts::new("rudder_note_seconds", "round trip of a note to a steward")
                .buckets(vec![0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.3]);
        let note_seconds = Histogram::with_opts(note_options).expect("a constant name is valid");
        registry.register(Box::new(note_seconds.clone())).expect("names are registered once");
        Self {
            outcomes: counters(
                &registry,
                "rudder_transactions_total",
                "callers' transactions by outcome and reason",
                &["outcome", "reason"],
            ),
            lookups: counters(
                &registry,
                "rudder_owner_lookups_total",
                "owner look-ups by where the owner was found",
                &["found"],
            ),
            acquires: counter(
                &registry,
                "rudder_acquires_total",
                "acquisitions asked of the leader",
            ),
            acquire_seconds,
            sends: counter(&registry, "rudder_sends_total", "transactions sent to runners"),
            extra_sends: counter(&registry, "rudder_extra_sends_total", "sends beyond the first"),
            rejected_answers: counter(
                &registry,
                "rudder_answers_rejected_total",
                "answers not believed",
            ),
            rejected_frames: counter(
                &registry,
                "rudder_frames_rejected_total",
                "connections closed for what they sent",
            ),
            held: gauge(&registry, "rudder_functions_held", "functions held"),
            ready_runners: gauge(&registry, "rudder_runners_ready", "runners ready"),
            waiting: gauge(&registry, "rudder_transactions_waiting", "transactions in inboxes"),
            running: gauge(&registry, "rudder_transactions_running", "transactions on runners"),
            serving: gauge(&registry, "rudder_serving", "1 while the member grant runs"),
            serial: gauge(&registry, "rudder_spec_serial", "the serial installed"),
            grants_ended: counter(
                &registry,
                "rudder_member_grants_ended_total",
                "member grants that ended",
            ),
            ledger_lines: gauge(
                &registry,
                "rudder_ledger_lines",
                "lines kept for other daemons' ledgers",
            ),
            note_seconds,
            idle_stop_skipped: gauge(
                &registry,
                "rudder_idle_stop_skipped",
                "functions whose last idle runner is kept",
            ),
            registry,
        }
    }

    /// The metrics page.
    pub fn page(&self) -> Vec<u8> {
        let mut page_bytes = Vec::new();
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut page_bytes);
        page_bytes
    }
}

impl Default for Gauges {
    fn default() -> Self {
        Self::new()
    }
}

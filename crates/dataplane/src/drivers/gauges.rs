use common::metrics::MetricsPage;
use prometheus::{Histogram, HistogramVec, IntCounter, IntCounterVec, IntGauge};

/// The daemon's metrics.
pub struct Gauges {
    page: MetricsPage,
    /// Transactions of callers by outcome and reason.
    pub request_outcomes: IntCounterVec,
    /// How long callers' requests took, by outcome.
    pub request_seconds: HistogramVec,
    /// Requests that ended long after their deadline.
    pub overdue_requests: IntCounter,
    /// Look-ups of owners by where they were found.
    pub lookups: IntCounterVec,
    /// Acquisitions asked of the leader.
    pub acquires: IntCounter,
    /// How long acquisitions took.
    pub acquire_seconds: Histogram,
    /// Transactions sent to runners.
    pub sends: IntCounter,
    /// Sends beyond a transaction's first.
    pub retried_sends: IntCounter,
    /// Answers that were not believed.
    pub rejected_answers: IntCounter,
    /// Connections closed for what they sent.
    pub rejected_frames: IntCounter,
    /// Functions held.
    pub held: IntGauge,
    /// Runners ready.
    pub ready_runners: IntGauge,
    /// Transactions waiting.
    pub queued: IntGauge,
    /// Transactions on runners.
    pub in_flight: IntGauge,
    /// Whether the member grant runs.
    pub serving: IntGauge,
    /// The serial installed.
    pub version: IntGauge,
    /// Member grants that ended.
    pub leases_ended: IntCounter,
    /// Lines kept for other daemons' ledgers.
    pub replica_entries: IntGauge,
    /// How long a steward took to note a once-transaction.
    pub replication_seconds: Histogram,
    /// Functions whose last runner was kept although idle.
    pub idle_stop_skipped: IntGauge,
}

impl Gauges {
    /// All at zero.
    pub fn new() -> Self {
        let page = MetricsPage::new();
        Self {
            request_outcomes: page.counters(
                "rudder_transactions_total",
                "callers' transactions by outcome and reason",
                &["outcome", "reason"],
            ),
            request_seconds: page.labelled_seconds(
                "rudder_request_seconds",
                "from a caller's first byte to the answer, by outcome",
                &["outcome"],
            ),
            overdue_requests: page.counter(
                "rudder_requests_overdue_total",
                "callers' requests that ended over a quarter of a second after their deadline",
            ),
            lookups: page.counters(
                "rudder_owner_lookups_total",
                "owner look-ups by where the owner was found",
                &["found"],
            ),
            acquires: page.counter("rudder_acquires_total", "acquisitions asked of the leader"),
            acquire_seconds: page.seconds(
                "rudder_acquire_seconds",
                "round trip of an acquisition to the leader",
            ),
            sends: page.counter("rudder_sends_total", "transactions sent to runners"),
            retried_sends: page.counter("rudder_extra_sends_total", "sends beyond the first"),
            rejected_answers: page.counter("rudder_answers_rejected_total", "answers not believed"),
            rejected_frames: page.counter(
                "rudder_frames_rejected_total",
                "connections closed for what they sent",
            ),
            held: page.gauge("rudder_functions_held", "functions held"),
            ready_runners: page.gauge("rudder_runners_ready", "runners ready"),
            queued: page.gauge("rudder_transactions_waiting", "transactions in inboxes"),
            in_flight: page.gauge("rudder_transactions_running", "transactions on runners"),
            serving: page.gauge("rudder_serving", "1 while the member grant runs"),
            version: page.gauge("rudder_spec_serial", "the serial installed"),
            leases_ended: page.counter(
                "rudder_member_grants_ended_total",
                "member grants that ended",
            ),
            replica_entries: page.gauge(
                "rudder_ledger_lines",
                "lines kept for other daemons' ledgers",
            ),
            replication_seconds: page
                .seconds("rudder_note_seconds", "round trip of a note to a steward"),
            idle_stop_skipped: page.gauge(
                "rudder_idle_stop_skipped",
                "functions whose last idle runner is kept",
            ),
            page,
        }
    }

    /// The metrics page.
    pub fn page(&self) -> Vec<u8> {
        self.page.text()
    }
}

impl Default for Gauges {
    fn default() -> Self {
        Self::new()
    }
}

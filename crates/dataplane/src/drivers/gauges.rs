use common::metrics::Page;
use prometheus::{Histogram, HistogramVec, IntCounter, IntCounterVec, IntGauge};

/// The daemon's metrics.
pub struct Gauges {
    page: Page,
    /// Transactions of callers by outcome and reason.
    pub outcomes: IntCounterVec,
    /// How long callers' requests took, by outcome.
    pub request_seconds: HistogramVec,
    /// Requests that ended long after their deadline.
    pub overdue: IntCounter,
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

impl Gauges {
    /// All at zero.
    pub fn new() -> Self {
        let page = Page::new();
        Self {
            outcomes: page.counters(
                "rudder_transactions_total",
                "callers' transactions by outcome and reason",
                &["outcome", "reason"],
            ),
            request_seconds: page.seconds_by(
                "rudder_request_seconds",
                "from a caller's first byte to the answer, by outcome",
                &["outcome"],
            ),
            overdue: page.counter(
                "rudder_requests_overdue_total",
                "callers' requests that ended over a quarter of a second after their deadline",
            ),
            lookups: page.counters(
                "rudder_owner_lookups_total",
                "owner look-ups by where the owner was found",
                &["found"],
            ),
            acquires: page.counter("rudder_acquires_total", "acquisitions asked of the leader"),
            acquire_seconds: page
                .seconds("rudder_acquire_seconds", "round trip of an acquisition to the leader"),
            sends: page.counter("rudder_sends_total", "transactions sent to runners"),
            extra_sends: page.counter("rudder_extra_sends_total", "sends beyond the first"),
            rejected_answers: page.counter("rudder_answers_rejected_total", "answers not believed"),
            rejected_frames: page
                .counter("rudder_frames_rejected_total", "connections closed for what they sent"),
            held: page.gauge("rudder_functions_held", "functions held"),
            ready_runners: page.gauge("rudder_runners_ready", "runners ready"),
            waiting: page.gauge("rudder_transactions_waiting", "transactions in inboxes"),
            running: page.gauge("rudder_transactions_running", "transactions on runners"),
            serving: page.gauge("rudder_serving", "1 while the member grant runs"),
            serial: page.gauge("rudder_spec_serial", "the serial installed"),
            grants_ended: page
                .counter("rudder_member_grants_ended_total", "member grants that ended"),
            ledger_lines: page
                .gauge("rudder_ledger_lines", "lines kept for other daemons' ledgers"),
            note_seconds: page.seconds("rudder_note_seconds", "round trip of a note to a steward"),
            idle_stop_skipped: page
                .gauge("rudder_idle_stop_skipped", "functions whose last idle runner is kept"),
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

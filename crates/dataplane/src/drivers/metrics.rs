//! The metrics of a daemon, grouped by what they measure.

use common::metrics::MetricsPage;
use prometheus::{Histogram, HistogramVec, IntCounter, IntCounterVec, IntGauge};

/// The daemon's metrics.
pub struct DaemonMetrics {
    page: MetricsPage,
    /// Requests from callers.
    pub callers: CallerMetrics,
    /// Owner lookups and acquisitions.
    pub owners: OwnerMetrics,
    /// Requests to runners.
    pub runners: RunnerMetrics,
    /// Invalid frames received on connections, each of which closes its connection, and invalid heartbeat datagrams.
    pub rejected_frames: IntCounter,
    /// The held functions.
    pub held: HeldFunctionMetrics,
    /// The session with the leader.
    pub session: SessionMetrics,
    /// The replication of ledgers.
    pub replication: ReplicationMetrics,
    /// Functions whose last runner is retained although it is idle.
    pub retained_idle_functions: IntGauge,
}

impl DaemonMetrics {
    /// Registers all metrics, with the value zero.
    pub fn new() -> Self {
        let page = MetricsPage::new();
        Self {
            callers: CallerMetrics::register(&page),
            owners: OwnerMetrics::register(&page),
            runners: RunnerMetrics::register(&page),
            rejected_frames: page.counter(
                "rudder_frames_rejected_total",
                "connections closed for what they sent",
            ),
            held: HeldFunctionMetrics::register(&page),
            session: SessionMetrics::register(&page),
            replication: ReplicationMetrics::register(&page),
            retained_idle_functions: page.gauge(
                "rudder_idle_stop_skipped",
                "functions whose last idle runner is kept",
            ),
            page,
        }
    }

    /// Returns the metrics in Prometheus text format.
    pub fn page(&self) -> Vec<u8> {
        self.page.text()
    }
}

impl Default for DaemonMetrics {
    fn default() -> Self {
        Self::new()
    }
}

/// The metrics of requests from callers, counted at their ingress daemon.
pub struct CallerMetrics {
    /// Ended requests by outcome and reason.
    pub request_outcomes: IntCounterVec,
    /// Request durations in seconds, by outcome.
    pub request_seconds: HistogramVec,
    /// Requests that ended more than a quarter of a second after their deadline.
    pub overdue_requests: IntCounter,
}

impl CallerMetrics {
    fn register(page: &MetricsPage) -> Self {
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
        }
    }
}

/// The metrics of owner lookups and acquisitions.
pub struct OwnerMetrics {
    /// Owner lookups by result: `held` here, `passed` to another daemon, or `acquired` from the leader.
    pub lookups: IntCounterVec,
    /// Acquisitions requested from the leader.
    pub acquisitions: IntCounter,
    /// The round-trip times of acquisitions in seconds.
    pub acquire_seconds: Histogram,
}

impl OwnerMetrics {
    fn register(page: &MetricsPage) -> Self {
        Self {
            lookups: page.counters(
                "rudder_owner_lookups_total",
                "owner look-ups by where the owner was found",
                &["found"],
            ),
            acquisitions: page.counter("rudder_acquires_total", "acquisitions asked of the leader"),
            acquire_seconds: page.seconds(
                "rudder_acquire_seconds",
                "round trip of an acquisition to the leader",
            ),
        }
    }
}

/// The metrics of requests to runners.
pub struct RunnerMetrics {
    /// Requests sent to runners.
    pub sends: IntCounter,
    /// Sends after a request's first, that is, retries.
    pub retried_sends: IntCounter,
    /// Responses from runners that failed verification.
    pub rejected_responses: IntCounter,
}

impl RunnerMetrics {
    fn register(page: &MetricsPage) -> Self {
        Self {
            sends: page.counter("rudder_sends_total", "transactions sent to runners"),
            retried_sends: page.counter("rudder_extra_sends_total", "sends beyond the first"),
            rejected_responses: page
                .counter("rudder_answers_rejected_total", "answers not believed"),
        }
    }
}

/// The metrics of the held functions.
pub struct HeldFunctionMetrics {
    /// Held functions.
    pub functions: IntGauge,
    /// Ready runners.
    pub ready_runners: IntGauge,
    /// Queued requests.
    pub queued: IntGauge,
    /// Requests in flight to runners.
    pub in_flight: IntGauge,
}

impl HeldFunctionMetrics {
    fn register(page: &MetricsPage) -> Self {
        Self {
            functions: page.gauge("rudder_functions_held", "functions held"),
            ready_runners: page.gauge("rudder_runners_ready", "runners ready"),
            queued: page.gauge("rudder_transactions_waiting", "transactions in inboxes"),
            in_flight: page.gauge("rudder_transactions_running", "transactions on runners"),
        }
    }
}

/// The metrics of the session with the leader: the session lease and the installed spec.
pub struct SessionMetrics {
    /// 1 while the session lease is valid, else 0.
    pub serving: IntGauge,
    /// The version of the installed spec.
    pub version: IntGauge,
    /// Session leases that ended.
    pub leases_ended: IntCounter,
}

impl SessionMetrics {
    fn register(page: &MetricsPage) -> Self {
        Self {
            serving: page.gauge("rudder_serving", "1 while the member grant runs"),
            version: page.gauge("rudder_spec_serial", "the serial installed"),
            leases_ended: page.counter(
                "rudder_member_grants_ended_total",
                "member grants that ended",
            ),
        }
    }
}

/// The metrics of the replication of ledgers.
pub struct ReplicationMetrics {
    /// Records stored here as replicas of other daemons' ledgers.
    pub replica_entries: IntGauge,
    /// The round-trip times of replication in seconds.
    pub round_trip_seconds: Histogram,
}

impl ReplicationMetrics {
    fn register(page: &MetricsPage) -> Self {
        Self {
            replica_entries: page.gauge(
                "rudder_ledger_lines",
                "lines kept for other daemons' ledgers",
            ),
            round_trip_seconds: page
                .seconds("rudder_note_seconds", "round trip of a note to a steward"),
        }
    }
}

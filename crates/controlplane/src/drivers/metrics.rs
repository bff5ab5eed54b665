//! The metrics of a controller process.

use super::queue::InputKind;
use crate::controller_state::ControllerState;
use common::metrics::MetricsPage;
use prometheus::{HistogramVec, IntCounter, IntGauge};
use std::time::Duration;

/// The metrics of a controller process.
pub(super) struct ControllerMetrics {
    page: MetricsPage,
    is_leader: IntGauge,
    term: IntGauge,
    version: IntGauge,
    in_force: IntGauge,
    leader_state: Vec<(&'static str, IntGauge)>,
    rejected: IntCounter,
    queue_seconds: HistogramVec,
    step_seconds: HistogramVec,
    command_seconds: HistogramVec,
    /// The number of frames received from daemons.
    pub frames_up: IntCounter,
    /// The number of frames sent to daemons.
    pub frames_down: IntCounter,
    /// The number of bytes of specs and deltas pushed to daemons.
    pub pushed_bytes: IntCounter,
}

impl ControllerMetrics {
    /// Returns all metrics, set to zero.
    pub(super) fn new() -> Self {
        let page = MetricsPage::new();
        Self {
            frames_up: page.counter("rudder_stream_frames_up_total", "frames from daemons"),
            frames_down: page.counter("rudder_stream_frames_down_total", "frames to daemons"),
            pushed_bytes: page
                .counter("rudder_pushed_bytes_total", "bytes of specs and changes pushed"),
            is_leader: page.gauge("rudder_core_leads", "1 while this controller leads"),
            term: page.gauge("rudder_core_term", "the present term"),
            version: page.gauge("rudder_core_committed_serial", "the newest committed serial"),
            in_force: page
                .gauge("rudder_core_in_force_serial", "the newest serial in force everywhere"),
            leader_state: vec![
                ("members", page.gauge("rudder_desk_members", "daemons with a stream here")),
                ("holders", page.gauge("rudder_desk_holders", "functions held")),
                ("runners", page.gauge("rudder_desk_runners", "runners placed")),
                ("workers_used", page.gauge("rudder_desk_workers_used", "workers with a runner")),
            ],
            rejected: page
                .counter("rudder_frames_rejected_total", "connections closed for what they sent"),
            queue_seconds: page.labelled_seconds(
                "rudder_controller_queue_seconds",
                "how long an input waited in the controller's queue",
                &["input"],
            ),
            command_seconds: page.labelled_seconds(
                "rudder_order_seconds",
                "from an operator's order to its answer, by status; at the controller that was asked",
                &["status"],
            ),
            step_seconds: page.labelled_seconds(
                "rudder_controller_step_seconds",
                "how long the controller took to handle an input",
                &["input"],
            ),
            page,
        }
    }

    /// Records how long an input waited in the queue and how long it took to handle.
    pub(super) fn observe_step(
        &self,
        kind: InputKind,
        queue_wait: Duration,
        handling_time: Duration,
    ) {
        let label = [kind.label()];
        self.queue_seconds
            .with_label_values(&label)
            .observe(queue_wait.as_secs_f64());
        self.step_seconds
            .with_label_values(&label)
            .observe(handling_time.as_secs_f64());
    }

    /// Records the status of an operator's command and the time from its receipt to its response.
    pub(super) fn observe_command(&self, status: u16, elapsed: Duration) {
        let label = [status.to_string()];
        self.command_seconds
            .with_label_values(&label)
            .observe(elapsed.as_secs_f64());
    }

    /// Sets the gauges from the controller's state.
    pub(super) fn set(&self, controller_state: &ControllerState) {
        let consensus = controller_state.consensus();
        self.is_leader.set(i64::from(consensus.is_leader()));
        self.term.set(consensus.term().0 as i64);
        self.version.set(consensus.committed().version.0 as i64);
        let leader_state_counts = controller_state
            .leader_state()
            .map(|leader_state| leader_state.counts());
        self.in_force.set(
            controller_state
                .leader_state()
                .map_or(0, |leader_state| leader_state.in_force().0 as i64),
        );
        for (index, (_, leader_state_gauge)) in self.leader_state.iter().enumerate() {
            leader_state_gauge.set(leader_state_counts.map_or(0, |counts| counts[index].1 as i64));
        }
    }

    /// Counts a connection that was closed because of an invalid frame.
    pub(super) fn count_rejected(&self) {
        self.rejected.inc();
    }

    /// Returns the metrics page.
    pub(super) fn page(&self) -> Vec<u8> {
        self.page.text()
    }
}

//! The state shared by a daemon's tasks. This module depends on none of these tasks.

use super::connector::Connector;
use super::control_input::ControlInput;
use super::hop_client::HopClient;
use super::metrics::DaemonMetrics;
use super::outcome_waiter::OutcomeWaiter;
use super::request_log::RequestLog;
use super::runner_connections::RunnerConnections;
use crate::adapter::DaemonAdapters;
use crate::agent::{Agent, HeldFunction, ShutdownPhase};
use crate::holder::Tuning;
use crate::settings::DaemonSettings;
use common::clock::{MonotonicTime, SharedMonotonicTime};
use common::frames::{AcquireResult, Host};
use common::identity::FunctionKey;
use common::rules::Rules;
use common::spec::CallerLimits;
use std::sync::Arc;
use tokio::sync::{Notify, mpsc, oneshot, watch};

/// A held function whose request outcomes are awaited by tasks in this process.
pub type LocalHeldFunction = Arc<HeldFunction<OutcomeWaiter>>;

/// The state shared by a daemon's tasks.
pub struct State {
    /// The settings of the process.
    pub settings: DaemonSettings,
    /// The protocol adapters for callers, runners and the platform.
    pub adapters: DaemonAdapters,
    /// The daemon's agent, with its leases and held functions.
    pub agent: Agent<OutcomeWaiter>,
    /// The connections to the other daemons.
    pub hop_client: HopClient,
    /// The connections to runners.
    pub runner_connections: Arc<RunnerConnections>,
    /// The metrics.
    pub metrics: DaemonMetrics,
    /// The log of requests without a response.
    pub request_log: RequestLog,
    /// Wakes the control task to recompute its due time.
    pub(super) control_wakeup: Notify,
    /// When the control task is next due.
    pub(super) control_due_at: SharedMonotonicTime,
    /// The number of changes that waiting requests may depend on.
    pub(super) changes: watch::Sender<u64>,
    /// The phase of the daemon's shutdown.
    shutdown_phase: watch::Sender<ShutdownPhase>,
    /// The sender of the control task's inputs.
    pub(crate) control: mpsc::UnboundedSender<ControlInput>,
}

impl State {
    pub(crate) fn new(
        settings: DaemonSettings,
        own_host: Host,
        rules: Rules,
        adapters: DaemonAdapters,
        connector: Arc<dyn Connector>,
        control: mpsc::UnboundedSender<ControlInput>,
    ) -> Self {
        let tuning = Tuning {
            lists_running: adapters.runner.running_path().is_some(),
            ..settings.tuning
        };
        let agent = Agent::new(own_host, rules)
            .with_tuning(tuning)
            .with_regions(settings.regions.clone());
        Self {
            hop_client: HopClient::new(connector.clone(), rules),
            settings,
            adapters,
            agent,
            runner_connections: Arc::new(RunnerConnections::new(connector, rules)),
            metrics: DaemonMetrics::new(),
            request_log: RequestLog::default(),
            control_wakeup: Notify::new(),
            control_due_at: SharedMonotonicTime::new(),
            changes: watch::Sender::new(0),
            shutdown_phase: watch::Sender::new(ShutdownPhase::Finishing),
            control,
        }
    }

    /// Creates the state of a daemon without a control task, for tests. It neither connects to a leader nor ticks its
    /// holders.
    pub fn without_control(
        settings: DaemonSettings,
        own_host: Host,
        rules: Rules,
        adapters: DaemonAdapters,
        connector: Arc<dyn Connector>,
    ) -> Self {
        let (control, _) = mpsc::unbounded_channel();
        Self::new(settings, own_host, rules, adapters, connector, control)
    }

    /// Subscribes to changes that a waiting request may depend on.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Enters a phase of the shutdown and notifies all requests in flight.
    pub fn enter_shutdown_phase(&self, phase: ShutdownPhase) {
        self.shutdown_phase.send_replace(phase);
    }

    /// Subscribes to the phases of the shutdown.
    pub(crate) fn shutdown_phase(&self) -> watch::Receiver<ShutdownPhase> {
        self.shutdown_phase.subscribe()
    }

    /// Returns the maximum size of a caller's request body in bytes: the spec's limit unless it is the default, else
    /// the limit in the settings.
    pub fn body_limit(&self, limits: CallerLimits) -> usize {
        if limits.body_bytes == CallerLimits::default().body_bytes {
            self.settings.max_body_bytes
        } else {
            limits.body_bytes
        }
    }

    /// Requests a function's lease, or its current owner, from the leader. Concurrent requests for a function share one
    /// acquisition. Returns `None` if the acquisition ends without a result, for example when the stream to the leader
    /// is lost.
    pub async fn request_lease(&self, function: &FunctionKey) -> Option<AcquireResult> {
        let (result_sender, result) = oneshot::channel();
        let _ = self
            .control
            .send(ControlInput::Acquire(function.clone(), result_sender));
        result.await.ok()
    }

    /// Notifies the control task that the set of functions that need an owner may have changed.
    pub fn notify_desired_functions_changed(&self) {
        let _ = self.control.send(ControlInput::DesiredFunctionsChanged);
    }

    /// Wakes the control task if the holder is due before the task.
    pub(super) fn wake_control_if_due(&self, held: &LocalHeldFunction) {
        let holder_due = held.with(|holder| holder.next_due());
        if holder_due.is_some_and(|due| due < self.control_due_at.get()) {
            self.control_wakeup.notify_one();
        }
    }

    /// Sets the gauges of [`DaemonMetrics`] that show the agent's current state. They are not kept current otherwise,
    /// so this is called before the metrics page is written.
    pub(crate) fn update_gauges(&self) {
        let held_functions = self.agent.held_functions();
        let mut totals = HeldTotals::default();
        for held in held_functions.values() {
            totals.add(held);
        }
        let metrics = &self.metrics;
        metrics.held.functions.set(held_functions.len() as i64);
        metrics.held.queued.set(totals.queued as i64);
        metrics.held.in_flight.set(totals.in_flight as i64);
        metrics.held.ready_runners.set(totals.ready_runners as i64);
        metrics
            .retained_idle_functions
            .set(totals.retained_idle as i64);
        let entry_count = self.agent.replica_entry_count();
        metrics.replication.replica_entries.set(entry_count as i64);
        let is_serving = self.agent.is_serving(MonotonicTime::now());
        metrics.session.serving.set(i64::from(is_serving));
    }
}

/// Totals over all held functions.
#[derive(Default)]
struct HeldTotals {
    queued: usize,
    in_flight: usize,
    ready_runners: usize,
    /// Functions with no requests and exactly one runner.
    retained_idle: usize,
}

impl HeldTotals {
    fn add(&mut self, held: &LocalHeldFunction) {
        let ((queued, in_flight), (ready_runners, all_runners)) =
            held.with(|holder| (holder.request_counts(), holder.runner_counts()));
        self.queued += queued;
        self.in_flight += in_flight;
        self.ready_runners += ready_runners;
        self.retained_idle += usize::from(all_runners == 1 && queued + in_flight == 0);
    }
}

use super::connector::Connector;
use super::control::ControlInput;
use super::runner_connections::RunnerConnections;
use super::{Gauges, HopClient, RequestLog};
use crate::adapter::DaemonAdapters;
use crate::agent::{Agent, HeldFunction};
use crate::holder::Tuning;
use crate::settings::DaemonSettings;
use common::clock::{MonotonicTime, SharedMonotonicTime};
use common::frames::{AcquireResult, Host, RequestOutcome};
use common::identity::FunctionKey;
use common::rules::Rules;
use common::spec::CallerLimits;
use std::sync::{Arc, PoisonError};
use tokio::sync::{Notify, mpsc, oneshot, watch};

/// A held function whose transactions wait on this process's tasks.
pub type LocalHeldFunction = Arc<HeldFunction<oneshot::Sender<RequestOutcome>>>;

/// All that a daemon's tasks share.
pub struct State {
    /// The boot settings.
    pub settings: DaemonSettings,
    /// How callers, runners and platform are spoken with.
    pub adapters: DaemonAdapters,
    /// The daemon itself.
    pub agent: Agent<oneshot::Sender<RequestOutcome>>,
    /// Links to the other daemons.
    pub hop_client: HopClient,
    /// Connections to runners.
    pub runner_connections: Arc<RunnerConnections>,
    /// The metrics.
    pub gauges: Gauges,
    /// The log of requests without an answer.
    pub request_log: RequestLog,
    pub(super) control_wakeup: Notify,
    pub(super) control_due_at: SharedMonotonicTime,
    pub(super) changes: watch::Sender<u64>,
    pub(super) control: mpsc::UnboundedSender<ControlInput>,
}

impl State {
    pub(super) fn new(
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
            gauges: Gauges::new(),
            request_log: RequestLog::default(),
            control_wakeup: Notify::new(),
            control_due_at: SharedMonotonicTime::new(),
            changes: watch::Sender::new(0),
            control,
        }
    }

    /// A daemon without a control task: it neither seeks a leader nor lets time pass for what it holds.
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

    /// Tells when something has changed that a transaction may wait for.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// The largest body taken from a caller: what the spec says, or else the boot settings.
    pub fn body_limit(&self, limits: CallerLimits) -> usize {
        if limits.body_bytes == CallerLimits::default().body_bytes {
            self.settings.max_body_bytes
        } else {
            limits.body_bytes
        }
    }

    /// Asks the leader for a function, together with all who ask for it now; none if the stream is lost.
    pub async fn acquire(&self, function: &FunctionKey) -> Option<AcquireResult> {
        let (result_sender, result) = oneshot::channel();
        let _ = self
            .control
            .send(ControlInput::Acquire(function.clone(), result_sender));
        result.await.ok()
    }

    /// Functions may want an owner that did not before.
    pub fn desired_functions_changed(&self) {
        let _ = self.control.send(ControlInput::DesiredFunctionsChanged);
    }

    /// Has the control task look earlier than it meant to, if a holder needs that.
    pub(super) fn wake_control_if_due(&self, held: &LocalHeldFunction) {
        let holder_due = held.with(|holder| holder.next_due());
        if holder_due.is_some_and(|due| due < self.control_due_at.get()) {
            self.control_wakeup.notify_one();
        }
    }

    /// Brings the gauges up to the moment.
    pub(super) fn update_gauges(&self) {
        let held_functions = self.agent.held_functions.load_full();
        let (mut queued_sum, mut in_flight_sum, mut ready_sum, mut retained_sum) = (0, 0, 0, 0);
        for held in held_functions.values() {
            let ((queued, in_flight), (ready, all)) =
                held.with(|holder| (holder.request_counts(), holder.runner_counts()));
            queued_sum += queued;
            in_flight_sum += in_flight;
            ready_sum += ready;
            retained_sum += usize::from(all == 1 && queued + in_flight == 0);
        }
        let entry_count = self
            .agent
            .ledger_replica
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .entry_count();
        self.gauges.held.set(held_functions.len() as i64);
        self.gauges.queued.set(queued_sum as i64);
        self.gauges.in_flight.set(in_flight_sum as i64);
        self.gauges.ready_runners.set(ready_sum as i64);
        self.gauges.idle_stop_skipped.set(retained_sum as i64);
        self.gauges.replica_entries.set(entry_count as i64);
        self.gauges
            .serving
            .set(i64::from(self.agent.is_serving(MonotonicTime::now())));
    }
}

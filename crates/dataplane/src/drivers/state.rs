use super::connector::Connector;
use super::control::ControlInput;
use super::links::RunnerLinks;
use super::{Gauges, HopLinks, RequestLog};
use crate::agent::{Agent, Held};
use crate::boot::DaemonBoot;
use crate::holder::Tuning;
use crate::tongue::DaemonAdapters;
use common::clock::{Moment, SharedMoment};
use common::frames::{AcquireResult, HopOutcome, Host};
use common::identity::FunctionKey;
use common::rules::Rules;
use common::spec::CallerLimits;
use std::sync::{Arc, PoisonError};
use tokio::sync::{Notify, mpsc, oneshot, watch};

/// A held function whose transactions wait on this process's tasks.
pub type HeldHere = Arc<Held<oneshot::Sender<HopOutcome>>>;

/// All that a daemon's tasks share.
pub struct State {
    /// The boot settings.
    pub boot: DaemonBoot,
    /// How callers, runners and platform are spoken with.
    pub tongues: DaemonAdapters,
    /// The daemon itself.
    pub agent: Agent<oneshot::Sender<HopOutcome>>,
    /// Links to the other daemons.
    pub links: HopLinks,
    /// Connections to runners.
    pub runner_links: Arc<RunnerLinks>,
    /// The metrics.
    pub gauges: Gauges,
    /// The log of requests without an answer.
    pub request_log: RequestLog,
    pub(super) rush: Notify,
    pub(super) control_due: SharedMoment,
    pub(super) changes: watch::Sender<u64>,
    pub(super) control: mpsc::UnboundedSender<ControlInput>,
}

impl State {
    pub(super) fn new(
        boot: DaemonBoot,
        own_host: Host,
        rules: Rules,
        tongues: DaemonAdapters,
        connector: Arc<dyn Connector>,
        control: mpsc::UnboundedSender<ControlInput>,
    ) -> Self {
        let tuning = Tuning { settles: tongues.runner.running_path().is_some(), ..boot.tuning };
        let agent =
            Agent::new(own_host, rules).with_tuning(tuning).with_regions(boot.regions.clone());
        Self {
            links: HopLinks::new(connector.clone(), rules),
            boot,
            tongues,
            agent,
            runner_links: Arc::new(RunnerLinks::new(connector, rules)),
            gauges: Gauges::new(),
            request_log: RequestLog::default(),
            rush: Notify::new(),
            control_due: SharedMoment::new(),
            changes: watch::Sender::new(0),
            control,
        }
    }

    /// A daemon without a control task: it neither seeks a leader nor lets time pass for what it holds.
    pub fn uncontrolled(
        boot: DaemonBoot,
        own_host: Host,
        rules: Rules,
        tongues: DaemonAdapters,
        connector: Arc<dyn Connector>,
    ) -> Self {
        let (control, _) = mpsc::unbounded_channel();
        Self::new(boot, own_host, rules, tongues, connector, control)
    }

    /// Tells when something has changed that a transaction may wait for.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// The largest body taken from a caller: what the spec says, or else the boot settings.
    pub fn largest_call(&self, limits: CallerLimits) -> usize {
        if limits.body_bytes == CallerLimits::default().body_bytes {
            self.boot.largest_body
        } else {
            limits.body_bytes
        }
    }

    /// Asks the leader for a function, together with all who ask for it now; none if the stream is lost.
    pub async fn acquire(&self, function: &FunctionKey) -> Option<AcquireResult> {
        let (result_sender, result) = oneshot::channel();
        let _ = self.control.send(ControlInput::Acquire(function.clone(), result_sender));
        result.await.ok()
    }

    /// Functions may want an owner that did not before.
    pub fn wishes_changed(&self) {
        let _ = self.control.send(ControlInput::WishesChanged);
    }

    /// Has the control task look earlier than it meant to, if a holder needs that.
    pub(super) fn hurry(&self, held: &HeldHere) {
        let holder_due = held.with(|holder| holder.next_due());
        if holder_due.is_some_and(|due| due < self.control_due.get()) {
            self.rush.notify_one();
        }
    }

    /// Brings the gauges up to the moment.
    pub(super) fn gauge(&self) {
        let holdings = self.agent.holdings.load_full();
        let (mut waiting_sum, mut running_sum, mut ready_sum, mut kept_sum) = (0, 0, 0, 0);
        for held in holdings.values() {
            let ((waiting, running), (ready, all)) =
                held.with(|holder| (holder.load(), holder.runner_counts()));
            waiting_sum += waiting;
            running_sum += running;
            ready_sum += ready;
            kept_sum += usize::from(all == 1 && waiting + running == 0);
        }
        let line_count =
            self.agent.replica.lock().unwrap_or_else(PoisonError::into_inner).line_count();
        self.gauges.held.set(holdings.len() as i64);
        self.gauges.waiting.set(waiting_sum as i64);
        self.gauges.running.set(running_sum as i64);
        self.gauges.ready_runners.set(ready_sum as i64);
        self.gauges.idle_stop_skipped.set(kept_sum as i64);
        self.gauges.ledger_lines.set(line_count as i64);
        self.gauges.serving.set(i64::from(self.agent.is_serving(Moment::now())));
    }
}

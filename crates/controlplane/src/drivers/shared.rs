//! What the controller's tasks share. It depends on none of them.

use super::OperatorApiAdapter;
use super::metrics::ControllerMetrics;
use super::queue::InputSender;
use crate::controller_state::{
    ControllerInput, ControllerState, Operation, OperationReply, OperationTicket, Unavailable,
};
use crate::leader_state::StreamId;
use arc_swap::ArcSwapOption;
use common::adapter::PlatformAdapter;
use common::frames::LeaderToDaemon;
use common::identity::DocumentVersion;
use common::spec::SpecRecords;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use tokio::sync::{Notify, Semaphore, mpsc, oneshot, watch};

/// The number of the newest event once the controller has stopped.
const STOPPED: u64 = u64::MAX;

/// The open streams of daemons.
#[derive(Default)]
pub(super) struct OpenStreams {
    senders: Mutex<HashMap<StreamId, mpsc::Sender<LeaderToDaemon>>>,
}

impl OpenStreams {
    /// Opens a stream whose task receives the frames from this sender's other end.
    pub(super) fn open(&self, stream: StreamId, sender: mpsc::Sender<LeaderToDaemon>) {
        if let Ok(mut senders) = self.senders.lock() {
            senders.insert(stream, sender);
        }
    }

    /// Drops the sender, by which the stream's task ends.
    pub(super) fn close(&self, stream: StreamId) {
        if let Ok(mut senders) = self.senders.lock() {
            senders.remove(&stream);
        }
    }

    /// Queues a frame. A stream whose queue is full is closed: its daemon does not keep up.
    pub(super) fn send(&self, stream: StreamId, frame: LeaderToDaemon) {
        let Ok(mut senders) = self.senders.lock() else {
            return;
        };
        if let Some(sender) = senders.get(&stream)
            && sender.try_send(frame).is_err()
        {
            senders.remove(&stream);
        }
    }
}

/// What other tasks may know of the controller's state, as of its last input.
pub(super) struct PublishedState {
    /// Whether this controller leads.
    pub leadership: watch::Sender<bool>,
    has_leader: AtomicBool,
    newest_event: watch::Sender<u64>,
    newest_spec: ArcSwapOption<SpecRecords>,
}

impl PublishedState {
    fn new() -> Self {
        Self {
            leadership: watch::Sender::new(false),
            has_leader: AtomicBool::new(false),
            newest_event: watch::Sender::new(0),
            newest_spec: ArcSwapOption::empty(),
        }
    }

    /// Whether any leader is known.
    pub(super) fn has_leader(&self) -> bool {
        self.has_leader.load(Ordering::Relaxed)
    }

    /// The newest spec on this controller's disk. Tasks that read changes share its records.
    pub(super) fn newest_spec(&self) -> Option<Arc<SpecRecords>> {
        self.newest_spec.load_full()
    }

    /// Publishes what an input has changed. `spec_version` is the version of the spec published last.
    pub(super) fn update(
        &self,
        controller_state: &ControllerState,
        spec_version: &mut DocumentVersion,
    ) {
        let consensus = controller_state.consensus();
        if let Some(document) = consensus.accepted()
            && document.document_version != *spec_version
        {
            *spec_version = document.document_version;
            self.newest_spec
                .store(Some(Arc::new(document.spec.clone())));
        }
        let is_leader = consensus.is_leader();
        self.leadership
            .send_if_modified(|leadership| std::mem::replace(leadership, is_leader) != is_leader);
        self.has_leader
            .store(consensus.leader().is_some(), Ordering::Relaxed);
    }

    /// An event has been recorded.
    pub(super) fn event_recorded(&self, number: u64) {
        self.newest_event.send_replace(number);
    }

    /// The controller has stopped: there will be no more events.
    pub(super) fn stopped(&self) {
        self.newest_event.send_replace(STOPPED);
    }

    /// Notices of events.
    pub(super) fn watch_events(&self) -> EventWatch {
        EventWatch(self.newest_event.subscribe())
    }
}

/// Notices of events.
pub(super) struct EventWatch(watch::Receiver<u64>);

impl EventWatch {
    /// Whether the controller has stopped.
    pub(super) fn is_stopped(&self) -> bool {
        *self.0.borrow() == STOPPED
    }

    /// Waits for the next event; false if there will be none.
    pub(super) async fn changed(&mut self) -> bool {
        self.0.changed().await.is_ok()
    }
}

/// What the controller's tasks share.
pub(super) struct Shared {
    /// The controller's inputs.
    pub inputs: InputSender,
    /// The streams of daemons.
    pub streams: OpenStreams,
    /// What is published of the controller's state.
    pub published: PublishedState,
    /// The metrics.
    pub metrics: ControllerMetrics,
    /// The adapter for operators.
    pub operators: Arc<dyn OperatorApiAdapter>,
    /// The adapter for the platform.
    pub platform: Arc<dyn PlatformAdapter>,
    /// The leader wants the platform's lists at once.
    pub list_refresh_requested: Notify,
    /// Long requests and complete specs are read and written one at a time: on a small share of a CPU each
    /// more would take time from the controller's loop.
    pub large_request_permits: Semaphore,
    operations: Mutex<HashMap<OperationTicket, oneshot::Sender<OperationReply>>>,
    id_counter: AtomicU64,
}

impl Shared {
    pub(super) fn new(
        inputs: InputSender,
        operators: Arc<dyn OperatorApiAdapter>,
        platform: Arc<dyn PlatformAdapter>,
    ) -> Self {
        Self {
            inputs,
            streams: OpenStreams::default(),
            published: PublishedState::new(),
            metrics: ControllerMetrics::new(),
            operators,
            platform,
            list_refresh_requested: Notify::new(),
            large_request_permits: Semaphore::new(1),
            operations: Mutex::new(HashMap::new()),
            id_counter: AtomicU64::new(1),
        }
    }

    /// A number that no stream or operation of this process has had.
    pub(super) fn next_id(&self) -> u64 {
        self.id_counter.fetch_add(1, Ordering::Relaxed)
    }

    /// Hands an operation to the controller and waits for its reply. A controller that has stopped has not handled it.
    /// Dropping the future tells the controller that the caller's connection has ended.
    pub(super) async fn submit_operation(&self, operation: Operation) -> OperationReply {
        let not_handled = operation.not_handled(Unavailable::Stopping);
        let ticket = OperationTicket(self.next_id());
        let mut pending = PendingOperation {
            shared: self,
            ticket,
            is_answered: false,
        };
        let (reply_sender, reply_receiver) = oneshot::channel();
        if let Ok(mut operations) = self.operations.lock() {
            operations.insert(ticket, reply_sender);
        }
        let submitted = self
            .inputs
            .send(ControllerInput::OperatorRequest(ticket, operation))
            .await;
        if submitted.is_err() {
            return not_handled;
        }
        let reply = reply_receiver.await.unwrap_or(OperationReply::Unknown {
            reason: Unavailable::Stopping,
            change: None,
        });
        pending.is_answered = true;
        reply
    }

    /// The controller has stopped: nothing waits for a reply any longer.
    pub(super) fn end_operations(&self) {
        if let Ok(mut operations) = self.operations.lock() {
            operations.clear();
        }
    }

    /// Hands a reply to the task that waits for it.
    pub(super) fn operation_answered(&self, ticket: OperationTicket, reply: OperationReply) {
        if let Ok(mut operations) = self.operations.lock()
            && let Some(reply_sender) = operations.remove(&ticket)
        {
            let _ = reply_sender.send(reply);
        }
    }
}

/// An operation whose reply is awaited. If it is dropped before the reply, its caller's connection has ended.
struct PendingOperation<'a> {
    shared: &'a Shared,
    ticket: OperationTicket,
    is_answered: bool,
}

impl Drop for PendingOperation<'_> {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        if let Ok(mut operations) = self.shared.operations.lock() {
            operations.remove(&self.ticket);
        }
        self.shared
            .inputs
            .try_send(ControllerInput::CallerDisconnected(self.ticket));
    }
}

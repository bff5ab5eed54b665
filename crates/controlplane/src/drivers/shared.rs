//! The state shared by the controller's tasks. It depends on none of them.

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

/// The value published in place of the newest event's number after the controller has stopped.
const STOPPED: u64 = u64::MAX;

/// The open streams of daemons.
#[derive(Default)]
pub(super) struct OpenStreams {
    senders: Mutex<HashMap<StreamId, mpsc::Sender<LeaderToDaemon>>>,
}

impl OpenStreams {
    /// Registers a stream, whose task receives the frames sent through `sender`.
    pub(super) fn open(&self, stream: StreamId, sender: mpsc::Sender<LeaderToDaemon>) {
        if let Ok(mut senders) = self.senders.lock() {
            senders.insert(stream, sender);
        }
    }

    /// Removes a stream and drops its sender, which ends the stream's task.
    pub(super) fn close(&self, stream: StreamId) {
        if let Ok(mut senders) = self.senders.lock() {
            senders.remove(&stream);
        }
    }

    /// Queues a frame on a stream. Closes the stream if its queue is full, because its daemon does not keep up.
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

/// The parts of the controller's state that other tasks can read, as of its last input.
pub(super) struct PublishedState {
    /// Whether this controller is the leader.
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

    /// Whether a leader is known.
    pub(super) fn has_leader(&self) -> bool {
        self.has_leader.load(Ordering::Relaxed)
    }

    /// Returns the newest spec on this controller's disk. Tasks that parse changes share its records.
    pub(super) fn newest_spec(&self) -> Option<Arc<SpecRecords>> {
        self.newest_spec.load_full()
    }

    /// Publishes the state after an input. `spec_version` is the version of the spec that was published last.
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

    /// Publishes the number of the newest event.
    pub(super) fn publish_event(&self, number: u64) {
        self.newest_event.send_replace(number);
    }

    /// Publishes that the controller has stopped and will record no more events.
    pub(super) fn mark_stopped(&self) {
        self.newest_event.send_replace(STOPPED);
    }

    /// Returns a subscription to new events.
    pub(super) fn watch_events(&self) -> EventWatch {
        EventWatch(self.newest_event.subscribe())
    }
}

/// A subscription to new events.
pub(super) struct EventWatch(watch::Receiver<u64>);

impl EventWatch {
    /// Whether the controller has stopped.
    pub(super) fn is_stopped(&self) -> bool {
        *self.0.borrow() == STOPPED
    }

    /// Waits until an event is recorded or the controller stops. Returns false if there will be no further change.
    pub(super) async fn changed(&mut self) -> bool {
        self.0.changed().await.is_ok()
    }
}

/// The state shared by the controller's tasks.
pub(super) struct Shared {
    /// The sender of the controller's inputs.
    pub inputs: InputSender,
    /// The open streams of daemons.
    pub streams: OpenStreams,
    /// The published parts of the controller's state.
    pub published: PublishedState,
    /// The metrics.
    pub metrics: ControllerMetrics,
    /// The adapter of the operators' API.
    pub operators: Arc<dyn OperatorApiAdapter>,
    /// The adapter of the platform.
    pub platform: Arc<dyn PlatformAdapter>,
    /// Signals that the leader requests the platform's lists immediately.
    pub list_refresh_requested: Notify,
    /// Limits the parsing of large requests and the writing of complete specs to one at a time. On a small CPU share,
    /// each additional one would take time from the controller's loop.
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

    /// Returns a number that no stream or operation of this process has used before.
    pub(super) fn next_id(&self) -> u64 {
        self.id_counter.fetch_add(1, Ordering::Relaxed)
    }

    /// Submits an operation to the controller and waits for its reply. Reports the operation as not handled if the
    /// controller has stopped. Dropping the future notifies the controller that the caller has disconnected.
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

    /// Drops the pending operations after the controller has stopped. Their replies are then unknown.
    pub(super) fn drop_pending_operations(&self) {
        if let Ok(mut operations) = self.operations.lock() {
            operations.clear();
        }
    }

    /// Passes a reply to the task that awaits it.
    pub(super) fn deliver_reply(&self, ticket: OperationTicket, reply: OperationReply) {
        if let Ok(mut operations) = self.operations.lock()
            && let Some(reply_sender) = operations.remove(&ticket)
        {
            let _ = reply_sender.send(reply);
        }
    }
}

/// An operation whose reply is awaited. Dropping it before the reply means that the caller has disconnected.
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

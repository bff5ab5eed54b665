//! Opens a controller and runs its input loop.

use super::disk::DiskWriter;
use super::peer_links::PeerLinks;
use super::queue::{InputKind, InputQueue, InputSender, QueuedInput, input_queue};
use super::shared::Shared;
use super::{NativeOperatorApi, OperatorApiAdapter, operators, platform, streams};
use crate::consensus::{ConsensusNode, ControllerAddress, PersistedState};
use crate::controller_state::{ControllerInput, ControllerOutput, ControllerState, Operation};
use crate::settings::ControllerSettings;
use crate::storage::{DataDirectory, DataDirectoryError, DiskFaultHook, LoadedState, NoFaults};
use common::adapter::{NativePlatform, PlatformAdapter};
use common::clock::MonotonicTime;
use common::events;
use common::frames::SocketAddress;
use common::identity::{ControllerId, DocumentVersion};
use common::log_event;
use common::readers::SettingsError;
use common::rng::SeededRng;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// The handling time above which an input is logged, because it delays heartbeats and votes.
const SLOW_INPUT_THRESHOLD: Duration = Duration::from_millis(20);
/// How long a stopping controller continues to process the pending operations.
const PENDING_OPERATIONS_TIMEOUT: Duration = Duration::from_secs(1);
/// How long after the stop request a controller waits for operators to read its responses.
const STOP_TIMEOUT: Duration = Duration::from_secs(3);

/// The reason why a controller could not start.
#[derive(Debug, thiserror::Error)]
pub enum ControllerError {
    /// The settings cannot be used on this machine.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The data directory is unusable.
    #[error(transparent)]
    DataDirectory(#[from] DataDirectoryError),
}

/// The adapters of a controller to external systems.
#[derive(Clone)]
pub struct ControllerAdapters {
    /// The adapter of the operators' API.
    pub operators: Arc<dyn OperatorApiAdapter>,
    /// The adapter of the platform.
    pub platform: Arc<dyn PlatformAdapter>,
}

impl ControllerAdapters {
    /// Returns the product's own adapters, with the platform at this address.
    pub fn native(platform: SocketAddress) -> Self {
        Self {
            operators: Arc::new(NativeOperatorApi),
            platform: Arc::new(NativePlatform::new(platform)),
        }
    }
}

/// An opened controller.
pub struct Controller {
    controller_state: ControllerState,
    queue: InputQueue,
    shared: Arc<Shared>,
    peer_links: PeerLinks,
    disk: Option<DiskWriter>,
    process_listener: TcpListener,
    operators_listener: TcpListener,
    platform_poll_interval: Duration,
}

/// Changes the seed addresses of a running controller.
#[derive(Clone)]
pub struct SeedUpdater {
    inputs: InputSender,
}

impl SeedUpdater {
    /// Sets the seed addresses. Returns false if the controller has stopped.
    pub async fn update_seeds(&self, seeds: Vec<SocketAddress>) -> bool {
        self.inputs
            .send(ControllerInput::Seeds(seeds))
            .await
            .is_ok()
    }
}

impl Controller {
    /// Opens the data directory and the listeners.
    ///
    /// # Errors
    /// Returns an error if the data directory is unusable or the controller cannot listen on an address.
    pub async fn open(settings: &ControllerSettings) -> Result<Self, ControllerError> {
        Self::open_with(
            settings,
            Box::new(NoFaults),
            ControllerAdapters::native(settings.platform),
        )
        .await
    }

    /// Opens a controller like [`Self::open`], but with a disk fault hook and with these adapters.
    ///
    /// # Errors
    /// Returns the errors of [`Self::open`].
    pub async fn open_with(
        settings: &ControllerSettings,
        fault_hook: Box<dyn DiskFaultHook>,
        adapters: ControllerAdapters,
    ) -> Result<Self, ControllerError> {
        let mut rng = SeededRng::from_os();
        let fresh_id = ControllerId(rng.number() | 1);
        let opened_directory = settings
            .data_directory
            .as_deref()
            .map(|data| open_data_directory(settings, data, fault_hook, fresh_id))
            .transpose()?;
        let (process_listener, operators_listener) = open_listeners(settings).await?;
        let (input_sender, queue) = input_queue();
        let consensus = consensus_node(settings, opened_directory.as_ref(), fresh_id, rng);
        let disk = opened_directory
            .map(|opened| DiskWriter::start(opened.data_directory, input_sender.clone()));
        let shared = Shared::new(input_sender, adapters.operators, adapters.platform);
        Ok(Self {
            controller_state: ControllerState::new(
                consensus,
                settings.leader_state_timing.clone(),
                settings.consensus_timing.election_timeout_min,
            ),
            queue,
            shared: Arc::new(shared),
            peer_links: PeerLinks::new(*settings.address.0.ip()),
            disk,
            process_listener,
            operators_listener,
            platform_poll_interval: settings.platform_poll_interval,
        })
    }

    /// Returns a handle that changes the seed addresses of this controller while it runs.
    pub fn seed_updater(&self) -> SeedUpdater {
        SeedUpdater {
            inputs: self.shared.inputs.clone(),
        }
    }

    /// Runs until `stop` is true, then continues to process the pending operations for at most one second. The
    /// operations that remain are reported as not carried out, or as unknown if they may still be carried out.
    ///
    /// The task that serves operators is awaited until three seconds after the stop request. The tasks that accept
    /// connections of other processes and that poll the platform are detached; they end with the process, or when they
    /// find the queue closed.
    pub async fn run(self, stop: watch::Receiver<bool>) {
        let shared = self.shared;
        tokio::spawn(streams::accept(self.process_listener, shared.clone()));
        tokio::spawn(platform::poll(shared.clone(), self.platform_poll_interval));
        let operators_task = tokio::spawn(operators::serve(
            self.operators_listener,
            shared.clone(),
            stop.clone(),
        ));
        let mut queue = self.queue;
        let mut input_loop = InputLoop {
            controller_state: self.controller_state,
            shared: shared.clone(),
            peer_links: self.peer_links,
            disk: self.disk,
            published_spec_version: DocumentVersion::default(),
        };
        input_loop.run(&mut queue, stop).await;
        let stopped_at = MonotonicTime::now();
        input_loop
            .finish_operations(&mut queue, stopped_at + PENDING_OPERATIONS_TIMEOUT)
            .await;
        shared.published.mark_stopped();
        drop(queue);
        let _ = tokio::time::timeout(time_until(stopped_at + STOP_TIMEOUT), operators_task).await;
    }
}

/// Opens the listeners for other processes and for operators.
async fn open_listeners(
    settings: &ControllerSettings,
) -> Result<(TcpListener, TcpListener), SettingsError> {
    // The setting that the address comes from, for the error.
    let listen_key = if settings.listen == settings.address {
        "place"
    } else {
        "listen"
    };
    let process_listener = listen(settings, listen_key, settings.listen).await?;
    let operators_listener = listen(settings, "operators", settings.operators).await?;
    Ok((process_listener, operators_listener))
}

async fn listen(
    settings: &ControllerSettings,
    key: &'static str,
    address: SocketAddress,
) -> Result<TcpListener, SettingsError> {
    TcpListener::bind(address.to_std())
        .await
        .map_err(|error| SettingsError::CannotListen(settings.source.clone(), key, address, error))
}

/// An open data directory and the state loaded from it.
struct OpenedDataDirectory {
    data_directory: DataDirectory,
    persisted: PersistedState,
    /// Whether this may be the first start of all controllers: the disk was empty at a start with
    /// `bootstrap_on_first_start` set, and nothing has been written since.
    may_bootstrap: bool,
}

fn open_data_directory(
    settings: &ControllerSettings,
    data: &Path,
    fault_hook: Box<dyn DiskFaultHook>,
    fresh_id: ControllerId,
) -> Result<OpenedDataDirectory, ControllerError> {
    let data_directory =
        DataDirectory::open_with(data, fault_hook).map_err(|error| match error {
            DataDirectoryError::File(path, io_error) => ControllerError::Settings(
                SettingsError::UnwritableFolder(settings.source.clone(), path, io_error),
            ),
            other => ControllerError::DataDirectory(other),
        })?;
    if settings.bootstrap_on_first_start {
        data_directory.record_first_start()?;
    }
    let LoadedState {
        persisted,
        quarantined,
    } = data_directory.load(fresh_id)?;
    for damaged_name in quarantined {
        log_event!(Warn, events::DAMAGED_FILE_SET_ASIDE, "{damaged_name}");
    }
    let may_bootstrap = persisted.is_empty() && data_directory.is_first_start();
    Ok(OpenedDataDirectory {
        data_directory,
        persisted,
        may_bootstrap,
    })
}

/// Returns a consensus node with the state of its data directory. Without a data directory, it has no vote.
fn consensus_node(
    settings: &ControllerSettings,
    opened_directory: Option<&OpenedDataDirectory>,
    fresh_id: ControllerId,
    rng: SeededRng,
) -> ConsensusNode {
    let persisted = opened_directory.map_or_else(
        || PersistedState::empty(fresh_id),
        |opened| opened.persisted.clone(),
    );
    let own_address = ControllerAddress {
        address: settings.address,
        operator_address: settings.operators,
    };
    let consensus = ConsensusNode::new(
        MonotonicTime::now(),
        settings.consensus_timing.clone(),
        persisted,
        own_address,
        settings.zone.clone(),
        settings.seeds.clone(),
        rng,
    )
    .with_quorum_policy(settings.quorum_policy)
    .with_bootstrap(opened_directory.is_some_and(|opened| opened.may_bootstrap));
    match opened_directory {
        Some(_) => consensus,
        None => consensus.without_disk(),
    }
}

fn time_until(instant: MonotonicTime) -> Duration {
    instant.since(MonotonicTime::now())
}

/// The loop that owns the controller's state and handles all inputs sequentially.
struct InputLoop {
    controller_state: ControllerState,
    shared: Arc<Shared>,
    peer_links: PeerLinks,
    disk: Option<DiskWriter>,
    published_spec_version: DocumentVersion,
}

impl InputLoop {
    /// Handles inputs until `stop` is true.
    async fn run(&mut self, queue: &mut InputQueue, mut stop: watch::Receiver<bool>) {
        loop {
            let queued = tokio::select! {
                biased;
                _ = stop.wait_for(|stopping| *stopping) => return,
                queued = self.next_input(queue) => queued,
            };
            self.handle(queued);
        }
    }

    async fn next_input(&self, queue: &mut InputQueue) -> QueuedInput {
        let now = MonotonicTime::now();
        let idle_timeout = self.controller_state.next_due(now).since(now);
        queue.next(idle_timeout).await
    }

    /// Handles inputs until every operation has been replied to or the time `until` is reached. Then ends the
    /// operations that remain, including those that are still queued.
    async fn finish_operations(&mut self, queue: &mut InputQueue, until: MonotonicTime) {
        while self.controller_state.has_pending_operations() {
            let next_input = self.next_input(queue);
            let Ok(queued) = tokio::time::timeout(time_until(until), next_input).await else {
                break;
            };
            self.handle(queued);
        }
        self.handle(QueuedInput::now(ControllerInput::Stop));
        for queued in queue.close() {
            if matches!(queued.input, ControllerInput::OperatorRequest(..)) {
                self.handle(queued);
            }
        }
        self.shared.drop_pending_operations();
    }

    fn handle(&mut self, QueuedInput { input, queued_at }: QueuedInput) {
        if matches!(
            input,
            ControllerInput::OperatorRequest(_, Operation::Metrics)
        ) {
            self.shared.metrics.set(&self.controller_state);
        }
        let kind = InputKind::of(&input);
        let begun_at = MonotonicTime::now();
        for output in self.controller_state.handle_input(begun_at, input) {
            self.execute(output);
        }
        let handling_time = MonotonicTime::now().since(begun_at);
        self.record_step(kind, begun_at.since(queued_at), handling_time);
        self.shared
            .published
            .update(&self.controller_state, &mut self.published_spec_version);
    }

    /// Records the duration of handling an input in the metrics, and logs an input that delayed heartbeats and votes.
    fn record_step(&self, kind: InputKind, queue_wait: Duration, handling_time: Duration) {
        self.shared
            .metrics
            .observe_step(kind, queue_wait, handling_time);
        if handling_time > SLOW_INPUT_THRESHOLD {
            let (waited_ms, handled_ms) = (queue_wait.as_millis(), handling_time.as_millis());
            log_event!(
                Warn,
                events::SLOW_INPUT,
                "{kind}: waited {waited_ms} ms, took {handled_ms} ms"
            );
        }
    }

    fn execute(&mut self, output: ControllerOutput) {
        let shared = &self.shared;
        match output {
            ControllerOutput::Send(to, frame) => self.peer_links.send(to, frame),
            ControllerOutput::Write(ticket, job) => {
                if let Some(disk) = &self.disk {
                    disk.write(ticket, job);
                }
            }
            ControllerOutput::FrameToDaemon(stream, frame) => shared.streams.send(stream, frame),
            ControllerOutput::CloseStream(stream) => shared.streams.close(stream),
            ControllerOutput::RequestLists => shared.list_refresh_requested.notify_one(),
            ControllerOutput::StopRunner(order) => {
                // Detached: the task ends with the platform's response or the adapter's timeout.
                tokio::spawn(platform::stop_runner(shared.clone(), order));
            }
            ControllerOutput::OperatorReply(ticket, reply) => {
                shared.deliver_reply(ticket, reply);
            }
            ControllerOutput::EventRecorded(numbered) => {
                log_event!(
                    Info,
                    numbered.event_record.event,
                    "#{} {}",
                    numbered.number,
                    numbered.event_record.detail
                );
                shared.published.publish_event(numbered.number);
            }
        }
    }
}

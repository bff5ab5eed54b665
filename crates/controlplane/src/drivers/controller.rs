use super::disk::DiskWriter;
use super::metrics::ControllerMetrics;
use super::peer_links::PeerLinks;
use super::queue::{InputKind, InputQueue, InputSender, QueuedInput, input_queue};
use super::{NativeOperatorApi, OperatorApiAdapter, operators, platform, streams};
use crate::consensus::{ConsensusNode, ControllerAddress, PersistedState};
use crate::controller_state::{
    ControllerInput, ControllerOutput, ControllerState, Operation, OperationReply, OperationTicket,
};
use crate::leader_state::StreamId;
use crate::settings::ControllerSettings;
use crate::storage::{DataDirectory, DataDirectoryError, DiskFaultHook, NoFaults};
use arc_swap::ArcSwapOption;
use common::adapter::{NativePlatform, PlatformAdapter};
use common::clock::MonotonicTime;
use common::events;
use common::frames::{LeaderToDaemon, SocketAddress};
use common::identity::{ControllerId, DocumentVersion};
use common::log_event;
use common::readers::SettingsError;
use common::rng::SeededRng;
use common::spec::SpecRecords;
use std::collections::HashMap;
use std::fmt;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Notify, Semaphore, mpsc, oneshot, watch};

/// A step that takes longer keeps rounds and votes waiting, and is noted.
const SLOW_INPUT: Duration = Duration::from_millis(20);

/// Why a controller could not start.
#[derive(Debug)]
pub enum ControllerError {
    /// Its settings do not fit this machine.
    Settings(SettingsError),
    /// Its data folder does not serve.
    DataDirectory(DataDirectoryError),
}

impl fmt::Display for ControllerError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Settings(error) => write!(out, "{error}"),
            Self::DataDirectory(error) => write!(out, "{error}"),
        }
    }
}

impl std::error::Error for ControllerError {}

impl From<SettingsError> for ControllerError {
    fn from(error: SettingsError) -> Self {
        Self::Settings(error)
    }
}

impl From<DataDirectoryError> for ControllerError {
    fn from(error: DataDirectoryError) -> Self {
        Self::DataDirectory(error)
    }
}

/// The tongues that a controller speaks.
#[derive(Clone)]
pub struct ControllerAdapters {
    /// With operators.
    pub operators: Arc<dyn OperatorApiAdapter>,
    /// With the platform.
    pub platform: Arc<dyn PlatformAdapter>,
}

impl ControllerAdapters {
    /// The product's own, with the platform at this place.
    pub fn own(platform: SocketAddress) -> Self {
        Self {
            operators: Arc::new(NativeOperatorApi),
            platform: Arc::new(NativePlatform::new(platform)),
        }
    }
}

/// What the controller's tasks share.
pub struct Shared {
    pub(super) inputs: InputSender,
    pub(super) operations: Mutex<HashMap<OperationTicket, oneshot::Sender<OperationReply>>>,
    pub(super) streams: Mutex<HashMap<StreamId, mpsc::Sender<LeaderToDaemon>>>,
    pub(super) leadership: watch::Sender<bool>,
    pub(super) has_leader: AtomicBool,
    pub(super) newest_event: watch::Sender<u64>,
    pub(super) metrics: ControllerMetrics,
    pub(super) operators: Arc<dyn OperatorApiAdapter>,
    pub(super) platform: Arc<dyn PlatformAdapter>,
    pub(super) list_refresh_requested: Notify,
    pub(super) newest_spec: ArcSwapOption<SpecRecords>,
    /// Long orders and whole specs are read and written one at a time: on a small share of a core each more would
    /// take turns from the loop.
    pub(super) large_request_permits: Semaphore,
    id_counter: AtomicU64,
}

impl Shared {
    pub(super) fn next_id(&self) -> u64 {
        self.id_counter.fetch_add(1, Ordering::Relaxed)
    }

    pub(super) async fn submit_operation(&self, operation: Operation) -> Option<OperationReply> {
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
        self.inputs
            .send(ControllerInput::Operate(ticket, operation))
            .await
            .ok()?;
        let reply = reply_receiver.await.ok();
        pending.is_answered = true;
        reply
    }
}

/// An operator's order while its answer is awaited; dropped before that, its caller hung up.
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

/// A running controller.
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

async fn listen(
    settings: &ControllerSettings,
    key: &'static str,
    address: SocketAddress,
) -> Result<TcpListener, SettingsError> {
    let error_of =
        |error| SettingsError::CannotListen(settings.source.clone(), key, address, error);
    TcpListener::bind(address.to_std()).await.map_err(error_of)
}

type OpenedDataDirectory = (DataDirectory, PersistedState, bool);

/// Opens the data folder; says what it remembers, and whether this may be the whole system's first
/// start: then its disk was empty at a start with that setting, and nothing was written since.
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
    let (persisted, quarantined) = data_directory.load(fresh_id)?;
    for damaged_name in quarantined {
        log_event!(Warn, events::DAMAGED_FILE_SET_ASIDE, "{damaged_name}");
    }
    let may_bootstrap = persisted.is_empty() && data_directory.is_first_start();
    Ok((data_directory, persisted, may_bootstrap))
}

/// Tells a running controller of other seeds.
#[derive(Clone)]
pub struct SeedUpdater {
    inputs: InputSender,
}

impl SeedUpdater {
    /// Takes other seeds; false when the controller has stopped.
    pub async fn update_seeds(&self, seeds: Vec<SocketAddress>) -> bool {
        self.inputs
            .send(ControllerInput::Seeds(seeds))
            .await
            .is_ok()
    }
}

impl Controller {
    /// What tells this controller of other seeds while it runs.
    pub fn seed_updater(&self) -> SeedUpdater {
        SeedUpdater {
            inputs: self.shared.inputs.clone(),
        }
    }

    /// Opens the data folder and the listeners.
    pub async fn open(settings: &ControllerSettings) -> Result<Self, ControllerError> {
        Self::open_with(
            settings,
            Box::new(NoFaults),
            ControllerAdapters::own(settings.platform),
        )
        .await
    }

    /// The same with a seam at its disk, and with these tongues.
    pub async fn open_with(
        settings: &ControllerSettings,
        fault_hook: Box<dyn DiskFaultHook>,
        adapters: ControllerAdapters,
    ) -> Result<Self, ControllerError> {
        let mut rng = SeededRng::from_os();
        let fresh_id = ControllerId(rng.number() | 1);
        let opened_directory = match &settings.data {
            Some(data) => Some(open_data_directory(settings, data, fault_hook, fresh_id)?),
            None => None,
        };
        let listen_key = if settings.listen == settings.address {
            "place"
        } else {
            "listen"
        };
        let process_listener = listen(settings, listen_key, settings.listen).await?;
        let operators_listener = listen(settings, "operators", settings.operators).await?;
        let (input_sender, queue) = input_queue();
        let address = ControllerAddress {
            address: settings.address,
            operators: settings.operators,
        };
        let persisted = opened_directory.as_ref().map_or_else(
            || PersistedState::empty(fresh_id),
            |(_, persisted, _)| persisted.clone(),
        );
        let may_bootstrap = opened_directory
            .as_ref()
            .is_some_and(|(_, _, may_bootstrap)| *may_bootstrap);
        let consensus = ConsensusNode::new(
            MonotonicTime::now(),
            settings.consensus_timing.clone(),
            persisted,
            address,
            settings.zone.clone(),
            settings.seeds.clone(),
            rng,
        )
        .with_quorum_policy(settings.quorum_policy)
        .with_bootstrap(may_bootstrap);
        let consensus = if opened_directory.is_some() {
            consensus
        } else {
            consensus.without_disk()
        };
        let shared = Arc::new(Shared {
            inputs: input_sender.clone(),
            operations: Mutex::new(HashMap::new()),
            streams: Mutex::new(HashMap::new()),
            leadership: watch::Sender::new(false),
            has_leader: AtomicBool::new(false),
            newest_event: watch::Sender::new(0),
            metrics: ControllerMetrics::new(),
            operators: adapters.operators,
            platform: adapters.platform,
            list_refresh_requested: Notify::new(),
            newest_spec: ArcSwapOption::empty(),
            large_request_permits: Semaphore::new(1),
            id_counter: AtomicU64::new(1),
        });
        Ok(Self {
            controller_state: ControllerState::new(
                consensus,
                settings.leader_state_timing.clone(),
                settings.consensus_timing.election_timeout_min,
            ),
            queue,
            shared,
            peer_links: PeerLinks::new(*settings.address.0.ip()),
            disk: opened_directory
                .map(|(data_directory, _, _)| DiskWriter::start(data_directory, input_sender)),
            process_listener,
            operators_listener,
            platform_poll_interval: settings.platform_poll_interval,
        })
    }

    /// Runs until told to stop.
    pub async fn run(self, stop: watch::Receiver<bool>) {
        let Self {
            mut controller_state,
            mut queue,
            shared,
            mut peer_links,
            disk,
            process_listener,
            operators_listener,
            platform_poll_interval,
        } = self;
        tokio::spawn(streams::accept(process_listener, shared.clone()));
        tokio::spawn(platform::poll(shared.clone(), platform_poll_interval));
        let operators_task = tokio::spawn(operators::serve(
            operators_listener,
            shared.clone(),
            stop.clone(),
        ));
        let mut stopping = stop.clone();
        let mut shared_document_version = DocumentVersion::default();
        loop {
            let now = MonotonicTime::now();
            let idle_timeout = controller_state.next_due(now).since(now);
            let QueuedInput { input, queued_at } = tokio::select! {
                biased;
                _ = stopping.wait_for(|stopping| *stopping) => break,
                queued = queue.next(idle_timeout) => queued,
            };
            if matches!(input, ControllerInput::Operate(_, Operation::Metrics)) {
                shared.metrics.set(&controller_state);
            }
            let kind = InputKind::of(&input);
            let begun_at = MonotonicTime::now();
            for output in controller_state.take(begun_at, input) {
                execute_output(&shared, &mut peer_links, disk.as_ref(), output);
            }
            record_step(
                &shared,
                kind,
                begun_at.since(queued_at),
                MonotonicTime::now().since(begun_at),
            );
            publish_spec(&shared, &controller_state, &mut shared_document_version);
            let is_leader = controller_state.consensus().is_leader();
            shared.leadership.send_if_modified(|leadership| {
                std::mem::replace(leadership, is_leader) != is_leader
            });
            shared.has_leader.store(
                controller_state.consensus().leader().is_some(),
                Ordering::Relaxed,
            );
        }
        shared.newest_event.send_replace(u64::MAX);
        drop(queue);
        let _ = tokio::time::timeout(Duration::from_secs(3), operators_task).await;
    }
}

/// Lets the tasks that read operators' orders share records with the newest spec.
fn publish_spec(
    shared: &Shared,
    controller_state: &ControllerState,
    shared_document_version: &mut DocumentVersion,
) {
    if let Some(document) = controller_state.consensus().accepted()
        && document.document_version != *shared_document_version
    {
        *shared_document_version = document.document_version;
        shared
            .newest_spec
            .store(Some(Arc::new(document.spec.clone())));
    }
}

/// Measures a step, and notes one that kept leadership waiting.
fn record_step(shared: &Shared, kind: InputKind, queue_wait: Duration, handling_time: Duration) {
    shared.metrics.observe_step(kind, queue_wait, handling_time);
    if handling_time > SLOW_INPUT {
        let (waited_ms, handled_ms) = (queue_wait.as_millis(), handling_time.as_millis());
        log_event!(
            Warn,
            events::SLOW_INPUT,
            "{kind}: waited {waited_ms} ms, took {handled_ms} ms"
        );
    }
}

fn execute_output(
    shared: &Arc<Shared>,
    peer_links: &mut PeerLinks,
    disk: Option<&DiskWriter>,
    output: ControllerOutput,
) {
    match output {
        ControllerOutput::Send(to, frame) => peer_links.send(to, frame),
        ControllerOutput::Write(ticket, job) => {
            if let Some(disk) = disk {
                disk.write(ticket, job);
            }
        }
        ControllerOutput::FrameToDaemon(stream, frame) => {
            let Ok(mut open_streams) = shared.streams.lock() else {
                return;
            };
            if let Some(sender) = open_streams.get(&stream)
                && sender.try_send(frame).is_err()
            {
                open_streams.remove(&stream);
            }
        }
        ControllerOutput::Close(stream) => {
            if let Ok(mut open_streams) = shared.streams.lock() {
                open_streams.remove(&stream);
            }
        }
        ControllerOutput::RequestLists => shared.list_refresh_requested.notify_one(),
        ControllerOutput::StopRunner(output) => {
            tokio::spawn(platform::stop_runner(shared.clone(), output));
        }
        ControllerOutput::OperatorReply(ticket, reply) => {
            if let Ok(mut operations) = shared.operations.lock()
                && let Some(reply_sender) = operations.remove(&ticket)
            {
                let _ = reply_sender.send(reply);
            }
        }
        ControllerOutput::EventRecord(numbered) => {
            log_event!(
                Info,
                numbered.event_record.event,
                "#{} {}",
                numbered.number,
                numbered.event_record.detail
            );
            shared.newest_event.send_replace(numbered.number);
        }
    }
}

use super::disk::DiskDriver;
use super::gauges::Gauges;
use super::links::Links;
use super::queue::{InputKind, InputQueue, InputSender, QueuedInput, input_queue};
use super::{OperatorsTongue, OwnOperators, operators, platform, streams};
use crate::boot::ControllerBoot;
use crate::controller_state::{
    ControllerInput, ControllerOutput, ControllerState, Operation, OperationReply, OperationTicket,
};
use crate::core::{Address, Core, Recalled};
use crate::disk::{Seam, Shelf, ShelfFault, Sound};
use crate::leader_state::StreamId;
use arc_swap::ArcSwapOption;
use common::chance::Chance;
use common::clock::Moment;
use common::events;
use common::frames::{Place, StreamDown};
use common::identity::{ControllerId, Stamp};
use common::note;
use common::readers::BootFault;
use common::spec::SpecRecords;
use common::tongue::{OwnPlatform, PlatformTongue};
use std::collections::HashMap;
use std::fmt;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Notify, Semaphore, mpsc, oneshot, watch};

/// A step that takes longer keeps rounds and votes waiting, and is noted.
const SLOW_STEP: Duration = Duration::from_millis(20);

/// Why a controller could not start.
#[derive(Debug)]
pub enum ControllerFault {
    /// Its settings do not fit this machine.
    Boot(BootFault),
    /// Its data folder does not serve.
    Shelf(ShelfFault),
}

impl fmt::Display for ControllerFault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Boot(fault) => write!(out, "{fault}"),
            Self::Shelf(fault) => write!(out, "{fault}"),
        }
    }
}

impl std::error::Error for ControllerFault {}

impl From<BootFault> for ControllerFault {
    fn from(fault: BootFault) -> Self {
        Self::Boot(fault)
    }
}

impl From<ShelfFault> for ControllerFault {
    fn from(fault: ShelfFault) -> Self {
        Self::Shelf(fault)
    }
}

/// The tongues that a controller speaks.
#[derive(Clone)]
pub struct ControllerAdapters {
    /// With operators.
    pub operators: Arc<dyn OperatorsTongue>,
    /// With the platform.
    pub platform: Arc<dyn PlatformTongue>,
}

impl ControllerAdapters {
    /// The product's own, with the platform at this place.
    pub fn own(platform: Place) -> Self {
        Self { operators: Arc::new(OwnOperators), platform: Arc::new(OwnPlatform::new(platform)) }
    }
}

/// What the controller's tasks share.
pub struct Shared {
    pub(super) inputs: InputSender,
    pub(super) operations: Mutex<HashMap<OperationTicket, oneshot::Sender<OperationReply>>>,
    pub(super) streams: Mutex<HashMap<StreamId, mpsc::Sender<StreamDown>>>,
    pub(super) leads: watch::Sender<bool>,
    pub(super) has_leader: AtomicBool,
    pub(super) newest_event: watch::Sender<u64>,
    pub(super) gauges: Gauges,
    pub(super) operators: Arc<dyn OperatorsTongue>,
    pub(super) platform: Arc<dyn PlatformTongue>,
    pub(super) lists_wanted: Notify,
    pub(super) newest_spec: ArcSwapOption<SpecRecords>,
    /// Long orders and whole specs are read and written one at a time: on a small share of a core each more would
    /// take turns from the loop.
    pub(super) long_work: Semaphore,
    next_number: AtomicU64,
}

impl Shared {
    pub(super) fn number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    pub(super) async fn operate(&self, operation: Operation) -> Option<OperationReply> {
        let ticket = OperationTicket(self.number());
        let mut asking = Asking { shared: self, ticket, is_answered: false };
        let (reply_sender, reply_receiver) = oneshot::channel();
        if let Ok(mut operations) = self.operations.lock() {
            operations.insert(ticket, reply_sender);
        }
        self.inputs.send(ControllerInput::Operate(ticket, operation)).await.ok()?;
        let reply = reply_receiver.await.ok();
        asking.is_answered = true;
        reply
    }
}

/// An operator's order while its answer is awaited; dropped before that, its caller hung up.
struct Asking<'a> {
    shared: &'a Shared,
    ticket: OperationTicket,
    is_answered: bool,
}

impl Drop for Asking<'_> {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        if let Ok(mut operations) = self.shared.operations.lock() {
            operations.remove(&self.ticket);
        }
        self.shared.inputs.try_send(ControllerInput::Withdrawn(self.ticket));
    }
}

/// A running controller.
pub struct Controller {
    controller_state: ControllerState,
    queue: InputQueue,
    shared: Arc<Shared>,
    links: Links,
    disk: Option<DiskDriver>,
    process_listener: TcpListener,
    operators_listener: TcpListener,
    list_every: Duration,
}

async fn listen(
    boot: &ControllerBoot,
    key: &'static str,
    place: Place,
) -> Result<TcpListener, BootFault> {
    let fault_of = |fault| BootFault::Listen(boot.source.clone(), key, place, fault);
    TcpListener::bind(place.address()).await.map_err(fault_of)
}

type Kept = (Shelf, Recalled, bool);

/// Opens the data folder; says what it remembers, and whether this may be the whole system's first
/// start: then its disk was empty at a start with that setting, and nothing was written since.
fn open_shelf(
    boot: &ControllerBoot,
    data: &Path,
    seam: Box<dyn Seam>,
    fresh_id: ControllerId,
) -> Result<Kept, ControllerFault> {
    let shelf = Shelf::open_with(data, seam).map_err(|fault| match fault {
        ShelfFault::File(path, io_fault) => {
            ControllerFault::Boot(BootFault::Folder(boot.source.clone(), path, io_fault))
        }
        other => ControllerFault::Shelf(other),
    })?;
    if boot.found_first {
        shelf.note_first_start()?;
    }
    let (recalled, set_aside) = shelf.recall(fresh_id)?;
    for damaged_name in set_aside {
        note!(Warn, events::FILE_SET_ASIDE, "{damaged_name}");
    }
    let may_found = recalled.is_nothing() && shelf.is_first_start();
    Ok((shelf, recalled, may_found))
}

/// Tells a running controller of other seeds.
#[derive(Clone)]
pub struct Reseeder {
    inputs: InputSender,
}

impl Reseeder {
    /// Takes other seeds; false when the controller has stopped.
    pub async fn reseed(&self, seeds: Vec<Place>) -> bool {
        self.inputs.send(ControllerInput::Seeds(seeds)).await.is_ok()
    }
}

impl Controller {
    /// What tells this controller of other seeds while it runs.
    pub fn reseeder(&self) -> Reseeder {
        Reseeder { inputs: self.shared.inputs.clone() }
    }

    /// Opens the data folder and the listeners.
    pub async fn open(boot: &ControllerBoot) -> Result<Self, ControllerFault> {
        Self::open_with(boot, Box::new(Sound), ControllerAdapters::own(boot.platform)).await
    }

    /// The same with a seam at its disk, and with these tongues.
    pub async fn open_with(
        boot: &ControllerBoot,
        seam: Box<dyn Seam>,
        tongues: ControllerAdapters,
    ) -> Result<Self, ControllerFault> {
        let mut chance = Chance::from_os();
        let fresh_id = ControllerId(chance.number() | 1);
        let kept = match &boot.data {
            Some(data) => Some(open_shelf(boot, data, seam, fresh_id)?),
            None => None,
        };
        let listen_key = if boot.listen == boot.place { "place" } else { "listen" };
        let process_listener = listen(boot, listen_key, boot.listen).await?;
        let operators_listener = listen(boot, "operators", boot.operators).await?;
        let (input_sender, queue) = input_queue();
        let address = Address { place: boot.place, operators: boot.operators };
        let recalled = kept
            .as_ref()
            .map_or_else(|| Recalled::nothing(fresh_id), |(_, recalled, _)| recalled.clone());
        let may_found = kept.as_ref().is_some_and(|(_, _, may_found)| *may_found);
        let core = Core::new(
            Moment::now(),
            boot.core_timing.clone(),
            recalled,
            address,
            boot.zone.clone(),
            boot.seeds.clone(),
            chance,
        )
        .with_shape(boot.quorum_shape)
        .founding_first(may_found);
        let core = if kept.is_some() { core } else { core.passing_on() };
        let shared = Arc::new(Shared {
            inputs: input_sender.clone(),
            operations: Mutex::new(HashMap::new()),
            streams: Mutex::new(HashMap::new()),
            leads: watch::Sender::new(false),
            has_leader: AtomicBool::new(false),
            newest_event: watch::Sender::new(0),
            gauges: Gauges::new(),
            operators: tongues.operators,
            platform: tongues.platform,
            lists_wanted: Notify::new(),
            newest_spec: ArcSwapOption::empty(),
            long_work: Semaphore::new(1),
            next_number: AtomicU64::new(1),
        });
        Ok(Self {
            controller_state: ControllerState::new(
                core,
                boot.leader_state_timing.clone(),
                boot.core_timing.election_shortest,
            ),
            queue,
            shared,
            links: Links::new(*boot.place.0.ip()),
            disk: kept.map(|(shelf, _, _)| DiskDriver::start(shelf, input_sender)),
            process_listener,
            operators_listener,
            list_every: boot.list_every,
        })
    }

    /// Runs until told to stop.
    pub async fn run(self, stop: watch::Receiver<bool>) {
        let Self {
            mut controller_state,
            mut queue,
            shared,
            mut links,
            disk,
            process_listener,
            operators_listener,
            list_every,
        } = self;
        tokio::spawn(streams::accept(process_listener, shared.clone()));
        tokio::spawn(platform::poll(shared.clone(), list_every));
        let operators_task =
            tokio::spawn(operators::serve(operators_listener, shared.clone(), stop.clone()));
        let mut stopping = stop.clone();
        let mut shared_stamp = Stamp::default();
        loop {
            let now = Moment::now();
            let idle_span = controller_state.next_due(now).since(now);
            let QueuedInput { input, queued_at } = tokio::select! {
                biased;
                _ = stopping.wait_for(|stopping| *stopping) => break,
                queued = queue.next(idle_span) => queued,
            };
            if matches!(input, ControllerInput::Operate(_, Operation::Metrics)) {
                shared.gauges.set(&controller_state);
            }
            let kind = InputKind::of(&input);
            let begun_at = Moment::now();
            for order in controller_state.take(begun_at, input) {
                obey(&shared, &mut links, disk.as_ref(), order);
            }
            note_step(&shared, kind, begun_at.since(queued_at), Moment::now().since(begun_at));
            share_spec(&shared, &controller_state, &mut shared_stamp);
            let is_leader = controller_state.core().is_leader();
            shared.leads.send_if_modified(|leads| std::mem::replace(leads, is_leader) != is_leader);
            shared.has_leader.store(controller_state.core().leader().is_some(), Ordering::Relaxed);
        }
        shared.newest_event.send_replace(u64::MAX);
        drop(queue);
        let _ = tokio::time::timeout(Duration::from_secs(3), operators_task).await;
    }
}

/// Lets the tasks that read operators' orders share records with the newest spec.
fn share_spec(shared: &Shared, controller_state: &ControllerState, shared_stamp: &mut Stamp) {
    if let Some(document) = controller_state.core().accepted()
        && document.stamp != *shared_stamp
    {
        *shared_stamp = document.stamp;
        shared.newest_spec.store(Some(Arc::new(document.spec.clone())));
    }
}

/// Measures a step, and notes one that kept leadership waiting.
fn note_step(shared: &Shared, kind: InputKind, waited: Duration, handled: Duration) {
    shared.gauges.observe_step(kind, waited, handled);
    if handled > SLOW_STEP {
        let (waited_ms, handled_ms) = (waited.as_millis(), handled.as_millis());
        note!(Warn, events::SLOW_STEP, "{kind}: waited {waited_ms} ms, took {handled_ms} ms");
    }
}

fn obey(
    shared: &Arc<Shared>,
    links: &mut Links,
    disk: Option<&DiskDriver>,
    order: ControllerOutput,
) {
    match order {
        ControllerOutput::Send(to, frame) => links.send(to, frame),
        ControllerOutput::Write(ticket, job) => {
            if let Some(disk) = disk {
                disk.write(ticket, job);
            }
        }
        ControllerOutput::Down(stream, frame) => {
            let Ok(mut open_streams) = shared.streams.lock() else { return };
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
        ControllerOutput::AskLists => shared.lists_wanted.notify_one(),
        ControllerOutput::StopRunner(order) => {
            tokio::spawn(platform::stop_runner(shared.clone(), order));
        }
        ControllerOutput::Operated(ticket, reply) => {
            if let Ok(mut operations) = shared.operations.lock()
                && let Some(reply_sender) = operations.remove(&ticket)
            {
                let _ = reply_sender.send(reply);
            }
        }
        ControllerOutput::Told(numbered) => {
            note!(Info, numbered.told.event, "#{} {}", numbered.number, numbered.told.detail);
            shared.newest_event.send_replace(numbered.number);
        }
    }
}

use super::disk::DiskDriver;
use super::gauges::Gauges;
use super::links::Links;
use super::{operators, platform, streams};
use crate::boot::SurveyorBoot;
use crate::core::{Address, Core};
use crate::desk::StreamId;
use crate::disk::{Seam, Shelf, ShelfFault, Sound};
use crate::plane::{Operation, OperationReply, OperationTicket, Plane, PlaneInput, PlaneOutput};
use std::collections::HashMap;
use std::fmt;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use waymark::chance::Chance;
use waymark::clock::Moment;
use waymark::events;
use waymark::frames::{Place, StreamDown};
use waymark::identity::SurveyorId;
use waymark::note;
use waymark::readers::BootFault;

/// Why a surveyor could not start.
#[derive(Debug)]
pub enum SurveyorFault {
    /// Its settings do not fit this machine.
    Boot(BootFault),
    /// Its data folder does not serve.
    Shelf(ShelfFault),
}

impl fmt::Display for SurveyorFault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Boot(fault) => write!(out, "{fault}"),
            Self::Shelf(fault) => write!(out, "{fault}"),
        }
    }
}

impl std::error::Error for SurveyorFault {}

impl From<BootFault> for SurveyorFault {
    fn from(fault: BootFault) -> Self {
        Self::Boot(fault)
    }
}

impl From<ShelfFault> for SurveyorFault {
    fn from(fault: ShelfFault) -> Self {
        Self::Shelf(fault)
    }
}

/// What the surveyor's tasks share.
pub struct Shared {
    pub(super) inputs: mpsc::Sender<PlaneInput>,
    pub(super) operations: Mutex<HashMap<OperationTicket, oneshot::Sender<OperationReply>>>,
    pub(super) streams: Mutex<HashMap<StreamId, mpsc::Sender<StreamDown>>>,
    pub(super) leads: AtomicBool,
    pub(super) has_leader: AtomicBool,
    pub(super) newest_event: watch::Sender<u64>,
    pub(super) gauges: Gauges,
    pub(super) platform: Place,
    next_number: AtomicU64,
}

impl Shared {
    pub(super) fn number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    pub(super) async fn operate(&self, operation: Operation) -> Option<OperationReply> {
        let ticket = OperationTicket(self.number());
        let (reply_sender, reply_receiver) = oneshot::channel();
        if let Ok(mut operations) = self.operations.lock() {
            operations.insert(ticket, reply_sender);
        }
        self.inputs.send(PlaneInput::Operate(ticket, operation)).await.ok()?;
        reply_receiver.await.ok()
    }
}

/// A running surveyor.
pub struct Surveyor {
    plane: Plane,
    inbox: mpsc::Receiver<PlaneInput>,
    shared: Arc<Shared>,
    links: Links,
    disk: DiskDriver,
    process_listener: TcpListener,
    operators_listener: TcpListener,
}

async fn listen(
    boot: &SurveyorBoot,
    key: &'static str,
    place: Place,
) -> Result<TcpListener, BootFault> {
    let fault_of = |fault| BootFault::Listen(boot.source.clone(), key, place, fault);
    TcpListener::bind(place.address()).await.map_err(fault_of)
}

impl Surveyor {
    /// Opens the data folder and the listeners.
    pub async fn open(boot: &SurveyorBoot) -> Result<Self, SurveyorFault> {
        Self::open_with(boot, Box::new(Sound)).await
    }

    /// The same with a seam at its disk.
    pub async fn open_with(
        boot: &SurveyorBoot,
        seam: Box<dyn Seam>,
    ) -> Result<Self, SurveyorFault> {
        let mut chance = Chance::from_os();
        let shelf = Shelf::open_with(&boot.data, seam).map_err(|fault| match fault {
            ShelfFault::File(path, io_fault) => {
                SurveyorFault::Boot(BootFault::Folder(boot.source.clone(), path, io_fault))
            }
            other => SurveyorFault::Shelf(other),
        })?;
        let (recalled, set_aside) = shelf.recall(SurveyorId(chance.number() | 1))?;
        for damaged_name in set_aside {
            note!(Warn, events::FILE_SET_ASIDE, "{damaged_name}");
        }
        let listen_key = if boot.listen == boot.place { "place" } else { "listen" };
        let process_listener = listen(boot, listen_key, boot.listen).await?;
        let operators_listener = listen(boot, "operators", boot.operators).await?;
        let (input_sender, inbox) = mpsc::channel(16_384);
        let address = Address { place: boot.place, operators: boot.operators };
        let core = Core::new(
            Moment::now(),
            boot.core_timing.clone(),
            recalled,
            address,
            boot.locality.clone(),
            boot.seeds.clone(),
            chance,
        );
        let shared = Arc::new(Shared {
            inputs: input_sender.clone(),
            operations: Mutex::new(HashMap::new()),
            streams: Mutex::new(HashMap::new()),
            leads: AtomicBool::new(false),
            has_leader: AtomicBool::new(false),
            newest_event: watch::Sender::new(0),
            gauges: Gauges::new(),
            platform: boot.platform,
            next_number: AtomicU64::new(1),
        });
        Ok(Self {
            plane: Plane::new(core, boot.desk_timing.clone(), boot.core_timing.election_shortest),
            inbox,
            shared,
            links: Links::new(*boot.place.0.ip()),
            disk: DiskDriver::start(shelf, input_sender),
            process_listener,
            operators_listener,
        })
    }

    /// Runs until told to stop.
    pub async fn run(self, stop: watch::Receiver<bool>) {
        let Self {
            mut plane,
            mut inbox,
            shared,
            mut links,
            disk,
            process_listener,
            operators_listener,
        } = self;
        tokio::spawn(streams::accept(process_listener, shared.clone()));
        tokio::spawn(platform::poll(shared.clone()));
        let operators_task =
            tokio::spawn(operators::serve(operators_listener, shared.clone(), stop.clone()));
        let mut ticking = tokio::time::interval(Duration::from_millis(20));
        ticking.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        let mut stopping = stop.clone();
        loop {
            let input = tokio::select! {
                _ = ticking.tick() => PlaneInput::Tick,
                Some(input) = inbox.recv() => input,
                _ = stopping.wait_for(|stopping| *stopping) => break,
            };
            for order in plane.take(Moment::now(), input) {
                obey(&shared, &mut links, &disk, order);
            }
            shared.leads.store(plane.core().is_leader(), Ordering::Relaxed);
            shared.has_leader.store(plane.core().leader().is_some(), Ordering::Relaxed);
            shared.gauges.set(&plane);
        }
        shared.newest_event.send_replace(u64::MAX);
        drop(inbox);
        let _ = tokio::time::timeout(Duration::from_secs(3), operators_task).await;
    }
}

fn obey(shared: &Arc<Shared>, links: &mut Links, disk: &DiskDriver, order: PlaneOutput) {
    match order {
        PlaneOutput::Send(to, frame) => links.send(to, frame),
        PlaneOutput::Write(ticket, job) => disk.write(ticket, job),
        PlaneOutput::Down(stream, frame) => {
            let Ok(mut open_streams) = shared.streams.lock() else { return };
            if let Some(sender) = open_streams.get(&stream)
                && sender.try_send(frame).is_err()
            {
                open_streams.remove(&stream);
            }
        }
        PlaneOutput::Close(stream) => {
            if let Ok(mut open_streams) = shared.streams.lock() {
                open_streams.remove(&stream);
            }
        }
        PlaneOutput::StopRunner(order) => {
            tokio::spawn(platform::stop_runner(shared.clone(), order));
        }
        PlaneOutput::Operated(ticket, reply) => {
            if let Ok(mut operations) = shared.operations.lock()
                && let Some(reply_sender) = operations.remove(&ticket)
            {
                let _ = reply_sender.send(reply);
            }
        }
        PlaneOutput::Told(numbered) => {
            note!(Info, numbered.told.event, "#{} {}", numbered.number, numbered.told.detail);
            shared.newest_event.send_replace(numbered.number);
        }
    }
}

use super::connector::TcpConnector;
use super::control::{Control, ControlInput};
use super::door::{serve_door, serve_ready};
use super::{State, hops};
use crate::boot::DaemonBoot;
use crate::tongue::DaemonAdapters;
use common::chance::Chance;
use common::clock::Moment;
use common::events;
use common::frames::{Channel, Flag, FrameFault, Host, Place, decode_heartbeat, read_channel};
use common::note;
use common::readers::BootFault;
use common::rules::Rules;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{mpsc, watch};

/// Tells a running daemon something.
#[derive(Clone)]
pub struct DaemonHandle {
    state: Arc<State>,
}

impl DaemonHandle {
    /// The seeds have changed; those known are replaced.
    pub fn reseed(&self, seeds: Vec<Place>) {
        let _ = self.state.control.send(ControlInput::Seeds(seeds));
    }
}

/// A running daemon.
pub struct Daemon {
    state: Arc<State>,
    inbox: mpsc::UnboundedReceiver<ControlInput>,
    process_listener: TcpListener,
    door_listener: TcpListener,
    ready_listener: Option<TcpListener>,
    beats: Arc<UdpSocket>,
}

impl Daemon {
    /// Opens the listeners.
    pub async fn open(boot: DaemonBoot) -> Result<Self, BootFault> {
        Self::open_under(boot, Rules::KEPT).await
    }

    /// The same with a rule taken away for proving.
    pub async fn open_under(boot: DaemonBoot, rules: Rules) -> Result<Self, BootFault> {
        let tongues = DaemonAdapters::own(boot.platform);
        Self::open_with(boot, rules, tongues).await
    }

    /// The same with other tongues than the product's own.
    pub async fn open_with(
        boot: DaemonBoot,
        rules: Rules,
        tongues: DaemonAdapters,
    ) -> Result<Self, BootFault> {
        let fault_at = |key: &'static str, place: Place| {
            let source = boot.source.clone();
            move |fault| BootFault::Listen(source, key, place, fault)
        };
        let listen_key = if boot.listen == boot.place { "place" } else { "listen" };
        let process_listener = TcpListener::bind(boot.listen.address())
            .await
            .map_err(fault_at(listen_key, boot.listen))?;
        let door_listener =
            TcpListener::bind(boot.door.address()).await.map_err(fault_at("door", boot.door))?;
        let ready_listener = match boot.ready {
            Some(ready) => {
                let listener = TcpListener::bind(ready.address()).await;
                Some(listener.map_err(fault_at("ready", ready))?)
            }
            None => None,
        };
        let beats = UdpSocket::bind(boot.listen.address())
            .await
            .map_err(fault_at(listen_key, boot.listen))?;
        let (control, inbox) = mpsc::unbounded_channel();
        let host = Host {
            member: boot.member.clone(),
            incarnation: (Chance::from_os().number() | 1).into(),
            zone: boot.zone.clone(),
            place: boot.place,
            eligible: Flag(true),
            link_mbps: boot.link_mbps,
        };
        let connector = Arc::new(TcpConnector::new(*boot.place.0.ip()));
        let state = Arc::new(State::new(boot, host, rules, tongues, connector, control));
        let beats = Arc::new(beats);
        Ok(Self { state, inbox, process_listener, door_listener, ready_listener, beats })
    }

    /// What can be told to it while it runs.
    pub fn handle(&self) -> DaemonHandle {
        DaemonHandle { state: self.state.clone() }
    }

    /// Serves until told to stop, then leaves in an orderly way.
    pub async fn run(self, mut stop: watch::Receiver<bool>) {
        let Self { state, inbox, process_listener, door_listener, ready_listener, beats } = self;
        tokio::spawn(Control::new(state.clone(), beats.clone()).run(inbox));
        tokio::spawn(hear_beats(state.clone(), beats));
        tokio::spawn(accept(process_listener, state.clone()));
        let (_ready_stop_sender, ready_stop) = watch::channel(false);
        if let Some(ready_listener) = ready_listener {
            tokio::spawn(serve_ready(state.clone(), ready_listener, ready_stop));
        }
        let (door_stop_sender, door_stop) = watch::channel(false);
        let door = tokio::spawn(serve_door(state.clone(), door_listener, door_stop));
        let _ = stop.wait_for(|stopping| *stopping).await;
        let leave_by = Moment::now() + state.boot.grace;
        state.agent.begin_leaving();
        let _ = state.control.send(ControlInput::Leave);
        door_stop_sender.send_replace(true);
        let finishing = async {
            let _ = door.await;
            while !state.agent.is_empty_handed() {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let _ = tokio::time::timeout(leave_by.since(Moment::now()), finishing).await;
        let _ = state.control.send(ControlInput::Left);
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
}

async fn hear_beats(state: Arc<State>, beats: Arc<UdpSocket>) {
    let mut datagram = vec![0; 64 << 10];
    loop {
        let Ok((length, from)) = beats.recv_from(&mut datagram).await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        match decode_heartbeat(&datagram[..length]) {
            Ok(heartbeat) => {
                let _ = state.control.send(ControlInput::Beat(heartbeat));
            }
            Err(fault) => {
                state.gauges.rejected_frames.inc();
                note!(Debug, events::HEARTBEAT_IGNORED, "from {from}: {fault}");
            }
        }
    }
}

async fn accept(listener: TcpListener, state: Arc<State>) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let connection_state = state.clone();
                tokio::spawn(async move {
                    if let Err(fault) = serve(connection_state.clone(), stream).await
                        && !matches!(fault, FrameFault::Connection(_))
                    {
                        connection_state.gauges.rejected_frames.inc();
                        note!(Warn, events::FRAME_REJECTED, "from {from}: {fault}");
                    }
                });
            }
            Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
}

async fn serve(state: Arc<State>, mut stream: TcpStream) -> Result<(), FrameFault> {
    common::sockets::tune(&stream);
    let channel = tokio::time::timeout(Duration::from_secs(3), read_channel(&mut stream))
        .await
        .map_err(|_| FrameFault::Connection(std::io::ErrorKind::TimedOut.into()))??;
    match channel {
        Channel::Hop => hops::serve(state, stream).await,
        Channel::Core => Err(FrameFault::WrongChannel(1)),
        Channel::Stream => Err(FrameFault::WrongChannel(2)),
    }
}

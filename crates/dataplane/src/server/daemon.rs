//! A daemon process. Its listeners are opened first, so that an address in use is reported before any task starts.

use super::hops;
use super::ingress::{serve_ingress, serve_ready};
use crate::adapter::DaemonAdapters;
use crate::agent::{ShutdownPhase, ShutdownSchedule};
use crate::drivers::{ControlInput, ControlTask, State, TcpConnector};
use crate::settings::DaemonSettings;
use common::clock::MonotonicTime;
use common::events;
use common::frames::{
    Channel, Flag, FrameError, Host, SocketAddress, decode_heartbeat, read_channel,
};
use common::log_event;
use common::readers::SettingsError;
use common::rng::SeededRng;
use common::rules::Rules;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{mpsc, watch};

/// The delay before accepting or receiving again after a listener has failed.
const LISTENER_RETRY_DELAY: Duration = Duration::from_millis(20);
/// How often a daemon that is shutting down checks whether all its work has finished.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// How long an exiting daemon waits for its last frames to be written.
const LAST_FRAMES_DELAY: Duration = Duration::from_millis(60);
/// How long another process may take to send the channel of its connection.
const CHANNEL_TIMEOUT: Duration = Duration::from_secs(3);
/// The size of the receive buffer for heartbeats. No UDP datagram is larger.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;

/// A handle to a running daemon.
#[derive(Clone)]
pub struct DaemonHandle {
    state: Arc<State>,
}

impl DaemonHandle {
    /// Replaces the controllers' seed addresses.
    pub fn update_seeds(&self, seeds: Vec<SocketAddress>) {
        let _ = self.state.control.send(ControlInput::Seeds(seeds));
    }
}

/// A daemon with open listeners.
pub struct Daemon {
    state: Arc<State>,
    inputs: mpsc::UnboundedReceiver<ControlInput>,
    listeners: Listeners,
}

impl Daemon {
    /// Opens the listeners.
    ///
    /// # Errors
    /// [`SettingsError::CannotListen`] for the first address that cannot be opened.
    pub async fn open(settings: DaemonSettings) -> Result<Self, SettingsError> {
        Self::open_with_rules(settings, Rules::ALL_ENFORCED).await
    }

    /// Does the same as [`Self::open`] with the given rules, for tests.
    ///
    /// # Errors
    /// The same as for [`Self::open`].
    pub async fn open_with_rules(
        settings: DaemonSettings,
        rules: Rules,
    ) -> Result<Self, SettingsError> {
        let adapters = DaemonAdapters::native(settings.platform);
        Self::open_with(settings, rules, adapters).await
    }

    /// Does the same as [`Self::open`] with the given rules, and with the given adapters instead of the native ones.
    ///
    /// # Errors
    /// The same as for [`Self::open`].
    pub async fn open_with(
        settings: DaemonSettings,
        rules: Rules,
        adapters: DaemonAdapters,
    ) -> Result<Self, SettingsError> {
        let listeners = Listeners::open(&settings).await?;
        let (control, inputs) = mpsc::unbounded_channel();
        let host = own_host(&settings);
        let connector = Arc::new(TcpConnector::new(*settings.address.0.ip()));
        let state = State::new(settings, host, rules, adapters, connector, control);
        Ok(Self {
            state: Arc::new(state),
            inputs,
            listeners,
        })
    }

    /// Returns a handle for use while the daemon runs.
    pub fn handle(&self) -> DaemonHandle {
        DaemonHandle {
            state: self.state.clone(),
        }
    }

    /// Serves until `stop`, then shuts down gracefully within the grace period.
    ///
    /// The ingress task is joined during shutdown; the other tasks are detached and end with the process.
    pub async fn run(self, mut stop: watch::Receiver<bool>) {
        let Self {
            state,
            inputs,
            listeners,
        } = self;
        let heartbeats = listeners.heartbeats;
        tokio::spawn(ControlTask::new(state.clone(), heartbeats.clone()).run(inputs));
        tokio::spawn(receive_heartbeats(state.clone(), heartbeats));
        tokio::spawn(accept_hops(listeners.daemons, state.clone()));
        let (_ready_stop_sender, ready_stop) = watch::channel(false);
        if let Some(ready_listener) = listeners.ready {
            tokio::spawn(serve_ready(state.clone(), ready_listener, ready_stop));
        }
        let (ingress_stop_sender, ingress_stop) = watch::channel(false);
        let ingress = tokio::spawn(serve_ingress(
            state.clone(),
            listeners.ingress,
            ingress_stop,
        ));
        let _ = stop.wait_for(|stopping| *stopping).await;
        let schedule = ShutdownSchedule::new(MonotonicTime::now(), state.settings.grace);
        state.agent.begin_leaving();
        let _ = state.control.send(ControlInput::BeginShutdown);
        ingress_stop_sender.send_replace(true);
        let phase_task = tokio::spawn(enter_shutdown_phases(state.clone(), schedule));
        let draining = async {
            let _ = ingress.await;
            while !state.agent.is_drained() {
                tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
            }
        };
        let _ = tokio::time::timeout(time_until(schedule.exit_at), draining).await;
        phase_task.abort();
        let _ = state.control.send(ControlInput::ShutdownFinished);
        tokio::time::sleep(LAST_FRAMES_DELAY).await;
    }
}

fn time_until(at: MonotonicTime) -> Duration {
    at.since(MonotonicTime::now())
}

/// Enters the phases of the shutdown on schedule, so that the requests in flight end before the process exits.
async fn enter_shutdown_phases(state: Arc<State>, schedule: ShutdownSchedule) {
    for (at, phase) in [
        (schedule.withdraw_at, ShutdownPhase::Withdrawing),
        (schedule.end_at, ShutdownPhase::Ending),
    ] {
        tokio::time::sleep(time_until(at)).await;
        let left_count = state.agent.in_flight_count();
        if left_count > 0 {
            let event = events::REQUESTS_LEFT_AT_SHUTDOWN;
            log_event!(Warn, event, "{phase} {left_count}");
        }
        state.enter_shutdown_phase(phase);
    }
}

/// The open listeners of a daemon.
struct Listeners {
    /// For connections from other daemons.
    daemons: TcpListener,
    /// For callers.
    ingress: TcpListener,
    /// For readiness and metrics, if they have a separate address.
    ready: Option<TcpListener>,
    /// For heartbeats from other daemons. Also used to send heartbeats.
    heartbeats: Arc<UdpSocket>,
}

impl Listeners {
    async fn open(settings: &DaemonSettings) -> Result<Self, SettingsError> {
        let listen_key = if settings.listen == settings.address {
            "place"
        } else {
            "listen"
        };
        let daemons = listen_at(settings, listen_key, settings.listen).await?;
        let ingress = listen_at(settings, "door", settings.ingress).await?;
        let ready = match settings.ready {
            Some(ready) => Some(listen_at(settings, "ready", ready).await?),
            None => None,
        };
        let heartbeats = UdpSocket::bind(settings.listen.to_std())
            .await
            .map_err(|error| cannot_listen(settings, listen_key, settings.listen, error))?;
        Ok(Self {
            daemons,
            ingress,
            ready,
            heartbeats: Arc::new(heartbeats),
        })
    }
}

/// Opens a TCP listener. `key` is the settings key of the address, for the error message.
async fn listen_at(
    settings: &DaemonSettings,
    key: &'static str,
    address: SocketAddress,
) -> Result<TcpListener, SettingsError> {
    TcpListener::bind(address.to_std())
        .await
        .map_err(|error| cannot_listen(settings, key, address, error))
}

fn cannot_listen(
    settings: &DaemonSettings,
    key: &'static str,
    address: SocketAddress,
    error: io::Error,
) -> SettingsError {
    SettingsError::CannotListen(settings.source.clone(), key, address, error)
}

/// Returns this daemon's host entry. Each start of the process has a new random incarnation, which is never zero.
fn own_host(settings: &DaemonSettings) -> Host {
    Host {
        member: settings.member.clone(),
        incarnation: (SeededRng::from_os().number() | 1).into(),
        zone: settings.zone.clone(),
        address: settings.address,
        eligible: Flag(true),
        link_mbps: settings.link_mbps,
    }
}

async fn receive_heartbeats(state: Arc<State>, heartbeat_socket: Arc<UdpSocket>) {
    let mut datagram = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, from)) = heartbeat_socket.recv_from(&mut datagram).await else {
            tokio::time::sleep(LISTENER_RETRY_DELAY).await;
            continue;
        };
        match decode_heartbeat(&datagram[..length]) {
            Ok(heartbeat) => {
                let _ = state
                    .control
                    .send(ControlInput::HeartbeatDatagram(heartbeat));
            }
            Err(error) => {
                state.metrics.rejected_frames.inc();
                log_event!(Debug, events::HEARTBEAT_IGNORED, "from {from}: {error}");
            }
        }
    }
}

/// Accepts connections from other daemons. The task of each connection is detached and ends with the connection.
async fn accept_hops(listener: TcpListener, state: Arc<State>) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let connection_state = state.clone();
                tokio::spawn(async move {
                    if let Err(error) = serve_channel(connection_state.clone(), stream).await
                        && !matches!(error, FrameError::Connection(_))
                    {
                        connection_state.metrics.rejected_frames.inc();
                        log_event!(Warn, events::FRAME_REJECTED, "from {from}: {error}");
                    }
                });
            }
            Err(_) => tokio::time::sleep(LISTENER_RETRY_DELAY).await,
        }
    }
}

async fn serve_channel(state: Arc<State>, mut stream: TcpStream) -> Result<(), FrameError> {
    common::sockets::set_socket_options(&stream);
    let channel = tokio::time::timeout(CHANNEL_TIMEOUT, read_channel(&mut stream))
        .await
        .map_err(|_| FrameError::Connection(std::io::ErrorKind::TimedOut.into()))??;
    match channel {
        Channel::Daemons => hops::serve(state, stream).await,
        Channel::Consensus => Err(FrameError::WrongChannel(1)),
        Channel::Stream => Err(FrameError::WrongChannel(2)),
    }
}

//! Network proxies in front of the processes, which block or delay the traffic between machines.

use common::frames::SocketAddress;
use std::collections::{BTreeMap, BTreeSet};
use std::io::ErrorKind;
use std::net::{IpAddr, Ipv4Addr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// The number of retries to bind an address that is in use.
const BIND_RETRIES: usize = 20;
/// The delay before each retry.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(25);

/// The current faults of the network. Machines are identified by their loopback addresses.
#[derive(Clone, Default)]
struct NetworkConditions {
    /// The blocked directions, each as sender and receiver.
    blocked: BTreeSet<(Ipv4Addr, Ipv4Addr)>,
    /// The delay added to each chunk of a connection; datagrams are not delayed.
    delay: Duration,
}

/// The simulated network between the processes of a fleet. Each process listens behind a proxy, which can block any
/// direction between any two machines. Data of a connection in a blocked direction is held back and delivered once the
/// direction is unblocked, if the connection is still open, as TCP would retransmit it. Datagrams are dropped.
#[derive(Clone)]
pub struct NetworkProxy {
    network_conditions: Arc<watch::Sender<NetworkConditions>>,
    /// The tasks that accept connections and receive datagrams, by the address of their proxy. They are aborted and
    /// joined when the proxy is stopped.
    running_proxies: Arc<Mutex<BTreeMap<SocketAddress, Vec<JoinHandle<()>>>>>,
}

impl NetworkProxy {
    /// Creates a network without faults and without proxies.
    pub fn new() -> Self {
        Self {
            network_conditions: Arc::new(watch::Sender::new(NetworkConditions::default())),
            running_proxies: Arc::new(Mutex::new(BTreeMap::new())),
        }
    }

    /// Starts the proxy of a process, which forwards traffic from `address` to `listen`.
    pub async fn start_proxy(
        &self,
        address: SocketAddress,
        listen: SocketAddress,
    ) -> std::io::Result<()> {
        let (listener, datagrams) = bind_sockets(address).await?;
        let proxy_tasks = vec![
            tokio::spawn(accept(listener, listen, self.network_conditions.clone())),
            tokio::spawn(proxy_datagrams(
                datagrams,
                listen,
                self.network_conditions.clone(),
            )),
        ];
        let mut running_proxies = self
            .running_proxies
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        running_proxies.insert(address, proxy_tasks);
        Ok(())
    }

    /// Stops the proxy of a process that has ended, so that connections to it are refused as on a machine without a
    /// listener. Open connections are not closed here: they end with either side.
    pub async fn stop_proxy(&self, address: SocketAddress) {
        let proxy_tasks = {
            let mut running_proxies = self
                .running_proxies
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            running_proxies.remove(&address).unwrap_or_default()
        };
        for task in proxy_tasks {
            task.abort();
            let _ = task.await;
        }
    }

    /// Stops the proxies of all processes, so that their addresses are free for another fleet.
    pub async fn stop_all(&self) {
        let addresses: Vec<SocketAddress> = {
            let running_proxies = self
                .running_proxies
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            running_proxies.keys().copied().collect()
        };
        for address in addresses {
            self.stop_proxy(address).await;
        }
    }

    /// Blocks the direction from one machine to another.
    pub fn block(&self, from: Ipv4Addr, to: Ipv4Addr) {
        self.network_conditions.send_modify(|network_conditions| {
            network_conditions.blocked.insert((from, to));
        });
    }

    /// Blocks both directions between two groups of machines.
    pub fn partition(&self, left_ips: &[Ipv4Addr], right_ips: &[Ipv4Addr]) {
        for left_ip in left_ips {
            for right_ip in right_ips {
                self.block(*left_ip, *right_ip);
                self.block(*right_ip, *left_ip);
            }
        }
    }

    /// Unblocks these directions; others stay blocked.
    pub fn unblock(&self, directions: &[(Ipv4Addr, Ipv4Addr)]) {
        self.network_conditions.send_modify(|network_conditions| {
            directions.iter().for_each(|direction| {
                network_conditions.blocked.remove(direction);
            });
        });
    }

    /// Delays all connections by the given time per chunk.
    pub fn set_delay(&self, delay: Duration) {
        self.network_conditions
            .send_modify(|network_conditions| network_conditions.delay = delay);
    }

    /// Unblocks all directions and removes the delay.
    pub fn clear_faults(&self) {
        self.network_conditions
            .send_replace(NetworkConditions::default());
    }
}

impl Default for NetworkProxy {
    fn default() -> Self {
        Self::new()
    }
}

/// Binds the sockets of a proxy, with retries. A process that was just forked holds copies of all sockets until it
/// executes its program, so an address can still be in use shortly after its sockets were closed.
async fn bind_sockets(address: SocketAddress) -> std::io::Result<(TcpListener, UdpSocket)> {
    for _ in 0..BIND_RETRIES {
        match try_bind_sockets(address).await {
            Err(error) if error.kind() == ErrorKind::AddrInUse => {
                tokio::time::sleep(BIND_RETRY_DELAY).await;
            }
            bound => return bound,
        }
    }
    try_bind_sockets(address).await
}

async fn try_bind_sockets(address: SocketAddress) -> std::io::Result<(TcpListener, UdpSocket)> {
    let listener = TcpListener::bind(address.to_std()).await?;
    let datagrams = UdpSocket::bind(address.to_std()).await?;
    Ok((listener, datagrams))
}

fn ip_of(address: IpAddr) -> Ipv4Addr {
    match address {
        IpAddr::V4(ip) => ip,
        IpAddr::V6(_) => Ipv4Addr::UNSPECIFIED,
    }
}

async fn accept(
    listener: TcpListener,
    listen: SocketAddress,
    network_conditions: Arc<watch::Sender<NetworkConditions>>,
) {
    while let Ok((outer, from)) = listener.accept().await {
        let from_ip = ip_of(from.ip());
        // The task is detached; it ends when either side closes the connection.
        tokio::spawn(proxy_connection(
            outer,
            from_ip,
            listen,
            network_conditions.clone(),
        ));
    }
}

async fn proxy_connection(
    outer: TcpStream,
    from_ip: Ipv4Addr,
    listen: SocketAddress,
    network_conditions: Arc<watch::Sender<NetworkConditions>>,
) {
    let Ok(inner) = TcpStream::connect(listen.to_std()).await else {
        return;
    };
    let _ = outer.set_nodelay(true);
    let _ = inner.set_nodelay(true);
    let to_ip = *listen.0.ip();
    let (outer_reader, outer_writer) = outer.into_split();
    let (inner_reader, inner_writer) = inner.into_split();
    let request_direction = forward_stream(
        outer_reader,
        inner_writer,
        (from_ip, to_ip),
        network_conditions.clone(),
    );
    let response_direction = forward_stream(
        inner_reader,
        outer_writer,
        (to_ip, from_ip),
        network_conditions,
    );
    tokio::select! {
        () = request_direction => {}
        () = response_direction => {}
    }
}

async fn forward_stream(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    direction: (Ipv4Addr, Ipv4Addr),
    network_conditions: Arc<watch::Sender<NetworkConditions>>,
) {
    let mut conditions = network_conditions.subscribe();
    let mut chunk = vec![0; 64 << 10];
    while let Ok(length) = reader.read(&mut chunk).await {
        let is_open = conditions
            .wait_for(|network_conditions| !network_conditions.blocked.contains(&direction))
            .await;
        let Ok(delay) = is_open.map(|network_conditions| network_conditions.delay) else {
            return;
        };
        if length == 0 {
            return;
        }
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if writer.write_all(&chunk[..length]).await.is_err() {
            return;
        }
    }
}

async fn proxy_datagrams(
    datagrams: UdpSocket,
    listen: SocketAddress,
    network_conditions: Arc<watch::Sender<NetworkConditions>>,
) {
    let mut datagram = vec![0; 64 << 10];
    loop {
        let Ok((length, from)) = datagrams.recv_from(&mut datagram).await else {
            continue;
        };
        let direction = (ip_of(from.ip()), *listen.0.ip());
        if !network_conditions.borrow().blocked.contains(&direction) {
            let _ = datagrams
                .send_to(&datagram[..length], listen.to_std())
                .await;
        }
    }
}

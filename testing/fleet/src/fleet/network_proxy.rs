//! A relay between all processes that cuts and delays what they send.

use common::frames::SocketAddress;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// What the network between the processes does now; machines are known by their IP numbers.
#[derive(Clone, Default)]
struct NetworkConditions {
    blocked: BTreeSet<(Ipv4Addr, Ipv4Addr)>,
    delay: Duration,
}

/// The network between the processes of a fleet: each listens behind a relay, which can cut any
/// direction between any two. What is under way while a direction is cut is kept back, as a real
/// network's senders would go on sending it, and arrives when the cut is mended, if anybody still
/// listens; heartbeats are lost.
#[derive(Clone)]
pub struct NetworkProxy {
    network_conditions: Arc<watch::Sender<NetworkConditions>>,
    running_proxies: Arc<Mutex<BTreeMap<SocketAddress, Vec<JoinHandle<()>>>>>,
}

impl NetworkProxy {
    /// A network in which everything gets through.
    pub fn new() -> Self {
        Self {
            network_conditions: Arc::new(watch::Sender::new(NetworkConditions::default())),
            running_proxies: Arc::new(Mutex::new(BTreeMap::new())),
        }
    }

    /// Stands before one process: what reaches its place is passed on to where it listens.
    pub async fn start_proxy(
        &self,
        address: SocketAddress,
        listen: SocketAddress,
    ) -> std::io::Result<()> {
        let listener = TcpListener::bind(address.to_std()).await?;
        let datagrams = UdpSocket::bind(address.to_std()).await?;
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

    /// No longer stands before a process that is gone: whoever dials it is refused, as by a machine on
    /// which nobody listens.
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

    /// Cuts what goes from one machine to another.
    pub fn block(&self, from: Ipv4Addr, to: Ipv4Addr) {
        self.network_conditions.send_modify(|network_conditions| {
            network_conditions.blocked.insert((from, to));
        });
    }

    /// Cuts two groups of machines apart, both ways.
    pub fn partition(&self, left_ips: &[Ipv4Addr], right_ips: &[Ipv4Addr]) {
        for left_ip in left_ips {
            for right_ip in right_ips {
                self.block(*left_ip, *right_ip);
                self.block(*right_ip, *left_ip);
            }
        }
    }

    /// Joins again what was cut; other cuts stay.
    pub fn unblock(&self, directions: &[(Ipv4Addr, Ipv4Addr)]) {
        self.network_conditions.send_modify(|network_conditions| {
            directions.iter().for_each(|direction| {
                network_conditions.blocked.remove(direction);
            });
        });
    }

    /// Delays everything.
    pub fn set_delay(&self, span: Duration) {
        self.network_conditions
            .send_modify(|network_conditions| network_conditions.delay = span);
    }

    /// Mends everything.
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

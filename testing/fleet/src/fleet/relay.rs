//! A relay between all processes that cuts and delays what they send.

use common::frames::Place;
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
struct Weather {
    cuts: BTreeSet<(Ipv4Addr, Ipv4Addr)>,
    slow: Duration,
}

/// The network between the processes of a fleet: each listens behind a relay, which can cut any
/// direction between any two. What is under way while a direction is cut is kept back, as a real
/// network's senders would go on sending it, and arrives when the cut is mended, if anybody still
/// listens; heartbeats are lost.
#[derive(Clone)]
pub struct Relay {
    weather: Arc<watch::Sender<Weather>>,
    standing: Arc<Mutex<BTreeMap<Place, Vec<JoinHandle<()>>>>>,
}

impl Relay {
    /// A network in which everything gets through.
    pub fn new() -> Self {
        Self {
            weather: Arc::new(watch::Sender::new(Weather::default())),
            standing: Arc::new(Mutex::new(BTreeMap::new())),
        }
    }

    /// Stands before one process: what reaches its place is passed on to where it listens.
    pub async fn stand_before(&self, place: Place, listen: Place) -> std::io::Result<()> {
        let listener = TcpListener::bind(place.address()).await?;
        let datagrams = UdpSocket::bind(place.address()).await?;
        let standing_tasks = vec![
            tokio::spawn(accept(listener, listen, self.weather.clone())),
            tokio::spawn(pass_datagrams(datagrams, listen, self.weather.clone())),
        ];
        let mut standing = self.standing.lock().unwrap_or_else(PoisonError::into_inner);
        standing.insert(place, standing_tasks);
        Ok(())
    }

    /// No longer stands before a process that is gone: whoever dials it is refused, as by a machine on
    /// which nobody listens.
    pub async fn step_aside(&self, place: Place) {
        let standing_tasks = {
            let mut standing = self.standing.lock().unwrap_or_else(PoisonError::into_inner);
            standing.remove(&place).unwrap_or_default()
        };
        for task in standing_tasks {
            task.abort();
            let _ = task.await;
        }
    }

    /// Cuts what goes from one machine to another.
    pub fn cut(&self, from: Ipv4Addr, to: Ipv4Addr) {
        self.weather.send_modify(|weather| {
            weather.cuts.insert((from, to));
        });
    }

    /// Cuts two groups of machines apart, both ways.
    pub fn cut_apart(&self, left: &[Ipv4Addr], right: &[Ipv4Addr]) {
        for left_ip in left {
            for right_ip in right {
                self.cut(*left_ip, *right_ip);
                self.cut(*right_ip, *left_ip);
            }
        }
    }

    /// Joins again what was cut; other cuts stay.
    pub fn join(&self, ways: &[(Ipv4Addr, Ipv4Addr)]) {
        self.weather.send_modify(|weather| {
            ways.iter().for_each(|way| {
                weather.cuts.remove(way);
            });
        });
    }

    /// Delays everything.
    pub fn slow_down(&self, span: Duration) {
        self.weather.send_modify(|weather| weather.slow = span);
    }

    /// Mends everything.
    pub fn mend(&self) {
        self.weather.send_replace(Weather::default());
    }
}

impl Default for Relay {
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

async fn accept(listener: TcpListener, listen: Place, weather: Arc<watch::Sender<Weather>>) {
    while let Ok((outer, from)) = listener.accept().await {
        let from_ip = ip_of(from.ip());
        tokio::spawn(pass(outer, from_ip, listen, weather.clone()));
    }
}

async fn pass(
    outer: TcpStream,
    from_ip: Ipv4Addr,
    listen: Place,
    weather: Arc<watch::Sender<Weather>>,
) {
    let Ok(inner) = TcpStream::connect(listen.address()).await else { return };
    let _ = outer.set_nodelay(true);
    let _ = inner.set_nodelay(true);
    let to_ip = *listen.0.ip();
    let (outer_reader, outer_writer) = outer.into_split();
    let (inner_reader, inner_writer) = inner.into_split();
    let there = carry(outer_reader, inner_writer, (from_ip, to_ip), weather.clone());
    let back = carry(inner_reader, outer_writer, (to_ip, from_ip), weather);
    tokio::select! {
        () = there => {}
        () = back => {}
    }
}

async fn carry(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    way: (Ipv4Addr, Ipv4Addr),
    weather: Arc<watch::Sender<Weather>>,
) {
    let mut watching = weather.subscribe();
    let mut chunk = vec![0; 64 << 10];
    while let Ok(length) = reader.read(&mut chunk).await {
        let is_open = watching.wait_for(|weather| !weather.cuts.contains(&way)).await;
        let Ok(slow) = is_open.map(|weather| weather.slow) else { return };
        if length == 0 {
            return;
        }
        if !slow.is_zero() {
            tokio::time::sleep(slow).await;
        }
        if writer.write_all(&chunk[..length]).await.is_err() {
            return;
        }
    }
}

async fn pass_datagrams(datagrams: UdpSocket, listen: Place, weather: Arc<watch::Sender<Weather>>) {
    let mut datagram = vec![0; 64 << 10];
    loop {
        let Ok((length, from)) = datagrams.recv_from(&mut datagram).await else { continue };
        let way = (ip_of(from.ip()), *listen.0.ip());
        if !weather.borrow().cuts.contains(&way) {
            let _ = datagrams.send_to(&datagram[..length], listen.address()).await;
        }
    }
}

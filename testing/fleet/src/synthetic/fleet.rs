//! The state of a synthetic fleet: its members, clock, event queue and addresses.

use super::events::{ControllerLinkEvent, DaemonLinkEvent, Event, RequestKey};
use super::members::{Controller, Daemon, Link, OpenChange, PendingRequest};
use super::meter::Meter;
use super::platform::SyntheticPlatform;
use super::record::RunRecord;
use super::size::SyntheticSize;
use super::zones::ZoneNumber;
use common::clock::MonotonicTime;
use common::frames::SocketAddress;
use common::rng::SeededRng;
use controlplane::controller_state::OperationTicket;
use dataplane::agent::Agent;
use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

const CONTROLLERS: usize = 3;

/// A synthetic fleet.
pub struct SyntheticFleet {
    pub(super) size: SyntheticSize,
    pub(super) now: MonotonicTime,
    pub(super) rng: SeededRng,
    pub(super) meter: Meter,
    pub(super) controllers: Vec<Controller>,
    pub(super) daemons: Vec<Option<Daemon>>,
    pub(super) links: Vec<Link>,
    pub(super) platform: SyntheticPlatform,
    pub(super) pending_replica_requests: HashSet<u64>,
    pub(super) changes: BTreeMap<OperationTicket, OpenChange>,
    pub(super) change_count: u32,
    /// The number of the next function to call for the first time.
    pub(super) next_first_call: usize,
    pub(super) record: RunRecord,
    /// The limit of the allocated memory, in bytes.
    pub(super) memory_limit_bytes: u64,
    last_number: u64,
    queue: BTreeMap<(MonotonicTime, u64), Event>,
    last_event: u64,
}

impl SyntheticFleet {
    /// Creates a fleet without members.
    pub(super) fn empty(size: SyntheticSize, memory_limit_bytes: u64, rng: SeededRng) -> Self {
        let needed_mb = size.held as u64 * u64::from(size.runners) * 512;
        let worker_mb = (needed_mb / size.daemons as u64).max(16_384) as u32;
        Self {
            now: MonotonicTime(1_000_000_000),
            meter: Meter::default(),
            controllers: Vec::new(),
            daemons: Vec::new(),
            links: Vec::new(),
            platform: SyntheticPlatform::new(size.daemons, worker_mb),
            pending_replica_requests: HashSet::new(),
            changes: BTreeMap::new(),
            change_count: 0,
            next_first_call: 0,
            record: RunRecord::new(&size),
            memory_limit_bytes,
            last_number: 0,
            queue: BTreeMap::new(),
            last_event: 0,
            size,
            rng,
        }
    }

    /// Queues an event, to occur after a delay.
    pub(super) fn push(&mut self, delay: Duration, event: Event) {
        self.last_event += 1;
        self.queue
            .insert((self.now + delay, self.last_event), event);
    }

    /// Removes the next event from the queue, and returns it with its time.
    pub(super) fn pop(&mut self) -> Option<(MonotonicTime, Event)> {
        let ((due_at, _), event) = self.queue.pop_first()?;
        Some((due_at, event))
    }

    /// Drops all queued events.
    pub(super) fn clear_queue(&mut self) {
        self.queue.clear();
    }

    /// Returns a new unique number.
    pub(super) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    pub(super) fn seeds() -> Vec<SocketAddress> {
        (0..CONTROLLERS).map(Self::controller_address).collect()
    }

    fn controller_address(controller: usize) -> SocketAddress {
        SocketAddress(std::net::SocketAddrV4::new(
            [10, 0, 0, controller as u8 + 1].into(),
            7100,
        ))
    }

    pub(super) fn daemon_address(daemon: usize) -> SocketAddress {
        let [high, low] = (daemon as u16).to_be_bytes();
        SocketAddress(std::net::SocketAddrV4::new([10, 1, high, low].into(), 7200))
    }

    pub(super) fn controller_at(address: SocketAddress) -> Option<usize> {
        let [_, second, _, last] = address.0.ip().octets();
        let is_controller = second == 0 && last >= 1 && usize::from(last) <= CONTROLLERS;
        is_controller.then(|| usize::from(last) - 1)
    }

    pub(super) fn daemon_at(&self, address: SocketAddress) -> Option<usize> {
        let [_, second, high, low] = address.0.ip().octets();
        let daemon = usize::from(u16::from_be_bytes([high, low]));
        (second == 1 && daemon < self.daemons.len()).then_some(daemon)
    }

    /// Returns the delay of a message between the machines with these numbers.
    pub(super) fn message_delay(from: usize, to: usize) -> Duration {
        ZoneNumber::of(from).delay_to(ZoneNumber::of(to))
    }

    /// Closes a link at both ends.
    pub(super) fn close_link(&mut self, link: usize) {
        let delay = Self::message_delay(self.links[link].controller, self.links[link].daemon);
        self.push(delay, Event::DaemonLink(link, DaemonLinkEvent::Lost));
        self.push(
            delay,
            Event::ControllerLink(link, ControllerLinkEvent::Lost),
        );
    }

    pub(super) fn agent(&self, daemon: usize) -> Option<Arc<Agent<u64>>> {
        self.daemons[daemon]
            .as_ref()
            .map(|started_daemon| started_daemon.agent.clone())
    }

    /// Samples the number of daemons that each daemon counts as alive, if the measurement is running.
    pub(super) fn sample_visibility(&mut self) {
        if !self.meter.is_open() {
            return;
        }
        for started_daemon in self.daemons.iter().flatten() {
            self.record.visible_daemons += started_daemon.agent.live_hosts().len() as u64;
            self.record.visibility_samples += 1;
        }
    }

    pub(super) fn pending_request(&mut self, request: RequestKey) -> Option<&mut PendingRequest> {
        self.daemons
            .get_mut(request.daemon)?
            .as_mut()?
            .pending_requests
            .get_mut(&request.number)
    }
}

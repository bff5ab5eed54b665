//! The bootstrap of a simulated fleet, and the addresses of its processes.

use super::controller::{SimController, SimDisk};
use super::network::Node;
use super::operator::{spec, with_fresh_identities};
use super::simulation::Simulation;
use common::clock::MonotonicTime;
use common::frames::SocketAddress;
use common::identity::{ChangeId, ControllerId, DocumentVersion, Term, Version};
use common::spec::{Document, Voter, read_spec};
use controlplane::consensus::PersistedState;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

impl Simulation {
    pub(super) fn bootstrap(&mut self, ids: &[ControllerId]) {
        let addresses: Vec<SocketAddress> = (1..=ids.len())
            .map(|last| Self::controller_address(last as u8))
            .collect();
        let founders = self.plan.founders;
        for (number, id) in ids.iter().enumerate() {
            let voters = ids
                .iter()
                .zip(&addresses)
                .enumerate()
                .take(founders)
                .map(|(other_number, (other, address))| Voter {
                    id: *other,
                    address: *address,
                    zone: Self::zone(other_number),
                })
                .collect();
            let first_spec = if self.plan.fresh_identities {
                with_fresh_identities(spec(0))
            } else {
                spec(0)
            };
            let checked_spec = read_spec(&first_spec).unwrap_or_default();
            let mut document = Document::founding(voters).with_spec(
                first_spec,
                &checked_spec,
                ChangeId::from("founding"),
            );
            document.document_version = DocumentVersion {
                term: Term(1),
                version: Version(2),
            };
            let durable = PersistedState {
                id: *id,
                voted_for: None,
                accepted: (number < founders).then_some(document),
                unreadable_version: DocumentVersion::default(),
            };
            let clock_ahead = Duration::from_secs(self.rng.below(100_000));
            let clock_drift = self.random_drift();
            self.controllers.push(SimController {
                node: Node(number),
                instance: 0,
                address: addresses[number],
                clock_ahead,
                clock_drift,
                controller_state: None,
                disk: SimDisk {
                    durable,
                    stalled_until: MonotonicTime::ZERO,
                    failing_until: MonotonicTime::ZERO,
                    previous: None,
                },
            });
            self.start_controller(number);
        }
    }

    /// Draws the drift of a machine's clock in thousandths; the rates of two machines differ by nearly a tenth at most.
    pub(super) fn random_drift(&mut self) -> i64 {
        self.rng.below(91) as i64 - 45
    }

    /// The three seed addresses, those of the first controllers.
    pub(super) fn seeds(&self) -> Vec<SocketAddress> {
        (1..=3).map(Self::controller_address).collect()
    }

    fn controller_address(last: u8) -> SocketAddress {
        SocketAddress(SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, last), 1))
    }

    /// Replaces a controller's machine by one with a new address.
    pub(super) fn move_controller(&mut self, index: usize) {
        self.moved_count += 1;
        self.controllers[index].address = Self::controller_address(10 + self.moved_count);
    }

    pub(super) fn daemon_address(&self, index: usize) -> SocketAddress {
        SocketAddress(SocketAddrV4::new(
            Ipv4Addr::new(10, 0, 1, index as u8 + 1),
            1,
        ))
    }

    pub(super) fn node_at(&self, address: SocketAddress) -> Option<Node> {
        let [_, _, group, last] = address.0.ip().octets();
        match group {
            0 => self
                .controllers
                .iter()
                .position(|controller| controller.address == address)
                .map(Node),
            1 if last >= 1 && (last as usize) <= self.daemons.len() => {
                Some(Node::of_daemon(last as usize - 1))
            }
            _ => None,
        }
    }
}

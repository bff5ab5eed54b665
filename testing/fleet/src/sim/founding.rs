//! The bootstrap of a simulated fleet.

use super::addresses::{controller_address, zone_of_machine};
use super::controller::SimController;
use super::disk::SimDisk;
use super::network::Node;
use super::operator::{spec, with_fresh_identities};
use super::simulation::Simulation;
use common::frames::SocketAddress;
use common::identity::{ChangeId, ControllerId, DocumentVersion, Term, Version};
use common::spec::{Document, Voter, read_spec};
use controlplane::consensus::PersistedState;
use std::time::Duration;

impl Simulation {
    pub(super) fn bootstrap(&mut self, ids: &[ControllerId]) {
        let addresses: Vec<SocketAddress> = (1..=ids.len())
            .map(|last| controller_address(last as u8))
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
                    zone: zone_of_machine(other_number),
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
            self.nodes.add_controller(SimController {
                node: Node(number),
                instance: 0,
                address: addresses[number],
                clock_ahead,
                clock_drift,
                controller_state: None,
                disk: SimDisk::holding(durable),
            });
            self.start_controller(number);
        }
    }

    /// Draws the drift of a machine's clock in thousandths; the rates of two machines differ by nearly a tenth at most.
    pub(super) fn random_drift(&mut self) -> i64 {
        self.rng.below(91) as i64 - 45
    }
}

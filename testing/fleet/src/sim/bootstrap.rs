//! Creates the initial controllers and daemons of a simulated fleet.

use super::addresses::{controller_address, zone_of_machine};
use super::controller::SimController;
use super::daemon::SimDaemon;
use super::disk::SimDisk;
use super::network::Node;
use super::operator::planned_spec;
use super::simulation::Simulation;
use common::frames::SocketAddress;
use common::identity::{ChangeId, ControllerId, DocumentVersion, Term, Version};
use common::spec::{Document, Voter, read_spec};
use controlplane::consensus::PersistedState;
use std::time::Duration;

/// Machines' clocks are ahead of virtual time by less than this.
const CLOCK_LEAD_LIMIT_SECONDS: u64 = 100_000;
/// The largest drift of a machine's clock, fast or slow; the rates of two clocks differ by less than a tenth.
const MAX_DRIFT_THOUSANDTHS: i64 = 45;

impl Simulation {
    /// Creates and starts the controllers. Those that bootstrap the quorum have already accepted the first document.
    pub(super) fn create_controllers(&mut self, ids: &[ControllerId]) {
        let initial_voter_count = self.plan.bootstrap_controller_count;
        let document = self.first_document(&ids[..initial_voter_count.min(ids.len())]);
        for (index, id) in ids.iter().enumerate() {
            let durable = PersistedState {
                id: *id,
                voted_for: None,
                accepted: (index < initial_voter_count).then(|| document.clone()),
                unreadable_version: DocumentVersion::default(),
            };
            let clock_ahead = self.random_clock_lead();
            let clock_drift = self.random_drift();
            self.nodes.add_controller(SimController {
                node: Node(index),
                incarnation: 0,
                address: initial_address(index),
                clock_ahead,
                clock_drift,
                controller_state: None,
                disk: SimDisk::new(durable),
            });
            self.start_controller(index);
        }
    }

    /// Creates and starts the daemons.
    pub(super) fn create_daemons(&mut self) {
        for index in 0..self.plan.daemons {
            let clock_ahead = self.random_clock_lead();
            let clock_drift = self.random_drift();
            self.nodes.add_daemon(SimDaemon {
                node: Node::of_daemon(index),
                incarnation: 0,
                clock_ahead,
                clock_drift,
                process: None,
            });
            self.start_daemon(index);
        }
    }

    /// Returns the document that the initial voters have accepted before the simulation starts.
    fn first_document(&self, voter_ids: &[ControllerId]) -> Document {
        let voters = voter_ids
            .iter()
            .enumerate()
            .map(|(index, id)| Voter {
                id: *id,
                address: initial_address(index),
                zone: zone_of_machine(index),
            })
            .collect();
        let first_spec = planned_spec(&self.plan, 0);
        let checked_spec = read_spec(&first_spec).unwrap_or_default();
        let mut document = Document::initial(voters).with_spec(
            first_spec,
            &checked_spec,
            ChangeId::from("founding"),
        );
        document.document_version = DocumentVersion {
            term: Term(1),
            version: Version(2),
        };
        document
    }

    /// Draws by how much a machine's clock is ahead of virtual time.
    fn random_clock_lead(&mut self) -> Duration {
        Duration::from_secs(self.rng.below(CLOCK_LEAD_LIMIT_SECONDS))
    }

    /// Draws the drift of a machine's clock in thousandths.
    fn random_drift(&mut self) -> i64 {
        let drift_count = 2 * MAX_DRIFT_THOUSANDTHS as u64 + 1;
        self.rng.below(drift_count) as i64 - MAX_DRIFT_THOUSANDTHS
    }
}

/// Returns the initial address of a controller.
fn initial_address(index: usize) -> SocketAddress {
    controller_address(index as u8 + 1)
}

//! How a fleet begins, and where its processes stand.

use super::controller::{SimController, SimDisk};
use super::network::Node;
use super::operator::{spec, with_fresh_identities};
use super::world::World;
use common::clock::Moment;
use common::frames::Place;
use common::identity::{ChangeId, ControllerId, Serial, Stamp, Term};
use common::spec::{CoreMember, Document, read_spec};
use controlplane::core::Recalled;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

impl World {
    pub(super) fn found(&mut self, ids: &[ControllerId]) {
        let places: Vec<Place> =
            (1..=ids.len()).map(|last| Self::controller_place(last as u8)).collect();
        let founders = self.plan.founders;
        for (number, id) in ids.iter().enumerate() {
            let core = ids
                .iter()
                .zip(&places)
                .enumerate()
                .take(founders)
                .map(|(other_number, (other, place))| CoreMember {
                    id: *other,
                    place: *place,
                    zone: Self::zone(other_number),
                })
                .collect();
            let first_spec =
                if self.plan.fresh_identities { with_fresh_identities(spec(0)) } else { spec(0) };
            let checked_spec = read_spec(&first_spec).unwrap_or_default();
            let mut document = Document::founding(core).with_spec(
                first_spec,
                &checked_spec,
                ChangeId::from("founding"),
            );
            document.stamp = Stamp { term: Term(1), serial: Serial(2) };
            let durable = Recalled {
                id: *id,
                voted: None,
                accepted: (number < founders).then_some(document),
                distrusted: Stamp::default(),
            };
            let clock_ahead = Duration::from_secs(self.chance.below(100_000));
            let clock_drift = self.some_drift();
            self.controllers.push(SimController {
                node: Node(number),
                life: 0,
                place: places[number],
                clock_ahead,
                clock_drift,
                controller_state: None,
                disk: SimDisk {
                    durable,
                    stalled_until: Moment::ZERO,
                    failing_until: Moment::ZERO,
                    previous: None,
                },
            });
            self.start_controller(number);
        }
    }

    /// Rates of clocks that differ by nearly a tenth at most, between any two machines.
    pub(super) fn some_drift(&mut self) -> i64 {
        self.chance.below(91) as i64 - 45
    }

    /// The three seed addresses: where the first controllers stood.
    pub(super) fn seeds(&self) -> Vec<Place> {
        (1..=3).map(Self::controller_place).collect()
    }

    fn controller_place(last: u8) -> Place {
        Place(SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, last), 1))
    }

    /// A controller's machine is replaced by one at a new address.
    pub(super) fn move_controller(&mut self, place: usize) {
        self.moved_count += 1;
        self.controllers[place].place = Self::controller_place(10 + self.moved_count);
    }

    pub(super) fn daemon_place(&self, place: usize) -> Place {
        Place(SocketAddrV4::new(Ipv4Addr::new(10, 0, 1, place as u8 + 1), 1))
    }

    pub(super) fn node_at(&self, place: Place) -> Option<Node> {
        let [_, _, group, last] = place.0.ip().octets();
        match group {
            0 => self.controllers.iter().position(|controller| controller.place == place).map(Node),
            1 if last >= 1 && (last as usize) <= self.daemons.len() => {
                Some(Node::of_daemon(last as usize - 1))
            }
            _ => None,
        }
    }
}

//! Opens, breaks and closes the links between daemons and controllers, and delivers the frames on them.

use super::event::LinkEvent;
use super::links::Link;
use super::network::{Node, PLATFORM};
use super::simulation::Simulation;
use common::frames::{DaemonToLeader, LeaderToDaemon, SocketAddress};
use controlplane::controller_state::ControllerInput;
use controlplane::leader_state::StreamId;
use std::time::Duration;

/// How soon both ends notice that a link was closed.
const CLOSE_NOTICED_AFTER: Duration = Duration::from_millis(4);
/// How long it takes until dialing an unreachable address fails.
const DIAL_TIMEOUT: Duration = Duration::from_millis(600);
/// The shortest and the longest time until one end notices that a link broke without being closed.
const BREAK_NOTICED_WITHIN: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(4));

impl Simulation {
    /// Dials a controller and returns the number of the link, which may turn out not to open.
    pub(super) fn dial(&mut self, daemon: Node, daemon_incarnation: u64, to: SocketAddress) -> u64 {
        let number = self.numbers.next();
        let controller = self.nodes.node_at(to).unwrap_or(PLATFORM);
        let controller_incarnation = if controller.is_controller() {
            self.nodes.controller(controller.0).running_incarnation()
        } else {
            None
        };
        let reaches =
            self.network.reaches(daemon, controller) && self.network.reaches(controller, daemon);
        let link = Link {
            daemon,
            daemon_incarnation,
            controller,
            controller_incarnation: controller_incarnation.unwrap_or(0),
            is_broken: !reaches,
        };
        self.links.insert(number, link);
        let delay = self.network.delay(&mut self.rng);
        if controller_incarnation.is_some() && reaches {
            self.queue.push(delay, LinkEvent::Dialed(number));
        } else {
            let failed_after = if reaches { delay } else { DIAL_TIMEOUT };
            self.queue
                .push(failed_after, LinkEvent::LinkLost(number, daemon));
        }
        number
    }

    /// Breaks a link without closing it: both ends notice it only by a timeout.
    pub(super) fn break_silently(&mut self, number: u64) {
        let Some((daemon, controller)) = self.links.mark_broken(number) else {
            return;
        };
        let (shortest, longest) = BREAK_NOTICED_WITHIN;
        let daemon_after = self.rng.within(shortest, longest);
        let controller_after = self.rng.within(shortest, longest);
        self.queue
            .push(daemon_after, LinkEvent::LinkLost(number, daemon));
        self.queue
            .push(controller_after, LinkEvent::LinkLost(number, controller));
    }

    /// Closes a link.
    pub(super) fn close_link(&mut self, number: u64) {
        let Some(link) = self.links.get(number) else {
            return;
        };
        for node in [link.daemon, link.controller] {
            self.queue
                .push(CLOSE_NOTICED_AFTER, LinkEvent::LinkLost(number, node));
        }
    }

    /// Closes the links of a machine.
    pub(super) fn close_links(&mut self, node: Node) {
        for number in self.links.numbers_of(node) {
            self.close_link(number);
        }
    }

    /// Breaks the links of a machine without closing them: the other ends notice it only by a timeout.
    pub(super) fn break_links_silently(&mut self, node: Node) {
        for number in self.links.numbers_of(node) {
            self.break_silently(number);
        }
    }

    /// Notifies a daemon that the link that it dialed is open, if it still uses that link.
    pub(super) fn handle_dialed(&mut self, number: u64) {
        let Some(link) = self.links.get(number) else {
            return;
        };
        let index = link.daemon.daemon_index();
        if self.nodes.daemon(index).is_current_link(number) {
            self.update_control(index, |control, agent, now| {
                control.handle_connected(agent, now)
            });
        }
    }

    /// Delivers a daemon's frame to the controller.
    pub(super) fn deliver_to_controller(&mut self, number: u64, frame: DaemonToLeader) {
        let Some(link) = self.links.get_unbroken(number) else {
            return;
        };
        let index = link.controller.0;
        self.step_controller(index, ControllerInput::DaemonFrame(StreamId(number), frame));
    }

    /// Delivers a controller's frame to the daemon, if it still uses the link.
    pub(super) fn deliver_to_daemon(&mut self, number: u64, frame: LeaderToDaemon) {
        let Some(link) = self.links.get_unbroken(number) else {
            return;
        };
        let index = link.daemon.daemon_index();
        if self.nodes.daemon(index).is_current_link(number) {
            self.update_control(index, |control, agent, now| {
                control.handle_frame(agent, now, frame)
            });
        }
    }
}

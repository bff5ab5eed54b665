//! The streams between daemons and controllers.

use super::event::Event;
use super::network::{Node, PLATFORM};
use super::simulation::Simulation;
use common::frames::SocketAddress;
use std::time::Duration;

pub(super) struct Link {
    pub daemon: Node,
    pub daemon_instance: u64,
    pub controller: Node,
    pub controller_instance: u64,
    pub is_broken: bool,
}

impl Simulation {
    pub(super) fn dial(&mut self, daemon: Node, daemon_instance: u64, to: SocketAddress) -> u64 {
        let number = self.numbers.next();
        let controller = self.node_at(to).unwrap_or(PLATFORM);
        let is_alive =
            controller.is_controller() && self.controllers[controller.0].controller_state.is_some();
        let controller_instance = if is_alive {
            self.controllers[controller.0].instance
        } else {
            0
        };
        let reaches =
            self.network.reaches(daemon, controller) && self.network.reaches(controller, daemon);
        let link = Link {
            daemon,
            daemon_instance,
            controller,
            controller_instance,
            is_broken: !reaches,
        };
        self.links.insert(number, link);
        let delay = self.network.delay(&mut self.rng);
        if is_alive && reaches {
            self.queue.push(delay, Event::Dialed(number));
        } else {
            let failed_after = if reaches {
                delay
            } else {
                Duration::from_millis(600)
            };
            self.queue
                .push(failed_after, Event::LinkLost(number, daemon));
        }
        number
    }

    pub(super) fn break_silently(&mut self, number: u64) {
        let Some(link) = self.links.get_mut(&number) else {
            return;
        };
        if !link.is_broken {
            link.is_broken = true;
            let (daemon, controller) = (link.daemon, link.controller);
            let daemon_after = self
                .rng
                .within(Duration::from_secs(1), Duration::from_secs(4));
            let controller_after = self
                .rng
                .within(Duration::from_secs(1), Duration::from_secs(4));
            self.queue
                .push(daemon_after, Event::LinkLost(number, daemon));
            self.queue
                .push(controller_after, Event::LinkLost(number, controller));
        }
    }

    pub(super) fn close_link(&mut self, number: u64) {
        let Some(link) = self.links.get(&number) else {
            return;
        };
        let (daemon, controller) = (link.daemon, link.controller);
        let delay = Duration::from_millis(4);
        self.queue.push(delay, Event::LinkLost(number, daemon));
        self.queue.push(delay, Event::LinkLost(number, controller));
    }

    pub(super) fn close_links(&mut self, node: Node) {
        for number in self.links_of(node) {
            self.close_link(number);
        }
    }

    /// Breaks the links of a machine without closing them: the other ends notice it only by a timeout.
    pub(super) fn break_links_silently(&mut self, node: Node) {
        for number in self.links_of(node) {
            self.break_silently(number);
        }
    }

    fn links_of(&self, node: Node) -> Vec<u64> {
        let is_end = |link: &Link| link.daemon == node || link.controller == node;
        let own_links = self.links.iter().filter(|(_, link)| is_end(link));
        let mut numbers: Vec<u64> = own_links.map(|(number, _)| *number).collect();
        numbers.sort_unstable();
        numbers
    }
}

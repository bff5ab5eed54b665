//! Frozen machines, and the events that are deferred until they resume.

use super::event::Event;
use super::network::Node;
use common::clock::MonotonicTime;
use std::collections::BTreeMap;

/// The frozen machines and their deferred events.
#[derive(Default)]
pub(super) struct FrozenNodes {
    frozen_until: BTreeMap<Node, MonotonicTime>,
    deferred: BTreeMap<Node, Vec<Event>>,
}

impl FrozenNodes {
    /// Whether a machine is frozen.
    pub(super) fn contains(&self, node: Node, now: MonotonicTime) -> bool {
        self.frozen_until
            .get(&node)
            .is_some_and(|until| *until > now)
    }

    /// Freezes a machine at least until the given time; returns the time at which it resumes.
    pub(super) fn freeze(&mut self, node: Node, until: MonotonicTime) -> MonotonicTime {
        let frozen_until = self.frozen_until.entry(node).or_insert(until);
        *frozen_until = (*frozen_until).max(until);
        *frozen_until
    }

    /// Defers an event until the machine resumes.
    pub(super) fn defer(&mut self, node: Node, event: Event) {
        self.deferred.entry(node).or_default().push(event);
    }

    /// Ends the freeze of a machine; returns its deferred events in their order of arrival.
    pub(super) fn resume(&mut self, node: Node) -> Vec<Event> {
        self.frozen_until.remove(&node);
        self.deferred.remove(&node).unwrap_or_default()
    }

    /// Ends the freeze of every machine and returns the machines. Their events remain deferred until [`Self::resume`].
    pub(super) fn end_all(&mut self) -> Vec<Node> {
        std::mem::take(&mut self.frozen_until).into_keys().collect()
    }
}

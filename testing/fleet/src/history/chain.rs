//! The search for chains of versions that agree with what was acknowledged, read and refused.

use super::{Anomaly, Answer, History, OrderId};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// One version of the configuration in a chain from the first to the newest.
#[derive(Clone, Debug)]
pub(crate) struct RegisterVersion {
    /// The version number; zero for the state before the first order.
    pub number: u64,
    /// The order that created the version; none for the first.
    pub order: Option<OrderId>,
    /// The configuration.
    pub content: Value,
}

/// The constraints on a chain, from what was acknowledged, read, refused and reported as current.
struct ChainConstraints<'a> {
    /// The acknowledged orders by number.
    acknowledged: BTreeMap<u64, OrderId>,
    /// The contents that were read, by number; empty if a number was only reported as current.
    read: BTreeMap<u64, Vec<&'a Value>>,
    /// Base versions on which orders were refused as stale, so that they must have a successor.
    with_successor: BTreeSet<u64>,
    /// Orders with a refused attempt. An earlier attempt may nevertheless have taken effect.
    refused: BTreeSet<OrderId>,
}

impl<'a> ChainConstraints<'a> {
    fn of(history: &'a History) -> Self {
        let mut constraints = Self {
            acknowledged: BTreeMap::new(),
            read: BTreeMap::new(),
            with_successor: BTreeSet::new(),
            refused: BTreeSet::new(),
        };
        for (index, order) in history.orders.iter().enumerate() {
            let id = OrderId(index);
            if history.acknowledged_at(id).is_some() {
                constraints.acknowledged.insert(order.number, id);
            }
            let answers = history.attempts_of(id).filter_map(|attempt| attempt.answer);
            for (_, answer) in answers {
                match answer {
                    Answer::Acknowledged => continue,
                    Answer::Stale { current } => {
                        constraints.with_successor.insert(order.base);
                        if let Some(current) = current {
                            constraints.read.entry(current).or_default();
                        }
                    }
                    Answer::Invalid => {}
                }
                constraints.refused.insert(id);
            }
        }
        for reading in &history.readings {
            constraints
                .read
                .entry(reading.number)
                .or_default()
                .push(&reading.content);
        }
        constraints
    }

    /// Returns the lowest number above this one that the chain must contain.
    fn next_after(&self, number: u64) -> Option<u64> {
        let after = number + 1..;
        let acknowledged = self
            .acknowledged
            .range(after.clone())
            .next()
            .map(|(next, _)| *next);
        let read = self.read.range(after).next().map(|(next, _)| *next);
        acknowledged.into_iter().chain(read).min()
    }

    fn was_refused(&self, version: &RegisterVersion) -> bool {
        version
            .order
            .is_some_and(|order| self.refused.contains(&order))
    }

    /// Whether a version agrees with what was acknowledged and read under its number.
    fn is_consistent(&self, version: &RegisterVersion) -> bool {
        let is_acknowledged = self
            .acknowledged
            .get(&version.number)
            .is_none_or(|acknowledged| version.order == Some(*acknowledged));
        let readings = self.read.get(&version.number);
        is_acknowledged && readings.is_none_or(|read| read.iter().all(|it| **it == version.content))
    }
}

/// A depth-first search for the chains from the first version to the newest that was acknowledged, read, or shown to
/// exist by a refusal. Usually there is one. There are several if orders without a definite reply have the same number
/// and base version and their content was not read.
pub(crate) struct VersionChainSearch<'a> {
    history: &'a History,
    constraints: ChainConstraints<'a>,
    /// The valid orders that were sent, by base version.
    orders_on: BTreeMap<u64, Vec<OrderId>>,
    /// The chain up to the current point of the search.
    chain: Vec<RegisterVersion>,
    /// For each version of the chain, the successors that have not been tried yet.
    untried_branches: Vec<Vec<RegisterVersion>>,
    highest_reached: u64,
}

impl<'a> VersionChainSearch<'a> {
    /// Starts a search from the configuration before the first order.
    pub(crate) fn new(history: &'a History, first_content: &Value) -> Self {
        let mut orders_on: BTreeMap<u64, Vec<OrderId>> = BTreeMap::new();
        for (index, order) in history.orders.iter().enumerate() {
            let was_sent = history.first_sent_at(OrderId(index)).is_some();
            if order.is_valid && order.number > order.base && was_sent {
                orders_on
                    .entry(order.base)
                    .or_default()
                    .push(OrderId(index));
            }
        }
        let constraints = ChainConstraints::of(history);
        let first_version = RegisterVersion {
            number: 0,
            order: None,
            content: first_content.clone(),
        };
        let chain = if constraints.is_consistent(&first_version) {
            vec![first_version]
        } else {
            Vec::new()
        };
        Self {
            history,
            constraints,
            orders_on,
            chain,
            untried_branches: Vec::new(),
            highest_reached: 0,
        }
    }

    /// Returns the anomaly for the case that no chain exists, with the highest version that was reached and the next
    /// required one.
    pub(crate) fn unreachable_version(&self) -> Anomaly {
        let to = self
            .constraints
            .next_after(self.highest_reached)
            .unwrap_or(self.highest_reached);
        Anomaly::Unreachable {
            from: self.highest_reached,
            to,
        }
    }

    /// Returns the next chain, if there is another one.
    pub(crate) fn next_chain(&mut self) -> Option<Vec<RegisterVersion>> {
        if self.untried_branches.len() == self.chain.len() {
            self.try_next_branch()?;
        }
        loop {
            let newest = self.chain.last()?;
            self.highest_reached = self.highest_reached.max(newest.number);
            let is_newest = self.constraints.next_after(newest.number).is_none();
            let candidates = self.candidates(newest);
            let needs_successor = self.constraints.with_successor.contains(&newest.number);
            let is_complete = is_newest && (!needs_successor || candidates.is_empty());
            let chain = is_complete.then(|| self.chain.clone());
            self.untried_branches
                .push(if is_complete { Vec::new() } else { candidates });
            if chain.is_some() {
                return chain;
            }
            self.try_next_branch()?;
        }
    }

    /// Backtracks to the newest version with an untried successor and appends that successor. Returns none if there is
    /// no such version.
    fn try_next_branch(&mut self) -> Option<()> {
        while self.untried_branches.last()?.is_empty() {
            self.untried_branches.pop();
            self.chain.pop();
        }
        let version = self.untried_branches.last_mut()?.pop()?;
        self.chain.push(version);
        Some(())
    }

    /// Returns the possible successors of a version. They are tried from the end, so the likeliest come last: those
    /// that were recorded early and not refused.
    fn candidates(&self, newest: &RegisterVersion) -> Vec<RegisterVersion> {
        let target = self.constraints.next_after(newest.number);
        let orders = self.orders_on.get(&newest.number).into_iter().flatten();
        let mut candidates: Vec<RegisterVersion> = orders
            .map(|id| RegisterVersion {
                number: self.history.orders[id.0].number,
                order: Some(*id),
                content: self.history.orders[id.0].effect.applied_to(&newest.content),
            })
            .filter(|version| target.is_none_or(|target| version.number <= target))
            .filter(|version| self.constraints.is_consistent(version))
            .filter(|version| target.is_some() || !self.constraints.was_refused(version))
            .collect();
        candidates.reverse();
        candidates.sort_by_key(|version| !self.constraints.was_refused(version));
        candidates
    }
}

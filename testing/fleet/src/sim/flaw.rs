//! Flaws that are introduced to test that the checks find them.

use common::rules::{Rule, Rules};
use std::fmt;

/// A flaw that is introduced to test that the checks find it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Flaw {
    /// No flaw.
    None,
    /// The programs run without this rule.
    Without(Rule),
    /// The disk reports writes as synced before they are.
    SyncSkipped,
    /// Each controller counts itself as a majority.
    QuorumOfOne,
    /// The platform confirms the leader's requests to stop runners and ignores them.
    StopRequestsIgnored,
    /// The leader's requests to stop runners do not reach the platform.
    StopRequestsLost,
}

impl Flaw {
    /// Returns all flaws, [`Flaw::None`] first.
    pub fn all() -> Vec<Flaw> {
        let rules = Rule::ALL.iter().map(|rule| Flaw::Without(*rule));
        let environment_flaws = [
            Flaw::SyncSkipped,
            Flaw::QuorumOfOne,
            Flaw::StopRequestsIgnored,
            Flaw::StopRequestsLost,
        ];
        [Flaw::None]
            .into_iter()
            .chain(environment_flaws)
            .chain(rules)
            .collect()
    }

    /// Returns the rules that the programs still enforce.
    pub fn rules(self) -> Rules {
        match self {
            Self::Without(rule) => Rules::without(rule),
            _ => Rules::ALL_ENFORCED,
        }
    }
}

impl fmt::Display for Flaw {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::None => out.write_str("none"),
            Self::Without(rule) => write!(out, "without-{rule}"),
            Self::SyncSkipped => out.write_str("sync-skipped"),
            Self::QuorumOfOne => out.write_str("quorum-of-one"),
            Self::StopRequestsIgnored => out.write_str("stops-unconfirmed"),
            Self::StopRequestsLost => out.write_str("stops-unheard"),
        }
    }
}

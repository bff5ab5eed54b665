use common::rules::{Rule, Rules};
use std::fmt;

/// Something broken on purpose, to see that the checks find it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Flaw {
    /// Nothing is broken.
    None,
    /// A rule is taken away in the programs' own code.
    Without(Rule),
    /// The disk says that a write is synced before it is.
    SyncSkipped,
    /// Each controller counts itself as a majority.
    QuorumOfOne,
    /// The platform confirms the leader's stops and does not stop anything.
    StopsUnconfirmed,
    /// The platform never hears what the leader wants stopped.
    StopsUnheard,
}

impl Flaw {
    /// Every flaw, and none.
    pub fn all() -> Vec<Flaw> {
        let rules = Rule::ALL.iter().map(|rule| Flaw::Without(*rule));
        let around = [
            Flaw::SyncSkipped,
            Flaw::QuorumOfOne,
            Flaw::StopsUnconfirmed,
            Flaw::StopsUnheard,
        ];
        [Flaw::None]
            .into_iter()
            .chain(around)
            .chain(rules)
            .collect()
    }

    /// The rules that are kept all the same.
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
            Self::StopsUnconfirmed => out.write_str("stops-unconfirmed"),
            Self::StopsUnheard => out.write_str("stops-unheard"),
        }
    }
}

//! The safety rules by name, and a seam by which the proving tools take one away.

use std::fmt;

/// A rule that something which must never happen hangs on.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Rule {
    /// A daemon serves only while its member grant runs, and gives up what it held when it ends.
    MemberGrant,
    /// A renewal counts only with the newest committed spec installed.
    RenewalNeedsSpec,
    /// A serial never goes down in a daemon.
    SerialOnlyUp,
    /// Route and function are looked up in the newest spec right before a send.
    SpecBeforeSend,
    /// A send names the runner that is meant, and another one refuses.
    RunnerNamed,
    /// An answer's seal is checked.
    SealChecked,
    /// An answer's seal must name this transaction, function and runner.
    SealNamesAsked,
    /// A runner never has more transactions than slots.
    SlotsKept,
    /// A fresh runner begins with one transaction at a time.
    RampKept,
    /// A lost answer keeps its slot until the runner is known to be done.
    LostKeepsSlot,
    /// Extra tries and repeats draw on one count.
    TriesCounted,
    /// A refusal is said only of what has left the inbox, and no runner was given.
    RefusedIsGone,
    /// A known identity gets what the ledger says.
    IdentityKnown,
    /// A once-transaction is noted by a steward before it is sent.
    LedgerNoted,
    /// A successor collects the ledger, or waits, before it admits once-transactions.
    LedgerCollected,
    /// Runners on unfit workers are drained.
    DrainObeyed,
    /// Functions held in an evacuated zone are handed over, and runners there drained.
    EvacuationObeyed,
    /// A daemon that is stopped in order hands out the answers it has in hand.
    AnswersHandedOut,
    /// Runners of a lost holder are left for the next one, or stopped through the platform, before a
    /// regrant.
    FenceBeforeRegrant,
    /// A function is granted anew only when its old holder's member grant has ended everywhere, or the
    /// old holder gave it up.
    GrantOutwaited,
    /// A runner that was left is taken over by one holder only.
    LifeAdoptedOnce,
    /// A new leader waits for the claims quorum, and for old grants to end.
    ClaimsWait,
    /// A new leader waits for each daemon of the roster that has not claimed.
    RosterAwaited,
    /// A change built on another serial than the newest is refused.
    StaleBaseRefused,
    /// An invalid change is never written.
    InvalidRefused,
    /// A core member is replaced in two committed steps.
    CoreInTwoSteps,
    /// An operator's order is refused only by state that a majority confirmed after it was asked.
    RefusalProven,
    /// An order that was taken is known when it is sent again.
    TakenKnown,
    /// Two orders with one number are told apart by their content.
    NumberTakenOnce,
    /// An order is acknowledged when a majority has written it.
    AcknowledgedByMajority,
    /// An order whose caller hung up before it was put forward is dropped.
    HungUpDropped,
}

impl Rule {
    /// Every rule.
    pub const ALL: &[Rule] = &[
        Rule::MemberGrant,
        Rule::RenewalNeedsSpec,
        Rule::SerialOnlyUp,
        Rule::SpecBeforeSend,
        Rule::RunnerNamed,
        Rule::SealChecked,
        Rule::SealNamesAsked,
        Rule::SlotsKept,
        Rule::RampKept,
        Rule::LostKeepsSlot,
        Rule::TriesCounted,
        Rule::RefusedIsGone,
        Rule::IdentityKnown,
        Rule::LedgerNoted,
        Rule::LedgerCollected,
        Rule::DrainObeyed,
        Rule::EvacuationObeyed,
        Rule::AnswersHandedOut,
        Rule::FenceBeforeRegrant,
        Rule::GrantOutwaited,
        Rule::LifeAdoptedOnce,
        Rule::ClaimsWait,
        Rule::RosterAwaited,
        Rule::StaleBaseRefused,
        Rule::InvalidRefused,
        Rule::CoreInTwoSteps,
        Rule::RefusalProven,
        Rule::TakenKnown,
        Rule::NumberTakenOnce,
        Rule::AcknowledgedByMajority,
        Rule::HungUpDropped,
    ];

    /// The rule of a name.
    pub fn named(given_name: &str) -> Option<Rule> {
        Self::ALL.iter().copied().find(|rule| rule.to_string() == given_name)
    }
}

impl fmt::Display for Rule {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Self::MemberGrant => "member-grant",
            Self::RenewalNeedsSpec => "renewal-needs-spec",
            Self::SerialOnlyUp => "serial-only-up",
            Self::SpecBeforeSend => "spec-before-send",
            Self::RunnerNamed => "runner-named",
            Self::SealChecked => "seal-checked",
            Self::SealNamesAsked => "seal-names-asked",
            Self::SlotsKept => "slots-kept",
            Self::RampKept => "ramp-kept",
            Self::LostKeepsSlot => "lost-keeps-slot",
            Self::TriesCounted => "tries-counted",
            Self::RefusedIsGone => "refused-is-gone",
            Self::IdentityKnown => "identity-known",
            Self::LedgerNoted => "ledger-noted",
            Self::LedgerCollected => "ledger-collected",
            Self::DrainObeyed => "drain-obeyed",
            Self::EvacuationObeyed => "evacuation-obeyed",
            Self::AnswersHandedOut => "answers-handed-out",
            Self::FenceBeforeRegrant => "fence-before-regrant",
            Self::GrantOutwaited => "grant-outwaited",
            Self::LifeAdoptedOnce => "life-adopted-once",
            Self::ClaimsWait => "claims-wait",
            Self::RosterAwaited => "roster-awaited",
            Self::StaleBaseRefused => "stale-base-refused",
            Self::InvalidRefused => "invalid-refused",
            Self::CoreInTwoSteps => "core-in-two-steps",
            Self::RefusalProven => "refusal-proven",
            Self::TakenKnown => "taken-known",
            Self::NumberTakenOnce => "number-taken-once",
            Self::AcknowledgedByMajority => "acknowledged-by-majority",
            Self::HungUpDropped => "hung-up-dropped",
        })
    }
}

/// Which rules are kept. Deployed programs keep all of them; the proving tools take one away, to see
/// that their checks find it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Rules(Option<Rule>);

impl Rules {
    /// All rules are kept.
    pub const KEPT: Rules = Rules(None);

    /// All but one.
    pub const fn without(broken_rule: Rule) -> Self {
        Self(Some(broken_rule))
    }

    /// Whether a rule is kept.
    pub fn keep(self, asked_rule: Rule) -> bool {
        self.0 != Some(asked_rule)
    }
}

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
    /// The member grant runs and the function is held under its grant right before the first byte of a
    /// send is written.
    HeldBeforeSend,
    /// What a byte was written of counts as sent.
    WrittenIsSent,
    /// Another daemon's answer goes to the question that it names.
    ReplyMatched,
    /// A repeat of a transaction goes to one runner only.
    RepeatSentOnce,
    /// A send names the runner that is meant, and another one refuses.
    RunnerNamed,
    /// An answer's seal is checked.
    SealChecked,
    /// An answer's seal must name this transaction, function and runner.
    SealNamesAsked,
    /// An answer whose body may have been cut short, or is not as the runner made it, is not believed.
    BodyWhole,
    /// An answer with another one's beginning in its head is not believed.
    HeadUnmixed,
    /// A runner never has more transactions than slots.
    SlotsKept,
    /// A fresh runner begins with one transaction at a time.
    RampKept,
    /// A lost answer keeps its slot until the runner is known to be done.
    LostKeepsSlot,
    /// A request that may run only once is not sent again when its answer is lost.
    OnceNotRepeated,
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
    /// A configuration is read only when a majority has confirmed the leader since it was asked for.
    ReadingProven,
    /// A controller names only a leader that it heard within the election time.
    LeaderHeard,
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
    /// A vote is on disk before it is given.
    VoteOnDisk,
    /// A version is on disk before it is acknowledged.
    AcceptOnDisk,
    /// Nobody votes for a candidate whose version is older than the voter's.
    NewestElected,
    /// An answer to a round counts in the round's own term only.
    RoundOfItsTerm,
    /// A change of the document is applied to the version that it leads from, and to no other.
    ChangeOnItsBase,
    /// A grant that answers a question from before its asker gave everything up is given back.
    OldAnswerVoid,
    /// A leader that others name is dialed although no connection to it came about a moment before.
    NamedLeaderDialed,
    /// A function whose identities may come again has one holder, that remembers them, for all regions.
    RememberedByOne,
}

impl Rule {
    /// Every rule.
    pub const ALL: &[Rule] = &[
        Rule::MemberGrant,
        Rule::RenewalNeedsSpec,
        Rule::SerialOnlyUp,
        Rule::SpecBeforeSend,
        Rule::HeldBeforeSend,
        Rule::WrittenIsSent,
        Rule::ReplyMatched,
        Rule::RepeatSentOnce,
        Rule::RunnerNamed,
        Rule::SealChecked,
        Rule::SealNamesAsked,
        Rule::BodyWhole,
        Rule::HeadUnmixed,
        Rule::SlotsKept,
        Rule::RampKept,
        Rule::LostKeepsSlot,
        Rule::OnceNotRepeated,
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
        Rule::ReadingProven,
        Rule::LeaderHeard,
        Rule::StaleBaseRefused,
        Rule::InvalidRefused,
        Rule::CoreInTwoSteps,
        Rule::RefusalProven,
        Rule::TakenKnown,
        Rule::NumberTakenOnce,
        Rule::AcknowledgedByMajority,
        Rule::HungUpDropped,
        Rule::VoteOnDisk,
        Rule::AcceptOnDisk,
        Rule::NewestElected,
        Rule::RoundOfItsTerm,
        Rule::ChangeOnItsBase,
        Rule::OldAnswerVoid,
        Rule::NamedLeaderDialed,
        Rule::RememberedByOne,
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
            Self::HeldBeforeSend => "held-before-send",
            Self::WrittenIsSent => "written-is-sent",
            Self::ReplyMatched => "reply-matched",
            Self::RepeatSentOnce => "repeat-sent-once",
            Self::RunnerNamed => "runner-named",
            Self::SealChecked => "seal-checked",
            Self::SealNamesAsked => "seal-names-asked",
            Self::BodyWhole => "body-whole",
            Self::HeadUnmixed => "head-unmixed",
            Self::SlotsKept => "slots-kept",
            Self::RampKept => "ramp-kept",
            Self::LostKeepsSlot => "lost-keeps-slot",
            Self::OnceNotRepeated => "once-not-repeated",
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
            Self::ReadingProven => "reading-proven",
            Self::LeaderHeard => "leader-heard",
            Self::StaleBaseRefused => "stale-base-refused",
            Self::InvalidRefused => "invalid-refused",
            Self::CoreInTwoSteps => "core-in-two-steps",
            Self::RefusalProven => "refusal-proven",
            Self::TakenKnown => "taken-known",
            Self::NumberTakenOnce => "number-taken-once",
            Self::AcknowledgedByMajority => "acknowledged-by-majority",
            Self::HungUpDropped => "hung-up-dropped",
            Self::VoteOnDisk => "vote-on-disk",
            Self::AcceptOnDisk => "accept-on-disk",
            Self::NewestElected => "newest-elected",
            Self::RoundOfItsTerm => "round-of-its-term",
            Self::ChangeOnItsBase => "change-on-its-base",
            Self::OldAnswerVoid => "old-answer-void",
            Self::NamedLeaderDialed => "named-leader-dialed",
            Self::RememberedByOne => "remembered-by-one",
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

    /// Whether no rule was taken away.
    pub fn are_all_kept(self) -> bool {
        self.0.is_none()
    }

    /// Whether a rule is kept.
    pub fn keep(self, asked_rule: Rule) -> bool {
        self.0 != Some(asked_rule)
    }
}

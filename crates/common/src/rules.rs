//! The safety rules by name, and a seam by which the proving tools take one away.

use std::fmt;

/// A rule that something which must never happen hangs on.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Rule {
    /// A daemon serves only while its member grant runs, and gives up what it held when it ends.
    ServesUnderSessionLease,
    /// A renewal counts only with the newest committed spec installed.
    RenewalNeedsNewestSpec,
    /// A serial never goes down in a daemon.
    VersionNeverDecreases,
    /// Route and function are looked up in the newest spec right before a send.
    SpecCheckedBeforeSend,
    /// The member grant runs and the function is held under its grant right before the first byte of a
    /// send is written.
    LeaseCheckedBeforeSend,
    /// What a byte was written of counts as sent.
    PartialWriteCountsAsSent,
    /// Another daemon's answer goes to the question that it names.
    ReplyMatchesRequest,
    /// A repeat of a transaction goes to one runner only.
    RepeatSentToOneRunner,
    /// A send names the runner that is meant, and another one refuses.
    RunnerIdentityChecked,
    /// An answer's seal is checked.
    SealChecked,
    /// An answer's seal must name this transaction, function and runner.
    SealBoundToRequest,
    /// An answer whose body may have been cut short, or is not as the runner made it, is not believed.
    IncompleteBodyRejected,
    /// An answer with another one's beginning in its head is not believed.
    MergedHeadRejected,
    /// A runner never has more transactions than slots.
    SlotLimitRespected,
    /// A fresh runner begins with one transaction at a time.
    SlowStartRespected,
    /// A lost answer keeps its slot until the runner is known to be done.
    LostResponseKeepsSlot,
    /// A request that may run only once is not sent again when its answer is lost.
    OnceNotRetried,
    /// Extra tries and repeats draw on one count.
    RetryBudgetCounted,
    /// A refusal is said only of what has left the inbox, and no runner was given.
    RejectedNeverRuns,
    /// A known identity gets what the ledger says.
    KnownIdempotencyKeyAnswered,
    /// A once-transaction is noted by a steward before it is sent.
    LedgerReplicatedBeforeSend,
    /// A successor collects the ledger, or waits, before it admits once-transactions.
    LedgerCollectedBeforeAdmission,
    /// Runners on unfit workers are drained.
    DrainObeyed,
    /// Functions held in an evacuated zone are handed over, and runners there drained.
    EvacuationObeyed,
    /// A daemon that is stopped in order hands out the answers it has in hand.
    ResponsesDeliveredAtShutdown,
    /// Runners of a lost holder are left for the next one, or stopped through the platform, before a
    /// regrant.
    FenceBeforeRegrant,
    /// A function is granted anew only when its old holder's member grant has ended everywhere, or the
    /// old holder gave it up.
    LeaseExpiredBeforeRegrant,
    /// A runner that was left is taken over by one holder only.
    InstanceAdoptedOnce,
    /// A new leader waits for the claims quorum, and for old grants to end.
    ClaimsQuorumAwaited,
    /// A new leader waits for each daemon of the roster that has not claimed.
    ListedMembersAwaited,
    /// A configuration is read only when a majority has confirmed the leader since it was asked for.
    ReadConfirmedByMajority,
    /// A controller names only a leader that it heard within the election time.
    LeaderHintIsRecent,
    /// A change built on another serial than the newest is refused.
    StaleBaseRejected,
    /// An invalid change is never written.
    InvalidChangeRejected,
    /// A core member is replaced in two committed steps.
    VoterReplacedInTwoSteps,
    /// An operator's order is refused only by state that a majority confirmed after it was asked.
    RejectionConfirmedByMajority,
    /// An order that was taken is known when it is sent again.
    ResentChangeRecognized,
    /// Two orders with one number are told apart by their content.
    ChangeNumberBoundToContent,
    /// An order is acknowledged when a majority has written it.
    AcknowledgedByMajority,
    /// An order whose caller hung up before it was put forward is dropped.
    AbandonedChangeDropped,
    /// A vote is on disk before it is given.
    VotePersistedFirst,
    /// A version is on disk before it is acknowledged.
    AcceptPersistedFirst,
    /// Nobody votes for a candidate whose version is older than the voter's.
    CandidateIsUpToDate,
    /// An answer to a round counts in the round's own term only.
    HeartbeatResponseInItsTerm,
    /// A change of the document is applied to the version that it leads from, and to no other.
    DeltaOnItsBase,
    /// A grant that answers a question from before its asker gave everything up is given back.
    StaleLeaseReturned,
    /// A leader that others name is dialed although no connection to it came about a moment before.
    HintedLeaderDialed,
    /// A function whose identities may come again has one holder, that remembers them, for all regions.
    OneHolderRemembersKeys,
}

impl Rule {
    /// Every rule.
    pub const ALL: &[Rule] = &[
        Rule::ServesUnderSessionLease,
        Rule::RenewalNeedsNewestSpec,
        Rule::VersionNeverDecreases,
        Rule::SpecCheckedBeforeSend,
        Rule::LeaseCheckedBeforeSend,
        Rule::PartialWriteCountsAsSent,
        Rule::ReplyMatchesRequest,
        Rule::RepeatSentToOneRunner,
        Rule::RunnerIdentityChecked,
        Rule::SealChecked,
        Rule::SealBoundToRequest,
        Rule::IncompleteBodyRejected,
        Rule::MergedHeadRejected,
        Rule::SlotLimitRespected,
        Rule::SlowStartRespected,
        Rule::LostResponseKeepsSlot,
        Rule::OnceNotRetried,
        Rule::RetryBudgetCounted,
        Rule::RejectedNeverRuns,
        Rule::KnownIdempotencyKeyAnswered,
        Rule::LedgerReplicatedBeforeSend,
        Rule::LedgerCollectedBeforeAdmission,
        Rule::DrainObeyed,
        Rule::EvacuationObeyed,
        Rule::ResponsesDeliveredAtShutdown,
        Rule::FenceBeforeRegrant,
        Rule::LeaseExpiredBeforeRegrant,
        Rule::InstanceAdoptedOnce,
        Rule::ClaimsQuorumAwaited,
        Rule::ListedMembersAwaited,
        Rule::ReadConfirmedByMajority,
        Rule::LeaderHintIsRecent,
        Rule::StaleBaseRejected,
        Rule::InvalidChangeRejected,
        Rule::VoterReplacedInTwoSteps,
        Rule::RejectionConfirmedByMajority,
        Rule::ResentChangeRecognized,
        Rule::ChangeNumberBoundToContent,
        Rule::AcknowledgedByMajority,
        Rule::AbandonedChangeDropped,
        Rule::VotePersistedFirst,
        Rule::AcceptPersistedFirst,
        Rule::CandidateIsUpToDate,
        Rule::HeartbeatResponseInItsTerm,
        Rule::DeltaOnItsBase,
        Rule::StaleLeaseReturned,
        Rule::HintedLeaderDialed,
        Rule::OneHolderRemembersKeys,
    ];

    /// The rule of a name.
    pub fn by_name(given_name: &str) -> Option<Rule> {
        Self::ALL
            .iter()
            .copied()
            .find(|rule| rule.to_string() == given_name)
    }
}

impl fmt::Display for Rule {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Self::ServesUnderSessionLease => "member-grant",
            Self::RenewalNeedsNewestSpec => "renewal-needs-spec",
            Self::VersionNeverDecreases => "serial-only-up",
            Self::SpecCheckedBeforeSend => "spec-before-send",
            Self::LeaseCheckedBeforeSend => "held-before-send",
            Self::PartialWriteCountsAsSent => "written-is-sent",
            Self::ReplyMatchesRequest => "reply-matched",
            Self::RepeatSentToOneRunner => "repeat-sent-once",
            Self::RunnerIdentityChecked => "runner-named",
            Self::SealChecked => "seal-checked",
            Self::SealBoundToRequest => "seal-names-asked",
            Self::IncompleteBodyRejected => "body-whole",
            Self::MergedHeadRejected => "head-unmixed",
            Self::SlotLimitRespected => "slots-kept",
            Self::SlowStartRespected => "ramp-kept",
            Self::LostResponseKeepsSlot => "lost-keeps-slot",
            Self::OnceNotRetried => "once-not-repeated",
            Self::RetryBudgetCounted => "tries-counted",
            Self::RejectedNeverRuns => "refused-is-gone",
            Self::KnownIdempotencyKeyAnswered => "identity-known",
            Self::LedgerReplicatedBeforeSend => "ledger-noted",
            Self::LedgerCollectedBeforeAdmission => "ledger-collected",
            Self::DrainObeyed => "drain-obeyed",
            Self::EvacuationObeyed => "evacuation-obeyed",
            Self::ResponsesDeliveredAtShutdown => "answers-handed-out",
            Self::FenceBeforeRegrant => "fence-before-regrant",
            Self::LeaseExpiredBeforeRegrant => "grant-outwaited",
            Self::InstanceAdoptedOnce => "life-adopted-once",
            Self::ClaimsQuorumAwaited => "claims-wait",
            Self::ListedMembersAwaited => "roster-awaited",
            Self::ReadConfirmedByMajority => "reading-proven",
            Self::LeaderHintIsRecent => "leader-heard",
            Self::StaleBaseRejected => "stale-base-refused",
            Self::InvalidChangeRejected => "invalid-refused",
            Self::VoterReplacedInTwoSteps => "core-in-two-steps",
            Self::RejectionConfirmedByMajority => "refusal-proven",
            Self::ResentChangeRecognized => "taken-known",
            Self::ChangeNumberBoundToContent => "number-taken-once",
            Self::AcknowledgedByMajority => "acknowledged-by-majority",
            Self::AbandonedChangeDropped => "hung-up-dropped",
            Self::VotePersistedFirst => "vote-on-disk",
            Self::AcceptPersistedFirst => "accept-on-disk",
            Self::CandidateIsUpToDate => "newest-elected",
            Self::HeartbeatResponseInItsTerm => "round-of-its-term",
            Self::DeltaOnItsBase => "change-on-its-base",
            Self::StaleLeaseReturned => "old-answer-void",
            Self::HintedLeaderDialed => "named-leader-dialed",
            Self::OneHolderRemembersKeys => "remembered-by-one",
        })
    }
}

/// Which rules are kept. Deployed programs keep all of them; the proving tools take one away, to see
/// that their checks find it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Rules(Option<Rule>);

impl Rules {
    /// All rules are kept.
    pub const ALL_ENFORCED: Rules = Rules(None);

    /// All but one.
    pub const fn without(disabled_rule: Rule) -> Self {
        Self(Some(disabled_rule))
    }

    /// Whether no rule was taken away.
    pub fn all_enforced(self) -> bool {
        self.0.is_none()
    }

    /// Whether a rule is kept.
    pub fn enforces(self, rule: Rule) -> bool {
        self.0 != Some(rule)
    }
}

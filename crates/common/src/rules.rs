//! The safety rules by name, and the switch by which tests disable one of them.
//!
//! A process with a disabled rule has a flaw, called `without-NAME`. Each rule's doc says what the rule requires, and
//! after "Found by" which committed run injects the flaw and expects its checks to find it. `docs/proofs.md` describes
//! these runs.

use std::fmt;

macro_rules! rules {
    ($($(#[$doc:meta])* $rule:ident = $name:literal,)+) => {
        /// A rule on which a safety property depends.
        #[derive(Clone, Copy, PartialEq, Eq, Debug)]
        pub enum Rule {
            $($(#[$doc])* $rule,)+
        }

        impl Rule {
            /// All rules.
            pub const ALL: &[Rule] = &[$(Rule::$rule),+];

            /// Returns the rule's name, as it appears in the names of flaws.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$rule => $name,)+
                }
            }
        }
    };
}

rules! {
    /// A daemon serves only while it has a session lease, and gives up all its functions when the lease ends. Found by
    /// `fleet proofs`.
    ServesUnderSessionLease = "member-grant",
    /// A daemon's session lease is renewed only with the newest committed spec installed. Found by
    /// `crates/dataplane/tests/agent/spec_versions.rs`.
    RenewalNeedsNewestSpec = "renewal-needs-spec",
    /// A daemon never installs an older spec than it has. Found by `crates/dataplane/tests/agent/spec_versions.rs`.
    VersionNeverDecreases = "serial-only-up",
    /// A request is sent to a runner only if the newest spec, looked up right before the send, still allows it. Found
    /// by `crates/dataplane/tests/agent/spec_versions.rs`.
    SpecCheckedBeforeSend = "spec-before-send",
    /// A daemon finds a request's route in each spec by the request itself, and not by the name of the route that matched
    /// it in an earlier spec. Found by `crates/dataplane/tests/agent/renamed_routes.rs`.
    RouteFoundByRequest = "route-by-request",
    /// A request is sent only as often as every spec allows that has matched it. Found by
    /// `crates/dataplane/tests/agent/changed_limits.rs`.
    StrictestLimitsKept = "strictest-limits",
    /// The first byte of a request is written only during the session lease, and while the function is still held under
    /// the same function lease. Found by `platform/tests/connections/pre_send_check.rs`.
    LeaseCheckedBeforeSend = "held-before-send",
    /// A request of which a byte was written counts as sent, and is not reported as certainly unsent. Found by
    /// `platform/tests/connections/sends.rs` and `daemons.rs`.
    PartialWriteCountsAsSent = "written-is-sent",
    /// A response from another daemon is delivered only to the request that it names. Found by
    /// `platform/tests/connections/daemons.rs`.
    ReplyMatchesRequest = "reply-matched",
    /// A repeat of a request is sent to one runner only. Found by `crates/dataplane/tests/holder/retries.rs`.
    RepeatSentToOneRunner = "repeat-sent-once",
    /// A request names the intended runner, and a different runner at its address rejects it. Found by `fleet proofs`.
    RunnerIdentityChecked = "runner-named",
    /// A response without a valid seal is not accepted. Found by `fleet proofs`.
    SealChecked = "seal-checked",
    /// A response whose seal names another request, function or runner is not accepted. Found by `fleet proofs`.
    SealBoundToRequest = "seal-names-asked",
    /// A response is not accepted if its body may be truncated or differ from what the runner produced. Found by
    /// `platform/tests/connections/sends.rs`.
    IncompleteBodyRejected = "body-whole",
    /// A response with the beginning of another response in its head is not accepted. Found by
    /// `platform/tests/connections/sends.rs`.
    MergedHeadRejected = "head-unmixed",
    /// A runner never has more requests than slots. Found by `fleet proofs`.
    SlotLimitRespected = "slots-kept",
    /// A new runner gets one request at first, and each response allows one more at a time. Found by `fleet proofs`.
    SlowStartRespected = "ramp-kept",
    /// A request whose response was lost occupies its slot until the runner is known to have finished it. Found by
    /// `fleet proofs`.
    LostResponseKeepsSlot = "lost-keeps-slot",
    /// A request that may run only once is not sent again when its response is lost. Found by
    /// `testing/fleet/tests/invariants.rs`.
    OnceNotRetried = "once-not-repeated",
    /// The retries of a function's requests and the callers' repeats share one retry budget. Found by `fleet proofs`.
    RetryBudgetCounted = "tries-counted",
    /// A request is reported as rejected only after it has left the queue without being sent to a runner. Found by
    /// `fleet proofs`.
    RejectedNeverRuns = "refused-is-gone",
    /// A request whose idempotency key is known gets the outcome that the ledger records. Found by `fleet proofs`.
    KnownIdempotencyKeyAnswered = "identity-known",
    /// A request that may run only once is recorded by a ledger replica before it is sent. Found by `fleet proofs`.
    LedgerReplicatedBeforeSend = "ledger-noted",
    /// A new holder collects the earlier ledger, or waits long enough, before it admits requests that may run only
    /// once. Found by `fleet proofs`.
    LedgerCollectedBeforeAdmission = "ledger-collected",
    /// Runners on draining workers and leaving runners are drained. Found by `fleet proofs`.
    DrainObeyed = "drain-obeyed",
    /// Functions held in an evacuated zone are handed over, and runners there are drained. Found by `fleet proofs`.
    EvacuationObeyed = "evacuation-obeyed",
    /// A daemon that shuts down gracefully delivers the responses to the requests that it still has. Found by `fleet
    /// proofs`.
    ResponsesDeliveredAtShutdown = "answers-handed-out",
    /// A daemon that shuts down gracefully withdraws the requests that are at no runner before its grace period ends.
    /// Found by `fleet proofs`.
    QueuedRequestsWithdrawnAtShutdown = "queued-withdrawn",
    /// A function is granted again only when each runner of its lost holder is kept for the next holder, or stopped by
    /// the platform. Found by `fleet proofs`.
    FenceBeforeRegrant = "fence-before-regrant",
    /// A function is granted again only when its holder's session lease has ended everywhere, or the holder released
    /// it. Found by `fleet proofs`.
    LeaseExpiredBeforeRegrant = "grant-outwaited",
    /// An orphaned runner instance is adopted by one holder only. Found by `fleet proofs`.
    InstanceAdoptedOnce = "life-adopted-once",
    /// A new leader grants leases only after the claims quorum, and after earlier leases have ended. Found by `fleet
    /// proofs`.
    ClaimsQuorumAwaited = "claims-wait",
    /// A new leader waits for each listed daemon that has not claimed. Found by `fleet proofs`.
    ListedMembersAwaited = "roster-awaited",
    /// A read is answered only when a majority has confirmed the leader since it was requested. Found by `fleet
    /// proofs`.
    ReadConfirmedByMajority = "reading-proven",
    /// A controller names only a leader from which it received something within the election timeout. Found by `fleet
    /// proofs` and `crates/controlplane/tests/consensus_node_safety.rs`.
    LeaderHintIsRecent = "leader-heard",
    /// A change based on another version than the newest is rejected. Found by `fleet proofs`.
    StaleBaseRejected = "stale-base-refused",
    /// An invalid change is never written. Found by `fleet proofs`.
    InvalidChangeRejected = "invalid-refused",
    /// A voter is replaced in two committed steps (joint consensus). Found by
    /// `crates/controlplane/tests/membership_change.rs`.
    VoterReplacedInTwoSteps = "core-in-two-steps",
    /// An operator's request is rejected only because of state that a majority confirmed after it arrived. No committed
    /// run injects this flaw.
    RejectionConfirmedByMajority = "refusal-proven",
    /// A change that was applied is recognized when it is sent again. Found by `fleet proofs`.
    ResentChangeRecognized = "taken-known",
    /// Two changes with the same number are distinguished by their content. Found by `fleet proofs`.
    ChangeNumberBoundToContent = "number-taken-once",
    /// A change is acknowledged only when a majority has written it. Found by `fleet proofs`.
    AcknowledgedByMajority = "acknowledged-by-majority",
    /// A change whose caller disconnected before it was proposed is dropped. Found by `fleet proofs`.
    AbandonedChangeDropped = "hung-up-dropped",
    /// A vote is on disk before it is granted. Found by `crates/controlplane/tests/consensus_node_safety.rs`.
    VotePersistedFirst = "vote-on-disk",
    /// A version is on disk before it is acknowledged. Found by `crates/controlplane/tests/quorum_model`.
    AcceptPersistedFirst = "accept-on-disk",
    /// A voter never votes for a candidate whose version is older than its own. Found by
    /// `crates/controlplane/tests/quorum_model`.
    CandidateIsUpToDate = "newest-elected",
    /// A heartbeat response counts only in the term of its round. Found by
    /// `crates/controlplane/tests/consensus_node_safety.rs`.
    HeartbeatResponseInItsTerm = "round-of-its-term",
    /// A delta of the document is applied to its base version only. Found by
    /// `crates/controlplane/tests/replication.rs`.
    DeltaOnItsBase = "change-on-its-base",
    /// A lease granted for a request that is older than the daemon's release of all its functions is released again.
    /// Found by `crates/dataplane/tests/agent/late_leases.rs`.
    StaleLeaseReturned = "old-answer-void",
    /// A leader that a controller names is dialed even if a connection to it has just failed. Found by
    /// `crates/dataplane/tests/control_session.rs`.
    HintedLeaderDialed = "named-leader-dialed",
    /// A function whose idempotency keys may be repeated has one holder for all regions, which records them. Found by
    /// `testing/fleet/tests/simulator.rs`.
    OneHolderRemembersKeys = "remembered-by-one",
}

impl Rule {
    /// Finds a rule by its name.
    pub fn by_name(name: &str) -> Option<Rule> {
        Self::ALL.iter().copied().find(|rule| rule.as_str() == name)
    }
}

impl fmt::Display for Rule {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(self.as_str())
    }
}

/// The rules that a process enforces. Deployed programs enforce all; tests disable one to verify that their checks find
/// its absence.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Rules(Option<Rule>);

impl Rules {
    /// Enforces all rules.
    pub const ALL_ENFORCED: Rules = Rules(None);

    /// Enforces all rules but one.
    pub const fn without(disabled_rule: Rule) -> Self {
        Self(Some(disabled_rule))
    }

    /// Returns whether all rules are enforced.
    pub fn all_enforced(self) -> bool {
        self.0.is_none()
    }

    /// Returns whether a rule is enforced.
    pub fn enforces(self, rule: Rule) -> bool {
        self.0 != Some(rule)
    }
}
